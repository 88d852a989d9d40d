package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/extra"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// An extraState holds how long answers take by route, and the extra attempts of each.
type extraState struct {
	mu     sync.Mutex
	routes extra.Routes
}

// An extraAttempt is the extra attempt that a call may get beside its first one. The zero extraAttempt is that
// of a call that gets none.
type extraAttempt struct {
	// due fires once, after the time within which most attempts are answered.
	due   <-chan time.Time
	timer *time.Timer
	after time.Duration
	// number is that of the attempt, zero until it is started. startedAt is when it was.
	number    int
	startedAt time.Time
	// decided means that an attempt has delivered.
	decided bool
}

// stop releases the timer of e.
func (e *extraAttempt) stop() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

// awaitAnswer counts c, whose first attempt was just started, and returns its extra attempt, which is due when
// the first one is slow. The rest of a stream gets none: it may have no more events, which is known only once two
// servers have said so one after the other.
func (g *Gateway) awaitAnswer(c *call) extraAttempt {
	p := g.policy().ExtraAttempts
	if !c.route.Repeatable() || !p.For(c.route.Name) || c.sent != 1 || c.request.LastEventID != "" {
		return extraAttempt{}
	}
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	now := clock.Boot()
	g.extra.routes.CountRequest(now, c.route.Name, p.Share)
	after, ok := g.extra.routes.Quantile(now, c.route.Name, p.Quantile)
	if !ok {
		return extraAttempt{}
	}
	timer := time.NewTimer(after)
	return extraAttempt{due: timer.C, timer: timer, after: after}
}

// recordAnswerTime records that an attempt at c was answered, or began to be, after took.
func (g *Gateway) recordAnswerTime(c *call, took time.Duration) {
	if !c.route.Repeatable() || !g.policy().ExtraAttempts.For(c.route.Name) {
		return
	}
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	g.extra.routes.Observe(clock.Boot(), c.route.Name, took)
}

// recordUnansweredTime records how long a, an attempt at c that has ended, went without an answer, unless it
// began to be answered or its server did not run it.
func (g *Gateway) recordUnansweredTime(ctx context.Context, c *call, a *attempt, result attemptResult) {
	if result == answered || result == notRun && ctx.Err() == nil || !c.route.Repeatable() || !g.policy().ExtraAttempts.For(c.route.Name) || g.tracker.hasStarted(a) {
		return
	}
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	g.extra.routes.ObserveAtLeast(clock.Boot(), c.route.Name, time.Since(a.sentAt))
}

// hasStarted returns whether the answer to a has begun.
func (b *attemptTracker) hasStarted(a *attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.started
}

// recordWinner records that the attempt at c with the given number was the first to deliver, if e is the extra
// attempt of c. first is the first attempt at c, nil if it has ended.
func (g *Gateway) recordWinner(c *call, e *extraAttempt, number int, first *attempt) {
	if e.decided {
		return
	}
	e.stop()
	if e.decided = true; e.number == 0 || number != e.number {
		return
	}
	g.metrics.extraAttempts.Add("won", 1)
	g.logger.Info().Str("event", "extra_attempt_won").Str("request", c.request.Attempt).Str("route", c.route.Name).Dur("elapsed", time.Since(c.arrived)).
		Dur("took", time.Since(e.startedAt)).Msg("extra attempt was faster than the first one")
	if first != nil && g.tracker.recordOvertaken(first, time.Now()) {
		g.metrics.extraAttempts.Add("suspects", 1)
		g.checkPath(first.address)
	}
}

// maxOvertaken is the number of attempts in a row that are overtaken without an answer from which on their server
// is a suspect: one or two may be slow by chance.
const maxOvertaken = 3

// recordOvertaken records that a, the first attempt at a call, was overtaken by an extra one. It returns whether its
// target is a suspect: it has answered nothing meanwhile for as long as one that counts as stalled, as attempts that
// are cancelled early cannot show.
func (b *attemptTracker) recordOvertaken(a *attempt, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.started {
		return false
	}
	s := b.target(a.target)
	if s.overtaken == 0 {
		s.overtakenSince = a.sentAt
	}
	s.overtaken++
	if s.overtaken < maxOvertaken || now.Sub(s.overtakenSince) < prefillStallTimeout {
		return false
	}
	s.suspectUntil = now.Add(suspectDuration)
	return true
}

// startExtraStream starts an extra attempt at the first event of s at another replica, if that is of use and
// permitted.
func (g *Gateway) startExtraStream(ctx context.Context, s *stream) {
	first, ok := s.runs[1]
	var (
		view    = g.view.Load()
		replica Replica
		r       extra.Request
	)
	r.Alone = ok && s.race.Live(1) && s.race.Open() == 1 && !first.try.counted && !s.headersSent
	if r.Alone {
		replica, r.Expected, r.Free = g.chooseExtraReplica(view, s, first)
	}
	if !g.allowExtra(ctx, s.call, &s.extra, r) {
		return
	}
	s.call.mayHaveRun(&first.try)
	s.extra.number = g.startAttemptAt(ctx, s, view, replica)
}

