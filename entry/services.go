package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/claim"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// maxServiceAnswerBytes bounds the answer of a plain service, which is buffered as a whole before
// it is sent to the caller.
const maxServiceAnswerBytes = 8 << 20

// hopByHopHeaders are the headers that apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// A serviceCall is one call of a plain service in progress. A non-idempotent call must be sent by
// sendBy, well before its claim can expire; the zero time sets no limit. sends counts the attempts
// that were sent.
type serviceCall struct {
	call           call
	deployment     fleet.Deployment
	method         string
	path           string
	header         http.Header
	body           []byte
	idempotent     bool
	idempotencyKey string
	sendBy         time.Time
	sends          int
}

// A serviceAnswer is the whole answer of a plain service.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serveService proxies a call of a plain service.
func (d *Daemon) serveService(w http.ResponseWriter, r *http.Request, c call) {
	var (
		s       *serviceCall
		refused *refusal
	)
	if s, refused = d.newServiceCall(r, c); refused != nil {
		d.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), d.settings.Limits.RequestTimeout)
	defer cancel()
	d.cancels.add(c.requestID, c.organisation, cancel)
	defer d.cancels.remove(c.requestID)
	var answer *serviceAnswer
	if s.idempotent {
		answer, refused = d.runService(ctx, s)
	} else {
		// A caller that disconnects does not cancel a call that may not be repeated.
		answer, refused = d.runAtMostOnce(context.WithoutCancel(ctx), s)
	}
	if refused != nil {
		d.refuse(w, refused)
		return
	}
	d.writeServiceAnswer(w, s, answer)
}

// newServiceCall returns the call for r, without the caller's API key and hop-by-hop headers.
func (d *Daemon) newServiceCall(r *http.Request, c call) (*serviceCall, *refusal) {
	s := &serviceCall{call: c, method: r.Method, header: r.Header.Clone(), idempotencyKey: r.Header.Get("Idempotency-Key")}
	var refused *refusal
	if s.deployment, refused = d.lookUpDeployment(c.organisation, r.PathValue("deployment"), fleet.KindService); refused != nil {
		return nil, refused
	}
	if s.body, refused = d.readBody(r); refused != nil {
		return nil, refused
	}
	s.path = strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+s.deployment.Name)
	if r.URL.RawQuery != "" {
		s.path += "?" + r.URL.RawQuery
	}
	s.idempotent = isIdempotent(r.Method, s.deployment)
	for _, h := range hopByHopHeaders {
		s.header.Del(h)
	}
	s.header.Del("Authorization")
	s.header.Set("Hawthornrock-Organisation", c.organisation)
	return s, nil
}

