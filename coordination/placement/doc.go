// Package placement decides which instances make up which replicas within one failure domain. It
// has no side effects: the director of the failure domain calls Make with the reports of the
// instances and sends the orders of the returned plan.
package placement