// startExtraPlain starts an extra attempt at p at another server, if that is of use and permitted.
func (g *Gateway) startExtraPlain(ctx context.Context, p *plainCall, e *extraAttempt) {
	first, ok := p.runs[1]
	var (
		view   = g.view.Load()
		server site.Server
		r      extra.Request
	)
	r.Alone = ok && p.race.Live(1) && p.race.Open() == 1 && !first.try.counted
	if r.Alone {
		server, r.Expected, r.Free = g.chooseExtraPlain(view, p, first)
	}
	if !g.allowExtra(ctx, p.call, e, r) {
		return
	}
	p.call.mayHaveRun(&first.try)
	e.number = g.startPlainAt(ctx, p, server)
}

// allowExtra returns whether e, the extra attempt of c, may be started, and counts it if so. r says what is
// known of its first attempt and of the other servers.
func (g *Gateway) allowExtra(ctx context.Context, c *call, e *extraAttempt, r extra.Request) bool {
	p, route := g.policy().ExtraAttempts, c.route.Name
	r.Elapsed, r.Left, r.Target = time.Since(c.arrived), time.Until(c.deadline), c.route.Target
	r.Alone = r.Alone && c.sent == 1 && ctx.Err() == nil
	r.Repeatable = p.For(route) && g.mayAddAttempt(c)
	r.Free = r.Free && !g.leaving.Load()
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	r.Allowed = g.extra.routes.Allows(route)
	refused := extra.Check(r)
	if refused == "" && !g.takeRetry(c) {
		refused = extra.Budget
	}
	if refused != "" {
		g.metrics.extraAttempts.Add("refused_"+string(refused), 1)
		return false
	}
	g.extra.routes.Take(route)
	e.startedAt = time.Now()
	g.metrics.extraAttempts.Add("started", 1)
	g.logger.Info().Str("event", "extra_attempt").Str("request", c.request.Attempt).Str("route", route).Dur("elapsed", r.Elapsed).Dur("after", e.after).
		Float64("quantile", p.Quantile).Dur("expected", r.Expected).Float64("share_used", g.extra.routes.Used(route)).Msg("answer is slow; trying another server beside the first")
	return true
}

// mayAddAttempt returns whether c may be sent once more beside its first attempt, which may run, as far as its
// route and the crashes under it and the parts of its prompt are concerned.
func (g *Gateway) mayAddAttempt(c *call) bool {
	if verdict, _ := g.crashes.verdict(time.Now(), c.fingerprint); verdict != quarantine.Clear || c.trial {
		return false
	}
	c.ran++
	defer func() { c.ran-- }()
	return g.mayRepeat(c, true)
}

// freeShare is the share of the slots of a replica up to which it has room for extra attempts.
const freeShare = 0.5

// chooseExtraReplica returns the replica of view that is expected to begin an extra attempt at s first, and how
// long that takes, if there is one with room. It is neither cold nor limited, and has no server of the replica
// of the first attempt.
func (g *Gateway) chooseExtraReplica(view *View, s *stream, first *streamRun) (Replica, time.Duration, bool) {
	c := s.call
	model, ok := c.service.Engine.Model(c.request.Size.Model)
	if !ok {
		return Replica{}, 0, false
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	var (
		backoff    time.Duration
		replicas   []Replica
		candidates []dispatch.Candidate
	)
	all, loads := g.replicaCandidates(view, s, model, time.Now(), false, &backoff)
	for i, r := range all {
		shared := r.Head.Address == first.replica.Head.Address || slices.ContainsFunc(r.Members, func(id string) bool { return slices.Contains(first.replica.Members, id) })
		busy := float64(loads[i].Load.Writing+loads[i].Load.Waiting+1) > freeShare*float64(c.service.Engine.Slots)
		if !shared && !busy && g.terms(view, r.Head, r.ColdUntil) == (budget.Terms{}) {
			replicas, candidates = append(replicas, r), append(candidates, loads[i])
		}
	}
	i, expected := dispatch.Choose(c.service.Engine, model, candidates, c.request.Size, dispatch.LocalityThreshold(c.route.Target), rand.IntN)
	if i < 0 {
		return Replica{}, 0, false
	}
	return replicas[i], expected, true
}

// chooseExtraPlain returns a server of view that has no request of this daemon in flight and is neither cold
// nor limited, if there is one, and how long an answer to p usually takes.
func (g *Gateway) chooseExtraPlain(view *View, p *plainCall, first *plainRun) (site.Server, time.Duration, bool) {
	c := p.call
	g.extra.mu.Lock()
	expected, known := g.extra.routes.Quantile(clock.Boot(), c.route.Name, median)
	g.extra.mu.Unlock()
	servers := view.PlainServers[c.service.Name]
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	var (
		best    site.Server
		found   bool
		backoff time.Duration
		now     = time.Now()
	)
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i].Server
		if slices.Contains(p.tried, s.ID) || s.Address == first.server.Address || !g.tracker.admitsWork(s, &backoff) || g.peekRoute(view.destination(s.Address)) != detour.Direct {
			continue
		}
		state := g.tracker.target(s.ID)
		if len(state.attempts) > 0 || now.Before(state.suspectUntil) || g.terms(view, s, servers[i].ColdUntil) != (budget.Terms{}) {
			continue
		}
		if !found || best.FailureDomain != g.settings.FailureDomain {
			best, found = s, true
		}
	}
	return best, expected, found && known
}

// median is the fraction of answers that are faster than usual.
const median = 0.5
