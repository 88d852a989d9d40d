package demo

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and portCount define the port range of FreeAddress. It lies below the ephemeral range,
	// from which the operating system allocates ports for outgoing connections.
	firstPort, portCount = 12000, 18000
	// portStep separates the ports of processes with consecutive process ids.
	portStep = 397
)

// portCounter counts the ports that this process has tried.
var portCounter atomic.Int64

// FreeAddress returns a loopback address that nothing listens on at present and whose port no outgoing
// connection will be given.
func FreeAddress() (string, error) {
	for range portCount {
		n := int64(os.Getpid())*portStep + portCounter.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}
