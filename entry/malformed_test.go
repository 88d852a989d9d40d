package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/standin"
)

// withStreams returns readers and the place that reads streams.
func withStreams() []answerReader {
	return append(readers[:len(readers):len(readers)], answerReader{"stream", "200 OK", "data: {\"request\":\"r\",\"done\":true}\n\n", func(t *testing.T, d *Daemon) error {
		stream, err := d.engine.Generate(t.Context(), "a", backend.GenerateRequest{Request: "r"})
		if err != nil {
			return err
		}
		defer stream.Close()
		_, err = stream.Next()
		return err
	}})
}

// TestInvalidStatuses guards against an answer with an invalid status that is passed on or believed, in each place that reads
// answers (P96).
func TestInvalidStatuses(t *testing.T) {
	for _, reader := range withStreams() {
		t.Run(reader.name, func(t *testing.T) {
			reader.requireAccepted(t)
			for _, status := range []string{"000 None", "099 None", "+20 None", "600 None", "999 None", "101 Switching Protocols"} {
				answer := "HTTP/1.1 " + status + "\r\n\r\n" + reader.body
				require.Error(t, reader.read(t, newDaemonWithDial(t, standin.DialResponse(answer))), "status %s", status)
			}
		})
	}
}

// TestInvalidFieldNames guards against an answer with an invalid field name that is passed on or believed, in each place that
// reads answers (P97).
func TestInvalidFieldNames(t *testing.T) {
	for _, reader := range withStreams() {
		t.Run(reader.name, func(t *testing.T) {
			for _, line := range []string{"X None: 1", "X-None : 1", "Content-Length : 2", "X\x01None: 1", ": 1"} {
				answer := fmt.Sprintf("HTTP/1.1 %s\r\nX-Sound: 1\r\n%s\r\nContent-Length: %d\r\n\r\n%s", reader.status, line, len(reader.body), reader.body)
				require.Error(t, reader.read(t, newDaemonWithDial(t, standin.DialResponse(answer))), "line %q", line)
			}
		})
	}
}