// isIdempotent returns whether a call by method may be repeated: according to the sheet if it lists
// methods, otherwise according to HTTP.
func isIdempotent(method string, d fleet.Deployment) bool {
	if len(d.IdempotentMethods) > 0 {
		return slices.Contains(d.IdempotentMethods, method)
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// runAtMostOnce runs a non-idempotent call at most once. A call that carries an idempotency key is
// sent only after its claim has been read back from the log.
func (d *Daemon) runAtMostOnce(ctx context.Context, s *serviceCall) (*serviceAnswer, *refusal) {
	s.sendBy = time.Now().Add(d.settings.Bounds.ClaimWindow / 2)
	if s.idempotencyKey == "" {
		return d.runService(ctx, s)
	}
	var (
		own      claim.Record
		existing *claim.Record
		err      error
	)
	if own, existing, err = d.claims.claim(ctx, claimKey(s)); err != nil {
		return nil, unavailable("log_unavailable", "the claim of the idempotency key could not be confirmed: "+err.Error())
	}
	if existing != nil {
		return nil, duplicateKeyRefusal(*existing)
	}
	answer, refused := d.runService(ctx, s)
	switch {
	case refused != nil && refused.Outcome == outcome.NotRun:
		d.claims.abandon(own)
	case refused != nil:
		d.claims.complete(own, refused.Outcome, refused.Status)
	default:
		d.claims.complete(own, outcome.Of(outcome.Answered, false, answer.status), answer.status)
	}
	return answer, refused
}

// duplicateKeyRefusal returns the refusal of a call whose idempotency key another call has claimed.
func duplicateKeyRefusal(existing claim.Record) *refusal {
	r := &refusal{
		Status: http.StatusConflict, Outcome: outcome.Unknown, Type: "invalid_request_error", Code: "idempotency_key_in_use",
		Message:    fmt.Sprintf("a call with this key is running or was lost at entry instance %s", existing.Daemon),
		RetryAfter: defaultRetryAfter,
	}
	if existing.Status == claim.StatusEnded {
		r.Outcome, r.Code, r.RetryAfter = existing.Outcome, "idempotency_key_used", 0
		r.Message = fmt.Sprintf("a call with this key ended as %s with status %d", existing.Outcome, existing.HTTPStatus)
	}
	return r
}

// runService sends s to one server after another until one returns a whole answer or s may not be
// sent again.
func (d *Daemon) runService(ctx context.Context, s *serviceCall) (*serviceAnswer, *refusal) {
	last := unavailable("no_capacity", "no backend server of this deployment is in service")
	tried := make(map[string]bool)
	for range maxAttempts {
		i, ok := d.chooseServer(s, tried)
		if !ok {
			return nil, last
		}
		tried[i.Name] = true
		answer, evidence, err := d.sendService(ctx, s, i)
		if evidence == outcome.Answered {
			return answer, nil
		}
		last = serviceRefusal(outcome.Of(evidence, s.idempotent, 0), err)
		if !outcome.Repeatable(evidence, s.idempotent) || ctx.Err() != nil {
			return nil, last
		}
	}
	return nil, last
}

// serviceRefusal returns the refusal of a call with outcome o that received no whole answer.
func serviceRefusal(o outcome.Outcome, err error) *refusal {
	r := unavailable("service_unavailable", "the backend server did not run the call")
	r.Outcome = o
	switch o {
	case outcome.Unknown:
		r.Status, r.Code, r.RetryAfter = http.StatusBadGateway, "outcome_unknown", 0
		r.Message = "the call may have run; find out before sending it again: " + err.Error()
	case outcome.Failed:
		r.Status, r.Code, r.Message = http.StatusBadGateway, "service_failed", err.Error()
	case outcome.Completed, outcome.NotRun:
	}
	return r
}

// chooseServer returns the next server to try. Servers in the daemon's own failure domain come
// first.
func (d *Daemon) chooseServer(s *serviceCall, tried map[string]bool) (fleet.Instance, bool) {
	view := d.view.Load()
	if d.notReady(view) != nil && s.sends == 0 && !view.Leaving {
		return fleet.Instance{}, false
	}
	var best fleet.Instance
	found := false
	for _, i := range view.Services[s.deployment.Name] {
		if tried[i.Name] {
			continue
		}
		if !found || i.FailureDomain == d.settings.FailureDomain && best.FailureDomain != d.settings.FailureDomain {
			best, found = i, true
		}
	}
	return best, found
}

// sendService makes one attempt at s. Each attempt uses a new connection: on a kept one that turns
// out to be closed, the transport may repeat the request on its own.
func (d *Daemon) sendService(ctx context.Context, s *serviceCall, i fleet.Instance) (*serviceAnswer, outcome.Evidence, error) {
	ctx, span := d.tracer.Start(ctx, "backend service", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("instance", i.Name)))
	defer span.End()
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, s.method, "http://"+i.Address+s.path, bytes.NewReader(s.body)); err != nil {
		return nil, outcome.Unsent, err
	}
	req.Header = s.header.Clone()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	d.checkBeforeSend(i)
	if !s.sendBy.IsZero() && time.Now().After(s.sendBy) {
		return nil, outcome.Unsent, errors.New("this daemon was paused, and the claim may have been forgotten")
	}
	s.sends++
	d.counters.attempts.Add("service", 1)
	if resp, err = d.singleUse.Do(req); err != nil {
		return nil, transportErrorEvidence(err), err
	}
	defer resp.Body.Close()
	answer := &serviceAnswer{status: resp.StatusCode, header: resp.Header.Clone()}
	if answer.body, err = io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerBytes+1)); err != nil {
		return nil, outcome.Partial, err
	}
	if len(answer.body) > maxServiceAnswerBytes {
		return nil, outcome.Partial, errors.New("the answer is larger than this entry instance passes on")
	}
	return answer, outcome.Answered, nil
}

// transportErrorEvidence returns what a transport error proves about the call.
func transportErrorEvidence(err error) outcome.Evidence {
	if rest.Refused(err) {
		return outcome.Refused
	}
	return outcome.Lost
}

// checkBeforeSend checks the invariants of a service call right before it is sent.
func (d *Daemon) checkBeforeSend(i fleet.Instance) {
	view := d.view.Load()
	d.monitor.Check(!view.Configuration.DomainOut(i.FailureDomain), invariant.DomainOut, "service call sent to failure domain %s, which is out", i.FailureDomain)
	d.monitor.Check(time.Now().Before(view.FreshUntil), invariant.FreshView, "service call sent on a view that is not fresh, in mode %s", view.Mode)
}

// writeServiceAnswer sends a whole answer to the caller.
func (d *Daemon) writeServiceAnswer(w http.ResponseWriter, s *serviceCall, answer *serviceAnswer) {
	o := outcome.Of(outcome.Answered, s.idempotent, answer.status)
	d.counters.outcomes.Add(string(o), 1)
	for name, values := range answer.header {
		if !slices.Contains(hopByHopHeaders, name) && name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.Header().Set(outcomeHeader, string(o))
	w.WriteHeader(answer.status)
	// An error means that the caller has disconnected; there is nobody left to report it to.
	_, _ = w.Write(answer.body)
}

// claimKey returns the key under which s is claimed on the log. It is a hash, so that it does not
// reveal the idempotency key, and includes the organisation and the deployment, whose keys are
// independent.
func claimKey(s *serviceCall) claim.Key {
	sum := sha256.Sum256([]byte(s.call.organisation + "\x00" + s.deployment.Name + "\x00" + s.idempotencyKey))
	return claim.Key(sum[:16])
}
