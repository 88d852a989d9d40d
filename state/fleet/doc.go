// Package fleet defines the data types that all layers share: instances, their reports, orders to
// them, and the deployments that they serve.
package fleet
