package demo

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and ports are the range of FreeAddress. It lies below the range that
	// the system takes the ports of outgoing connections from.
	firstPort, ports = 12000, 18000
	// portStep keeps processes that start one after the other apart.
	portStep = 397
)

// lastPort counts the addresses that this process has given out.
var lastPort atomic.Int64

// FreeAddress returns an address on loopback that nothing listens on now, and that
// no outgoing connection will take.
func FreeAddress() (string, error) {
	for range ports {
		n := int64(os.Getpid())*portStep + lastPort.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}
