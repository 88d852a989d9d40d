package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// DialReset returns a dial function whose connections send response once a request is written, and are reset while the
// request is still being written. The write gets the error of the reset, so that the read after the response looks like
// an orderly end of the connection, as it does on Linux.
func DialReset(response string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return &resetConn{response: bytes.NewReader([]byte(response)), written: make(chan struct{}), read: make(chan struct{}), closed: make(chan struct{})}, nil
	}
}

// A resetConn is a connection of DialReset.
type resetConn struct {
	response *bytes.Reader
	// written is closed by the first write, read by the read that returns the end, closed by Close.
	written, read, closed             chan struct{}
	writtenOnce, readOnce, closedOnce sync.Once
}

// Write implements net.Conn. It returns the error of the reset after the response was read.
func (c *resetConn) Write([]byte) (int, error) {
	c.writtenOnce.Do(func() { close(c.written) })
	select {
	case <-c.read:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	select {
	case <-c.written:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	n, err := c.response.Read(p)
	if err != nil {
		c.readOnce.Do(func() { close(c.read) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *resetConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.Conn.
func (c *resetConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *resetConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. No call waits for longer than the other side of the connection does.
func (c *resetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *resetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }

// DialResponse returns a dial function whose connections send response once a request is written, and end in order.
func DialResponse(response string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			request, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				return
			}
			// The errors mean that the caller has closed the connection.
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(server, response)
		}()
		return client, nil
	}
}
