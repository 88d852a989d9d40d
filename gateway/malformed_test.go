package gateway

import (
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// invalidStatuses are status lines of no final response: their codes are invalid, or no request asked to switch protocols.
var invalidStatuses = []string{"000 None", "099 None", "+20 None", "-00 None", "600 None", "999 None", "101 Switching Protocols"}

// TestInvalidStatuses guards against a response with an invalid status that is believed, in each place that reads responses (P96).
func TestInvalidStatuses(t *testing.T) {
	for _, reader := range readers() {
		t.Run(reader.name, func(t *testing.T) {
			reader.requireAccepted(t)
			for _, status := range invalidStatuses {
				for _, response := range []string{rawResponse(t, status, "", reader.body), rawResponse(t, status, "Content-Length: 0\r\n", "")} {
					require.Error(t, reader.read(t, newGatewayWithDial(t, standin.DialResponse(response))), response)
				}
			}
		})
	}
}

// invalidFieldLines are header lines with invalid field names.
var invalidFieldLines = []string{
	"X None: 1", "X-None : 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X\tNone: 1", "X\x01None: 1", ": 1", "X\x7fNone: 1", "X(None): 1",
}

// TestInvalidFieldNames guards against a response with an invalid field name that is believed, in each place that reads
// responses (P97).
func TestInvalidFieldNames(t *testing.T) {
	for _, reader := range readers() {
		t.Run(reader.name, func(t *testing.T) {
			reader.requireAccepted(t)
			for _, line := range invalidFieldLines {
				fields := fmt.Sprintf("X-Sound: 1\r\n%s\r\nContent-Length: %d\r\n", line, len(reader.body))
				response := rawResponse(t, reader.status, fields, reader.body)
				require.Error(t, reader.read(t, newGatewayWithDial(t, standin.DialResponse(response))), "line %q", line)
			}
		})
	}
}

// TestMalformedHandshakes guards against a link to a daemon whose answer to the handshake is malformed (P96, P97).
func TestMalformedHandshakes(t *testing.T) {
	for _, tc := range []struct {
		name, status, line string
		linked             bool
	}{
		{"sound", "101 Switching Protocols", "X-Sound: 1", true},
		{"status", "000 None", "X-Sound: 1", false},
		{"field_name", "101 Switching Protocols", "X None: 1", false},
		{"blank_before_the_colon", "101 Switching Protocols", "X-None : 1", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.NoError(t, err) {
					return
				}
				defer conn.Close()
				accept := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + handshakeID))
				_, err = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: %s\r\n%s\r\n\r\n",
					tc.status, base64.StdEncoding.EncodeToString(accept[:]), tc.line)
				assert.NoError(t, err)
				_, _ = io.Copy(io.Discard, conn)
			}))
			t.Cleanup(peer.Close)
			var group task.Group
			e := &link.Exchanger[detourRequest, detourPart]{
				URL: "ws" + strings.TrimPrefix(peer.URL, "http"), Client: newController().gateway.peerClient, Counters: &link.Counters{}, Tasks: &group,
			}
			_, err := e.Begin(t.Context(), detourRequest{})
			require.Equal(t, tc.linked, err == nil, "%v", err)
			e.Close()
			require.NoError(t, group.Wait())
		})
	}
}

// handshakeID is what a server adds to the key of a WebSocket handshake (RFC 6455, section 1.3).
const handshakeID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
