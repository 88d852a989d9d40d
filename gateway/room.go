package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/coordination/room"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// roomRules returns the rules by which room is given to requests.
func (g *Gateway) roomRules() room.Rules {
	p := g.policy()
	return room.Rules{OnTime: p.Admission.OnTime, ByUrgency: p.Admission.ByUrgency, SpillOver: p.Admission.SpillOver, FairShares: p.Organisations.FairShares}
}

// decideRoom returns which of the candidates for a call gets it: the one that was chosen, where the first token is
// expected after a given time, if it has room, and otherwise another one that has. The refusal says why none has. The
// caller holds the lock of the attempt tracker.
func (g *Gateway) decideRoom(c *call, m site.Model, candidates []dispatch.Candidate, chosen int, expected time.Duration) (int, *refusal) {
	rules, now := g.roomRules(), clock.Boot()
	d := roomDecision{rules: rules, engine: c.service.Engine, model: m, call: c, request: room.Request{
		Target: c.route.Target, Left: time.Until(c.deadline), Returns: c.returns(), Draw: rand.Float64(),
	}}
	if rules.OnTime {
		// Without the age of reports, by which the candidates were compared.
		expected = dispatch.FirstToken(d.engine, m, candidates[chosen].Reported(), c.request.Size)
	}
	if rules.FairShares && room.Short(c.route.Target, d.wait(candidates[chosen])) {
		d.request.Share = g.shareRatio(c.service.Name, c.organisation.Name)
	}
	if rules.ByUrgency {
		d.urgent = g.tracker.moreUrgent(now, m.Name, c.routeRank())
	}
	v := d.verdict(candidates[chosen], expected)
	if v.Reason != room.Accepted && rules.SpillOver {
		i := dispatch.Another(d.engine, m, candidates, c.request.Size, rand.IntN, func(i int, expected time.Duration) bool {
			return d.verdict(candidates[i], expected).Reason == room.Accepted
		})
		if i >= 0 {
			g.metrics.events.Add("requests_spilled", 1)
			chosen, v = i, room.Verdict{}
		}
	}
	backlog := g.tracker.backlog(m.Name)
	backlog.Record(now, dispatch.BusyTime(d.engine, m, c.request.Size), v.Reason == room.Accepted)
	if v.Reason == room.Accepted {
		return chosen, nil
	}
	c.detail = "first token expected in " + expected.Round(time.Millisecond).String() + "; " + v.String()
	if rules == (room.Rules{}) {
		return -1, unavailable(string(v.Reason))
	}
	wait := max(v.Excess, backlog.Drain(now))
	return -1, &refusal{status: http.StatusServiceUnavailable, reason: string(v.Reason), retryAfter: room.ReturnAfter(wait, d.request.Left, rand.Float64())}
}

// A roomDecision is the decision about one call.
type roomDecision struct {
	rules   room.Rules
	engine  *site.Engine
	model   site.Model
	call    *call
	request room.Request
	// urgent are the kinds of request that are more urgent.
	urgent []urgentKind
}

// An urgentKind is the usual size and target of the requests of one rank.
type urgentKind struct {
	size   dispatch.RequestSize
	target time.Duration
}

// wait returns the part of the expected time to the first token at a candidate that other prompts cause. The age of reports,
// by which candidates are compared, is none of it.
func (d *roomDecision) wait(c dispatch.Candidate) time.Duration {
	c = c.Reported()
	alone := c
	alone.Load.Waiting, alone.Load.Tokens, alone.SinceEvent = 0, 0, 0
	expected := dispatch.FirstToken(d.engine, d.model, c, d.call.request.Size)
	return expected - dispatch.FirstToken(d.engine, d.model, alone, d.call.request.Size)
}

// verdict returns the verdict on the call at a candidate where its first token is expected after the given time.
func (d *roomDecision) verdict(c dispatch.Candidate, expected time.Duration) room.Verdict {
	offer := room.Offer{Expected: expected}
	if d.rules != (room.Rules{}) {
		offer.Wait = d.wait(c)
	}
	// An engine reads the prompt in chunks, and more urgent ones in between.
	c.Load = c.Load.Add(dispatch.Load{Waiting: 1, Tokens: min(d.call.request.Size.Prompt, d.engine.Chunk)})
	for _, u := range d.urgent {
		e := dispatch.FirstToken(d.engine, d.model, c.Reported(), u.size)
		if offer.UrgentTarget == 0 || float64(e)*float64(offer.UrgentTarget) > float64(offer.Urgent)*float64(u.target) {
			offer.Urgent, offer.UrgentTarget = e, u.target
		}
	}
	return d.rules.Decide(d.request, offer)
}

// returns returns whether the caller sends c again: its deadline is well below the timeout of the route.
func (c *call) returns() bool { return c.route.Timeout-c.request.Timeout > room.MinReturn/2 }

// moreUrgent returns the kinds of request for a model that are more urgent than a rank and have come lately. The caller
// holds the lock.
func (b *attemptTracker) moreUrgent(now time.Duration, model string, rank int) []urgentKind {
	var out []urgentKind
	for more := range rank {
		meter, ok := b.arrivals[rankKey{model: model, rank: more}]
		if !ok {
			continue
		}
		if size, target, ok := meter.mean(now); ok {
			out = append(out, urgentKind{size: size, target: target})
		}
	}
	return out
}

// backlog returns what was refused and accepted lately of the requests for a model. The caller holds the lock.
func (b *attemptTracker) backlog(model string) *room.Backlog {
	if b.backlogs == nil {
		b.backlogs = make(map[string]*room.Backlog)
	}
	if b.backlogs[model] == nil {
		b.backlogs[model] = &room.Backlog{}
	}
	return b.backlogs[model]
}

// reportAge returns the part of the time since the last event of a replica that is the age of what other daemons
// reported: of the sum of their work, and of the statuses in it. The caller holds the lock.
func (b *attemptTracker) reportAge(s *targetState, other relay.ReplicaLoad, now time.Time) time.Duration {
	if s.load().Writing > 0 && now.Sub(s.lastEventAt) <= other.SinceEvent {
		return 0
	}
	return min(now.Sub(b.peerSummaryAt), maxStatusAge) + statusInterval
}
