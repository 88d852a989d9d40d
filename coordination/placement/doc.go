// Package placement decides which instances make up which replicas within one
// failure domain. Plan is pure: the director of the failure domain calls it on
// what the instances report and orders what it returns.
package placement
