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
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// maxPlainAnswerBytes is the limit for the answer of a plain service, or the failure answer of
	// any service. Both are read completely before any part is forwarded.
	maxPlainAnswerBytes = 8 << 20
	// answerChunkBytes is how much of an answer is read at a time. An answer smaller than this is
	// always read, because it does not count towards maxBufferedAnswerBytes.
	answerChunkBytes = 64 << 10
	// maxBufferedAnswerBytes is the limit for all answers larger than one chunk that are held at
	// the same time: a tenth of the memory of the smallest instances.
	maxBufferedAnswerBytes = 16 << 20
)

var (
	// errTooLarge means that an answer exceeds maxPlainAnswerBytes.
	errTooLarge = fmt.Errorf("server answer exceeds %d bytes", maxPlainAnswerBytes)
	// errBufferFull means that the daemon already holds maxBufferedAnswerBytes of large answers.
	errBufferFull = fmt.Errorf("answer buffer full: limit of %d bytes for large answers reached", maxBufferedAnswerBytes)
)

// A plainAnswer is the complete answer of a plain service, or the failure answer of any service.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain handles a call to a plain service.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	var (
		tried []string
		last  *plainAnswer
	)
	for {
		server, ok, backoff := g.choosePlain(g.view.Load(), c, tried)
		if !ok {
			g.endPlain(ctx, w, c, last, backoff)
			return
		}
		tried = append(tried, server.ID)
		c.servers = append(c.servers, server.ID)
		answer, s, err := g.sendPlain(ctx, c, server)
		if s != notRun {
			c.ran++
		}
		if s == answered && answer.status < http.StatusInternalServerError {
			g.crashes.acquit(c.fingerprint)
		}
		if s == answered && (answer.status < http.StatusInternalServerError || !c.route.Repeatable()) {
			g.writeAnswer(w, c, answer)
			return
		}
		if answer != nil {
			last = answer
		}
		if err != nil {
			c.detail = err.Error()
		}
		if ctx.Err() != nil || !g.mayRetry(c, s != notRun) {
			g.endPlain(ctx, w, c, last, 0)
			return
		}
	}
}

// endPlain ends a call that is not retried, with the server's own failure answer if there is one.
// backoff is the time until the first backing-off server accepts requests again.
func (g *Gateway) endPlain(ctx context.Context, w http.ResponseWriter, c *call, last *plainAnswer, backoff time.Duration) {
	switch {
	case last != nil && ctx.Err() == nil:
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
		if !g.admitsCold(view, state, s, servers[i].ColdUntil, false) {
			continue
		}
		key := [3]int{boolToInt(now.Before(state.suspectUntil)), len(state.attempts), boolToInt(s.FailureDomain != g.settings.FailureDomain || route == detour.Around)}
		if !found || cmp.Or(cmp.Compare(key[0], bestKey[0]), cmp.Compare(key[1], bestKey[1]), cmp.Compare(key[2], bestKey[2])) < 0 {
			best, bestKey, found = servers[i], key, true
		}
	}
	if found {
		g.admitsCold(view, g.tracker.target(best.Server.ID), best.Server, best.ColdUntil, true)
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

// plainAttemptTimeout bounds one attempt at an idempotent call to a plain service while another
// attempt is still permitted.
const plainAttemptTimeout = 700 * time.Millisecond

// sendPlain makes one attempt at c.
func (g *Gateway) sendPlain(ctx context.Context, c *call, server site.Server) (*plainAnswer, attemptResult, error) {
	if c.route.Repeatable() && c.ran+1 < c.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, plainAttemptTimeout)
		defer cancel()
	}
	a := &attempt{target: server.ID, address: server.Address, fingerprint: c.fingerprint, sentAt: time.Now(), resentAfterCrash: c.crashes > 0}
	a.lastEventAt = a.sentAt
	g.tracker.add(a)
	defer g.tracker.remove(a)
	resp, s, err := g.send(withAttempt(ctx, a), c, server, "")
	c.recordHelper(a)
	if s != answered {
		if errors.Is(err, context.DeadlineExceeded) {
			g.checkPath(server.Address)
		}
		if !errors.Is(err, errNotRun) && !isUnreached(err) && !isHelperLost(err) {
			g.tracker.markSuspect(a, time.Now())
		}
		if s == lost {
			g.handleLostAttempt(ctx, c, a, server)
		}
		return nil, s, err
	}
	defer resp.Body.Close()
	answer, err := g.readAnswer(c, resp)
	if err != nil {
		g.handleLostAttempt(ctx, c, a, server)
		return nil, lost, err
	}
	g.tracker.recordEvent(a, time.Now())
	g.metrics.plain.observe(time.Since(a.sentAt))
	return answer, answered, nil
}

// readAnswer reads a complete answer to c, so that no part of a truncated one is forwarded. A
// status that claims that the request did not run needs proof, which send has already checked for;
// without it the answer is rejected.
func (g *Gateway) readAnswer(c *call, resp *http.Response) (*plainAnswer, error) {
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, resp.Body, answerChunkBytes)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if body.Len() > maxPlainAnswerBytes {
			return nil, errTooLarge
		}
		if !g.reserveChunk(c) {
			return nil, errBufferFull
		}
	}
	if body.Len() > maxPlainAnswerBytes {
		return nil, errTooLarge
	}
	if impliesNotRun(resp.StatusCode) {
		return nil, fmt.Errorf("server answered %d without proof that the request did not run", resp.StatusCode)
	}
	return &plainAnswer{status: resp.StatusCode, header: resp.Header, body: body.Bytes()}, nil
}

// reserveChunk reserves memory for one more chunk of an answer to c, and returns whether it was
// available.
func (g *Gateway) reserveChunk(c *call) bool {
	if g.bufferedAnswerBytes.Add(answerChunkBytes) > maxBufferedAnswerBytes {
		g.bufferedAnswerBytes.Add(-answerChunkBytes)
		return false
	}
	c.bufferedBytes += answerChunkBytes
	return true
}

// releaseBuffers releases the memory reserved for answers to c.
func (g *Gateway) releaseBuffers(c *call) {
	g.bufferedAnswerBytes.Add(-c.bufferedBytes)
	c.bufferedBytes = 0
}

// writeAnswer writes a complete answer to the caller.
func (g *Gateway) writeAnswer(w http.ResponseWriter, c *call, answer *plainAnswer) {
	platform.EncodeResponse(w.Header(), answer.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	w.WriteHeader(answer.status)
	outcome := "answered"
	if _, err := w.Write(answer.body); err != nil {
		// The caller has probably disconnected, so the error can only be logged.
		outcome, c.detail = "caller_left", err.Error()
	}
	g.recordOutcome(c, answer.status, outcome)
}
