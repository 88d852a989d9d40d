package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/hedge"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// errOvertaken is the cancellation cause of an attempt when another one has delivered.
var errOvertaken = errors.New("another attempt was faster")

// errRunEnded is the cancellation cause of a silent attempt whose server has provably ended its run.
var errRunEnded = errors.New("server has started again or left the replica")

// A streamRun is one attempt at the rest of a stream. It runs in a goroutine of its own, the stream in that
// of its caller.
type streamRun struct {
	number  int
	replica Replica
	attempt *attempt
	// lastEventID is the last event that the caller had when the attempt began. emptyIsEnd means that an
	// end without events is the end of the stream.
	lastEventID string
	emptyIsEnd  bool
	// delivered means that events have been passed to the stream, resp is the answer. Only the attempt's
	// goroutine uses them before its end.
	delivered bool
	resp      *http.Response
	try       try
	// unanswered means that its server is recorded as one that has not answered the request.
	unanswered bool
	// nextRetryAt is when its silence is next a reason to start another attempt.
	nextRetryAt time.Time
	// written receives the result of writing the events that were passed last.
	written chan error
	// blocked receives a value when the caller does not read the events that were passed last, ahead holds those that were
	// read since then. Only the attempt's goroutine uses readsAhead, which is set while there may be some.
	blocked    chan struct{}
	ahead      aheadBuffer
	readsAhead bool
}

// A runMessage is a batch of complete events, valid until written is sent a result, or the end of an attempt.
type runMessage struct {
	run    *streamRun
	events []byte
	// lastID is the id of the last of the events.
	lastID string
	ended  bool
	result attemptResult
	err    error
}

// A silence reports that the attempt with the given number has sent nothing since a time for too long.
type silence struct {
	number int
	since  time.Time
	why    error
}

// newStream returns the answer to c.
func newStream(w http.ResponseWriter, c *call) *stream {
	return &stream{
		call: c, w: w, rc: http.NewResponseController(w), lastEventID: c.request.LastEventID, runs: make(map[int]*streamRun),
		messages: make(chan runMessage), silences: make(chan silence, maxSends), done: make(chan struct{}),
	}
}

// close ends the attempts that are under way. They report their ends to the group of the gateway's work.
func (s *stream) close() {
	close(s.done)
	for _, run := range s.runs {
		run.attempt.cancel(errOvertaken)
	}
}

// startAttempt starts an attempt at the rest of s at the best replica that was not tried yet. The refusal
// says why there is none.
func (g *Gateway) startAttempt(ctx context.Context, s *stream) *refusal {
	c := s.call
	view := g.view.Load()
	replica, refused := g.chooseReplica(view, s)
	if refused != nil {
		return refused
	}
	if c.sent > 0 && !g.takeRetry(c) {
		return c.backendFailure()
	}
	if refused = g.beginTrial(c); refused != nil {
		return refused
	}
	g.startAttemptAt(ctx, s, view, replica)
	return nil
}

// startAttemptAt starts an attempt at the rest of s at a replica of view, and returns its number.
func (g *Gateway) startAttemptAt(ctx context.Context, s *stream, view *View, replica Replica) int {
	c := s.call
	s.tried, c.servers = append(s.tried, replica.Name), append(c.servers, replica.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	run := &streamRun{number: s.race.Start(), replica: replica, lastEventID: s.lastEventID, emptyIsEnd: s.endedWithoutEvents, written: make(chan error, 1), blocked: make(chan struct{}, 1)}
	a := &attempt{
		target: replica.Name, address: replica.Head.Address, epoch: replica.Epoch, work: c.request.Size, engine: c.service.Engine, model: replica.Model, firstEventTarget: c.route.Target,
		fingerprint: c.fingerprint, sentAt: time.Now(), resentAfterCrash: c.crashes.Load() > 0, cancel: cancel,
	}
	a.lastEventAt = a.sentAt
	a.silent = func(since time.Time, why error) {
		select {
		case s.silences <- silence{number: run.number, since: since, why: why}:
		default:
			// The stream has not handled the last ones yet.
		}
	}
	if g.settings.SlowPeers {
		a.blocked = func() {
			select {
			case run.blocked <- struct{}{}:
			default:
			}
		}
	}
	if c.firstEventDelay == 0 {
		a.parts = c.parts
	}
	run.attempt, s.runs[run.number] = a, run
	g.checkDispatch(view, replica)
	g.tracker.add(a)
	c.sent++
	g.work.Go(ctx, "attempt", func(ctx context.Context) error {
		defer cancel(nil)
		result, err := g.tryReplica(ctx, s, run)
		g.tracker.remove(a)
		g.recordUnansweredTime(ctx, c, a, result)
		select {
		case s.messages <- runMessage{run: run, ended: true, result: result, err: err}:
		case <-s.done:
		}
		return nil
	})
	return run.number
}

// tryReplica makes one attempt at the remaining part of s. It returns a nil error once the stream has the
// whole answer.
func (g *Gateway) tryReplica(ctx context.Context, s *stream, run *streamRun) (attemptResult, error) {
	c, a, head := s.call, run.attempt, run.replica.Head
	ctx, span := g.tracer.Start(ctx, "replica", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("replica", run.replica.Name)))
	defer span.End()
	resp, result, err := g.send(withAttempt(ctx, a), c, head, run.lastEventID)
	if result != answered {
		if !errors.Is(err, platform.ErrForeignResponse) && !isUnreached(err) && !isHelperLost(err) && !isGivenUp(context.Cause(ctx)) && !g.tracker.isBackingOff(head) {
			g.tracker.markSuspect(a, time.Now())
		}
		if result == lost {
			g.handleLostAttempt(ctx, c, a, head)
		}
		return result, causeOr(ctx, err)
	}
	run.resp = resp
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answered, g.readFailure(ctx, c, resp)
	}
	if err = g.forwardEvents(ctx, s, run); err != nil {
		mayBeComplete := errors.Is(err, errNoEvent) && run.lastEventID != ""
		if ctx.Err() == nil && !mayBeComplete && !isHelperLost(err) && !errors.Is(err, errCallerGone) {
			g.tracker.markSuspect(a, time.Now())
		}
		if !errors.Is(err, errCallerGone) {
			g.handleLostAttempt(ctx, c, a, head)
		}
		return lost, causeOr(ctx, err)
	}
	g.recordBegun(a)
	return answered, nil
}

