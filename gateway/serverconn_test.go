package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// newServerConn returns a serverConn and the server's end of it.
func newServerConn(t *testing.T) (*serverConn, net.Conn) {
	t.Helper()
	client, server := net.Pipe()
	conn, err := wrapServerConns(func(context.Context, string, string) (net.Conn, error) { return client, nil })(t.Context(), "tcp", "a:1")
	require.NoError(t, err)
	c, ok := conn.(*serverConn)
	require.True(t, ok)
	return c, server
}

// TestRequestBeforeTheTransportReads guards against a request on a connection of which the transport still holds
// bytes: as long as it does not read, it may have some, and closes the connection if it finds them (P12).
func TestRequestBeforeTheTransportReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newServerConn(t)
		result := make(chan error, 1)
		go func() {
			c.begin()
			_, err := c.Write([]byte("request"))
			result <- err
		}()
		synctest.Wait()
		require.NoError(t, c.Close())
		require.ErrorIs(t, <-result, errNotWritten)
	})
}

// TestRequestOnAUsedConnection guards against a request that is written on a connection whose next bytes may not be
// its response: it is sent on another one instead, so it must be certain that none of it was written (P12, P65).
func TestRequestOnAUsedConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(server net.Conn, before *exchange)
		want error
	}{
		{"sound", func(_ net.Conn, before *exchange) { before.accept() }, nil},
		{"response_before_is_foreign", func(_ net.Conn, before *exchange) { before.abort() }, errNotWritten},
		{"bytes_after_the_response", func(server net.Conn, before *exchange) {
			before.accept()
			synctest.Wait()
			_, _ = io.WriteString(server, "stray")
		}, errNotWritten},
		{"closed_by_the_server", func(server net.Conn, before *exchange) {
			before.accept()
			synctest.Wait()
			_ = server.Close()
		}, errNotWritten},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, server := newServerConn(t)
				// Like a transport, read what comes and close the connection at its end.
				go func() {
					_, _ = io.Copy(io.Discard, struct{ io.Reader }{c})
					_ = c.Close()
				}()
				go func() {
					first := make([]byte, len("request"))
					_, _ = io.ReadFull(server, first)
					_, _ = io.WriteString(server, "response")
					_, _ = io.Copy(io.Discard, server)
				}()
				before := c.begin()
				require.True(t, before.first)
				_, err := c.Write([]byte("request"))
				require.NoError(t, err)
				synctest.Wait()
				began, write, result := make(chan *exchange, 1), make(chan struct{}), make(chan error, 1)
				go func() {
					began <- c.begin()
					<-write
					_, err := c.Write([]byte("request"))
					result <- err
				}()
				synctest.Wait()
				require.Empty(t, began, "the response before is not accepted yet")
				tc.do(server, before)
				synctest.Wait()
				close(write)
				require.ErrorIs(t, <-result, tc.want)
				x := <-began
				require.False(t, x.first)
				require.Equal(t, tc.want == nil, x.abort(), "the request may have been written")
				_ = server.Close()
			})
		})
	}
}
