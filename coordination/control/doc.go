// Package control is the control plane of one daemon as a pure state machine: it takes events
// and the time, and returns commands. A driver owns the clock, the network and the log; it
// carries out the commands and feeds their results back as events.
package control
