package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/standin"
)

// TestResetsWhileWriting guards against answers of services, engines and the platform that were reset and look complete,
// since a write was told of the reset (P95).
func TestResetsWhileWriting(t *testing.T) {
	for _, reader := range readers {
		t.Run(reader.name, func(t *testing.T) {
			reader.requireAccepted(t)
			require.Error(t, reader.read(t, newDaemonWithDial(t, standin.DialReset(reader.unframed()))))
		})
	}
}

// TestStreamThatIsReset guards against the stream of an engine that was reset after an event and looks complete (P95): only
// its last event ends it.
func TestStreamThatIsReset(t *testing.T) {
	d := newDaemonWithDial(t, standin.DialReset("HTTP/1.1 200 OK\r\n\r\ndata: {\"request\":\"r\",\"text\":\"t\"}\n\n"))
	stream, err := d.engine.Generate(t.Context(), "a", backend.GenerateRequest{Request: "r"})
	require.NoError(t, err)
	defer stream.Close()
	_, err = stream.Next()
	require.NoError(t, err)
	_, err = stream.Next()
	require.ErrorIs(t, err, backend.ErrTruncated)
}
