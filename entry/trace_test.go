package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hawthornrock/hawthornrock/demo"
)

// TestEachHopHasItsSpan guards against spans that do not join the trace of the caller's request.
func TestEachHopHasItsSpan(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric = failureDomains[:1], 1, 2
	plan.Tracer = sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder)).Tracer("test")
	sheet := demo.Sheet(plan.FailureDomains)[:1]
	sheet[0].Replicas = 1
	s := startPlan(t, plan, sheet, 1)
	body := `{"model":"decoration","messages":[{"role":"user","content":"a prompt that no log may hold"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Daemons[0].Settings.Listen.Callers+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+demo.Key("bakery"))
	req.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	names := make(map[string]string)
	require.Eventually(t, func() bool {
		for _, span := range recorder.Ended() {
			names[span.Name()] = span.SpanContext().TraceID().String()
		}
		return len(names) == 2
	}, time.Second, 10*time.Millisecond)
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", names["backend generate"])
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", names["entry POST /v1/chat/completions"])
}
