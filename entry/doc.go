// Package entry implements the daemon of an entry instance. It supplies the side-effect-free logic
// of the coordination packages with a clock, the network and the log. A single actor owns the
// control state; request handling reads immutable views of it.
package entry
