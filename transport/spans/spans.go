// Package spans records traces, a span for each hop, to a file of JSON lines or
// to an OTLP endpoint over HTTP.
package spans

import (
	"context"
	"fmt"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/state/settings"
)

// flushTimeout bounds the wait for the last spans to go out.
const flushTimeout = 2 * time.Second

// A Recorder owns the tracer of one daemon.
type Recorder struct {
	provider *sdk.TracerProvider
	file     *os.File
}

// New returns a recorder as s says. Without file and endpoint nothing is
// recorded.
func New(ctx context.Context, s settings.Trace, daemon string) (*Recorder, error) {
	r := &Recorder{}
	var (
		exporter sdk.SpanExporter
		err      error
	)
	switch {
	case s.File != "":
		if r.file, err = os.OpenFile(s.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(r.file))
	case s.Endpoint != "":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
	default:
		return r, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open trace exporter: %w", err)
	}
	r.provider = sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.Ratio))),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "hawthornrock"), attribute.String("service.instance.id", daemon))))
	return r, nil
}

// Close sends the last spans and closes the file.
func (r *Recorder) Close() {
	if r.provider != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		// Spans that cannot be sent by then are lost.
		_ = r.provider.Shutdown(ctx)
	}
	if r.file != nil {
		// Spans are for reading by people; a failed close loses nothing else.
		_ = r.file.Close()
	}
}

// Tracer returns the tracer of the daemon.
func (r *Recorder) Tracer() trace.Tracer {
	if r.provider == nil {
		return noop.NewTracerProvider().Tracer("hawthornrock")
	}
	return r.provider.Tracer("hawthornrock")
}
