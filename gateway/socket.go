package gateway

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUnsentTimeout lets the kernel break a connection whose bytes are not
// acknowledged, as happens to one that went silent.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	if err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return set
}
