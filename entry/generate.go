package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/admission"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// maxAttempts bounds the attempts at one request.
const maxAttempts = 6

// A generation is one model request on its way: what was asked, and the part of
// the answer that the caller has already.
type generation struct {
	call        call
	deployment  fleet.Deployment
	prompt      string
	maxTokens   int
	fingerprint quarantine.Fingerprint
	deadline    time.Time
	emit        func(token string) error

	attempt int
	tokens  int
	prefix  strings.Builder
	pinned  *control.Replica
	failed  map[slotKey]fleet.Generation
	// forwarded is set on requests that a peer has forwarded to this daemon.
	forwarded bool
}

// errCaller marks an error of writing to the caller.
var errCaller = errors.New("the caller is gone")

// generate runs g to its end, resuming at the exact token where an attempt is
// cut. It returns nil when the caller has the whole answer.
func (d *Daemon) generate(ctx context.Context, g *generation) *refusal {
	ctx, cancel := context.WithDeadline(ctx, g.deadline)
	defer cancel()
	d.cancels.add(g.call.request, g.call.organisation, cancel)
	defer d.cancels.remove(g.call.request)
	for g.attempt < maxAttempts {
		d.waitForTurn(ctx, g)
		verdict, until := d.crashes.verdict(g.fingerprint)
		if verdict == quarantine.Convicted {
			return d.refuseCrasher(g, until)
		}
		if replica, ok := g.director(d.view.Load()); ok {
			err := d.passTo(ctx, g, replica)
			if r, final := forwardEnd(err); err == nil || final {
				return r
			}
			continue
		}
		var (
			s *slot
			r *refusal
		)
		if s, r = d.place(ctx, g, verdict == quarantine.Suspect); r != nil {
			return r
		}
		err := d.try(ctx, g, s)
		if err == nil {
			return nil
		}
		if errors.Is(err, errCaller) || ctx.Err() != nil {
			return d.abandoned(ctx, g)
		}
		d.logger.Warn().Str("request", g.call.request).Str("deployment", g.deployment.Name).Str("replica", s.replica.Name).
			Int("attempt", g.attempt).Int("token", g.tokens).Err(err).Msg("attempt failed")
	}
	return g.fail(http.StatusBadGateway, "attempts_exhausted", "no replica gave a whole answer")
}

// abandoned returns the end of a request whose caller left or whose time is up.
func (d *Daemon) abandoned(ctx context.Context, g *generation) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return g.fail(http.StatusGatewayTimeout, "timeout", "the request took too long")
	}
	d.counters.events.Add("cancelled", 1)
	return g.fail(statusClientClosed, "cancelled", "the request was cancelled")
}

// statusClientClosed is the status of a request that its caller cancelled.
const statusClientClosed = 499

// fail returns the refusal of g after attempts: failed, since a model request
// may be repeated, or not_run if no attempt began.
func (g *generation) fail(status int, code, text string) *refusal {
	r := &refusal{Status: status, Outcome: outcome.Failed, Type: "server_error", Code: code, Message: text, RetryAfter: refreshAfter}
	if g.attempt == 0 {
		r.Outcome = outcome.NotRun
	}
	return r
}

// refuseCrasher returns the refusal of a request that crashes backend servers.
func (d *Daemon) refuseCrasher(g *generation, until time.Time) *refusal {
	r := g.fail(http.StatusUnprocessableEntity, "request_crashes_servers", "this request crashed backend servers and is refused for a time")
	r.Type, r.RetryAfter = "invalid_request_error", time.Until(until)
	return r
}

