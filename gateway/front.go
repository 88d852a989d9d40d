package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/room"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// defaultTimeout applies to callers that send no deadline.
	defaultTimeout = 30 * time.Second
	// revokeMargin is subtracted from the time after which a revoked key must no longer work. It
	// covers the clock differences between the store and this machine and the transit time of a
	// request.
	revokeMargin = 400 * time.Millisecond
	// deadlineMargin is how long before the caller's own deadline the final answer is sent.
	deadlineMargin = 30 * time.Millisecond
	// minRetryAfter is the shortest time after which a request that was refused for lack of a
	// replica may be retried.
	minRetryAfter = 400 * time.Millisecond
	// retryAfterJitter spreads the retries of callers that were refused together.
	retryAfterJitter = 600 * time.Millisecond
)

// A call is one request of a caller.
type call struct {
	request      platform.Request
	header       http.Header
	method       string
	host         string
	target       string
	body         []byte
	route        *site.Route
	organisation site.Organisation
	service      *site.Service
	fingerprint  quarantine.Fingerprint
	// parts are the shared parts of the prompt, in the order of request.SharedParts.
	parts    []quarantine.Part
	arrived  time.Time
	deadline time.Time
	// sent counts all sends, ran those that may have run.
	sent int
	ran  int
	// trial means that the prompt has a convicted part, and that the request shows whether it still
	// crashes servers.
	trial bool
	// crashes counts the servers that crashed while they ran this request.
	crashes atomic.Int64
	// held is the memory that the body of this request and the answers to it hold.
	held holding
	// detail is the reason for a refusal or for the failure of the last attempt.
	detail string
	// endedBy says who ended the call; empty while it has a complete answer or was refused unsent.
	endedBy endedBy
	// version is that of the configuration under which the call was accepted.
	version int64
	// firstEventDelay is the time to the first event of a stream, longestPause the longest time
	// between two events, and servers lists the servers or replicas that were tried.
	firstEventDelay time.Duration
	longestPause    time.Duration
	servers         []string
	// helpers are the daemons that passed the request on, by front address.
	helpers []string
}

// recordHelper records the daemon that a went through, if any.
func (c *call) recordHelper(a *attempt) {
	if a.helper != "" {
		c.helpers = append(c.helpers, a.helper)
	}
}

// A refusal is an answer that the daemon generates itself.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may retry; zero if retrying is of no use.
	retryAfter time.Duration
}

// unavailable returns a refusal that guarantees that the request did not run.
func unavailable(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: minRetryAfter + rand.N(retryAfterJitter)}
}

// backingOff returns the refusal of a request whose candidate servers have all asked for a backoff.
// after is the time until the first of them accepts requests again.
func backingOff(after time.Duration) *refusal {
	r := unavailable("servers_rest")
	r.retryAfter = max(after, minRetryAfter) + rand.N(retryAfterJitter)
	return r
}

// configurationFresh returns whether the operators' topic was read recently enough that no revoked
// key can still be accepted beyond the permitted time.
func (g *Gateway) configurationFresh() bool {
	at := g.confirmedAt.Load()
	return at != 0 && clock.Boot()-time.Duration(at) < g.bounds().Revoke-revokeMargin
}

// denyMargin is the part of the time within which a configuration must be in force that is kept in reserve, for the way of
// the answer.
const denyMargin = 200 * time.Millisecond

// deny returns the refusal of a request that the configuration does not allow. If a configuration that must be in force by
// now may not have been read yet, which may allow it, the refusal says that the request may be sent again.
func (g *Gateway) deny(status int, reason string) *refusal {
	age := clock.Boot() - time.Duration(g.confirmedAt.Load())
	if apply := g.bounds().Apply; apply > 0 && age >= apply-denyMargin {
		return unavailable("stale_configuration")
	}
	return &refusal{status: status, reason: reason}
}

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.tracker.requestStarted()
	defer g.tracker.requestEnded()
	c := &call{header: r.Header, method: r.Method, host: r.Host, target: r.RequestURI, arrived: time.Now()}
	defer g.memory.release(&c.held)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := g.admit(w, r, c); refused != nil {
		g.refuse(w, c, refused)
		return
	}
	if !g.memory.send(&c.held) {
		g.refuse(w, c, unavailable("memory"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(g.stopping, func() { stop(errDrainEnded) })()
	ctx, span := g.tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("attempt", c.request.Attempt), attribute.String("route", c.route.Name)))
	defer span.End()
	g.countRequest(c)
	switch {
	case c.service.Engine != nil:
		g.serveStream(ctx, w, c)
	default:
		g.servePlain(ctx, w, c)
	}
}

