// Package gateway is the daemon that serves callers on the users' platform. Each
// machine runs one; all are equal. One actor owns the control state, publishes an
// immutable view of it, and traffic reads that view.
package gateway
