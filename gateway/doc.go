// Package gateway implements the daemon that serves callers on the users' platform. Each machine
// runs one daemon, and all daemons are equal. A single actor owns the control state and publishes
// an immutable view of it, which the goroutines that handle traffic read.
package gateway
