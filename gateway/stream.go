package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// A stream is the answer to one caller, made of one or more attempts.
type stream struct {
	call *call
	w    http.ResponseWriter
	rc   *http.ResponseController
	// begun means that the caller has the headers of the answer.
	begun     bool
	lastEvent string
	lastAt    time.Time
	tried     []string
}

// serveStream answers a call of a model.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	s := &stream{call: c, w: w, rc: http.NewResponseController(w), lastEvent: c.request.LastEventID}
	for {
		replica, refused := g.chooseReplica(s)
		if refused != nil {
			g.endStream(ctx, s, refused)
			return
		}
		s.tried = append(s.tried, replica.Name)
		c.servers = append(c.servers, replica.Name)
		ended, err := g.tryReplica(ctx, s, replica)
		if err == nil {
			g.crashes.acquit(c.fingerprint)
			g.ended(c, http.StatusOK, "answered")
			return
		}
		c.why = fmt.Sprintf("%s: %v", replica.Name, err)
		var failure *serverError
		if ctx.Err() != nil || !g.mayRepeat(c, ended != notRun) {
			if errors.As(err, &failure) && !s.begun && ctx.Err() == nil {
				g.passOn(w, c, failure.answer)
				return
			}
			g.endStream(ctx, s, nil)
			return
		}
		g.logger.Info().Str("event", "retry").Str("request", c.request.Attempt).Str("why", c.why).Str("last_event", s.lastEvent).
			Int("ran", c.ran).Msg("request goes on at another replica")
	}
}

// endStream ends an answer that is not whole.
func (g *Gateway) endStream(ctx context.Context, s *stream, refused *refusal) {
	c := s.call
	if s.begun {
		outcome := "broken_off"
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome = "caller_left"
		}
		g.ended(c, http.StatusOK, outcome)
		// The library closes the connection without the end of the body, so that the
		// answer does not look whole.
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		refused = &refusal{status: http.StatusBadGateway, reason: "caller_left"}
	case ctx.Err() != nil:
		refused = c.expired()
	case refused == nil || c.ran > 0:
		refused = c.failed()
	}
	g.refuse(s.w, c, refused)
}

// chooseReplica returns the replica with the earliest first token, or the refusal
// of a request that none can serve in time.
func (g *Gateway) chooseReplica(s *stream) (Replica, *refusal) {
	c, view := s.call, g.view.Load()
	if !g.confirmedLately() && c.sent == 0 {
		return Replica{}, notServed("stale_configuration")
	}
	model, ok := c.service.Engine.Model(c.request.Size.Model)
	if !ok {
		return Replica{}, &refusal{status: http.StatusBadRequest, reason: "unknown_model"}
	}
	b := &g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	var (
		replicas   []Replica
		candidates []dispatch.Candidate
		paces      []dispatch.Pace
		now        = time.Now()
		rest       time.Duration
	)
	for _, r := range view.Replicas[model.Name] {
		seat := b.target(r.Name)
		if slices.Contains(s.tried, r.Name) || !b.takesWork(r.Head, &rest) || now.Before(seat.suspectUntil) || !g.admitsCold(seat, r.Head, r.ColdUntil, false) {
			continue
		}
		other := b.workAtPeers(r.Epoch, now)
		replicas, paces = append(replicas, r), append(paces, seat.pace)
		candidates = append(candidates, dispatch.Candidate{
			Load: seat.load().Add(other.Load), Remote: r.Head.FailureDomain != g.settings.FailureDomain,
			SinceEvent: silence(seat, other, now),
		})
	}
	for i, slowness := range dispatch.Slowdowns(paces, now) {
		candidates[i].Slowdown = slowness
	}
	i, expected := dispatch.Choose(c.service.Engine, model, candidates, c.request.Size, dispatch.LocalityThreshold(c.route.Target), rand.IntN)
	if c.sent == 0 {
		busy := dispatch.BusyTime(c.service.Engine, model, c.request.Size)
		b.addDemand(clock.Boot(), model.Name, time.Duration(dispatch.DemandFactor(expected, c.route.Target)*float64(busy)))
	}
	if i < 0 && rest > 0 {
		return Replica{}, resting(rest)
	}
	if i < 0 {
		return Replica{}, notServed("no_replica")
	}
	if c.sent == 0 && expected > g.longestWait(c) {
		c.why = fmt.Sprintf("first token expected in %v", expected.Round(time.Millisecond))
		return Replica{}, notServed("overload")
	}
	g.admitsCold(b.target(replicas[i].Name), replicas[i].Head, replicas[i].ColdUntil, true)
	return replicas[i], nil
}

const (
	// stallWitnesses is the number of other daemons that a replica must have stalled for to be
	// doubted by one that has nothing there: one alone may be cut off itself.
	stallWitnesses = 2
	// witnessed is the silence that their word stands for.
	witnessed = time.Second
)

// silence returns how long a replica that writes has been without an event, zero
// if it has nothing to write. One that others have given up looks idle, and is taken for
// silent.
func silence(s *targetState, other relay.ReplicaLoad, now time.Time) time.Duration {
	silent := other.SinceEvent
	if other.Stalled >= stallWitnesses && other.Load.Writing == 0 && s.load().Writing == 0 {
		return witnessed
	}
	if s.load().Writing > 0 {
		silent = min(silent, now.Sub(s.lastEventAt))
	}
	if silent >= noEvent {
		return 0
	}
	return silent
}

// lateShare is the part of the time that a caller has left within which a request
// that has come back is still taken: an answer that is late is worth something,
// and the stream itself needs the rest.
const lateShare = 0.5

