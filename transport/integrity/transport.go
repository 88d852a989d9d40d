// Package integrity keeps broken responses of other programs from being taken for whole ones, where net/http accepts them.
package integrity

import (
	"net"
	"net/http"
	"sync"
)

// A Transport is an http.RoundTripper that returns whole responses only. The zero value is ready to use.
type Transport struct {
	// HTTP sends the requests. It belongs to the Transport, which wraps its dial function; nil means a new one.
	HTTP *http.Transport

	once sync.Once
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.once.Do(t.wrapDial)
	return t.HTTP.RoundTrip(req)
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
