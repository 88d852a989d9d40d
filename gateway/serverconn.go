package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

// errNotWritten means that no byte of a request was written: its connection was closed, or had received bytes
// beyond the response before.
var errNotWritten = errors.New("request was not written")

// A serverConn is a connection to a backend server. It carries a further request only if it has received nothing
// since the last response, and that response belonged to its request.
type serverConn struct {
	net.Conn
	mu sync.Mutex
	// changed is signalled when a field changes that an exchange waits for.
	changed *sync.Cond
	// current is the latest exchange.
	current *exchange
	// reading means that the transport waits for bytes, so that it holds none that it has not used.
	reading bool
	// spent means that the connection must carry no further request.
	spent bool
}

// An exchange is a request on a connection to a server, with its response. The connection's lock guards it.
type exchange struct {
	conn *serverConn
	// first means that the connection carried nothing before.
	first bool
	// written means that part of the request may have been written, accepted that the response belongs to it.
	written, accepted bool
}

// wrapServerConns returns dial with its connections as serverConns.
func wrapServerConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &serverConn{Conn: conn}
		c.changed = sync.NewCond(&c.mu)
		return c, nil
	}
}

// begin begins an exchange. It waits until the response before is accepted and the transport has used up what it
// has received, which takes no time on a sound connection; from then on, bytes before the request belong to none.
func (c *serverConn) begin() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.spent && (!c.reading || c.current != nil && !c.current.accepted) {
		c.changed.Wait()
	}
	c.current = &exchange{conn: c, first: c.current == nil}
	return c.current
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if err != nil || c.current == nil || !c.current.written {
		c.spend()
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	if !c.mayWrite() {
		return 0, errNotWritten
	}
	return c.Conn.Write(p)
}

// mayWrite returns whether the current request may be written.
func (c *serverConn) mayWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && !c.spent {
		c.current.written = true
	}
	return c.current != nil && c.current.written
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.mu.Lock()
	c.spend()
	c.mu.Unlock()
	return c.Conn.Close()
}

// spend rules out further requests. The caller holds the lock.
func (c *serverConn) spend() {
	c.spent = true
	c.changed.Broadcast()
}

// accept records that the response of x belongs to its request.
func (x *exchange) accept() {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.accepted = true
	x.conn.changed.Broadcast()
}

// retire makes x the last exchange of its connection.
func (x *exchange) retire() {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.conn.spend()
}

// abort closes the connection of x, and returns whether part of the request may have been written.
func (x *exchange) abort() bool {
	// The connection is of no further use, so an error does not matter.
	_ = x.conn.Close()
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	return x.written
}

// wasWritten returns whether part of the request may have been written.
func (x *exchange) wasWritten() bool {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	return x.written
}

// firstTransport returns the transport for the first try to send req.
func (t *serverTransport) firstTransport(req *http.Request) *http.Transport {
	if t.direct.DisableKeepAlives || platform.NeedsOwnConnection(req.Method, req.Header) {
		return t.fresh
	}
	return t.direct
}

// sendDirect sends req on this daemon's own path, and returns a response only if it belongs to req. What a used
// connection turns out to be of no use for is sent on a new one: requests that were not written, and requests for
// reports. Orders are sent on new connections at once.
func (t *serverTransport) sendDirect(req *http.Request) (*http.Response, error) {
	events := &t.gateway.metrics.events
	if attemptOf(req.Context()) == nil {
		t.gateway.chargeOther(req.URL.Host)
	}
	sentAt := clock.Boot()
	resp, err := exchangeOn(t.firstTransport(req), req)
	switch {
	case errors.Is(err, errNotWritten):
		events.Add("requests_not_written", 1)
	case errors.Is(err, platform.ErrForeignResponse):
		events.Add("responses_foreign", 1)
		if platform.AttemptID(req.Header) != "" {
			return nil, err
		}
	case errors.Is(err, integrity.ErrMalformed):
		t.gateway.recordMalformed(req, err)
		return nil, err
	default:
		t.recordLimit(req, resp, sentAt)
		return resp, err
	}
	if req.Context().Err() != nil {
		return nil, err
	}
	again := req.WithContext(req.Context())
	var bodyErr error
	if again.Body, bodyErr = newBody(req); bodyErr != nil {
		return nil, fmt.Errorf("%w: %w", err, bodyErr)
	}
	sentAt = clock.Boot()
	resp, err = exchangeOn(t.fresh, again)
	t.recordLimit(req, resp, sentAt)
	return resp, err
}

// recordMalformed counts and logs a malformed response to req.
func (g *Gateway) recordMalformed(req *http.Request, err error) {
	g.metrics.events.Add("responses_malformed", 1)
	g.logger.Warn().Str("event", "response_malformed").Str("request", platform.AttemptID(req.Header)).Str("server", platform.ServerID(req.Header)).
		Str("address", req.URL.Host).Err(err).Msg("server sent a malformed response; closed its connection, and the request may have run")
}

// recordLimit records what resp, the answer to req, says of the requests that its server takes.
func (t *serverTransport) recordLimit(req *http.Request, resp *http.Response, sentAt time.Duration) {
	// A misdirected request was answered by another server.
	if resp != nil && resp.StatusCode != http.StatusMisdirectedRequest {
		t.gateway.recordLimit(req.URL.Host, platform.ServerID(req.Header), decodeLimit(sentAt, resp.Header, platform.AttemptID(req.Header) != ""))
	}
}

// exchangeOn sends req with transport. A connection whose responses can't be told apart is closed.
func exchangeOn(transport *http.Transport, req *http.Request) (*http.Response, error) {
	var current atomic.Pointer[exchange]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*serverConn); ok {
			current.Store(conn.begin())
		}
	}}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	x := current.Load()
	switch {
	case err != nil && x != nil && !x.abort():
		return nil, fmt.Errorf("%w: %w", errNotWritten, err)
	case err != nil:
		return nil, err
	case !x.wasWritten() && !x.abort():
		_ = resp.Body.Close()
		return nil, errNotWritten
	}
	if err = integrity.Check(req.Header, resp.StatusCode, resp.Header); err != nil {
		x.abort()
		_ = resp.Body.Close()
		return nil, err
	}
	switch platform.OriginOf(req.Method, req.Header, resp.Header, resp.StatusCode, x.first) {
	case platform.Foreign:
		// Without a body the transport already keeps the connection for other requests, so closing the body is
		// not enough.
		x.abort()
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", platform.ErrForeignResponse, resp.StatusCode)
	case platform.Unnamed:
		x.retire()
	case platform.Own:
	}
	x.accept()
	return resp, nil
}
