package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

// TestPausedCall checks that a daemon that was paused does not send a call after the call's sendBy
// time. By then its claim may have expired, and another daemon may have run the call.
func TestPausedCall(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	defer server.Close()
	d, err := New(settings.Default(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, noop.NewTracerProvider().Tracer("test"))
	require.NoError(t, err)
	instance := fleet.Instance{Name: "app", Address: strings.TrimPrefix(server.URL, "http://")}
	call := &serviceCall{method: http.MethodPost, path: "/orders", header: http.Header{}, sendBy: time.Now().Add(-time.Millisecond)}
	_, evidence, err := d.sendService(context.Background(), call, instance)
	require.ErrorContains(t, err, "paused")
	require.Equal(t, outcome.Unsent, evidence)
	require.Zero(t, arrived)
	call.sendBy = time.Now().Add(time.Minute)
	_, evidence, err = d.sendService(context.Background(), call, instance)
	require.NoError(t, err)
	require.Equal(t, outcome.Answered, evidence)
	require.Equal(t, 1, arrived)
}
