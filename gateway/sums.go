package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

// A peerSum is the newest sum of one daemon, or of a hub with its followers.
type peerSum struct {
	sum        relay.Sum
	receivedAt time.Duration
	fromHub    bool
	// daemons are those that the sender last named, at namedAt.
	daemons   []uint64
	daemonsAt time.Duration
}

// recordPeerSum takes the work of the sender of m, who names the daemons that live now and then
// only. The caller holds the lock.
func (n *peerState) recordPeerSum(m peerMessage, now time.Duration) {
	if n.peerSums == nil {
		n.peerSums = make(map[string]peerSum)
	}
	p := peerSum{sum: m.Sum, receivedAt: now, fromHub: m.FromHub, daemons: m.Sum.Daemons, daemonsAt: now}
	if len(p.daemons) == 0 {
		p.daemons, p.daemonsAt = n.peerSums[m.From].daemons, n.peerSums[m.From].daemonsAt
	}
	p.sum.Daemons = nil
	n.peerSums[m.From] = p
}

// fillWork fills answer with the work of all daemons but the sender of m: what it has work
// at itself and what is in this failure domain each time, the rest now and then. The
// caller holds the lock.
func (g *Gateway) fillWork(answer *peerMessage, m peerMessage, now time.Duration) {
	answer.Sum = g.sumExcluding(m.From, now)
	whole := g.neighbours.membershipDue(m.From, now)
	if !whole {
		answer.Sum.Daemons = nil
	}
	far := g.view.Load().OtherDomainEpochs
	if h, ok := g.view.Load().Peers[m.From]; !ok || h.FailureDomain != g.settings.FailureDomain {
		// What is far from here may be near to the sender.
		return
	}
	all := answer.Sum.Work
	answer.Sum.Work = make(map[int64]relay.Work, len(all))
	for epoch, w := range all {
		if _, has := m.Sum.Work[epoch]; has || !far[epoch] {
			answer.Sum.Work[epoch] = w
			continue
		}
		if whole {
			if answer.OtherDomainWork == nil {
				answer.OtherDomainWork = make(map[int64]relay.Work)
			}
			answer.OtherDomainWork[epoch] = w
		}
	}
}

// hubSum returns the work of this daemon and its followers. The caller holds the
// lock.
func (g *Gateway) hubSum(now time.Duration) relay.Sum {
	sum := g.board.workSum(g.incarnation, time.Now())
	for _, p := range g.neighbours.peerSums {
		if !p.fromHub {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// sumExcluding returns the work of all daemons but the one named, or but this one. The
// caller holds the lock.
func (g *Gateway) sumExcluding(incarnation string, now time.Duration) relay.Sum {
	var sum relay.Sum
	if incarnation != "" {
		sum.Add(g.board.workSum(g.incarnation, time.Now()))
	}
	for from, p := range g.neighbours.peerSums {
		if now-p.receivedAt > maxStatusAge {
			delete(g.neighbours.peerSums, from)
			continue
		}
		if from != incarnation {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// agedTo returns the sum of p as of now: nothing is known of events since.
func (p peerSum) agedTo(now time.Duration) relay.Sum {
	if now-p.receivedAt > maxStatusAge {
		return relay.Sum{}
	}
	out := relay.Sum{Work: make(map[int64]relay.Work, len(p.sum.Work)), Asked: p.sum.Asked, Traffic: p.sum.Traffic}
	if now-p.daemonsAt <= membershipTTL {
		out.Daemons = p.daemons
	}
	for epoch, w := range p.sum.Work {
		w.Silent += now - p.receivedAt
		out.Work[epoch] = w
	}
	return out
}

// daemonID returns the number that stands for a daemon in sums.
func daemonID(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }
