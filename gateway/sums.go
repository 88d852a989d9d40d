package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

// A part is the newest sum of one daemon, or of a hub with its followers.
type part struct {
	sum relay.Summary
	at  time.Duration
	hub bool
	// daemons are those that the sender last named, at namedAt.
	daemons []uint64
	namedAt time.Duration
}

// takePart takes the work of the sender of m, who names the daemons that live now and then
// only. The caller holds the lock.
func (n *neighbours) takePart(m message, now time.Duration) {
	if n.parts == nil {
		n.parts = make(map[string]part)
	}
	p := part{sum: m.Sum, at: now, hub: m.Hub, daemons: m.Sum.Daemons, namedAt: now}
	if len(p.daemons) == 0 {
		p.daemons, p.namedAt = n.parts[m.From].daemons, n.parts[m.From].namedAt
	}
	p.sum.Daemons = nil
	n.parts[m.From] = p
}

// tellWork fills answer with the work of all daemons but the sender of m: what it has work
// at itself and what is in this failure domain each time, the rest now and then. The
// caller holds the lock.
func (g *Gateway) tellWork(answer *message, m message, now time.Duration) {
	answer.Sum = g.sumExcept(m.From, now)
	whole := g.neighbours.namesDaemons(m.From, now)
	if !whole {
		answer.Sum.Daemons = nil
	}
	far := g.view.Load().Far
	if h, ok := g.view.Load().Peers[m.From]; !ok || h.Zone != g.settings.FailureDomain {
		// What is far from here may be near to the sender.
		return
	}
	all := answer.Sum.Loads
	answer.Sum.Loads = make(map[int64]relay.ReplicaLoad, len(all))
	for epoch, w := range all {
		if _, has := m.Sum.Loads[epoch]; has || !far[epoch] {
			answer.Sum.Loads[epoch] = w
			continue
		}
		if whole {
			if answer.Far == nil {
				answer.Far = make(map[int64]relay.ReplicaLoad)
			}
			answer.Far[epoch] = w
		}
	}
}

// sumBelow returns the work of this daemon and its followers. The caller holds the
// lock.
func (g *Gateway) sumBelow(now time.Duration) relay.Summary {
	sum := g.board.sum(g.incarnation, time.Now())
	for _, p := range g.neighbours.parts {
		if !p.hub {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// sumExcept returns the work of all daemons but the one named, or but this one. The
// caller holds the lock.
func (g *Gateway) sumExcept(incarnation string, now time.Duration) relay.Summary {
	var sum relay.Summary
	if incarnation != "" {
		sum.Add(g.board.sum(g.incarnation, time.Now()))
	}
	for from, p := range g.neighbours.parts {
		if now-p.at > statusAge {
			delete(g.neighbours.parts, from)
			continue
		}
		if from != incarnation {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// agedTo returns the sum of p as of now: nothing is known of events since.
func (p part) agedTo(now time.Duration) relay.Summary {
	if now-p.at > statusAge {
		return relay.Summary{}
	}
	out := relay.Summary{Loads: make(map[int64]relay.ReplicaLoad, len(p.sum.Loads)), Demand: p.sum.Demand, Traffic: p.sum.Traffic}
	if now-p.namedAt <= namedAge {
		out.Daemons = p.daemons
	}
	for epoch, w := range p.sum.Loads {
		w.SinceEvent += now - p.at
		out.Loads[epoch] = w
	}
	return out
}

// nameOf returns the number that stands for a daemon in sums.
func nameOf(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }
