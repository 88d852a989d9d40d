package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/hedge"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// maxPlainAnswerBytes is the limit for the answer of a plain service, or the failure answer of
	// any service. Both are read completely before any part is forwarded.
	maxPlainAnswerBytes = 8 << 20
	// answerChunkBytes is how much of an answer is read at a time. An answer smaller than this is
	// always read where a deployment has no slow peers, because it is not counted.
	answerChunkBytes = 64 << 10
)

var (
	// errTooLarge means that an answer exceeds maxPlainAnswerBytes.
	errTooLarge = fmt.Errorf("server answer exceeds %d bytes", maxPlainAnswerBytes)
	// errBufferFull means that there is no memory for a request, as the daemon holds as much as it may.
	errBufferFull = errors.New("no memory for the request: limit of the bytes held for all requests reached")
)

// A plainAnswer is the complete answer of a plain service, or the failure answer of any service.
type plainAnswer struct {
	status int
	header http.Header
	// parts are the body, in parts whose memory is released as they are written.
	parts [][]byte
}

// length returns the length of the body.
func (a *plainAnswer) length() int {
	length := 0
	for _, part := range a.parts {
		length += len(part)
	}
	return length
}

// A plainCall is a call to a plain service and the attempts at it.
type plainCall struct {
	call *call
	// tried are the ids of the servers that were tried, last is the failure that a server answered with.
	tried []string
	last  *plainAnswer
	// backoff is the time until the first backing-off server accepts requests again, if none was left to try.
	backoff time.Duration
	// race decides which attempts are kept, runs holds those that have not ended, by number.
	race hedge.Race
	runs map[int]*plainRun
	// ends are the ends of attempts, silences the numbers of those that have not answered for a while.
	// done is closed when the call has ended.
	ends     chan plainEnd
	silences chan int
	done     chan struct{}
}

// A plainRun is one attempt at a plain call, in a goroutine of its own.
type plainRun struct {
	number  int
	server  site.Server
	attempt *attempt
	try     try
}

// A plainEnd is the end of an attempt. The answer is nil unless the result is answered.
type plainEnd struct {
	run    *plainRun
	answer *plainAnswer
	result attemptResult
	err    error
}

// servePlain handles a call to a plain service. An attempt that is not answered for a while goes on beside
// the next one.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	p := &plainCall{call: c, runs: make(map[int]*plainRun), ends: make(chan plainEnd), silences: make(chan int, maxSends), done: make(chan struct{})}
	defer p.close()
	p.backoff = g.startPlain(ctx, p)
	extra := g.awaitAnswer(c)
	defer extra.stop()
	for p.race.Open() > 0 {
		select {
		case <-extra.due:
			g.startExtraPlain(ctx, p, &extra)
		case m := <-p.ends:
			live := p.race.Live(m.run.number)
			if p.record(m); !live {
				continue
			}
			if m.result == answered && (m.answer.status < http.StatusInternalServerError || !c.route.Repeatable()) {
				g.recordWinner(c, &extra, m.run.number, p.firstAttempt())
				if extra.number != 0 {
					// The others may be at work, and the caller may read slowly.
					p.cancelRuns()
				}
				g.completePlain(w, c, m.answer)
				return
			}
			g.retryPlain(ctx, p, m)
		case n := <-p.silences:
			g.handlePlainSilence(ctx, p, n)
		case <-ctx.Done():
			p.awaitRuns()
			c.endedBy = endOf(ctx, nil)
			g.endPlain(ctx, w, c, p.last, 0)
			return
		}
	}
	g.endPlain(ctx, w, c, p.last, p.backoff)
}

// completePlain answers a call with the answer of a server.
func (g *Gateway) completePlain(w http.ResponseWriter, c *call, answer *plainAnswer) {
	if answer.status < http.StatusInternalServerError {
		g.crashes.acquit(c.fingerprint)
	}
	g.writeAnswer(w, c, answer)
}

