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

// watchInterval is how often the head of a replica looks at its members.
const watchInterval = 100 * time.Millisecond

// EngineSettings are the traits of a stand-in engine. WarmthLag is how long it
// still reports itself as warm after it turned cold; ColdGrace is how long after
// that it bears more than its cold limit.
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

// DefaultEngineSettings returns the traits of an engine in a demo.
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

// EngineCounts are what an engine counted of itself since it was made.
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

	mu      sync.Mutex
	member  Member
	counts  EngineCounts
	down    bool
	broken  bool
	served  int
	boot    uint64
	crashed chan struct{}
	cooled  time.Time
}

// NewEngine returns an engine that has just started on instance.
func NewEngine(instance fleet.Instance, settings EngineSettings) *Engine {
	e := &Engine{Instance: instance, Settings: settings, HTTP: &http.Client{Timeout: time.Second}}
	e.boot = uint64(time.Now().UnixNano())
	e.reset()
	return e
}

// Counts returns what the engine counted.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.StaleOrders = e.member.Stale
	return counts
}

// Crash ends all streams and the connections of the engine, which answers
// nobody until Restart has passed.
func (e *Engine) Crash() { e.CrashFor(e.Settings.Restart) }

// CrashFor is Crash with a time of its own until the restart.
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

// Cool makes the engine cold without warning.
func (e *Engine) Cool() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.member.Report.Warm, e.served, e.cooled = false, 0, time.Now()
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.member.Report.Leaving = true
}

// Handler returns the HTTP interface of an engine, with /standin/counts and
// /standin/fault/{fault} beside it.
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

// Running returns how many requests the engine is running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.Report.Running
}

// Watch looks at the members of the engine's replica until ctx ends, as a real
// engine notices that a member of its group is gone.
func (e *Engine) Watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.watchMembers(ctx)
		}
	}
}

// admit takes a slot for request, or returns why not.
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
	case e.broken:
		e.counts.Incomplete++
		return "the replica is not complete"
	case r.Running >= r.Slots:
		return "no free slot"
	}
	r.Running++
	e.counts.Begun++
	if !r.Warm && time.Since(e.cooled) > e.Settings.ColdGrace {
		e.counts.MostWhenCold = max(e.counts.MostWhenCold, r.Running)
	}
	return ""
}

// generate writes the tokens of request as events. It calls free when the last
// token is made, before it says so: the caller may send its next request at once.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, request backend.GenerateRequest, free func()) {
	e.mu.Lock()
	cold, crashed := !e.member.Report.Warm, e.crashed
	overloaded := cold && e.member.Report.Running > e.Settings.ColdLimit && time.Since(e.cooled) > e.Settings.ColdGrace
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
	if !e.pause(r.Context(), crashed, slower(e.Settings.FirstToken, factor)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := request.Start; i <= request.MaxTokens; i++ {
		token := backend.Token{Request: request.Request, Attempt: request.Attempt, Index: i, Done: i == request.MaxTokens}
		if token.Done {
			e.finish()
			free()
		} else {
			token.Text = tokenAt(request.Model, request.Adapter, request.Version, request.Prompt, i)
		}
		if e.isBroken() || !e.write(w, token) || !token.Done && !e.pause(r.Context(), crashed, slower(e.Settings.TokenInterval, factor)) {
			panic(http.ErrAbortHandler)
		}
	}
}

// finish counts a whole answer, which warms the engine.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Generated++
	e.served++
	if e.served >= e.Settings.WarmAfter {
		e.member.Report.Warm = true
	}
}

// isBroken returns whether a member of the replica is missing.
func (e *Engine) isBroken() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}

// isDown returns whether the engine has crashed and not yet restarted.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// missing returns whether a member of a does not answer with its generation.
func (e *Engine) missing(ctx context.Context, a fleet.Assignment) bool {
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

// pause waits, and returns false if the caller left or the engine crashed.
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

// reset puts the engine in the state of a process that has just started. The
// caller holds the lock, or is the only user.
func (e *Engine) reset() {
	e.boot++
	stale, orders := e.member.Stale, e.member.Orders
	e.member = Member{ChecksFencing: e.Settings.ChecksFencing, Stale: stale, Orders: orders}
	e.member.Report = fleet.Report{
		Instance: e.Instance.Name, Incarnation: e.boot, Phase: fleet.PhaseIdle,
		Slots: e.Settings.Slots, ColdLimit: e.Settings.ColdLimit,
	}
	e.down, e.broken, e.served = false, false, 0
	e.crashed = make(chan struct{})
}

// serveFault causes a fault.
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

// serveGenerate answers a request for tokens.
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
	free := sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.member.Report.Running = max(e.member.Report.Running-1, 0)
	})
	defer free()
	e.generate(w, r, request, free)
}

// serveOrder answers an order.
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
		e.served = 0
		generation, boot := order.Assignment.Generation, e.boot
		time.AfterFunc(time.Until(ready), func() { e.loaded(generation, boot) })
	}
	if result.Accepted && order.Action == fleet.ActionJoin {
		e.broken = order.Assignment.Rank == 0 && len(order.Assignment.Members) > 1
	}
	rest.Reply(w, http.StatusOK, result)
}

// loaded makes the engine ready, unless it was ordered elsewhere or restarted.
func (e *Engine) loaded(generation fleet.Generation, boot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.member.Report
	if e.boot == boot && r.Assignment.Generation == generation && r.Phase == fleet.PhaseLoading {
		r.Phase = fleet.PhaseReady
	}
}

// serveReport answers with the engine's report.
func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.member.Report
	report.Warm = report.Warm || time.Since(e.cooled) < e.Settings.WarmthLag
	e.mu.Unlock()
	rest.Reply(w, http.StatusOK, report)
}

// watchMembers sets whether the replica that the engine heads is broken.
func (e *Engine) watchMembers(ctx context.Context) {
	e.mu.Lock()
	a, down := e.member.Report.Assignment, e.down
	e.mu.Unlock()
	if down || a.Free() || a.Rank != 0 {
		return
	}
	missing := e.missing(ctx, a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member.Report.Assignment.Generation == a.Generation {
		e.broken = missing
	}
}

// write sends one event and returns whether it went out.
func (e *Engine) write(w http.ResponseWriter, token backend.Token) bool {
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

// slower returns d times factor.
func slower(d time.Duration, factor int) time.Duration { return d * time.Duration(factor) }
