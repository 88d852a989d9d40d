package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/hawthornrock/hawthornrock/platform"
)

// A serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	// used means that it has carried a request.
	used atomic.Bool
}

// wrapServerConns returns dial with its connections as serverConns.
func wrapServerConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &serverConn{Conn: conn}, nil
	}
}

// An exchange is a request on a connection to a server, with its response.
type exchange struct {
	conn *serverConn
	// first means that the connection carried nothing before.
	first bool
}

// sendDirect sends req on this daemon's own path. It returns a response only if it belongs to req; a connection
// whose responses can't be told apart is closed.
func (t *serverTransport) sendDirect(req *http.Request) (*http.Response, error) {
	var current atomic.Pointer[exchange]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*serverConn); ok {
			current.Store(&exchange{conn: conn, first: !conn.used.Swap(true)})
		}
	}}
	resp, err := t.direct.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	x := current.Load()
	switch platform.OriginOf(req.Header, resp.Header, x.first) {
	case platform.Foreign:
		// Without a body the transport already keeps the connection for other requests, so closing the body is
		// not enough. The errors need no handling.
		_ = x.conn.Close()
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", platform.ErrForeignResponse, resp.StatusCode)
	case platform.Unnamed, platform.Own:
	}
	return resp, nil
}