// place waits for a place at a replica that may run the rest of g.
func (d *Daemon) place(ctx context.Context, g *generation, suspect bool) (*slot, *refusal) {
	run := &running{fingerprint: g.fingerprint}
	budget := time.NewTimer(d.settings.Limits.FirstTokenBudget)
	defer budget.Stop()
	queued := false
	defer func() {
		if queued {
			d.traffic.unwait()
		}
	}()
	for {
		view := d.view.Load()
		if r := d.stale(view); r != nil && (g.attempt == 0 || !view.Leaving) {
			return nil, r
		}
		s, changed := d.traffic.acquire(g.prompt, d.settings.FailureDomain, g.eligible(view), run, suspect)
		if s != nil {
			return s, nil
		}
		if !queued && !d.traffic.wait(d.settings.Limits.Queued) {
			return nil, g.noPlace(http.StatusTooManyRequests)
		}
		queued = true
		select {
		case <-changed:
		case <-budget.C:
			return nil, g.noPlace(http.StatusServiceUnavailable)
		case <-ctx.Done():
			return nil, d.abandoned(ctx, g)
		}
	}
}

// noPlace returns the refusal of a request that no replica has a place for.
func (g *generation) noPlace(status int) *refusal {
	r := g.fail(status, "no_capacity", "no replica of this deployment has a free place")
	if status == http.StatusTooManyRequests {
		r.Type = "rate_limit_error"
	}
	return r
}

// eligible returns the replicas that may run the rest of g: complete ones of its
// deployment and, once tokens are out, of the same contents.
func (g *generation) eligible(view *control.View) []control.Replica {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(view.Replicas[g.deployment.Name]), func(r control.Replica) bool {
		if g.failed[keyOf(r)] == r.Generation || !now.Before(r.ValidUntil) {
			return true
		}
		return g.pinned != nil && (r.Model != g.pinned.Model || r.Adapter != g.pinned.Adapter || r.Version != g.pinned.Version)
	})
}

// try makes one attempt at g on the replica of s.
func (d *Daemon) try(ctx context.Context, g *generation, s *slot) error {
	defer d.traffic.release(s)
	ctx, span := d.tracer.Start(ctx, "backend generate", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("replica", s.replica.Name), attribute.Int("attempt", g.attempt)))
	defer span.End()
	d.checkNewWork(s)
	request := backend.GenerateRequest{
		Request: g.call.request, Attempt: g.attempt, Generation: s.replica.Generation,
		Model: s.replica.Model, Adapter: s.replica.Adapter, Version: s.replica.Version,
		Prompt: g.prompt, Start: g.tokens, Prefix: g.prefix.String(), MaxTokens: g.maxTokens, Priority: g.deployment.Priority,
	}
	g.attempt++
	d.counters.attempts.Add("generate", 1)
	var (
		stream backend.Stream
		asked  = time.Now()
		err    error
	)
	if stream, err = d.engine.Generate(ctx, s.replica.Head.Address, request); err != nil {
		return d.notBegun(ctx, g, s, err)
	}
	// Cancelling the context of the attempt ends what is left of the stream.
	defer stream.Close()
	return d.relay(ctx, g, s, stream, asked)
}

// notBegun takes the error of a stream that did not begin.
func (d *Daemon) notBegun(ctx context.Context, g *generation, s *slot, err error) error {
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict || rest.Refused(err) {
		// The engine did not begin, so the attempt does not count as one.
		g.attempt--
		d.counters.attempts.Add("declined", 1)
		clock.Sleep(ctx, declinedPause)
		return err
	}
	if ctx.Err() == nil && !errors.As(err, &status) {
		d.crashed(g, s)
	}
	return err
}

const (
	// suspectPause is the wait before a request is run again whose server crashed,
	// so that a crash of its own can be told from one that servers had together.
	suspectPause = quarantine.IncidentWindow + 50*time.Millisecond
	// suspectTurn is the time that each suspect of a crash has for its first token.
	suspectTurn = 150 * time.Millisecond
	// longestTurn bounds the wait for a suspect's turn.
	longestTurn = 1500 * time.Millisecond
)

// waitForTurn lets a suspect whose server crashed wait until the suspects of all
// daemons are known, and then for its turn among them.
func (d *Daemon) waitForTurn(ctx context.Context, g *generation) {
	if verdict, _ := d.crashes.verdict(g.fingerprint); verdict == quarantine.Clear || g.attempt == 0 {
		return
	}
	clock.Sleep(ctx, suspectPause)
	clock.Sleep(ctx, min(time.Duration(d.crashes.rank(g.fingerprint))*suspectTurn, longestTurn))
}

