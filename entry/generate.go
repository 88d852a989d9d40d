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

// maxAttempts bounds the attempts at one service call, or at one model request with its forward to
// a director.
const maxAttempts = 6

// A generateCall is one model request in progress: its parameters, and how much of the answer the
// caller has already received.
type generateCall struct {
	call        call
	deployment  fleet.Deployment
	prompt      string
	maxTokens   int
	fingerprint quarantine.Fingerprint
	deadline    time.Time
	emit        func(token string) error

	// attempts counts the attempts that started. tokens and prefix are the part of the answer that
	// was sent to the caller, from which the next attempt resumes.
	attempts int
	tokens   int
	prefix   strings.Builder
	// pinned is the replica that produced the first token. Later attempts need the same model,
	// adapter and version, or the answer would mix two.
	pinned *control.Replica
	// excluded holds the replicas whose server crashed under this request, each with its
	// generation at that time.
	excluded map[replicaKey]fleet.Generation
	// forwarded is set on requests that a peer forwarded to this daemon; they are not forwarded
	// again.
	forwarded bool
}

// errCallerGone marks an error of writing to the caller.
var errCallerGone = errors.New("write answer to caller")

// generate runs g to its end. When an attempt breaks off, the next one resumes at the first token
// that the caller has not received. It returns nil when the caller has the whole answer.
func (d *Daemon) generate(ctx context.Context, g *generateCall) *refusal {
	ctx, cancel := context.WithDeadline(ctx, g.deadline)
	defer cancel()
	d.cancels.add(g.call.requestID, g.call.organisation, cancel)
	defer d.cancels.remove(g.call.requestID)
	for g.attempts < maxAttempts {
		d.delaySuspect(ctx, g)
		verdict, until := d.crashes.verdict(g.fingerprint)
		if verdict == quarantine.Convicted {
			return d.convictedRefusal(g, until)
		}
		if replica, ok := g.forwardTarget(d.view.Load()); ok {
			err := d.forwardTo(ctx, g, replica)
			if r, final := finalRefusal(err); err == nil || final {
				return r
			}
			continue
		}
		var (
			s *slot
			r *refusal
		)
		if s, r = d.waitForSlot(ctx, g, verdict == quarantine.Suspect); r != nil {
			return r
		}
		err := d.runAttempt(ctx, g, s)
		if err == nil {
			return nil
		}
		if errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return d.interruptedRefusal(ctx, g)
		}
		d.logger.Warn().Str("request", g.call.requestID).Str("deployment", g.deployment.Name).Str("replica", s.replica.Name).
			Int("attempt", g.attempts).Int("token", g.tokens).Err(err).Msg("attempt failed")
	}
	return g.failureRefusal(http.StatusBadGateway, "attempts_exhausted", "no replica gave a whole answer")
}

// interruptedRefusal returns the refusal of a request that its caller cancelled or left, or whose
// deadline has passed.
func (d *Daemon) interruptedRefusal(ctx context.Context, g *generateCall) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return g.failureRefusal(http.StatusGatewayTimeout, "timeout", "the request took too long")
	}
	d.counters.events.Add("cancelled", 1)
	return g.failureRefusal(statusClientClosedRequest, "cancelled", "the request was cancelled")
}

// statusClientClosedRequest is the status of a request that its caller cancelled. HTTP does not
// define it; it is the one that nginx logs.
const statusClientClosedRequest = 499

// failureRefusal returns the refusal of g with outcome failed, since a model request may be
// repeated, or not_run if no attempt has started.
func (g *generateCall) failureRefusal(status int, code, message string) *refusal {
	r := &refusal{Status: status, Outcome: outcome.Failed, Type: "server_error", Code: code, Message: message, RetryAfter: defaultRetryAfter}
	if g.attempts == 0 {
		r.Outcome = outcome.NotRun
	}
	return r
}

// convictedRefusal returns the refusal of a request that is quarantined until the given time
// because it crashes backend servers.
func (d *Daemon) convictedRefusal(g *generateCall, until time.Time) *refusal {
	r := g.failureRefusal(http.StatusUnprocessableEntity, "request_crashes_servers", "this request crashed backend servers and is refused for a time")
	r.Type, r.RetryAfter = "invalid_request_error", time.Until(until)
	return r
}

