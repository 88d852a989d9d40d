// Package clock reads a clock that goes on while the machine is suspended, and waits.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, suspensions included. Ages of
// what a daemon acts on are measured by it, since the monotonic clock of the
// standard library stands still during a suspension.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only for a clock that the kernel does not have.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
