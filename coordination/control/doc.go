// Package control is the control state of one daemon as a pure state machine:
// events and the time go in, commands come out. A driver owns the clock, the
// network and the log; it carries out the commands and reports their results as
// further events.
package control