// handlePlainSilence tries another server beside one that has not answered for a while, if the call may be
// sent once more. Otherwise the silent one goes on alone.
func (g *Gateway) handlePlainSilence(ctx context.Context, p *plainCall, number int) {
	run, ok := p.runs[number]
	if !ok || !p.race.Live(number) {
		return
	}
	g.checkPath(run.server.Address)
	g.tracker.markSuspect(run.attempt, time.Now())
	// The server may have ended under the request.
	g.crashes.recordUnanswered(time.Now(), incarnationOf(run.server), p.call.fingerprint)
	g.enqueue(unansweredCheck{})
	if p.race.Silent(number) == hedge.TryAnother && g.mayAddPlain(p, true) {
		g.startPlain(ctx, p)
	}
}

// retryPlain tries another server after an attempt that ended with m, without the answer to the call, if the call
// may be sent once more.
func (g *Gateway) retryPlain(ctx context.Context, p *plainCall, m plainEnd) {
	if p.fail(ctx, m) == hedge.TryAnother && ctx.Err() == nil && g.mayAddPlain(p, m.result != notRun) {
		p.backoff = g.startPlain(ctx, p)
	}
}

// mayAddPlain returns whether p may be sent once more, and counts that in the retry budget if so. ran is whether
// the last attempt may have run.
func (g *Gateway) mayAddPlain(p *plainCall, ran bool) bool {
	p.countRuns()
	return g.mayRepeat(p.call, ran) && g.takeRetry(p.call)
}

// countRuns counts the attempts that are under way as ones that may have run, as another one is to be made.
func (p *plainCall) countRuns() {
	for _, run := range p.runs {
		p.call.mayHaveRun(&run.try)
	}
}

// fail records an attempt that ended without the answer to the call.
func (p *plainCall) fail(ctx context.Context, m plainEnd) hedge.Step {
	p.last = cmp.Or(m.answer, p.last)
	if m.err != nil {
		p.call.detail, p.call.endedBy = m.err.Error(), endOf(ctx, m.err)
	}
	return p.race.Ended(m.run.number)
}

// startPlain starts an attempt at p at the best server that was not tried yet, if there is one. If not, the
// duration is the time until the first backing-off server accepts requests again.
func (g *Gateway) startPlain(ctx context.Context, p *plainCall) time.Duration {
	c := p.call
	server, ok, backoff := g.choosePlain(g.view.Load(), c, p.tried)
	if !ok {
		return backoff
	}
	g.startPlainAt(ctx, p, server)
	return 0
}

