package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckStream guards against a success that is no stream and passes for one (P66), and against the refusal
// of one that is.
func TestCheckStream(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, contentType, encoding string
		status                      int
		ok                          bool
	}{
		{"stream", "text/event-stream", "", http.StatusOK, true},
		{"parameter", "Text/Event-Stream; charset=utf-8", "", http.StatusOK, true},
		{"no_type", "", "", http.StatusOK, true},
		{"json", "application/json", "", http.StatusOK, false},
		{"longer_type", "text/event-stream-2", "", http.StatusOK, false},
		{"no_media_type", "\x00", "", http.StatusOK, false},
		{"encoded", "text/event-stream", "gzip", http.StatusOK, false},
		{"no_content", "text/event-stream", "", http.StatusNoContent, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			err := checkStream(tc.status, http.Header{"Content-Type": {tc.contentType}, "Content-Encoding": {tc.encoding}})
			if tc.ok {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, errNotStream)
		})
	}
}

func Example_eventScanner() {
	events := eventScanner{LastID: "7"}
	data := []byte("id: 8\ndata: to\n\nid: 9\ndata: ken\n\nHTTP/1.1 500 Internal Server Error\r\n")
	length, err := events.Scan(data)
	fmt.Printf("%q\n%v\n", data[:length], err)
	// Output:
	// "id: 8\ndata: to\n\nid: 9\ndata: ken\n\n"
	// malformed event after id "9": line "HTTP/1.1 500 Internal Server Error\r" has a carriage return
}

// TestEventScanner guards against bytes that are no events and pass for some (P66), and against the refusal of
// events that servers may send.
func TestEventScanner(t *testing.T) {
	t.Parallel()
	const first = "id: 8\ndata: x\n\n"
	for _, tc := range []struct{ name, rest, err string }{
		{"next", "id: 9\ndata: y\n\n", ""},
		{"gap_in_ids", "id: 15\ndata: y\n\n", ""},
		{"other_fields", "event: token\ndata:y\ndata: z\nretry: 100\n: comment\nid:9\n\n", ""},
		{"version", "version: 4\nid: 9\ndata: y\n\n", ""},
		{"comment_and_empty_lines_before", "\n: ping\n\nretry: 5\n\nid: 9\ndata: y\n\n", ""},
		{"text", "internal error\n", `field "internal error" is unknown`},
		{"json", "{\"error\":\n", `field "{\"error\"" is unknown`},
		{"header", "HTTP/1.1 500\n", `field "HTTP/1.1 500" is unknown`},
		{"long_line", strings.Repeat("x", 100) + "\n", `field "` + strings.Repeat("x", maxQuotedBytes) + `" is unknown`},
		{"carriage_return", "data: y\rid: 3\n", `line "data: y\rid: 3" has a carriage return`},
		{"no_id", "data: y\n\n", "event has no id"},
		{"no_data", "id: 9\n\n", `event "9" has no data`},
		{"two_ids", "id: 9\nid: 10\n", `event has the ids "9" and "10"`},
		{"id_without_number", "id: 9a\n", `id "9a" is not a decimal number`},
		{"empty_id", "id\n", `id "" is not a decimal number`},
		{"version_on_second_line", "id: 9\nversion: 4\n", `field "version" is not a number on the first line`},
		{"version_without_number", "version: x\n", `field "version" is not a number on the first line`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			events := eventScanner{VersionField: "version", LastID: "7"}
			length, err := events.Scan([]byte(first + tc.rest))
			if tc.err == "" {
				require.NoError(t, err)
				require.Equal(t, len(first+tc.rest), length)
				require.False(t, events.Partial)
				return
			}
			require.ErrorIs(t, err, errMalformedEvent)
			require.EqualError(t, err, `malformed event after id "8": `+tc.err)
			require.Equal(t, len(first), length, "the event before is passed on")
		})
	}
}

// TestPartialEvents guards against an end inside an event that passes for one between events (P46).
func TestPartialEvents(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, data string
		partial    bool
	}{
		{"nothing", "", false},
		{"comment", ": ping\n\n", false},
		{"in_a_comment", ": pi", true},
		{"in_a_line", "id: 1\ndata: x", true},
		{"before_the_empty_line", "id: 1\ndata: x\n", true},
		{"in_the_second_event", "id: 1\ndata: x\n\nid", true},
		{"after_an_event", "id: 1\ndata: x\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var events eventScanner
			_, err := events.Scan([]byte(tc.data))
			require.NoError(t, err)
			require.Equal(t, tc.partial, events.Partial)
		})
	}
}

// FuzzEventScanner checks that callers find valid events, whose ids increase, in what is passed on, and that it does
// not depend on how the bytes arrive.
func FuzzEventScanner(f *testing.F) {
	f.Add([]byte("id: 8\ndata: x\n\nid: 9\ndata: y\n\n"), 20)
	f.Add([]byte("version: 2\nid: 8\ndata: x\n\ninternal error\n\n"), 12)
	f.Add([]byte("id: 8\ndata: x\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}"), 30)
	f.Add([]byte(": ping\n\nretry: 5\n\nid: 8\nevent\ndata\n\nid: 8\ndata: y\n\n"), 9)
	f.Add([]byte("id: 8\ndata: x\rid: 1\n\n"), 7)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		whole := eventScanner{VersionField: "version", LastID: "7"}
		length, err := whole.Scan(data)
		requireEvents(t, string(data[:length]), 7)

		inParts := eventScanner{VersionField: "version", LastID: "7"}
		split = min(max(split, 0), len(data))
		first, firstErr := inParts.Scan(data[:split])
		if firstErr == nil {
			var second int
			second, firstErr = inParts.Scan(data[first:])
			first += second
		}
		require.Equal(t, length, first)
		require.Equal(t, err, firstErr)
		require.Equal(t, whole, inParts)
	})
}

// requireEvents checks that body consists of events with data and with increasing ids above last, as a caller
// reads them: a carriage return also ends a line.
func requireEvents(t *testing.T, body string, last uint64) {
	t.Helper()
	body = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(body)
	require.True(t, body == "" || strings.HasSuffix(body, "\n\n"))
	for block := range strings.SplitSeq(body, "\n\n") {
		var ids, data int
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ":")
			switch name {
			case "id":
				id, err := strconv.ParseUint(strings.TrimPrefix(value, " "), 10, 64)
				require.NoError(t, err)
				require.Greater(t, id, last)
				last = id
				ids++
			case "data":
				data++
			case "event", "version":
				require.Contains(t, block, "data", "a field of an event")
			default:
				require.Contains(t, []string{"", "retry"}, name)
			}
		}
		require.Equal(t, ids, min(data, 1), "one id for each event with data")
	}
}
