package integrity

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed means that the bytes that followed a request are no HTTP response. Nothing is known of the request.
var ErrMalformed = errors.New("malformed response")

const (
	// minStatus is the lowest status of a final response (RFC 9110, section 15.2).
	minStatus = 200
	// maxStatus is the highest status of a response (RFC 9110, section 15).
	maxStatus = 599
)

// Check returns an error that is ErrMalformed if the head of a response to a request with the given header is none, although
// net/http accepts it: its status is no status of a final response.
func Check(request http.Header, status int) error {
	if status == http.StatusSwitchingProtocols && request.Get("Upgrade") != "" {
		return nil
	}
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	return nil
}
