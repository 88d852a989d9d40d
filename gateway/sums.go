package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/presence"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

// A peerSummary is the latest summary of the work of one daemon, or of a hub with its followers.
type peerSummary struct {
	summary    relay.Summary
	receivedAt time.Duration
	fromHub    bool
	usage      serviceUsage
	// daemons lists the live daemons that the sender last reported, at daemonsAt.
	daemons   []uint64
	daemonsAt time.Duration
}

// transitTTL is how long what is known of the way of a sender's messages is kept after the last one: longer than this
// daemon may be suspended while messages wait in its connections.
const transitTTL = 10 * time.Minute

// isLate returns whether m, which arrived at now, was on its way for longer than a status counts. This daemon was suspended,
// or had much to read. The caller holds the lock.
func (ps *peerState) isLate(m peerMessage, now time.Duration) bool {
	if m.Timestamp == 0 {
		// Older builds tell their clocks only to the hubs that they follow.
		return false
	}
	if ps.transits == nil {
		ps.transits = make(map[string]*presence.Transit)
	}
	t := ps.transits[m.From]
	if t == nil {
		t = &presence.Transit{}
		ps.transits[m.From] = t
	}
	return t.Delay(m.Timestamp, now) > maxStatusAge
}

// recordPeerSummary records the work of the sender of m. Only some messages list the live daemons,
// so the last list is kept, and so it is if m is late. The caller holds the lock.
func (ps *peerState) recordPeerSummary(m peerMessage, now time.Duration) {
	if ps.peerSummaries == nil {
		ps.peerSummaries = make(map[string]peerSummary)
	}
	p := peerSummary{
		summary: m.Summary, usage: m.Usage, receivedAt: now, fromHub: m.FromHub,
		daemons: m.Summary.Daemons, daemonsAt: now,
	}
	if late := ps.isLate(m, now); late || len(p.daemons) == 0 {
		p.daemons, p.daemonsAt = ps.peerSummaries[m.From].daemons, ps.peerSummaries[m.From].daemonsAt
	}
	p.summary.Daemons = nil
	ps.peerSummaries[m.From] = p
}

// fillSummary sets the summary in answer to the work of all daemons but the sender of m: replicas
// with work of the sender and replicas of this failure domain each time, the rest every
// membershipInterval. The caller holds the lock.
func (g *Gateway) fillSummary(answer *peerMessage, m peerMessage, now time.Duration) {
	answer.Summary = g.summaryExcluding(m.From, now)
	full := g.peers.membershipDue(m.From, now)
	if !full {
		answer.Summary.Daemons = nil
	}
	view := g.view.Load()
	if h, ok := view.Peers[m.From]; !ok || h.FailureDomain != g.settings.FailureDomain {
		// Replicas outside this failure domain may be inside that of the sender.
		return
	}
	all := answer.Summary.Loads
	answer.Summary.Loads = make(map[int64]relay.ReplicaLoad, len(all))
	for epoch, w := range all {
		if _, atSender := m.Summary.Loads[epoch]; atSender || !view.OtherDomainEpochs[epoch] {
			answer.Summary.Loads[epoch] = w
			continue
		}
		if full {
			if answer.OtherDomainLoads == nil {
				answer.OtherDomainLoads = make(map[int64]relay.ReplicaLoad)
			}
			answer.OtherDomainLoads[epoch] = w
		}
	}
}

// hubSummary returns the work of this daemon and its followers. The caller holds the lock.
func (g *Gateway) hubSummary(now time.Duration) relay.Summary {
	summary := g.tracker.summary(g.incarnation, time.Now())
	for _, p := range g.peers.peerSummaries {
		if !p.fromHub {
			summary.Add(p.agedTo(now))
		}
	}
	return summary
}

// summaryExcluding returns the work of all daemons but the given one, or but this one if none is
// given. The caller holds the lock.
func (g *Gateway) summaryExcluding(incarnation string, now time.Duration) relay.Summary {
	var summary relay.Summary
	if incarnation != "" {
		summary.Add(g.tracker.summary(g.incarnation, time.Now()))
	}
	for from, p := range g.peers.peerSummaries {
		if now-p.receivedAt > maxStatusAge {
			delete(g.peers.peerSummaries, from)
			continue
		}
		if from != incarnation {
			summary.Add(p.agedTo(now))
		}
	}
	return summary
}

// agedTo returns the summary of p as of now, as if there had been no events since.
func (p peerSummary) agedTo(now time.Duration) relay.Summary {
	if now-p.receivedAt > maxStatusAge {
		return relay.Summary{}
	}
	out := relay.Summary{Loads: make(map[int64]relay.ReplicaLoad, len(p.summary.Loads)), Demand: p.summary.Demand, Traffic: p.summary.Traffic}
	if now-p.daemonsAt <= membershipTTL {
		out.Daemons = p.daemons
	}
	for epoch, w := range p.summary.Loads {
		w.SinceEvent += now - p.receivedAt
		out.Loads[epoch] = w
	}
	return out
}

// daemonID returns the number that identifies a daemon in summaries.
func daemonID(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }
