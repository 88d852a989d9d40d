package integrity_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

// connect returns a wrapped connection over TCP, the connection in it, and its other end.
func connect(t *testing.T) (wrapped, plain net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dial := integrity.WrapDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err = (&net.Dialer{}).DialContext(ctx, network, address)
		return plain, err
	})
	wrapped, err = dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	peer, ok := accepted.(*net.TCPConn)
	require.True(t, ok)
	t.Cleanup(func() {
		_ = wrapped.Close()
		_ = peer.Close()
	})
	require.NoError(t, wrapped.SetReadDeadline(time.Now().Add(5*time.Second)))
	return wrapped, plain, peer
}

// writeUntilError writes to conn until that fails, and returns the error.
func writeUntilError(conn net.Conn) error {
	for {
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// respond sends a part of a response.
func respond(t *testing.T, peer net.Conn) {
	t.Helper()
	_, err := io.WriteString(peer, "part")
	require.NoError(t, err)
}

// requireRead checks what conn reads, and the error after it.
func requireRead(t *testing.T, conn net.Conn, want error) {
	t.Helper()
	text, err := io.ReadAll(conn)
	require.Equal(t, "part", string(text))
	require.ErrorIs(t, err, want)
}

// TestResets guards against a connection that was reset and looks as if its peer had ended it in order, since the operating
// system told a write of the reset.
func TestResets(t *testing.T) {
	t.Run("write_before_read", func(t *testing.T) {
		conn, plain, peer := connect(t)
		respond(t, peer)
		require.NoError(t, peer.SetLinger(0))
		require.NoError(t, peer.Close())
		require.Error(t, writeUntilError(conn))
		requireRead(t, conn, integrity.ErrReset)
		_, err := plain.Read(make([]byte, 1))
		t.Logf("without the wrapper, the read returns %v", err)
	})
	t.Run("write_under_way", func(t *testing.T) {
		dial := integrity.WrapDial(standin.DialReset("part"))
		conn, err := dial(t.Context(), "tcp", "a:1")
		require.NoError(t, err)
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write([]byte("request"))
			written <- err
		}()
		requireRead(t, conn, integrity.ErrReset)
		require.Error(t, <-written)
	})
	t.Run("read_before_write", func(t *testing.T) {
		conn, _, peer := connect(t)
		respond(t, peer)
		require.NoError(t, peer.SetLinger(0))
		require.NoError(t, peer.Close())
		text, err := io.ReadAll(conn)
		require.Equal(t, "part", string(text))
		require.Error(t, err)
	})
}

// requireEnd checks that conn reads the whole response in time, although a write is under way.
func requireEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "part", string(text))
}

// A waitingConn is a connection whose peer ends its side in order during a write, and reads no more.
type waitingConn struct {
	net.Conn
	writing, interrupted chan struct{}
}

// Write implements net.Conn.
func (c *waitingConn) Write([]byte) (int, error) {
	close(c.writing)
	select {
	case <-c.interrupted:
		return 0, os.ErrDeadlineExceeded
	case <-time.After(5 * time.Second):
		return 0, errors.New("write was not interrupted")
	}
}

// Read implements net.Conn.
func (c *waitingConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

// SetWriteDeadline implements net.Conn.
func (c *waitingConn) SetWriteDeadline(deadline time.Time) error {
	if time.Until(deadline) < 0 {
		close(c.interrupted)
	}
	return nil
}

// TestOrderlyEnds guards against a whole response that counts as broken, since its peer ends its side in order before it has
// read the request.
func TestOrderlyEnds(t *testing.T) {
	t.Run("peer_reads_all", func(t *testing.T) {
		conn, _, peer := connect(t)
		go func() {
			_, _ = io.WriteString(peer, "part")
			_, _ = io.CopyN(io.Discard, peer, 1<<20)
			_ = peer.Close()
		}()
		_, err := conn.Write(make([]byte, 1<<20))
		require.NoError(t, err)
		requireEnd(t, conn)
	})
	t.Run("write_waits", func(t *testing.T) {
		c := &waitingConn{writing: make(chan struct{}), interrupted: make(chan struct{})}
		conn, err := integrity.WrapDial(func(context.Context, string, string) (net.Conn, error) { return c, nil })(t.Context(), "tcp", "a:1")
		require.NoError(t, err)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(conn) }()
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
	})
	t.Run("peer_reads_nothing", func(t *testing.T) {
		conn, _, peer := connect(t)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(conn) }()
		respond(t, peer)
		require.NoError(t, peer.CloseWrite())
		requireEnd(t, conn)
		require.NoError(t, conn.Close())
		require.Error(t, <-written)
	})
	t.Run("peer_resets_the_rest", func(t *testing.T) {
		conn, _, peer := connect(t)
		respond(t, peer)
		require.NoError(t, peer.CloseWrite())
		require.NoError(t, peer.SetLinger(0))
		require.NoError(t, peer.Close())
		require.Error(t, writeUntilError(conn))
		requireEnd(t, conn)
	})
}

// TestTransport guards against a transport that reads a part of a response as a whole one, whether it has settings or not.
func TestTransport(t *testing.T) {
	for name, transport := range map[string]*integrity.Transport{
		"pooled":     {HTTP: &http.Transport{}},
		"single_use": {HTTP: &http.Transport{DisableKeepAlives: true}},
	} {
		t.Run(name, func(t *testing.T) {
			transport.HTTP.DialContext = standin.DialReset("HTTP/1.1 200 OK\r\n\r\npart")
			client := &http.Client{Transport: transport}
			resp, err := client.Post("http://a", "text/plain", http.NoBody)
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}