// isGivenUp returns whether cause is that of an attempt that was cancelled for a reason that says nothing
// about its server.
func isGivenUp(cause error) bool {
	return errors.Is(cause, context.Canceled) || errors.Is(cause, errConvictedPart) || errors.Is(cause, errOvertaken)
}

// errCallerGone means that events could not be written to the caller.
var errCallerGone = errors.New("caller does not read its answer")

// handleMessage handles a message of an attempt, and returns whether the call has ended.
func (g *Gateway) handleMessage(ctx context.Context, s *stream, m runMessage) bool {
	if m.ended {
		return g.handleEnd(ctx, s, m)
	}
	if !s.race.Live(m.run.number) {
		m.run.written <- errOvertaken
		return false
	}
	for _, n := range s.race.Delivered(m.run.number) {
		s.call.mayHaveRun(&s.runs[n].try)
		s.runs[n].attempt.cancel(errOvertaken)
	}
	g.recordWinner(s.call, &s.extra, m.run.number, s.firstAttempt())
	m.run.ahead.begin()
	err := g.writeEvents(s, m.run.attempt, m.run.resp, m.events)
	if err == nil {
		err = g.writeAhead(s, &m)
	}
	g.tracker.recordWritten(m.run.attempt, time.Now())
	if err == nil {
		s.lastEventID, s.endedWithoutEvents = m.lastID, false
		m.run.written <- nil
		return false
	}
	m.run.written <- fmt.Errorf("%w: %w", errCallerGone, err)
	s.call.detail, s.call.endedBy = err.Error(), endedByCaller
	if g.memory.pays(&s.call.held) {
		s.call.detail, s.call.endedBy = errMemoryFull.Error(), endedByDaemon
	}
	g.endStream(ctx, s, nil)
	return true
}

// handleEnd handles the end of an attempt, and returns whether the call has ended.
func (g *Gateway) handleEnd(ctx context.Context, s *stream, m runMessage) bool {
	c := s.call
	live := s.race.Live(m.run.number)
	s.recordEnd(m)
	if !live {
		return false
	}
	if m.err == nil {
		s.sendHeaders(m.run.resp)
		c.endedBy = ""
		g.crashes.acquit(c.fingerprint)
		g.recordOutcome(c, http.StatusOK, "answered")
		return true
	}
	c.detail, c.endedBy = fmt.Sprintf("%s: %v", m.run.replica.Name, m.err), endOf(ctx, m.err)
	if errors.Is(m.err, errNoEvent) && isFramed(m.run.resp) {
		// An empty continuation counts if another server agrees.
		s.endedWithoutEvents = s.lastEventID != ""
	}
	var failure *serverError
	if errors.As(m.err, &failure) {
		s.failure = failure
	}
	if s.race.Ended(m.run.number) == hedge.Wait || ctx.Err() != nil {
		return false
	}
	refused := g.retry(ctx, s, m.result != notRun, c.detail)
	if refused == nil || s.race.Open() > 0 {
		// A silent attempt may still answer.
		return false
	}
	g.endFailed(ctx, s, refused)
	return true
}

// endFailed ends a stream that no server can go on with.
func (g *Gateway) endFailed(ctx context.Context, s *stream, refused *refusal) {
	if s.failure != nil && !s.headersSent {
		g.writeAnswer(s.w, s.call, s.failure.answer)
		return
	}
	g.endStream(ctx, s, refused)
}

