package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/hedge"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// A stream is the answer to one caller, assembled from one or more attempts.
type stream struct {
	call *call
	w    http.ResponseWriter
	rc   *http.ResponseController
	// headersSent means that the response headers have been sent to the caller.
	headersSent bool
	lastEventID string
	lastEventAt time.Time
	tried       []string
	// endedWithoutEvents means that a server has ended its continuation after the last event without
	// another one.
	endedWithoutEvents bool
	// failure is the failure that a server answered with, nil if none did.
	failure *serverError
	// race decides which attempts are kept, runs holds those that have not ended, by number.
	race hedge.Race
	runs map[int]*streamRun
	// extra is the extra attempt at the first event, if it may get one.
	extra extraAttempt
	// messages are what the attempts have to tell, silences those that have fallen silent. done is closed
	// when the call has ended.
	messages chan runMessage
	silences chan silence
	done     chan struct{}
}

// serveStream handles a call to a model. An attempt whose replica falls silent goes on beside the next
// one until either of them delivers.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	s := newStream(w, c)
	defer s.close()
	if refused := g.startAttempt(ctx, s); refused != nil {
		g.endStream(ctx, s, refused)
		return
	}
	s.extra = g.awaitAnswer(c)
	defer s.extra.stop()
	for {
		select {
		case <-s.extra.due:
			g.startExtraStream(ctx, s)
		case m := <-s.messages:
			if g.handleMessage(ctx, s, m) {
				return
			}
		case m := <-s.silences:
			g.handleSilence(ctx, s, m)
		case <-ctx.Done():
			g.awaitRuns(s)
			c.endedBy = endOf(ctx, nil)
			if s.failure != nil && !s.headersSent && c.endedBy != endedByCaller {
				g.writeAnswer(w, c, s.failure.answer)
				return
			}
			g.endStream(ctx, s, nil)
			return
		}
	}
}

// endStream ends an answer that is incomplete.
func (g *Gateway) endStream(ctx context.Context, s *stream, refused *refusal) {
	c := s.call
	if s.headersSent {
		outcome := "broken_off"
		if c.endedBy == endedByCaller {
			outcome = "caller_left"
		}
		g.recordOutcome(c, http.StatusOK, outcome)
		// The HTTP server closes the connection without the end of the body, so that the caller
		// cannot take the answer for complete.
		panic(http.ErrAbortHandler)
	}
	switch {
	case c.endedBy == endedByCaller:
		refused = &refusal{status: http.StatusBadGateway, reason: "caller_left"}
	case ctx.Err() != nil:
		refused = c.timedOut()
	case refused == nil || c.ran > 0 && refused.status != http.StatusBadGateway:
		refused = c.backendFailure()
	}
	g.refuse(s.w, c, refused)
}

// chooseReplica returns the replica with the earliest expected first token, or a refusal if no
// replica of view can serve the request in time.
func (g *Gateway) chooseReplica(view *View, s *stream) (Replica, *refusal) {
	c := s.call
	if !g.configurationFresh() && c.sent == 0 {
		return Replica{}, unavailable("stale_configuration")
	}
	model, ok := c.service.Engine.Model(c.request.Size.Model)
	if !ok {
		return Replica{}, &refusal{status: http.StatusBadRequest, reason: "unknown_model"}
	}
	b := &g.tracker
	b.mu.Lock()
	defer b.mu.Unlock()
	var (
		now     = time.Now()
		backoff time.Duration
	)
	replicas, candidates := g.replicaCandidates(view, s, model, now, false, &backoff)
	if len(replicas) == 0 && c.sent > 0 && s.race.Open() == 0 {
		// Nothing is left to lose: a suspect may be sound again.
		replicas, candidates = g.replicaCandidates(view, s, model, now, true, &backoff)
	}
	i, expected := dispatch.Choose(c.service.Engine, model, candidates, c.request.Size, dispatch.LocalityThreshold(c.route.Target), rand.IntN)
	if c.sent == 0 {
		busy := dispatch.BusyTime(c.service.Engine, model, c.request.Size)
		b.addDemand(clock.Boot(), model.Name, time.Duration(dispatch.DemandFactor(expected, c.route.Target)*float64(busy)))
		b.addArrival(clock.Boot(), c)
	}
	if i < 0 && backoff > 0 {
		return Replica{}, backingOff(backoff)
	}
	if i < 0 {
		return Replica{}, unavailable("no_replica")
	}
	if c.sent == 0 {
		var refused *refusal
		i, refused = g.decideRoom(c, model, candidates, i, expected)
		g.recordUsage(c.service.Name, c.organisation.Name, dispatch.BusyTime(c.service.Engine, model, c.request.Size), refused == nil)
		if refused != nil {
			return Replica{}, refused
		}
	}
	g.charge(view, replicas[i].Head, replicas[i].ColdUntil)
	return replicas[i], nil
}

