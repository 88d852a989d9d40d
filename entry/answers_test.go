package entry

import (
	"fmt"
	"io"
	"net/http"
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

// An answerReader is a place that reads answers.
type answerReader struct {
	name string
	// status and body are those of an answer that it accepts.
	status, body string
	// read sends a request and reads its answer. It returns an error if it accepts none.
	read func(*testing.T, *Daemon) error
}

// readers are the places that read answers of services, engines and the platform.
var readers = []answerReader{
	{"service", "200 OK", "part", callService},
	{"failure_of_a_service", "500 Failed", "part", callService},
	{"order", "200 OK", "{}", func(t *testing.T, d *Daemon) error {
		_, err := d.engine.Order(t.Context(), "a", fleet.Order{})
		return err
	}},
	{"report", "200 OK", "{}", func(t *testing.T, d *Daemon) error {
		_, err := d.engine.Report(t.Context(), "a")
		return err
	}},
	{"append", "200 OK", "{}", func(t *testing.T, d *Daemon) error {
		_, err := d.platform.Append(t.Context(), "s", platform.Submission{})
		return err
	}},
	{"read", "200 OK", "{}", func(t *testing.T, d *Daemon) error {
		_, err := d.platform.Read(t.Context(), "s", 0, 0)
		return err
	}},
	{"instances", "200 OK", "[]", func(t *testing.T, d *Daemon) error {
		_, err := d.platform.Instances(t.Context())
		return err
	}},
}

// requireAccepted checks that a place accepts an answer, with a length and without one.
func (r answerReader) requireAccepted(t *testing.T) {
	t.Helper()
	sound := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", r.status, len(r.body), r.body)
	require.NoError(t, r.read(t, newDaemonWithDial(t, standin.DialResponse(sound))))
	require.NoError(t, r.read(t, newDaemonWithDial(t, standin.DialResponse(r.unframed()))))
}

// unframed returns an answer with neither a length nor chunks.
func (r answerReader) unframed() string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n\r\n%s", r.status, r.body)
}
