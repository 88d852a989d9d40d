// Package entry is the daemon of an entry instance: it joins the pure decisions
// of the coordination packages to clock, network and log. One actor owns the
// control state; traffic reads an immutable view of it.
package entry