// replicaCandidates returns the replicas of view that may be sent a request to model, without suspects
// unless they are wanted. The caller holds the lock of the tracker.
func (g *Gateway) replicaCandidates(view *View, s *stream, model site.Model, now time.Time, suspects bool, backoff *time.Duration) ([]Replica, []dispatch.Candidate) {
	var (
		b          = &g.tracker
		replicas   []Replica
		candidates []dispatch.Candidate
		paces      []dispatch.Pace
		epochs     []int64
		onTime     = g.policy().Admission.OnTime
	)
	for _, r := range view.Replicas[servedModel{service: s.call.service.Name, model: model.Name}] {
		state := b.target(r.Name)
		route := g.peekRoute(view.destination(r.Head.Address))
		if route == detour.Closed || slices.Contains(s.tried, r.Name) || !b.admitsWork(r.Head, backoff) || !suspects && now.Before(state.suspectUntil) || !g.admits(view, r.Head, r.ColdUntil, backoff) {
			continue
		}
		other := b.workAtPeers(r.Epoch, now)
		replicas, paces, epochs = append(replicas, r), append(paces, state.pace), append(epochs, r.Epoch)
		candidate := dispatch.Candidate{
			Load: state.load().Add(other.Load), Remote: r.Head.FailureDomain != g.settings.FailureDomain || route == detour.Around,
			SinceEvent: timeSinceEvent(state, other, now), ReportAge: b.reportAge(state, other, now),
		}
		if onTime && candidate.Load.Writing == 0 && candidate.SinceEvent == 0 {
			// All that is known of it is as old as what is known of the others.
			candidate.SinceEvent = candidate.ReportAge
		}
		candidates = append(candidates, candidate)
	}
	told := b.slow.Slowdowns(clock.Boot(), epochs)
	for i, slowdown := range dispatch.Slowdowns(paces, now) {
		candidates[i].Slowdown = max(slowdown, told[i])
	}
	return replicas, candidates
}

const (
	// minStallReports is the number of other daemons that must report a replica as stalled before a
	// daemon without requests there treats it as stalled: a single reporter may itself be cut off.
	minStallReports = 2
	// reportedSilence is the time without events that is assumed for such a replica.
	reportedSilence = time.Second
)

// timeSinceEvent returns how long a generating replica has sent no event, zero if it has nothing to
// generate. A replica that enough other daemons report as stalled has no requests left and would
// look idle, so it counts as silent.
func timeSinceEvent(s *targetState, other relay.ReplicaLoad, now time.Time) time.Duration {
	silent := other.SinceEvent
	if other.Stalled >= minStallReports && other.Load.Writing == 0 && s.load().Writing == 0 {
		return reportedSilence
	}
	if s.load().Writing > 0 {
		silent = min(silent, now.Sub(s.lastEventAt))
	}
	if silent >= noEvent {
		return 0
	}
	return silent
}

// A serverError is a failure status that a server answered with.
type serverError struct{ answer *plainAnswer }

// Error returns the status.
func (f *serverError) Error() string { return fmt.Sprintf("server answered %d", f.answer.status) }