// admit resolves the route, organisation and service of r, and checks whether r is permitted.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, c *call) *refusal {
	view := g.view.Load()
	var err error
	c.request, err = platform.DecodeRequest(r.Header)
	if !g.acceptsRequests() {
		// Without a Retry-After header, because the caller can retry at another daemon at once.
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving"}
	}
	if view.Configuration == nil {
		return unavailable("no_configuration")
	}
	if !g.configurationFresh() {
		return unavailable("stale_configuration")
	}
	if !view.PeersLoaded {
		// Heartbeats say which requests crash servers.
		return unavailable("no_heartbeats")
	}
	c.version = view.Configuration.Version
	var ok bool
	path, _, _ := strings.Cut(c.target, "?")
	if !strings.HasPrefix(path, "/") {
		return &refusal{status: http.StatusBadRequest, reason: "not_a_path"}
	}
	if _, invalid := targetURL("", c.target); invalid != nil {
		c.detail = invalid.Error()
		return &refusal{status: http.StatusBadRequest, reason: "not_a_path"}
	}
	if c.route, ok = view.Configuration.Match(c.host, path); !ok {
		return g.deny(http.StatusNotFound, "no_route")
	}
	if view.Configuration.KeysRequired() && !c.route.Anonymous {
		if c.organisation, ok = view.Configuration.Organisation(c.request.Key); !ok {
			return g.deny(http.StatusUnauthorized, "unknown_key")
		}
	}
	if err != nil {
		c.detail = err.Error()
		return &refusal{status: http.StatusBadRequest, reason: "bad_headers"}
	}
	c.setDeadline()
	if refused := g.readBody(w, r, c, view.Configuration.Limits.BodyBytes); refused != nil {
		return refused
	}
	if c.service = view.Configuration.Services[c.route.Service(xxhash.Sum64String(c.request.Attempt))]; c.service == nil {
		return unavailable("no_service")
	}
	if g.leaving.Load() && !g.canEnd(c.longest(g.tracker.slowestRatio())) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving"}
	}
	c.fingerprint = quarantine.FingerprintOf(c.organisation.Name, c.target, c.body)
	if verdict, until := g.crashes.verdict(time.Now(), c.fingerprint); verdict == quarantine.Convicted {
		c.detail = "fingerprint " + formatFingerprint(c.fingerprint)
		return &refusal{status: http.StatusServiceUnavailable, reason: "crashes_servers", retryAfter: time.Until(until)}
	}
	if c.service.Engine != nil {
		c.parts = partsOf(c)
	}
	return g.refuseParts(c)
}

// setDeadline sets the latest time for the final answer to the caller.
func (c *call) setDeadline() {
	timeout := c.request.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived.Add(timeout - deadlineMargin)
	if c.route.Timeout > 0 && c.route.Timeout < timeout {
		c.deadline = c.arrived.Add(c.route.Timeout)
	}
}

// longest returns how long c may take at a replica that is slower than published by the factor slowdown.
func (c *call) longest(slowdown float64) time.Duration {
	left := time.Until(c.deadline)
	if c.service.Engine == nil {
		return left
	}
	model, _ := c.service.Engine.Model(c.request.Size.Model)
	return longestRun(c.service.Engine, model, c.request.Size, slowdown, c.route.Target, left)
}

// longest returns how long a may take at a replica that is slower than published by the factor slowdown, under the context of
// its call.
func (a *attempt) longest(ctx context.Context, slowdown float64) time.Duration {
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if a.engine == nil {
		return left
	}
	return longestRun(a.engine, a.model, a.work, slowdown, a.firstEventTarget, left)
}

// longestRun returns how long a request with a target for its first token may take: the time that is left, or until the
// longest answer of its size has ended if that is sooner.
func longestRun(e *site.Engine, m site.Model, size dispatch.RequestSize, slowdown float64, target, left time.Duration) time.Duration {
	if size.MaxAnswer <= 0 || m.Size == 0 {
		return left
	}
	return min(left, time.Duration(room.LateFactor*float64(target))+time.Duration(max(runMargin, slowdown)*float64(dispatch.LongestRun(e, m, size))))
}

// runMargin is the multiple of the published time of an answer that one may take, with prompts of other requests read
// in between.
const runMargin = 1.5

