package integrity

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a response violates HTTP. Nothing that it says is known of its request.
var ErrMalformed = errors.New("malformed response")

const (
	// minStatus is the lowest status of a final response (RFC 9110, section 15.2).
	minStatus = 200
	// maxStatus is the highest status of a response (RFC 9110, section 15).
	maxStatus = 599
	// maxQuotedBytes bounds the part of a field name that an error quotes.
	maxQuotedBytes = 64
)

// Check returns ErrMalformed if the head of a response to a request with the given header violates HTTP, although net/http
// accepts it: the status is not that of a final response, or a field name holds a blank, possibly before the colon. Programs
// disagree on the name of such a field, and with it on the length of the body and the request that the response belongs to.
func Check(request http.Header, status int, response http.Header) error {
	upgraded := status == http.StatusSwitchingProtocols && request.Get("Upgrade") != ""
	if !upgraded && (status < minStatus || status > maxStatus) {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	for name := range response {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.*q", ErrMalformed, maxQuotedBytes, name)
		}
	}
	return nil
}
