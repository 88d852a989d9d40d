package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"
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

// errMalformedEvent means that a stream has bytes that are not its next event.
var errMalformedEvent = errors.New("malformed event")

// An eventScanner finds the events in the bytes of a stream. Lines end with a line feed. A carriage return,
// which callers would take for the end of a line, is malformed. An event has data and one id, a decimal number
// above that of the event before. Ids may leave gaps, as nothing promises that they are consecutive.
type eventScanner struct {
	// VersionField is the name of a field with a number, which may be on the first line of an event.
	VersionField string
	// LastID is the id of the last event, empty before the first one.
	LastID string
	// Partial means that the bytes scanned last end inside an event.
	Partial bool
}

// Scan returns the length of the valid events at the beginning of data, with the comments, reconnection
// times and empty lines before each, and an error if what follows them is malformed.
func (s *eventScanner) Scan(data []byte) (int, error) {
	length, id, err := s.scan(data)
	if length > 0 {
		s.LastID = string(id)
	}
	if err != nil {
		return length, fmt.Errorf("%w after id %q: %w", errMalformedEvent, s.LastID, err)
	}
	return length, nil
}

// scan is Scan that returns the id of the last valid event.
func (s *eventScanner) scan(data []byte) (length int, lastID []byte, err error) {
	var (
		next int
		e    event
	)
	s.Partial = len(data) > 0
	// A caller may have sent any id: without a number it bounds nothing.
	last, notAfter := strconv.ParseUint(s.LastID, 10, 64)
	for {
		end := bytes.IndexByte(data[next:], '\n')
		if end < 0 {
			return length, lastID, nil
		}
		line := data[next : next+end]
		next += end + 1
		if len(line) > 0 {
			if err = e.add(line, s.VersionField); err != nil {
				return length, lastID, err
			}
			continue
		}
		s.Partial = next < len(data)
		if e.fields > 0 {
			if err = e.check(); err == nil && notAfter == nil && e.number <= last {
				err = fmt.Errorf("event %q does not follow", e.id)
			}
			if err != nil {
				return length, lastID, err
			}
			length, lastID, last, notAfter = next, e.id, e.number, nil
		}
		e = event{}
	}
}

// An event is what the lines of an event tell.
type event struct {
	// lines counts all lines, fields those that make an event: not comments and reconnection times.
	lines, fields int
	id            []byte
	// number is that of the id.
	number  uint64
	hasData bool
}

// maxQuotedBytes bounds how much of a malformed line is quoted in an error.
const maxQuotedBytes = 40

// add adds a line, which is not empty, to e.
func (e *event) add(line []byte, versionField string) error {
	e.lines++
	if bytes.IndexByte(line, '\r') >= 0 {
		return fmt.Errorf("line %q has a carriage return", line[:min(len(line), maxQuotedBytes)])
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "", "retry":
		return nil
	case "event":
	case "data":
		e.hasData = true
	case "id":
		if e.id != nil {
			return fmt.Errorf("event has the ids %q and %q", e.id, value[:min(len(value), maxQuotedBytes)])
		}
		var err error
		if e.number, err = strconv.ParseUint(string(value), 10, 64); err != nil {
			return fmt.Errorf("id %q is not a decimal number", value[:min(len(value), maxQuotedBytes)])
		}
		e.id = value
	case versionField:
		if _, err := strconv.ParseInt(string(value), 10, 64); err != nil || e.lines > 1 {
			return fmt.Errorf("field %q is not a number on the first line", versionField)
		}
	default:
		return fmt.Errorf("field %q is unknown", name[:min(len(name), maxQuotedBytes)])
	}
	e.fields++
	return nil
}

// check returns an error if the lines of e are not an event.
func (e *event) check() error {
	switch {
	case e.id == nil:
		return errors.New("event has no id")
	case !e.hasData:
		return fmt.Errorf("event %q has no data", e.id)
	}
	return nil
}