// overdue is the part of the target beyond which a request is refused that has
// not come back yet.
const overdue = 1.5

// longestWait returns how late the first token of c may be expected for it to be
// taken.
func (g *Gateway) longestWait(c *call) time.Duration {
	left := time.Until(c.deadline)
	if came := c.route.Timeout - c.request.Timeout; came > returnSoon/2 {
		return time.Duration(lateShare * float64(left))
	}
	return min(time.Duration(overdue*float64(c.route.Target)), time.Duration(lateShare*float64(left)))
}

// A serverError is a failure that a server answered with.
type serverError struct{ answer *plainAnswer }

// Error returns the status.
func (f *serverError) Error() string { return fmt.Sprintf("server answered %d", f.answer.status) }

// tryReplica makes one attempt at the rest of s. It returns nil once the caller has
// the whole answer.
func (g *Gateway) tryReplica(ctx context.Context, s *stream, replica Replica) (sign, error) {
	c := s.call
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, span := g.tracer.Start(ctx, "replica", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("replica", replica.Name)))
	defer span.End()
	a := &attempt{target: replica.Name, epoch: replica.Epoch, work: c.request.Size, engine: c.service.Engine, model: replica.Model, fingerprint: c.fingerprint, sentAt: time.Now(), resentAfterCrash: c.crashes > 0, cancel: cancel}
	a.lastEventAt = a.sentAt
	g.checkNewWork(replica)
	g.board.add(a)
	defer g.board.remove(a)
	resp, ended, err := g.send(ctx, c, replica.Head, s.lastEvent)
	if ended != notRun {
		c.ran++
	}
	if ended != answered {
		if !errors.Is(err, errForeign) && !errors.Is(context.Cause(ctx), context.Canceled) && !g.board.rests(replica.Head) {
			g.board.markSuspect(a, time.Now())
		}
		if ended == lost {
			g.handleLostAttempt(ctx, c, a, replica.Head)
		}
		return ended, cause(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answered, g.takeFailure(c, resp)
	}
	if err = g.relay(s, a, resp); err != nil {
		if ctx.Err() == nil {
			g.board.markSuspect(a, time.Now())
		}
		g.handleLostAttempt(ctx, c, a, replica.Head)
		return lost, cause(ctx, err)
	}
	return answered, nil
}

// cause returns why ctx ended, or err if it did not.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// takeFailure returns the failure that a server answered with.
func (g *Gateway) takeFailure(c *call, resp *http.Response) error {
	answer, err := g.readAnswer(c, resp)
	if err != nil {
		return err
	}
	return &serverError{answer: answer}
}

// checkNewWork checks, right before work is given, what must hold for it.
func (g *Gateway) checkNewWork(r Replica) {
	view := g.view.Load()
	i := slices.IndexFunc(view.Replicas[r.Model.Name], func(v Replica) bool { return v.Name == r.Name })
	g.monitor.Check(len(r.Members) == r.Model.Size, invariant.CompleteReplica, "replica %s has %d members", r.Name, len(r.Members))
	g.monitor.Check(i >= 0 || !view.DomainsOut[r.Head.FailureDomain], invariant.DomainOut, "failure domain %s is out", r.Head.FailureDomain)
}

const (
	// readBytes is the size of one read of a stream: several events.
	readBytes = 8 << 10
	// writeTimeout bounds the wait for a caller to take an event.
	writeTimeout = 5 * time.Second
	// maxEvent bounds one event of a stream, in bytes: a hundred times the largest of the
	// users' sheets.
	maxEvent = 64 << 10
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// relay passes the events of an attempt to the caller, whole ones only, so that the
// stream can go on elsewhere.
func (g *Gateway) relay(s *stream, a *attempt, resp *http.Response) error {
	buffer := make([]byte, 0, readBytes)
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEvent {
				return fmt.Errorf("event is longer than %d bytes", maxEvent)
			}
			buffer = slices.Grow(buffer, cap(buffer))
		}
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		whole := bytes.LastIndex(buffer, eventEnd) + len(eventEnd)
		if errors.Is(err, io.EOF) {
			whole = len(buffer)
		}
		if whole >= len(eventEnd) && whole > 0 {
			if writeErr := g.passEvents(s, a, resp, buffer[:whole]); writeErr != nil {
				return writeErr
			}
			buffer = buffer[:copy(buffer, buffer[whole:])]
		}
		if errors.Is(err, io.EOF) {
			s.begin(resp)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// passEvents passes whole events to the caller.
func (g *Gateway) passEvents(s *stream, a *attempt, resp *http.Response, events []byte) error {
	first := !a.started
	pause := g.board.recordEvent(a, time.Now())
	if first {
		g.metrics.firstEvent.observe(pause)
	} else {
		g.metrics.pause.observe(pause)
	}
	s.time()
	s.begin(resp)
	if _, err := s.w.Write(events); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := s.rc.Flush(); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if id, ok := lastID(events); ok {
		s.lastEvent = id
	}
	return nil
}

// time notes how long the caller waited for the events that it gets now.
func (s *stream) time() {
	now := time.Now()
	if s.lastAt.IsZero() {
		s.call.first = now.Sub(s.call.arrived)
	} else {
		s.call.pause = max(s.call.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// begin sends the headers of the answer, once.
func (s *stream) begin(resp *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	platform.EncodeResponse(s.w.Header(), resp.Header)
	s.w.Header().Del("Content-Length")
	if err := s.rc.SetWriteDeadline(s.call.deadline.Add(writeTimeout)); err != nil {
		s.call.why = err.Error()
	}
	s.w.WriteHeader(resp.StatusCode)
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return "", false
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}