// recordBegun records that the server of a began to answer it and did not crash.
func (g *Gateway) recordBegun(a *attempt) {
	if !a.acquitted && a.started {
		a.acquitted = true
		g.crashes.recordAnswer(a.startedAt, a.model.Name, a.parts, g.view.Load().Daemons)
	}
}

// causeOr returns the cancellation cause of ctx, or err if ctx has not ended.
func causeOr(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// readFailure reads the failure that a server answered with.
func (g *Gateway) readFailure(ctx context.Context, c *call, resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return checkStream(resp.StatusCode, resp.Header)
	}
	answer, err := g.readAnswer(ctx, c, resp)
	if err != nil {
		return err
	}
	return &serverError{answer: answer}
}

// checkDispatch checks, right before a request is sent to a replica that was chosen from view, that the
// replica is complete and that its failure domain is in service.
func (g *Gateway) checkDispatch(view *View, r Replica) {
	g.monitor.Check(len(r.Members) == r.Model.Size, invariant.CompleteReplica, "replica %s has %d members", r.Name, len(r.Members))
	g.monitor.Check(!view.DomainsOut[r.Head.FailureDomain], invariant.DomainOut, "failure domain %s is out of service", r.Head.FailureDomain)
}

const (
	// readBufferBytes is the initial size of the read buffer of a stream: several events.
	readBufferBytes = 8 << 10
	// writeTimeout bounds how long after the deadline a caller may take to read the answer.
	writeTimeout = 5 * time.Second
	// maxEventBytes is the limit for one event of a stream: a hundred times the largest event in
	// the users' sheets.
	maxEventBytes = 64 << 10
)

// errPartialEvent means that a stream ended in the middle of an event, so that it is incomplete even
// if its connection was closed cleanly.
var errPartialEvent = errors.New("stream ended in the middle of an event")

// errNoEvent means that a stream ended before its first event.
var errNoEvent = errors.New("stream ended without an event")

// end returns whether the end of the body of run, which is inside an event if partial is set, is the end
// of the stream.
func (run *streamRun) end(partial bool) error {
	switch {
	case partial:
		return errPartialEvent
	case run.delivered || run.emptyIsEnd && isFramed(run.resp):
		return nil
	}
	// The server may have crashed. One that crashes closes its connections, so that it ends a response with
	// neither a length nor chunks, too.
	return errNoEvent
}

// isFramed returns whether the body of a response has a length or chunks, and does not end with its
// connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// writeEvents writes complete events to the caller.
func (g *Gateway) writeEvents(s *stream, a *attempt, resp *http.Response, events []byte) error {
	first := !a.started
	now := time.Now()
	pause := g.tracker.recordWriting(a, now)
	if first {
		g.metrics.firstEvent.observe(pause)
		if s.call.firstEventDelay == 0 {
			g.recordAnswerTime(s.call, pause)
		}
	} else {
		g.metrics.pause.observe(pause)
	}
	if now.Sub(a.startedAt) >= answerBeginning {
		g.recordBegun(a)
	}
	s.recordPause(now)
	s.sendHeaders(resp)
	return s.write(events)
}

// write writes complete events to the caller.
func (s *stream) write(events []byte) error {
	if _, err := s.w.Write(events); err != nil {
		return fmt.Errorf("write events to caller: %w", err)
	}
	if err := s.rc.Flush(); err != nil {
		return fmt.Errorf("write events to caller: %w", err)
	}
	return nil
}

// recordPause records how long the caller waited for the events that are written next, at now.
func (s *stream) recordPause(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.call.firstEventDelay = now.Sub(s.call.arrived)
	} else {
		s.call.longestPause = max(s.call.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// sendHeaders sends the response headers, once.
func (s *stream) sendHeaders(resp *http.Response) {
	if s.headersSent {
		return
	}
	s.headersSent = true
	platform.EncodeResponse(s.w.Header(), resp.Header)
	s.w.Header().Del("Content-Length")
	if err := s.rc.SetWriteDeadline(s.call.deadline.Add(writeTimeout)); err != nil {
		s.call.detail = err.Error()
	}
	s.w.WriteHeader(resp.StatusCode)
}
