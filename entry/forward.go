package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/link"
)

// forwardPath is the path for requests that peers forward.
const forwardPath = "/v1/forward"

// A forwardRequest asks the director of a cold replica to run the rest of a request. While a
// replica is cold, only its director may send work to it, so that the cold limit holds over all
// daemons.
type forwardRequest struct {
	Request      string                 `cbor:"request"`
	Organisation string                 `cbor:"organisation"`
	Deployment   string                 `cbor:"deployment"`
	Prompt       string                 `cbor:"prompt"`
	Fingerprint  quarantine.Fingerprint `cbor:"fingerprint"`
	Start        int                    `cbor:"start"`
	Prefix       string                 `cbor:"prefix"`
	MaxTokens    int                    `cbor:"max_tokens"`
	Timeout      time.Duration          `cbor:"timeout"`
	Model        string                 `cbor:"model"`
	Adapter      string                 `cbor:"adapter"`
	Version      string                 `cbor:"version"`
	Trace        map[string]string      `cbor:"trace"`
}

// A forwardMessage is one message of the answer to a forwardRequest: a token, the end, or a
// refusal.
type forwardMessage struct {
	Text    string   `cbor:"text"`
	Done    bool     `cbor:"done"`
	Refusal *refusal `cbor:"refusal,omitempty"`
}

// forwardTarget returns the replica to whose director g is to be forwarded. That is the case if all
// replicas of its deployment are cold and this daemon directs none of them. The fingerprint spreads
// requests over the replicas.
func (g *generateCall) forwardTarget(view *control.View) (control.Replica, bool) {
	if g.forwarded || g.attempts > 0 {
		return control.Replica{}, false
	}
	replicas := g.eligible(view)
	if slices.ContainsFunc(replicas, func(r control.Replica) bool { return r.Warm || r.Directed }) {
		return control.Replica{}, false
	}
	replicas = slices.DeleteFunc(replicas, func(r control.Replica) bool { return r.Director == "" })
	if len(replicas) == 0 {
		return control.Replica{}, false
	}
	return replicas[int(uint64(g.fingerprint)%uint64(len(replicas)))], true
}

// forwardTo forwards the rest of g to the director of r and relays its answer.
func (d *Daemon) forwardTo(ctx context.Context, g *generateCall, r control.Replica) error {
	ctx, span := d.tracer.Start(ctx, "entry forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	f := forwardRequest{
		Request: g.call.requestID, Organisation: g.call.organisation, Deployment: g.deployment.Name, Prompt: g.prompt,
		Fingerprint: g.fingerprint, Start: g.tokens, Prefix: g.prefix.String(), MaxTokens: g.maxTokens, Timeout: time.Until(g.deadline),
		Model: r.Model, Adapter: r.Adapter, Version: r.Version, Trace: make(map[string]string),
	}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(f.Trace))
	g.attempts++
	d.counters.attempts.Add("forward", 1)
	var (
		call *link.Call[forwardMessage]
		err  error
	)
	if call, err = link.Dial[forwardMessage](ctx, d.singleUse, d.peerScheme()+r.Director+forwardPath, d.settings.Peers.Secret, f); err != nil {
		return fmt.Errorf("forward to director %s: %w", r.Director, err)
	}
	defer call.Close()
	g.pinned = &r
	for {
		var m forwardMessage
		if m, err = call.Next(); err != nil {
			return fmt.Errorf("read forwarded answer of director %s: %w", r.Director, err)
		}
		switch {
		case m.Refusal != nil:
			return m.Refusal
		case m.Done:
			return nil
		}
		if err = g.emitToken(d, m.Text); err != nil {
			return err
		}
	}
}

// emitToken records the next token of the answer and sends it to the caller.
func (g *generateCall) emitToken(d *Daemon, text string) error {
	g.tokens++
	g.prefix.WriteString(text)
	d.counters.tokens.Add(1)
	if err := g.emit(text); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// handleForward runs the rest of a request that a peer has forwarded.
func (d *Daemon) handleForward(ctx context.Context, f forwardRequest, send func(forwardMessage) error) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(f.Trace))
	ctx, span := d.tracer.Start(ctx, "entry forwarded", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	g := &generateCall{
		call:       call{requestID: f.Request, organisation: f.Organisation, startedAt: time.Now()},
		deployment: fleet.Deployment{Name: f.Deployment}, prompt: f.Prompt, maxTokens: f.MaxTokens, fingerprint: f.Fingerprint,
		deadline: time.Now().Add(f.Timeout), tokens: f.Start, forwarded: true,
		pinned: &control.Replica{Model: f.Model, Adapter: f.Adapter, Version: f.Version},
	}
	g.prefix.WriteString(f.Prefix)
	g.emit = func(text string) error { return send(forwardMessage{Text: text}) }
	end := forwardMessage{Done: true}
	if r := d.generate(ctx, g); r != nil {
		end = forwardMessage{Refusal: r}
	}
	// If the end is not delivered, the peer treats the forwarded attempt as failed.
	_ = send(end)
}

// finalRefusal returns the refusal with which a forwarded request ended. It reports false if the
// director did not run the request, which may then be tried again here.
func finalRefusal(err error) (*refusal, bool) {
	var r *refusal
	if errors.As(err, &r) && r.Outcome != outcome.NotRun {
		return r, true
	}
	return nil, false
}
