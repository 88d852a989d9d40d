package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// memberCheckInterval is the interval at which the head of a replica checks its members.
const memberCheckInterval = 100 * time.Millisecond

// EngineSettings configure a stand-in engine. WarmAfter is the number of completed
// requests that make it warm. A cold engine is slower by ColdFactor, and crashes on
// more than ColdLimit requests in flight; a prompt that contains CrashMark crashes any
// engine. After a call of Cool, the engine still reports itself as warm for WarmthLag,
// and tolerates more than ColdLimit requests for ColdGrace.
type EngineSettings struct {
	Load          time.Duration `json:"load"           yaml:"load"`
	FirstToken    time.Duration `json:"first_token"    yaml:"first_token"`
	TokenInterval time.Duration `json:"token_interval" yaml:"token_interval"`
	ColdFactor    int           `json:"cold_factor"    yaml:"cold_factor"`
	WarmAfter     int           `json:"warm_after"     yaml:"warm_after"`
	Slots         int           `json:"slots"          yaml:"slots"`
	ColdLimit     int           `json:"cold_limit"     yaml:"cold_limit"`
	CrashMark     string        `json:"crash_mark"     yaml:"crash_mark"`
	Restart       time.Duration `json:"restart"        yaml:"restart"`
	ChecksFencing bool          `json:"checks_fencing" yaml:"checks_fencing"`
	WarmthLag     time.Duration `json:"warmth_lag"     yaml:"warmth_lag"`
	ColdGrace     time.Duration `json:"cold_grace"     yaml:"cold_grace"`
}

// DefaultEngineSettings returns the settings of an engine in the demo.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Load:          500 * time.Millisecond,
		FirstToken:    30 * time.Millisecond,
		TokenInterval: 5 * time.Millisecond,
		ColdFactor:    3,
		WarmAfter:     6,
		Slots:         32,
		ColdLimit:     2,
		CrashMark:     "CRASH-THE-ENGINE",
		Restart:       2 * time.Second,
		ChecksFencing: true,
	}
}

// EngineCounts are the counters of an engine since NewEngine, across its restarts.
// Begun and Generated count admitted and completed requests, OverLimit the crashes
// over ColdLimit, and Incomplete the requests rejected because a member was missing.
// MostWhenCold is the largest number of requests in flight while cold.
type EngineCounts struct {
	Crashes      int `json:"crashes"`
	OverLimit    int `json:"over_limit"`
	Incomplete   int `json:"incomplete"`
	StaleOrders  int `json:"stale_orders"`
	MostWhenCold int `json:"most_when_cold"`
	Generated    int `json:"generated"`
	Begun        int `json:"begun"`
}

// An Engine is a stand-in for a model engine on one instance.
type Engine struct {
	Instance fleet.Instance
	Settings EngineSettings
	HTTP     *http.Client

	mu          sync.Mutex
	member      Member
	counts      EngineCounts
	down        bool
	incomplete  bool
	completed   int
	incarnation uint64
	crashed     chan struct{}
	cooledAt    time.Time
}

// NewEngine returns a freshly started engine on instance.
func NewEngine(instance fleet.Instance, settings EngineSettings) *Engine {
	e := &Engine{Instance: instance, Settings: settings, HTTP: &http.Client{Timeout: time.Second}}
	e.incarnation = uint64(time.Now().UnixNano())
	e.reset()
	return e
}

// Counts returns the counters of the engine.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.StaleOrders = e.member.Stale
	return counts
}

// Crash aborts all streams of the engine and makes it close every connection without
// a response until it restarts after Settings.Restart.
func (e *Engine) Crash() { e.CrashFor(e.Settings.Restart) }

// CrashFor is like Crash, but the engine restarts after the given time.
func (e *Engine) CrashFor(restart time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.counts.Crashes++
	e.down = true
	close(e.crashed)
	time.AfterFunc(restart, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reset()
	})
}

