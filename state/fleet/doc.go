// Package fleet holds the plain records that every layer shares: instances,
// what they report of themselves, and the deployments that they serve.
package fleet
