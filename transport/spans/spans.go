// Package spans exports trace spans, one for each hop of a request, to a file of JSON lines or to an
// OTLP endpoint over HTTP.
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

// flushTimeout bounds the time to export the last spans on shutdown.
const flushTimeout = 2 * time.Second

// A Recorder exports the spans of one daemon.
type Recorder struct {
	provider *sdk.TracerProvider
	file     *os.File
}

// New returns a recorder for the given settings. Without a file or an endpoint, nothing is recorded.
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

// Close exports the remaining spans and closes the file.
func (r *Recorder) Close() {
	if r.provider != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		// The error is ignored: spans that cannot be exported within flushTimeout are lost.
		_ = r.provider.Shutdown(ctx)
	}
	if r.file != nil {
		// The error is ignored: it loses only spans, which serve for diagnosis alone.
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