// waitForSlot waits, within the first-token budget, for a slot at a replica that may run the rest
// of g.
func (d *Daemon) waitForSlot(ctx context.Context, g *generateCall, suspect bool) (*slot, *refusal) {
	request := &runningRequest{fingerprint: g.fingerprint}
	budget := time.NewTimer(d.settings.Limits.FirstTokenBudget)
	defer budget.Stop()
	queued := false
	defer func() {
		if queued {
			d.traffic.stopWaiting()
		}
	}()
	for {
		view := d.view.Load()
		if r := d.notReady(view); r != nil && (g.attempts == 0 || !view.Leaving) {
			return nil, r
		}
		s, changed := d.traffic.acquire(g.prompt, d.settings.FailureDomain, g.eligible(view), request, suspect)
		if s != nil {
			return s, nil
		}
		if !queued && !d.traffic.startWaiting(d.settings.Limits.Queued) {
			return nil, g.noCapacityRefusal(http.StatusTooManyRequests)
		}
		queued = true
		select {
		case <-changed:
		case <-budget.C:
			return nil, g.noCapacityRefusal(http.StatusServiceUnavailable)
		case <-ctx.Done():
			return nil, d.interruptedRefusal(ctx, g)
		}
	}
}

// noCapacityRefusal returns the refusal of a request for which no replica has a free slot.
func (g *generateCall) noCapacityRefusal(status int) *refusal {
	r := g.failureRefusal(status, "no_capacity", "no replica of this deployment has a free place")
	if status == http.StatusTooManyRequests {
		r.Type = "rate_limit_error"
	}
	return r
}

// eligible returns the replicas that may run the rest of g: complete replicas of its deployment
// and, after the first token, only those with the same model, adapter and version.
func (g *generateCall) eligible(view *control.View) []control.Replica {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(view.Replicas[g.deployment.Name]), func(r control.Replica) bool {
		if g.excluded[replicaKeyOf(r)] == r.Generation || !now.Before(r.ValidUntil) {
			return true
		}
		return g.pinned != nil && (r.Model != g.pinned.Model || r.Adapter != g.pinned.Adapter || r.Version != g.pinned.Version)
	})
}

// runAttempt makes one attempt at g on the replica of s.
func (d *Daemon) runAttempt(ctx context.Context, g *generateCall, s *slot) error {
	defer d.traffic.release(s)
	ctx, span := d.tracer.Start(ctx, "backend generate", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("replica", s.replica.Name), attribute.Int("attempt", g.attempts)))
	defer span.End()
	d.checkBeforeAttempt(s)
	request := backend.GenerateRequest{
		Request: g.call.requestID, Attempt: g.attempts, Generation: s.replica.Generation,
		Model: s.replica.Model, Adapter: s.replica.Adapter, Version: s.replica.Version,
		Prompt: g.prompt, Start: g.tokens, Prefix: g.prefix.String(), MaxTokens: g.maxTokens, Priority: g.deployment.Priority,
	}
	g.attempts++
	d.counters.attempts.Add("generate", 1)
	var (
		stream      backend.Stream
		requestedAt = time.Now()
		err         error
	)
	if stream, err = d.engine.Generate(ctx, s.replica.Head.Address, request); err != nil {
		return d.handleStartError(ctx, g, s, err)
	}
	// An unfinished stream also ends when the context of the attempt is cancelled.
	defer stream.Close()
	return d.relayTokens(ctx, g, s, stream, requestedAt)
}

// handleStartError handles the error of an attempt whose stream could not be opened. A refused
// attempt is not counted; an error without an HTTP status is treated as a crash of the server.
func (d *Daemon) handleStartError(ctx context.Context, g *generateCall, s *slot, err error) error {
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict || rest.Refused(err) {
		// The engine did not start to run the request, so this does not count as an attempt.
		g.attempts--
		d.counters.attempts.Add("declined", 1)
		clock.Sleep(ctx, declinedBackoff)
		return err
	}
	if ctx.Err() == nil && !errors.As(err, &status) {
		d.recordCrash(g, s)
	}
	return err
}

const (
	// suspectDelay is the wait before a request is repeated whose server crashed. After it, crashes
	// that several servers had together can be told from one that a request caused.
	suspectDelay = quarantine.IncidentWindow + 50*time.Millisecond
	// suspectTurnDuration is the time that each suspect of a crash has for its first token.
	suspectTurnDuration = 150 * time.Millisecond
	// maxTurnWait bounds the wait for a suspect's turn.
	maxTurnWait = 1500 * time.Millisecond
)

// delaySuspect delays the repetition of a suspect until the crash reports of all daemons have
// arrived, and then by its rank among the suspects, so that they run one after another.
func (d *Daemon) delaySuspect(ctx context.Context, g *generateCall) {
	if verdict, _ := d.crashes.verdict(g.fingerprint); verdict == quarantine.Clear || g.attempts == 0 {
		return
	}
	clock.Sleep(ctx, suspectDelay)
	clock.Sleep(ctx, min(time.Duration(d.crashes.rank(g.fingerprint))*suspectTurnDuration, maxTurnWait))
}

