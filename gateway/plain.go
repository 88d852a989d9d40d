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

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// maxPlainAnswer bounds the answer of a plain service, and a failure of any, which
	// are read whole before any of them is passed on, in bytes.
	maxPlainAnswer = 8 << 20
	// answerStep is how much of an answer is read at a time, in bytes; an answer up to that
	// size is always read.
	answerStep = 64 << 10
	// maxHeldAnswers bounds the answers of more than answerStep that are held at a time, in
	// bytes: a tenth of the memory of the smallest instances.
	maxHeldAnswers = 16 << 20
)

var (
	// errTooLarge means that an answer is larger than a daemon passes on.
	errTooLarge = fmt.Errorf("answer is larger than %d bytes", maxPlainAnswer)
	// errTooMany means that a daemon holds too many large answers already.
	errTooMany = fmt.Errorf("large answers hold %d bytes already", maxHeldAnswers)
)

// A plainAnswer is the whole answer of a plain service, or the failure of any.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain answers a call of a plain service.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	var (
		tried []string
		last  *plainAnswer
	)
	for {
		server, ok, rest := g.choosePlain(c, tried)
		if !ok {
			g.endPlain(ctx, w, c, last, rest)
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
			g.passOn(w, c, answer)
			return
		}
		if answer != nil {
			last = answer
		}
		if err != nil {
			c.why = err.Error()
		}
		if ctx.Err() != nil || !g.mayRepeat(c, s != notRun) {
			g.endPlain(ctx, w, c, last, 0)
			return
		}
	}
}

// endPlain answers a call that is not sent again: with the server's own failure if
// there is one. rest is when one of those that want no requests takes them again.
func (g *Gateway) endPlain(ctx context.Context, w http.ResponseWriter, c *call, last *plainAnswer, rest time.Duration) {
	switch {
	case last != nil && ctx.Err() == nil:
		g.passOn(w, c, last)
	case ctx.Err() != nil:
		g.refuse(w, c, c.expired())
	case rest > 0 && c.ran == 0:
		g.refuse(w, c, resting(rest))
	default:
		g.refuse(w, c, c.failed())
	}
}

// choosePlain returns the server to which this daemon has given the least work,
// and among equals one of its own failure domain. If there is none, the time is returned
// after which one takes requests again that wants none now, zero if there is none.
func (g *Gateway) choosePlain(c *call, tried []string) (site.Server, bool, time.Duration) {
	servers := g.view.Load().PlainServers[c.service.Name]
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now := time.Now()
	best, found, rest := PlainServer{}, false, time.Duration(0)
	var bestKey [3]int
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i].Server
		if slices.Contains(tried, s.ID) || !g.board.takesWork(s, &rest) {
			continue
		}
		seat := g.board.target(s.ID)
		if !g.admitsCold(seat, s, servers[i].ColdUntil, false) {
			continue
		}
		key := [3]int{boolean(now.Before(seat.suspectUntil)), len(seat.attempts), boolean(s.FailureDomain != g.settings.FailureDomain)}
		if !found || cmp.Or(cmp.Compare(key[0], bestKey[0]), cmp.Compare(key[1], bestKey[1]), cmp.Compare(key[2], bestKey[2])) < 0 {
			best, bestKey, found = servers[i], key, true
		}
	}
	if found {
		g.admitsCold(g.board.target(best.Server.ID), best.Server, best.ColdUntil, true)
	}
	return best.Server, found, rest
}

// boolean returns 1 for true.
func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}

// plainTimeout is how long one attempt at an idempotent call of a plain service
// may take while there is time for another.
const plainTimeout = 700 * time.Millisecond

// sendPlain makes one attempt at c.
func (g *Gateway) sendPlain(ctx context.Context, c *call, server site.Server) (*plainAnswer, sign, error) {
	if c.route.Repeatable() && c.ran+1 < c.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, plainTimeout)
		defer cancel()
	}
	a := &attempt{target: server.ID, fingerprint: c.fingerprint, sentAt: time.Now(), resentAfterCrash: c.crashes > 0}
	a.lastEventAt = a.sentAt
	g.board.add(a)
	defer g.board.remove(a)
	resp, s, err := g.send(ctx, c, server, "")
	if s != answered {
		if !errors.Is(err, errNotRun) {
			g.board.markSuspect(a, time.Now())
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
	g.board.recordEvent(a, time.Now())
	g.metrics.plain.observe(time.Since(a.sentAt))
	return answer, answered, nil
}

// readAnswer reads an answer to c whole, so that none of it is passed on if it breaks off. A
// status that says that the request did not run needs proof, which send has looked for.
func (g *Gateway) readAnswer(c *call, resp *http.Response) (*plainAnswer, error) {
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, resp.Body, answerStep)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if body.Len() > maxPlainAnswer {
			return nil, errTooLarge
		}
		if !g.holdAnswer(c) {
			return nil, errTooMany
		}
	}
	if body.Len() > maxPlainAnswer {
		return nil, errTooLarge
	}
	if promises(resp.StatusCode) {
		return nil, fmt.Errorf("status %d without proof", resp.StatusCode)
	}
	return &plainAnswer{status: resp.StatusCode, header: resp.Header, body: body.Bytes()}, nil
}

// holdAnswer counts one more step of an answer to c, and returns whether there is room for it.
func (g *Gateway) holdAnswer(c *call) bool {
	if g.heldAnswers.Add(answerStep) > maxHeldAnswers {
		g.heldAnswers.Add(-answerStep)
		return false
	}
	c.held += answerStep
	return true
}

// releaseAnswers ends the count of the answers to c.
func (g *Gateway) releaseAnswers(c *call) {
	g.heldAnswers.Add(-c.held)
	c.held = 0
}

// passOn passes a whole answer to the caller.
func (g *Gateway) passOn(w http.ResponseWriter, c *call, answer *plainAnswer) {
	platform.EncodeResponse(w.Header(), answer.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	w.WriteHeader(answer.status)
	outcome := "answered"
	if _, err := w.Write(answer.body); err != nil {
		// The caller may be gone, and then nobody is left to tell.
		outcome, c.why = "caller_left", err.Error()
	}
	g.ended(c, answer.status, outcome)
}
