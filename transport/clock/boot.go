// Package clock reads a clock that includes the time that the machine is suspended, and sleeps.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine booted, including the time that it was suspended. Use it
// to measure the age of data that decisions depend on: the monotonic clock of the standard library
// stops while the machine is suspended.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the kernel does not support the clock.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