// startPlainAt starts an attempt at p at server, and returns its number.
func (g *Gateway) startPlainAt(ctx context.Context, p *plainCall, server site.Server) int {
	c := p.call
	p.tried, c.servers = append(p.tried, server.ID), append(c.servers, server.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{target: server.ID, address: server.Address, fingerprint: c.fingerprint, sentAt: time.Now(), resentAfterCrash: c.crashes.Load() > 0, cancel: cancel}
	a.lastEventAt = a.sentAt
	run := &plainRun{number: p.race.Start(), server: server, attempt: a}
	p.runs[run.number] = run
	var silent *time.Timer
	if c.route.Repeatable() {
		silent = time.AfterFunc(plainSilence, func() { p.silences <- run.number })
	}
	g.tracker.add(a)
	c.sent++
	g.work.Go(ctx, "attempt", func(ctx context.Context) error {
		defer cancel(nil)
		answer, result, err := g.sendPlain(ctx, c, a, server)
		if silent != nil {
			silent.Stop()
		}
		g.tracker.remove(a)
		g.recordUnansweredTime(ctx, c, a, result)
		select {
		case p.ends <- plainEnd{run: run, answer: answer, result: result, err: err}:
		case <-p.done:
		}
		return nil
	})
	return run.number
}

// record counts the end of an attempt.
func (p *plainCall) record(m plainEnd) {
	delete(p.runs, m.run.number)
	p.call.recordHelper(m.run.attempt)
	p.call.recordResult(&m.run.try, m.result)
}

// close ends the attempts that are under way.
func (p *plainCall) close() {
	close(p.done)
	p.cancelRuns()
}

// firstAttempt returns the first attempt at p, nil if it has ended.
func (p *plainCall) firstAttempt() *attempt {
	if run, ok := p.runs[1]; ok {
		return run.attempt
	}
	return nil
}

// cancelRuns cancels the attempts that are under way.
func (p *plainCall) cancelRuns() {
	for _, run := range p.runs {
		run.attempt.cancel(errOvertaken)
	}
}

// awaitRuns waits for the ends of the attempts after the context of the call has ended, as those of streams.
func (p *plainCall) awaitRuns() {
	timeout := time.After(runEndTimeout)
	for len(p.runs) > 0 {
		select {
		case m := <-p.ends:
			p.record(m)
		case <-timeout:
			p.countRuns()
			return
		}
	}
}

// endPlain ends a call that is not retried, with the server's own failure answer if there is one.
// backoff is the time until the first backing-off server accepts requests again.
func (g *Gateway) endPlain(ctx context.Context, w http.ResponseWriter, c *call, last *plainAnswer, backoff time.Duration) {
	switch {
	case last != nil && c.endedBy != endedByCaller:
		g.writeAnswer(w, c, last)
	case ctx.Err() != nil:
		g.refuse(w, c, c.timedOut())
	case backoff > 0 && c.ran == 0:
		g.refuse(w, c, backingOff(backoff))
	default:
		g.refuse(w, c, c.backendFailure())
	}
}

// choosePlain returns the server of view with the fewest requests of this daemon in flight, preferring its
// own failure domain among equals. If there is none, the duration is the time until the first
// backing-off server accepts requests again, or zero if no server is backing off.
func (g *Gateway) choosePlain(view *View, c *call, tried []string) (site.Server, bool, time.Duration) {
	servers := view.PlainServers[c.service.Name]
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	now := time.Now()
	best, found, backoff := PlainServer{}, false, time.Duration(0)
	var bestKey [3]int
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i].Server
		if slices.Contains(tried, s.ID) || !g.tracker.admitsWork(s, &backoff) {
			continue
		}
		state, route := g.tracker.target(s.ID), g.peekRoute(view.destination(s.Address))
		if route == detour.Closed {
			continue
		}
		if !g.admits(view, s, servers[i].ColdUntil, &backoff) {
			continue
		}
		key := [3]int{boolToInt(now.Before(state.suspectUntil)), len(state.attempts), boolToInt(s.FailureDomain != g.settings.FailureDomain || route == detour.Around)}
		if !found || cmp.Or(cmp.Compare(key[0], bestKey[0]), cmp.Compare(key[1], bestKey[1]), cmp.Compare(key[2], bestKey[2])) < 0 {
			best, bestKey, found = servers[i], key, true
		}
	}
	if found {
		g.charge(view, best.Server, best.ColdUntil)
	}
	return best.Server, found, backoff
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// plainSilence is how long an idempotent call to a plain service waits for the answer of one server before
// another one is tried as well.
const plainSilence = 700 * time.Millisecond

// sendPlain makes attempt a at c.
func (g *Gateway) sendPlain(ctx context.Context, c *call, a *attempt, server site.Server) (*plainAnswer, attemptResult, error) {
	resp, s, err := g.send(withAttempt(ctx, a), c, server, "")
	if s != answered {
		if errors.Is(err, context.DeadlineExceeded) {
			g.checkPath(server.Address)
		}
		if !errors.Is(err, errNotRun) && !isUnreached(err) && !isHelperLost(err) && !isGivenUp(context.Cause(ctx)) {
			g.tracker.markSuspect(a, time.Now())
		}
		if s == lost {
			g.handleLostAttempt(ctx, c, a, server)
		}
		return nil, s, causeOr(ctx, err)
	}
	defer resp.Body.Close()
	answer, err := g.readAnswer(ctx, c, resp)
	if err != nil {
		if !errors.Is(err, errBufferFull) {
			g.handleLostAttempt(ctx, c, a, server)
		}
		return nil, lost, err
	}
	g.tracker.recordEvent(a, time.Now())
	g.metrics.plain.observe(time.Since(a.sentAt))
	g.recordAnswerTime(c, time.Since(a.sentAt))
	return answer, answered, nil
}

