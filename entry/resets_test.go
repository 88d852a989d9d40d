package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

// newDaemonWithDial returns a daemon whose connections to services, engines and the platform dial opens.
func newDaemonWithDial(t *testing.T, dial integrity.DialFunc) *Daemon {
	t.Helper()
	d, err := New(settings.Default(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, noop.NewTracerProvider().Tracer("test"))
	require.NoError(t, err)
	engine, ok := d.engine.(*backend.Client)
	require.True(t, ok)
	for _, client := range []*http.Client{d.singleUse, d.platform.HTTP, engine.HTTP} {
		transport, ok := client.Transport.(*integrity.Transport)
		require.True(t, ok)
		transport.HTTP.DialContext = dial
	}
	d.platform.Address = "a"
	return d
}

// callService sends a call to a service.
func callService(t *testing.T, d *Daemon) error {
	t.Helper()
	call := &serviceCall{method: http.MethodPost, path: "/orders", header: http.Header{}, body: []byte("b")}
	_, evidence, err := d.sendService(t.Context(), call, fleet.Instance{Name: "app", Address: "a"})
	require.Equal(t, err == nil, evidence == outcome.Answered)
	return err
}

// TestResetsWhileWriting guards against answers of services, engines and the platform that were reset and look complete,
// since a write was told of the reset (P95).
func TestResetsWhileWriting(t *testing.T) {
	for _, tc := range []struct {
		// response is the status and the body, separated by a bar.
		name, response string
		do             func(*testing.T, *Daemon) error
	}{
		{"service", "200 OK|part", callService},
		{"failure_of_a_service", "500 Failed|part", callService},
		{"order", "200 OK|{}", func(t *testing.T, d *Daemon) error {
			_, err := d.engine.Order(t.Context(), "a", fleet.Order{})
			return err
		}},
		{"report", "200 OK|{}", func(t *testing.T, d *Daemon) error {
			_, err := d.engine.Report(t.Context(), "a")
			return err
		}},
		{"append", "200 OK|{}", func(t *testing.T, d *Daemon) error {
			_, err := d.platform.Append(t.Context(), "s", platform.Submission{})
			return err
		}},
		{"read", "200 OK|{}", func(t *testing.T, d *Daemon) error {
			_, err := d.platform.Read(t.Context(), "s", 0, 0)
			return err
		}},
		{"instances", "200 OK|[]", func(t *testing.T, d *Daemon) error {
			_, err := d.platform.Instances(t.Context())
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, body, _ := strings.Cut(tc.response, "|")
			sound := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			require.NoError(t, tc.do(t, newDaemonWithDial(t, standin.DialResponse(sound))))
			unframed := fmt.Sprintf("HTTP/1.1 %s\r\n\r\n%s", status, body)
			require.NoError(t, tc.do(t, newDaemonWithDial(t, standin.DialResponse(unframed))))
			require.Error(t, tc.do(t, newDaemonWithDial(t, standin.DialReset(unframed))))
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
