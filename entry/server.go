package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/transport/serve"
)

const (
	// dialTimeout bounds the wait for a connection to a backend server.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to a backend server is kept.
	idleTimeout = 30 * time.Second
	// maxAnswerHeaderBytes bounds the response header of a backend server.
	maxAnswerHeaderBytes = 64 << 10
	// maxIdleConnections bounds the idle connections to one backend server.
	maxIdleConnections = 64
	// platformTimeout bounds one call of the platform.
	platformTimeout = 3 * time.Second
	// closeTimeout bounds the wait for open connections when a listener is shut down.
	closeTimeout = time.Second
)

// An httpServer is one listener with its handler.
type httpServer struct {
	serve.Server
	cancel context.CancelFunc
}

// newHTTPServer opens a listener at address, with TLS if the settings name a certificate.
func newHTTPServer(s settings.Settings, name, address string, handler http.Handler) (*httpServer, error) {
	var (
		listener net.Listener
		err      error
	)
	if listener, err = net.Listen("tcp", address); err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	listener = newBoundedListener(listener, s.Limits.Connections)
	if s.TLS.CertificateFile != "" {
		var certificate tls.Certificate
		if certificate, err = tls.LoadX509KeyPair(s.TLS.CertificateFile, s.TLS.KeyFile); err != nil {
			return nil, errors.Join(fmt.Errorf("read certificate: %w", err), listener.Close())
		}
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12})
	}
	// Shutdown does not close hijacked connections, such as those of peers; they end with this
	// context.
	base, cancel := context.WithCancel(context.Background())
	srv := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return base },
		Handler:           limitConnectionAge(handler, s.Limits.ConnectionAge),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptTimeKey{}, time.Now())
		},
	}
	return &httpServer{Server: serve.Server{Name: name, Listener: listener, HTTP: srv}, cancel: cancel}, nil
}

// close shuts the server down, then ends the connections that a shutdown does not close.
func (s *httpServer) close() {
	s.Close(closeTimeout)
	s.cancel()
}

// acceptTimeKey is the context key of the time at which a connection was accepted.
type acceptTimeKey struct{}

// limitConnectionAge asks callers to close connections older than age, so that they reconnect and
// spread over all entry instances again after one has returned.
func limitConnectionAge(next http.Handler, age time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accepted, ok := r.Context().Value(acceptTimeKey{}).(time.Time)
		if ok && age > 0 && time.Since(accepted) > age {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// A boundedListener accepts at most a fixed number of connections at once.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

// newBoundedListener returns listener with at most limit open connections.
func newBoundedListener(listener net.Listener, limit int) net.Listener {
	return &boundedListener{Listener: listener, slots: make(chan struct{}, max(limit, 1))}
}

// Accept implements net.Listener. It closes a connection beyond the limit at once, so that the
// caller can try another address.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		var (
			conn net.Conn
			err  error
		)
		if conn, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundedConn{Conn: conn, slots: l.slots}, nil
		default:
			if err = conn.Close(); err != nil {
				continue
			}
		}
	}
}

// A boundedConn frees its slot when it is closed.
type boundedConn struct {
	net.Conn
	slots chan struct{}
	freed atomic.Bool
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	if c.freed.CompareAndSwap(false, true) {
		<-c.slots
	}
	return c.Conn.Close()
}
