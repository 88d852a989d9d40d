// Package integrity rejects broken HTTP responses that net/http accepts: those cut off by a reset, and malformed ones.
package integrity

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// A Transport is an http.RoundTripper that rejects broken responses. The zero value is ready to use.
type Transport struct {
	// HTTP sends the requests. It belongs to the Transport, which wraps its dial function; nil means a new one.
	HTTP *http.Transport

	once sync.Once
}

// RoundTrip implements http.RoundTripper. It closes the connection of a malformed response.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.once.Do(t.wrapDial)
	var current atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { current.Store(&info.Conn) }}
	resp, err := t.HTTP.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err = Check(req.Header, resp.StatusCode, resp.Header); err != nil {
		// Without a body the connection is already kept for other requests, so closing the body is not enough.
		if conn := current.Load(); conn != nil {
			_ = (*conn).Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// wrapDial makes the connections of t report resets.
func (t *Transport) wrapDial() {
	if t.HTTP == nil {
		t.HTTP = &http.Transport{}
	}
	if t.HTTP.DialContext == nil {
		t.HTTP.DialContext = (&net.Dialer{}).DialContext
	}
	t.HTTP.DialContext = WrapDial(t.HTTP.DialContext)
}