// readBody reads the whole body of r, so that it can be resent.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	var (
		body = http.MaxBytesReader(w, r.Body, limit)
		err  error
	)
	switch {
	case r.ContentLength > limit:
		// It returns an error after the limit.
		_, err = io.Copy(io.Discard, body)
	case r.ContentLength > g.uncounted():
		c.body, err = g.readCounted(r.Context(), w, c, body, r.ContentLength, nil)
	case r.ContentLength > 0:
		c.body, err = io.ReadAll(body)
	default:
		if c.body, err = io.ReadAll(io.LimitReader(body, g.uncounted()+1)); err == nil && int64(len(c.body)) > g.uncounted() {
			c.body, err = g.readCounted(r.Context(), w, c, body, r.ContentLength, c.body)
		}
	}
	if err == nil {
		return nil
	}
	c.detail = err.Error()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, errBufferFull), g.memory.pays(&c.held):
		c.detail = errMemoryFull.Error()
		return unavailable("memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.timedOut()
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_cut_short"}
}

// defaultMaxBodyBytes is the limit for a request body when the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// refuse sends a refusal to the caller.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, r *refusal) {
	if r.retryAfter > 0 {
		platform.SetRetryAfter(w.Header(), r.retryAfter)
	}
	if c.request.Attempt != "" {
		platform.SetAttemptID(w.Header(), c.request.Attempt)
	}
	g.metrics.refusals.Add(r.reason, 1)
	g.recordOutcome(c, r.status, r.reason)
	w.WriteHeader(r.status)
}

// recordOutcome counts and logs the outcome of a call.
func (g *Gateway) recordOutcome(c *call, status int, outcome string) {
	g.metrics.outcomes.Add(outcome, 1)
	g.countEnd(c, outcome)
	line := g.logger.Info().Str("event", "request").Str("request", c.request.Attempt).Int("status", status).Str("outcome", outcome).
		Dur("took", time.Since(c.arrived)).Int("sent", c.sent).Int("ran", c.ran)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("organisation", c.organisation.Name)
	}
	if c.request.Size.Model != "" {
		line = line.Str("model", c.request.Size.Model)
	}
	if c.firstEventDelay > 0 {
		line = line.Dur("first", c.firstEventDelay).Dur("pause", c.longestPause)
	}
	if len(c.servers) > 0 {
		line = line.Strs("servers", c.servers)
	}
	if len(c.helpers) > 0 {
		line = line.Strs("helpers", c.helpers)
	}
	if c.detail != "" {
		line = line.Str("why", c.detail)
	}
	line = g.addEnd(line, c, status)
	withAge(line, "configuration_age", clock.Boot(), time.Duration(g.confirmedAt.Load())).Msg("")
}

// timedOut returns the refusal of a call whose deadline has passed, or that a planned stop has ended.
func (c *call) timedOut() *refusal {
	switch {
	case c.endedBy == endedByDaemon && c.ran > 0:
		return &refusal{status: http.StatusBadGateway, reason: "drain_ended"}
	case c.endedBy == endedByDaemon:
		return unavailable("drain_ended")
	case c.ran > 0:
		return &refusal{status: http.StatusGatewayTimeout, reason: "timeout"}
	}
	return unavailable("timeout_not_run")
}

// backendFailure returns the refusal of a call that may not be retried.
func (c *call) backendFailure() *refusal {
	if c.ran > 0 {
		return &refusal{status: http.StatusBadGateway, reason: "backend_failed"}
	}
	return unavailable("backend_unavailable")
}

// mayRepeat returns whether c may be sent once more, if the retry budget allows it. ran is whether the last
// attempt may have run.
func (g *Gateway) mayRepeat(c *call, ran bool) bool {
	if c.sent >= maxSends || ran && (!c.route.Repeatable() || c.ran >= c.route.MaxAttempts) {
		return false
	}
	return g.crashes.mayRepeat(time.Now(), c.fingerprint, c.parts)
}

// takeRetry returns whether the retry budget allows c to be sent once more, and counts that if so.
func (g *Gateway) takeRetry(c *call) bool {
	g.retryMu.Lock()
	defer g.retryMu.Unlock()
	now := clock.Boot()
	return g.retryBudget(now, c.service.Name).Allow(now, g.view.Load().Daemons)
}

// maxSends bounds the sends of one call, including those that did not run.
const maxSends = 4