// declinedBackoff is the wait before the next attempt after an engine declined a request.
const declinedBackoff = 10 * time.Millisecond

// relayTokens passes the tokens of stream, which was requested at requestedAt, to the caller.
func (d *Daemon) relayTokens(ctx context.Context, g *generateCall, s *slot, stream backend.Stream, requestedAt time.Time) error {
	for {
		var (
			token backend.Token
			err   error
		)
		if token, err = stream.Next(); err != nil {
			if ctx.Err() == nil && errors.Is(err, backend.ErrTruncated) {
				d.recordCrash(g, s)
			}
			return err
		}
		if token.Done {
			d.checkWholeAnswer(g, token)
			d.acquitSuspect(g, s)
			return nil
		}
		if g.pinned == nil {
			g.pinned = &s.replica
		}
		if !s.request.started {
			d.recordFirstToken(s, time.Since(requestedAt))
		}
		if err = g.emitToken(d, token.Text); err != nil {
			return err
		}
	}
}

// recordFirstToken records the time to the first token of an attempt. If it indicates that the
// server has turned cold, the cold limit applies to the server at once, in this daemon and at all
// peers.
func (d *Daemon) recordFirstToken(s *slot, firstToken time.Duration) {
	if !d.traffic.recordFirstToken(s, firstToken) {
		return
	}
	d.counters.events.Add("servers_seen_cold", 1)
	cooled := control.InstanceCooled{Instance: s.replica.Head.Name}
	d.sendEvent(cooled)
	d.peers.broadcast(peerMessage{Version: peerMessageVersion, Cooled: &cooled})
}

// recordCrash excludes the replica of s from further attempts at g, and reports the crash of its
// server and the requests that this daemon was running there to all daemons.
func (d *Daemon) recordCrash(g *generateCall, s *slot) {
	if g.excluded == nil {
		g.excluded = make(map[replicaKey]fleet.Generation)
	}
	g.excluded[replicaKeyOf(s.replica)] = s.replica.Generation
	d.sendEvent(control.InstanceFailed{Instance: s.replica.Head.Name, FailedAt: time.Now()})
	d.counters.events.Add("server_crashes_seen", 1)
	suspects := d.traffic.unansweredFingerprints(s)
	if len(suspects) == 0 {
		return
	}
	crash := quarantine.Crash{
		Daemon: d.settings.Daemon, Server: s.replica.Head.Name,
		Episode:  s.replica.Name + "@" + s.replica.Generation.String(),
		Suspects: suspects,
	}
	d.crashes.add(crash)
	d.peers.broadcast(peerMessage{Version: peerMessageVersion, Crash: &crash})
}

// acquitSuspect clears a suspect whose attempt completed without a crash of its server.
func (d *Daemon) acquitSuspect(g *generateCall, s *slot) {
	if !s.suspect {
		return
	}
	d.crashes.acquit(g.fingerprint)
	d.peers.broadcast(peerMessage{Version: peerMessageVersion, Acquittal: &acquittal{Fingerprint: g.fingerprint}})
}

// checkBeforeAttempt checks the invariants of placement right before an attempt is sent.
func (d *Daemon) checkBeforeAttempt(s *slot) {
	view, now := d.view.Load(), time.Now()
	r := s.replica
	current := slices.ContainsFunc(view.Replicas[r.Deployment], func(other control.Replica) bool {
		return other.Name == r.Name && other.Generation == r.Generation
	})
	// The view may have been updated since the slot was acquired, by less than a tick.
	d.monitor.Check(current || now.Before(r.ValidUntil), invariant.CompleteReplica, "attempt sent to replica %s, which is not complete", r.Name)
	d.monitor.Check(!view.Configuration.DomainOut(r.FailureDomain) || current, invariant.DomainOut, "attempt sent to failure domain %s, which is out", r.FailureDomain)
	d.monitor.Check(now.Before(view.FreshUntil), invariant.FreshView, "attempt sent on a view that is not fresh, in mode %s", view.Mode)
	if !r.Warm {
		limit := admission.Limit(admission.Replica{Directed: r.Directed, ColdLimit: r.ColdLimit})
		d.monitor.Check(d.traffic.inFlightAt(s) <= limit, invariant.ColdLimit, "cold replica %s has more than %d requests in flight", r.Name, limit)
	}
}

// checkWholeAnswer checks that every token of the answer was sent to the caller.
func (d *Daemon) checkWholeAnswer(g *generateCall, last backend.Token) {
	d.monitor.Check(last.Index == g.tokens, invariant.WholeAnswer,
		"request %s completed with %d tokens sent to the caller, the answer has %d", g.call.requestID, g.tokens, last.Index)
}