// declinedPause is the wait after an engine declined a request.
const declinedPause = 10 * time.Millisecond

// relay passes the tokens of stream, which was asked for at asked, to the caller.
func (d *Daemon) relay(ctx context.Context, g *generation, s *slot, stream backend.Stream, asked time.Time) error {
	for {
		var (
			token backend.Token
			err   error
		)
		if token, err = stream.Next(); err != nil {
			if ctx.Err() == nil && errors.Is(err, backend.ErrCut) {
				d.crashed(g, s)
			}
			return err
		}
		if token.Done {
			d.checkWhole(g, token)
			d.finished(g, s)
			return nil
		}
		if g.pinned == nil {
			g.pinned = &s.replica
		}
		if !s.index.started {
			d.started(s, time.Since(asked))
		}
		if err = g.token(d, token.Text); err != nil {
			return err
		}
	}
}

// started takes the first-token time of an attempt. A server that it shows to be
// cold gets no more work than that at once, here and at all peers.
func (d *Daemon) started(s *slot, first time.Duration) {
	if !d.traffic.start(s, first) {
		return
	}
	d.counters.events.Add("servers_seen_cold", 1)
	cooled := control.InstanceCooled{Instance: s.replica.Head.Name}
	d.tell(cooled)
	d.peers.broadcast(message{Version: messageVersion, Cooled: &cooled})
}

// crashed keeps g from the replica of s, and reports to all daemons that its
// server crashed under the requests that this daemon was running there.
func (d *Daemon) crashed(g *generation, s *slot) {
	if g.failed == nil {
		g.failed = make(map[slotKey]fleet.Generation)
	}
	g.failed[keyOf(s.replica)] = s.replica.Generation
	d.tell(control.InstanceFailed{Instance: s.replica.Head.Name, FailedAt: time.Now()})
	d.counters.events.Add("server_crashes_seen", 1)
	suspects := d.traffic.running(s)
	if len(suspects) == 0 {
		return
	}
	crash := quarantine.Crash{
		Daemon: d.settings.Daemon, Server: s.replica.Head.Name,
		Episode:  s.replica.Name + "@" + s.replica.Generation.String(),
		Suspects: suspects,
	}
	d.crashes.add(crash)
	d.peers.broadcast(message{Version: messageVersion, Crash: &crash})
}

// finished clears a suspect whose server stayed up.
func (d *Daemon) finished(g *generation, s *slot) {
	if !s.suspect {
		return
	}
	d.crashes.acquit(g.fingerprint)
	d.peers.broadcast(message{Version: messageVersion, Acquittal: &acquittal{Fingerprint: g.fingerprint}})
}

// checkNewWork checks, right before work is given, what must hold for it.
func (d *Daemon) checkNewWork(s *slot) {
	view, now := d.view.Load(), time.Now()
	r := s.replica
	current := slices.ContainsFunc(view.Replicas[r.Deployment], func(v control.Replica) bool {
		return v.Name == r.Name && v.Generation == r.Generation
	})
	// The view may have changed since the place was taken, by less than a tick.
	d.monitor.Check(current || now.Before(r.ValidUntil), invariant.CompleteReplica, "replica %s is not complete", r.Name)
	d.monitor.Check(!view.Configuration.DomainOut(r.FailureDomain) || current, invariant.DomainOut, "failure domain %s is out", r.FailureDomain)
	d.monitor.Check(now.Before(view.FreshUntil), invariant.FreshView, "view is not fresh in mode %s", view.Mode)
	if !r.Warm {
		limit := admission.Limit(admission.Replica{Directed: r.Directed, ColdLimit: r.ColdLimit})
		d.monitor.Check(d.traffic.count(s) <= limit, invariant.ColdLimit, "cold replica %s has more than %d requests", r.Name, limit)
	}
}

// checkWhole checks that the caller was given every token of the answer.
func (d *Daemon) checkWhole(g *generation, last backend.Token) {
	d.monitor.Check(last.Index == g.tokens, invariant.WholeAnswer,
		"request %s ended after %d tokens, the answer has %d", g.call.request, g.tokens, last.Index)
}
