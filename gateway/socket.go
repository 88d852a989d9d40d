package gateway

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout makes the kernel close a connection whose sent bytes stay unacknowledged, as on
// a connection whose peer has disappeared.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	if err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return set
}
