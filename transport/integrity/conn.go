package integrity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// A DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ErrReset means that a connection broke where a read saw an orderly end of it.
var ErrReset = errors.New("connection broke before its end")

// WrapDial returns dial with connections that report io.EOF only if the peer has ended its side in order.
//
// The operating system reports a broken connection to one call only. If that is a write, the next read looks like the end
// of the connection, and with it of a response that has neither a length nor chunks.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// A conn is a connection of WrapDial.
type conn struct {
	net.Conn
	// writing is held during a write, and guards broken.
	writing sync.Mutex
	// broken is the first error of a write that shows that the connection broke.
	broken error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// isBroken returns whether err of a write shows that a connection broke. One whose peer has ended its side in order before
// it reset the rest is a broken pipe, and the read side had its end by then.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// past is a deadline that interrupts a write.
var past = time.Unix(1, 0)

// end returns the error of a read that saw the end of the connection. A write under way may have been told that the
// connection broke, so its result is awaited.
func (c *conn) end() error {
	if !c.writing.TryLock() {
		// On a sound connection the write may wait for a peer that reads no more.
		if err := c.SetWriteDeadline(past); err != nil {
			// The connection is closed already, or closing it interrupts the write as well.
			_ = c.Close()
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.broken != nil {
		return fmt.Errorf("%w: %w", ErrReset, c.broken)
	}
	return io.EOF
}