// retry starts another attempt, if the call may be sent once more. ran is whether the last attempt may
// have run, why what became of it. The refusal says why there is none.
func (g *Gateway) retry(ctx context.Context, s *stream, ran bool, why string) *refusal {
	c := s.call
	s.countRuns()
	if !g.mayRepeat(c, ran) {
		return cmp.Or(g.refuseParts(c), c.backendFailure())
	}
	return g.tryAnother(ctx, s, why)
}

// tryAnother starts another attempt for the reason why. The refusal says why there is none.
func (g *Gateway) tryAnother(ctx context.Context, s *stream, why string) *refusal {
	c := s.call
	if refused := g.startAttempt(ctx, s); refused != nil {
		return refused
	}
	g.logger.Info().Str("event", "retry").Str("request", c.request.Attempt).Str("why", why).Str("last_event", s.lastEventID).
		Int("ran", c.ran).Int("kept", s.race.Open()-1).Msg("attempt failed or fell silent; trying another replica")
	return nil
}

// recordEnd counts the attempt that ended with m as one that may have run, unless there is proof that it
// did not.
func (s *stream) recordEnd(m runMessage) {
	c := s.call
	delete(s.runs, m.run.number)
	c.recordHelper(m.run.attempt)
	c.recordResult(&m.run.try, m.result)
}

// firstAttempt returns the first attempt at s, nil if it has ended.
func (s *stream) firstAttempt() *attempt {
	if run, ok := s.runs[1]; ok {
		return run.attempt
	}
	return nil
}

// countRuns counts the attempts that are under way as ones that may have run, as another one is to be made.
func (s *stream) countRuns() {
	for _, run := range s.runs {
		s.call.mayHaveRun(&run.try)
	}
}

// A try is what a call counts of one attempt.
type try struct {
	// counted means that the call counts the attempt as one that may have run.
	counted bool
}

// mayHaveRun counts the attempt of t as one that may have run.
func (c *call) mayHaveRun(t *try) {
	if !t.counted {
		t.counted = true
		c.ran++
	}
}

// recordResult counts the attempt of t as one that may have run, unless its result proves that it did not.
func (c *call) recordResult(t *try, result attemptResult) {
	switch {
	case result != notRun:
		c.mayHaveRun(t)
	case t.counted:
		t.counted = false
		c.ran--
	}
}

// runEndTimeout bounds the wait for attempts to end that have been cancelled.
const runEndTimeout = 50 * time.Millisecond

// awaitRuns waits for the ends of the attempts after the context of the call has ended, so that a call that
// was sent nowhere is known as not run. An attempt that does not end in time may have run.
func (g *Gateway) awaitRuns(s *stream) {
	timeout := time.After(runEndTimeout)
	for len(s.runs) > 0 {
		select {
		case m := <-s.messages:
			if m.ended {
				s.recordEnd(m)
			} else {
				m.run.written <- errOvertaken
			}
		case <-timeout:
			s.countRuns()
			return
		}
	}
}

// silentRetryInterval is the time between two tries to find another replica for a stream whose attempts are
// all silent: a few statuses of the other daemons.
const silentRetryInterval = 300 * time.Millisecond

// handleSilence starts another attempt beside one that has fallen silent, if the call may be sent once
// more.
func (g *Gateway) handleSilence(ctx context.Context, s *stream, m silence) {
	run, ok := s.runs[m.number]
	if !ok || !s.race.Live(m.number) || !g.tracker.isSilentSince(run.attempt, m.since) {
		return
	}
	if g.view.Load().hasEnded(run.replica.Head, run.replica.Epoch) {
		run.attempt.cancel(errRunEnded)
		return
	}
	now := time.Now()
	if !run.unanswered {
		// The server may have ended under the request.
		run.unanswered = true
		g.crashes.recordUnanswered(now, incarnationOf(run.replica.Head), s.call.fingerprint)
		g.enqueue(unansweredCheck{})
	}
	if s.race.Silent(m.number) == hedge.Wait || now.Before(run.nextRetryAt) {
		return
	}
	run.nextRetryAt = now.Add(silentRetryInterval)
	s.countRuns()
	if g.mayRepeat(s.call, true) {
		// Without another attempt, the silent one goes on alone.
		g.tryAnother(ctx, s, fmt.Sprintf("%s: %v", run.replica.Name, m.why))
	}
}

// hasEnded returns whether the run of a request at head, in the replica with the given epoch, has provably
// ended: the server is listed with another incarnation, or has joined another replica since. One that is no
// longer listed may still serve, and one at whose address another is listed, too.
func (v *View) hasEnded(head site.Server, epoch int64) bool {
	listed, ok := v.Servers[head.Address]
	return ok && listed.ID == head.ID && (listed.Born != head.Born || listed.Member.Epoch > epoch)
}