// Cool makes the engine cold at once.
func (e *Engine) Cool() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.member.Report.Warm, e.completed, e.cooledAt = false, 0, time.Now()
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.member.Report.Leaving = true
}

// Handler returns the HTTP interface of an engine. In addition, /standin/counts
// returns the counters and /standin/fault/{fault} injects a fault; both also work
// while the engine is down.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		rest.Reply(w, http.StatusOK, e.Counts())
	})
	mux.HandleFunc("POST /standin/fault/{fault}", e.serveFault)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() && !strings.HasPrefix(r.URL.Path, "/standin/") {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// Running returns the number of requests in flight.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.Report.Running
}

// Watch checks the members of the engine's replica until ctx ends, because a real
// engine detects the loss of a member of its group.
func (e *Engine) Watch(ctx context.Context) error {
	ticker := time.NewTicker(memberCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.checkMembers(ctx)
		}
	}
}

// admit reserves a slot for request, or returns why the request is rejected.
func (e *Engine) admit(request backend.GenerateRequest) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.member.Report
	a := r.Assignment
	switch {
	case a.Generation != request.Generation || a.Rank != 0 || a.Free():
		return "not the head of this generation"
	case a.Model != request.Model || a.Adapter != request.Adapter || a.Version != request.Version:
		return "other contents are loaded"
	case r.Phase != fleet.PhaseReady:
		return "not ready"
	case r.Leaving:
		return "leaving"
	case e.incomplete:
		e.counts.Incomplete++
		return "the replica is not complete"
	case r.Running >= r.Slots:
		return "no free slot"
	}
	r.Running++
	e.counts.Begun++
	if !r.Warm && time.Since(e.cooledAt) > e.Settings.ColdGrace {
		e.counts.MostWhenCold = max(e.counts.MostWhenCold, r.Running)
	}
	return ""
}

// generate streams the tokens of request as events. It calls release before it sends
// the last token, because the client may send its next request as soon as it has it.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, request backend.GenerateRequest, release func()) {
	e.mu.Lock()
	cold, crashed := !e.member.Report.Warm, e.crashed
	overloaded := cold && e.member.Report.Running > e.Settings.ColdLimit && time.Since(e.cooledAt) > e.Settings.ColdGrace
	if overloaded {
		e.counts.OverLimit++
	}
	e.mu.Unlock()
	if overloaded || e.Settings.CrashMark != "" && strings.Contains(request.Prompt, e.Settings.CrashMark) {
		e.Crash()
	}
	factor := 1
	if cold {
		factor = max(e.Settings.ColdFactor, 1)
	}
	if !e.pause(r.Context(), crashed, scale(e.Settings.FirstToken, factor)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := request.Start; i <= request.MaxTokens; i++ {
		token := backend.Token{Request: request.Request, Attempt: request.Attempt, Index: i, Done: i == request.MaxTokens}
		if token.Done {
			e.recordCompleted()
			release()
		} else {
			token.Text = tokenAt(request.Model, request.Adapter, request.Version, request.Prompt, i)
		}
		if e.isIncomplete() || !e.writeEvent(w, token) || !token.Done && !e.pause(r.Context(), crashed, scale(e.Settings.TokenInterval, factor)) {
			panic(http.ErrAbortHandler)
		}
	}
}

// recordCompleted counts a completed request, and makes the engine warm after
// WarmAfter of them.
func (e *Engine) recordCompleted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Generated++
	e.completed++
	if e.completed >= e.Settings.WarmAfter {
		e.member.Report.Warm = true
	}
}

// isIncomplete returns whether the replica that the engine heads lacks a member.
func (e *Engine) isIncomplete() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incomplete
}

// isDown returns whether the engine has crashed and hasn't restarted yet.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// memberMissing returns whether a member of a can't be reached or reports another
// generation.
func (e *Engine) memberMissing(ctx context.Context, a fleet.Assignment) bool {
	client := backend.Client{HTTP: e.HTTP}
	for _, address := range a.Addresses {
		if address == e.Instance.Address {
			continue
		}
		var (
			report fleet.Report
			err    error
		)
		if report, err = client.Report(ctx, address); err != nil || report.Assignment.Generation != a.Generation {
			return true
		}
	}
	return false
}

