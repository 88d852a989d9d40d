package gateway

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
)

// eventStreamType is the media type of a stream.
const eventStreamType = "text/event-stream"

// errNotStream means that a success response is no stream.
var errNotStream = errors.New("response is no event stream")

// checkStream returns an error if a success response with the given status and header is no stream. A
// header without a media type does not tell: the events do.
func checkStream(status int, h http.Header) error {
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNotStream, status)
	}
	if encoding := h.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%w: content encoding %q", errNotStream, encoding)
	}
	text := h.Get("Content-Type")
	if text == "" || text == eventStreamType {
		return nil
	}
	if mediaType, _, err := mime.ParseMediaType(text); err != nil || mediaType != eventStreamType {
		return fmt.Errorf("%w: content type %q", errNotStream, text)
	}
	return nil
}
