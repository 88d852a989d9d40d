package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornrock/hawthornrock/coordination/level"
)

// metrics holds the counters and histograms of one daemon.
type metrics struct {
	outcomes expvar.Map
	// ends counts outcomes by who ended the call, endsBesideChange those of them beside a change of the
	// configuration.
	ends             expvar.Map
	endsBesideChange expvar.Map
	refusals         expvar.Map
	events           expvar.Map
	orders           expvar.Map
	storeCalls       expvar.Map
	storeFailures    expvar.Map
	// extraAttempts counts the extra attempts that were started, those that won, and by reason those refused.
	extraAttempts expvar.Map

	firstEvent histogram
	pause      histogram
	plain      histogram
	repair     histogram
}

// newMetrics returns metrics with all counters at zero.
func newMetrics() *metrics {
	m := &metrics{}
	for _, v := range []*expvar.Map{&m.outcomes, &m.ends, &m.endsBesideChange, &m.refusals, &m.events, &m.orders, &m.storeCalls, &m.storeFailures, &m.extraAttempts} {
		v.Init()
	}
	return m
}

const (
	// maxRecordedMillis is the longest time that a histogram distinguishes, in milliseconds.
	maxRecordedMillis = 60_000
	// significantFigures is the precision of a histogram in decimal digits.
	significantFigures = 2
)

// A histogram counts durations in milliseconds. The zero histogram is ready to use.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// observe records d.
func (h *histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		h.h = hdrhistogram.New(1, maxRecordedMillis, significantFigures)
	}
	// Longer durations are recorded as maxRecordedMillis.
	_ = h.h.RecordValue(min(d.Milliseconds(), maxRecordedMillis))
}

// summary returns the count, the usual quantiles and the maximum.
func (h *histogram) summary() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		return nil
	}
	return map[string]int64{
		"count": h.h.TotalCount(), "p50_ms": h.h.ValueAtQuantile(50), "p95_ms": h.h.ValueAtQuantile(95),
		"p99_ms": h.h.ValueAtQuantile(99), "max_ms": h.h.Max(),
	}
}

// vars returns all metrics of g for publication.
func (g *Gateway) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	m := g.metrics
	vars.Set("invariants", g.monitor.Vars())
	vars.Set("outcomes", &m.outcomes)
	vars.Set("ends", &m.ends)
	vars.Set("ends_beside_change", &m.endsBesideChange)
	vars.Set("refusals", &m.refusals)
	vars.Set("events", &m.events)
	vars.Set("orders", &m.orders)
	vars.Set("store_calls", &m.storeCalls)
	vars.Set("store_failures", &m.storeFailures)
	vars.Set("extra_attempts", &m.extraAttempts)
	for name, h := range map[string]*histogram{"first_event": &m.firstEvent, "pause": &m.pause, "plain": &m.plain, "repair": &m.repair} {
		vars.Set(name, expvar.Func(func() any { return h.summary() }))
	}
	if g.DroppedLines != nil {
		vars.Set("dropped_lines", expvar.Func(func() any { return g.DroppedLines() }))
	}
	vars.Set("level", expvar.Func(func() any { return level.Own }))
	vars.Set("fleet_level", expvar.Func(func() any { return g.view.Load().FleetLevel }))
	vars.Set("held_bytes", expvar.Func(func() any { return g.memory.held() }))
	vars.Set("in_flight", expvar.Func(func() any { return g.tracker.requestsInFlight() }))
	return vars
}

// metricsHandler serves the metrics as JSON.
func (g *Gateway) metricsHandler() http.Handler {
	vars := g.vars()
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write([]byte(vars.String())); err != nil {
			g.logger.Warn().Str("event", "metrics_failed").Err(err).Msg("write metrics response")
		}
	})
}