// pause waits for d. It returns false if the client disconnects or the engine crashes
// before.
func (e *Engine) pause(ctx context.Context, crashed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-crashed:
		return false
	case <-ctx.Done():
		return false
	}
}

// reset puts the engine in the state of a freshly started process, with a new
// incarnation. The caller must hold mu or be the only user of e.
func (e *Engine) reset() {
	e.incarnation++
	stale, orders := e.member.Stale, e.member.Orders
	e.member = Member{ChecksFencing: e.Settings.ChecksFencing, Stale: stale, Orders: orders}
	e.member.Report = fleet.Report{
		Instance: e.Instance.Name, Incarnation: e.incarnation, Phase: fleet.PhaseIdle,
		Slots: e.Settings.Slots, ColdLimit: e.Settings.ColdLimit,
	}
	e.down, e.incomplete, e.completed = false, false, 0
	e.crashed = make(chan struct{})
}

// serveFault handles a request that injects a fault.
func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	switch fault := r.PathValue("fault"); fault {
	case "crash":
		e.Crash()
	case "cool":
		e.Cool()
	case "leave":
		e.Leave()
	default:
		http.Error(w, "unknown fault "+fault, http.StatusNotFound)
	}
}

// serveGenerate handles a request for tokens.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request backend.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := e.admit(request); reason != "" {
		http.Error(w, reason, http.StatusConflict)
		return
	}
	release := sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.member.Report.Running = max(e.member.Report.Running-1, 0)
	})
	defer release()
	e.generate(w, r, request, release)
}

// serveOrder handles an order. Until the first check of the members, the head of a
// replica of several members counts as incomplete.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order fleet.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result, ready := e.member.Obey(time.Now(), order, e.Settings.Load)
	if !ready.IsZero() {
		e.completed = 0
		generation, incarnation := order.Assignment.Generation, e.incarnation
		time.AfterFunc(time.Until(ready), func() { e.finishLoading(generation, incarnation) })
	}
	if result.Accepted && order.Action == fleet.ActionJoin {
		e.incomplete = order.Assignment.Rank == 0 && len(order.Assignment.Members) > 1
	}
	rest.Reply(w, http.StatusOK, result)
}

// finishLoading makes the engine ready, unless it has restarted or received another
// assignment since loading began.
func (e *Engine) finishLoading(generation fleet.Generation, incarnation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.member.Report
	if e.incarnation == incarnation && r.Assignment.Generation == generation && r.Phase == fleet.PhaseLoading {
		r.Phase = fleet.PhaseReady
	}
}

// serveReport handles a request for the engine's report.
func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.member.Report
	report.Warm = report.Warm || time.Since(e.cooledAt) < e.Settings.WarmthLag
	e.mu.Unlock()
	rest.Reply(w, http.StatusOK, report)
}

// checkMembers updates whether the replica that the engine heads is incomplete.
func (e *Engine) checkMembers(ctx context.Context) {
	e.mu.Lock()
	a, down := e.member.Report.Assignment, e.down
	e.mu.Unlock()
	if down || a.Free() || a.Rank != 0 {
		return
	}
	missing := e.memberMissing(ctx, a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member.Report.Assignment.Generation == a.Generation {
		e.incomplete = missing
	}
}

// writeEvent writes and flushes one event, and returns whether that succeeded.
func (e *Engine) writeEvent(w http.ResponseWriter, token backend.Token) bool {
	var (
		data []byte
		err  error
	)
	if data, err = json.Marshal(token); err != nil {
		return false
	}
	if _, err = fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// scale returns d multiplied by factor.
func scale(d time.Duration, factor int) time.Duration { return d * time.Duration(factor) }