// readAnswer reads a complete answer to c, so that no part of a truncated one is forwarded. A
// status that claims that the request did not run needs proof, which send has already checked for;
// without it the answer is rejected.
func (g *Gateway) readAnswer(ctx context.Context, c *call, resp *http.Response) (*plainAnswer, error) {
	answer := &plainAnswer{status: resp.StatusCode, header: resp.Header}
	if resp.ContentLength > maxPlainAnswerBytes {
		return nil, errTooLarge
	}
	var (
		size      int64
		available = g.uncounted()
	)
	if resp.ContentLength > available {
		// One byte more shows the end.
		if err := g.reserve(ctx, &c.held, resp.ContentLength+1-available); err != nil {
			return nil, err
		}
		available = resp.ContentLength + 1
	}
	for {
		part, err := readAnswerPart(resp.Body, min(available-size, answerChunkBytes), size == 0)
		size += int64(len(part))
		answer.parts = append(answer.parts, part)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if size > maxPlainAnswerBytes {
			return nil, errTooLarge
		}
		if size == available {
			if err = g.reserve(ctx, &c.held, answerChunkBytes); err != nil {
				return nil, err
			}
			available += answerChunkBytes
		}
	}
	if size > maxPlainAnswerBytes {
		return nil, errTooLarge
	}
	if impliesNotRun(resp.StatusCode) {
		return nil, fmt.Errorf("server answered %d without proof that the request did not run", resp.StatusCode)
	}
	return answer, nil
}

// readAnswerPart reads up to n bytes of an answer. Memory for the first part, which may be small, is only used as it is
// needed.
func readAnswerPart(body io.Reader, n int64, first bool) ([]byte, error) {
	if first {
		var part bytes.Buffer
		_, err := io.CopyN(&part, body, n)
		return part.Bytes(), err
	}
	part := make([]byte, n)
	read, err := readPart(body, part)
	return part[:read], err
}

// writeAnswer writes a complete answer to the caller.
func (g *Gateway) writeAnswer(w http.ResponseWriter, c *call, answer *plainAnswer) {
	c.endedBy = ""
	platform.EncodeResponse(w.Header(), answer.header)
	w.Header().Set("Content-Length", strconv.Itoa(answer.length()))
	w.WriteHeader(answer.status)
	outcome := "answered"
	if err := g.writeParts(w, c, answer); err != nil {
		// The caller has probably disconnected, so the error can only be logged.
		outcome, c.detail = "caller_left", err.Error()
		if g.memory.pays(&c.held) {
			outcome, c.detail, c.endedBy = "caller_slow", errMemoryFull.Error(), endedByDaemon
		}
	}
	g.recordOutcome(c, answer.status, outcome)
}

// writeParts writes the body of answer, and releases the memory of each part that was written.
func (g *Gateway) writeParts(w http.ResponseWriter, c *call, answer *plainAnswer) error {
	counted := g.settings.SlowPeers && int64(answer.length()) > g.uncounted()
	if counted {
		rc := http.NewResponseController(w)
		if err := rc.SetWriteDeadline(latest(c.deadline, time.Now()).Add(writeTimeout)); err != nil {
			return err
		}
		// The deadline was accepted above, so it is here.
		g.memory.awaitCaller(&c.held, func() { _ = rc.SetWriteDeadline(past) })
	}
	for i, part := range answer.parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
		if counted {
			answer.parts[i] = nil
			g.memory.moved(&c.held, len(part), int64(len(part)))
		}
	}
	return nil
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
