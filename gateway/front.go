package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// defaultPatience is how long a caller waits that does not say.
	defaultPatience = 30 * time.Second
	// revokeMargin is kept free of the time after which a withdrawn key must not
	// work: for the clocks of the store and of this machine, and the way of a
	// request.
	revokeMargin = 400 * time.Millisecond
	// patienceMargin is how much earlier than the caller's own time limit its final
	// answer is sent.
	patienceMargin = 30 * time.Millisecond
	// returnSoon is when callers come back that were refused for lack of a replica.
	returnSoon = 400 * time.Millisecond
	// returnSpread spreads the returns of callers that were refused together.
	returnSpread = 600 * time.Millisecond
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
	arrived      time.Time
	deadline     time.Time
	// sent counts the sends of any kind, ran those that may have run.
	sent int
	ran  int
	// crashes counts the servers that crashed under it.
	crashes int
	// held is the memory that large answers to it take, in bytes.
	held int64
	// why is the reason of the last attempt that failed.
	why string
	// first is the time to the first event of a stream, pause the longest one
	// between two, and servers names where it ran.
	first   time.Duration
	pause   time.Duration
	servers []string
}

// A refusal is an answer of the daemon's own.
type refusal struct {
	status int
	reason string
	// after is when the caller may come back; zero if that is no use.
	after time.Duration
}

// notServed returns a refusal that promises that the request did not run.
func notServed(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: returnSoon + rand.N(returnSpread)}
}

// resting returns the refusal of a request that only servers could run which want none for
// a while: the first of them takes requests again after the given time.
func resting(after time.Duration) *refusal {
	r := notServed("servers_rest")
	r.after = max(after, returnSoon) + rand.N(returnSpread)
	return r
}

// confirmedLately returns whether what operators ask for was read so lately that
// no key can have been withdrawn for longer than allowed.
func (g *Gateway) confirmedLately() bool {
	at := g.confirmed.Load()
	return at != 0 && clock.Boot()-time.Duration(at) < g.bounds().Revoke-revokeMargin
}

// serveCaller answers one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.board.requestStarted()
	defer g.board.requestEnded()
	c := &call{header: r.Header, method: r.Method, host: r.Host, target: r.RequestURI, arrived: time.Now()}
	defer g.releaseAnswers(c)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := g.admit(w, r, c); refused != nil {
		g.refuse(w, c, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
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

// admit finds out what r asks for and whether it may.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, c *call) *refusal {
	view := g.view.Load()
	var err error
	c.request, err = platform.DecodeRequest(r.Header)
	if !g.takesRequests() {
		// Another daemon takes it at once.
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving"}
	}
	if view.Configuration == nil {
		return notServed("no_configuration")
	}
	if !g.confirmedLately() {
		return notServed("stale_configuration")
	}
	var ok bool
	path, _, _ := strings.Cut(c.target, "?")
	if !strings.HasPrefix(path, "/") {
		return &refusal{status: http.StatusBadRequest, reason: "not_a_path"}
	}
	if c.route, ok = view.Configuration.Match(c.host, path); !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	if view.Configuration.KeysRequired() && !c.route.Anonymous {
		if c.organisation, ok = view.Configuration.Organisation(c.request.Key); !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	if err != nil {
		c.why = err.Error()
		return &refusal{status: http.StatusBadRequest, reason: "bad_headers"}
	}
	if refused := c.readBody(w, r, view.Configuration.Limits.BodyBytes); refused != nil {
		return refused
	}
	c.setDeadline()
	if c.service = view.Configuration.Services[c.route.Service(xxhash.Sum64String(c.request.Attempt))]; c.service == nil {
		return notServed("no_service")
	}
	c.fingerprint = quarantine.FingerprintOf(c.organisation.Name, c.target, c.body)
	if verdict, until := g.crashes.verdict(time.Now(), c.fingerprint); verdict == quarantine.Convicted {
		c.why = "fingerprint " + formatFingerprint(c.fingerprint)
		return &refusal{status: http.StatusServiceUnavailable, reason: "crashes_servers", after: time.Until(until)}
	}
	return nil
}

// setDeadline sets when the caller's final answer is due at the latest.
func (c *call) setDeadline() {
	patience := c.request.Timeout
	if patience == 0 {
		patience = defaultPatience
	}
	c.deadline = c.arrived.Add(patience - patienceMargin)
	if c.route.Timeout > 0 && c.route.Timeout < patience {
		c.deadline = c.arrived.Add(c.route.Timeout)
	}
}

// readBody reads the body of r whole, so that it can be sent again.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = maxBody
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err == nil {
		return nil
	}
	c.why = err.Error()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_cut_short"}
}

// maxBody bounds a body where operators set no bound, in bytes.
const maxBody = 4 << 20

// refuse answers with an answer of the daemon's own.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, r *refusal) {
	if r.after > 0 {
		platform.SetRetryAfter(w.Header(), r.after)
	}
	if c.request.Attempt != "" {
		platform.SetAttemptID(w.Header(), c.request.Attempt)
	}
	g.metrics.refusals.Add(r.reason, 1)
	g.ended(c, r.status, r.reason)
	w.WriteHeader(r.status)
}

// ended logs the end of a call, with what decided it.
func (g *Gateway) ended(c *call, status int, outcome string) {
	g.metrics.outcomes.Add(outcome, 1)
	line := g.logger.Info().Str("event", "request").Str("request", c.request.Attempt).Int("status", status).Str("outcome", outcome).
		Dur("took", time.Since(c.arrived)).Int("sent", c.sent).Int("ran", c.ran)
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("organisation", c.organisation.Name)
	}
	if c.first > 0 {
		line = line.Dur("first", c.first).Dur("pause", c.pause)
	}
	if len(c.servers) > 0 {
		line = line.Strs("servers", c.servers)
	}
	if c.why != "" {
		line = line.Str("why", c.why)
	}
	line.Dur("configuration_age", clock.Boot()-time.Duration(g.confirmed.Load())).Msg("")
}

// expired returns the answer to a call whose time is over.
func (c *call) expired() *refusal {
	if c.ran > 0 {
		return &refusal{status: http.StatusGatewayTimeout, reason: "timeout"}
	}
	return notServed("timeout_not_run")
}

// failed returns the answer to a call that may not be sent again.
func (c *call) failed() *refusal {
	if c.ran > 0 {
		return &refusal{status: http.StatusBadGateway, reason: "backend_failed"}
	}
	return notServed("backend_unavailable")
}

// mayRepeat returns whether c may be sent once more after an attempt that ran or
// did not.
func (g *Gateway) mayRepeat(c *call, ran bool) bool {
	if c.sent >= maxSends || ran && (!c.route.Repeatable() || c.ran >= c.route.MaxAttempts) {
		return false
	}
	if !g.crashes.mayRepeat(time.Now(), c.fingerprint) {
		return false
	}
	g.retryMu.Lock()
	defer g.retryMu.Unlock()
	return g.retryBudget(c.service.Name).Allow(clock.Boot(), g.view.Load().Daemons)
}

// maxSends bounds the sends of one call, those that did not run included.
const maxSends = 4
