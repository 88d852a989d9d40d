package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

// A peerSum is the latest sum of work of one daemon, or of a hub with its followers.
type peerSum struct {
	sum        relay.Summary
	receivedAt time.Duration
	fromHub    bool
	// daemons lists the live daemons that the sender last reported, at daemonsAt.
	daemons   []uint64
	daemonsAt time.Duration
}

// recordPeerSum records the work of the sender of m. Only some messages list the live daemons, so
// the last list is kept. The caller holds the lock.
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

// fillWork sets the work in answer to that of all daemons but the sender of m: replicas with work
// of the sender and replicas of this failure domain each time, the rest every membershipInterval.
// The caller holds the lock.
func (g *Gateway) fillWork(answer *peerMessage, m peerMessage, now time.Duration) {
	answer.Sum = g.sumExcluding(m.From, now)
	full := g.peers.membershipDue(m.From, now)
	if !full {
		answer.Sum.Daemons = nil
	}
	otherDomains := g.view.Load().OtherDomainEpochs
	if h, ok := g.view.Load().Peers[m.From]; !ok || h.FailureDomain != g.settings.FailureDomain {
		// Replicas outside this failure domain may be inside that of the sender.
		return
	}
	all := answer.Sum.Loads
	answer.Sum.Loads = make(map[int64]relay.ReplicaLoad, len(all))
	for epoch, w := range all {
		if _, atSender := m.Sum.Loads[epoch]; atSender || !otherDomains[epoch] {
			answer.Sum.Loads[epoch] = w
			continue
		}
		if full {
			if answer.OtherDomainWork == nil {
				answer.OtherDomainWork = make(map[int64]relay.ReplicaLoad)
			}
			answer.OtherDomainWork[epoch] = w
		}
	}
}

// hubSum returns the work of this daemon and its followers. The caller holds the lock.
func (g *Gateway) hubSum(now time.Duration) relay.Summary {
	sum := g.tracker.workSum(g.incarnation, time.Now())
	for _, p := range g.peers.peerSums {
		if !p.fromHub {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// sumExcluding returns the work of all daemons but the given one, or but this one if none is given.
// The caller holds the lock.
func (g *Gateway) sumExcluding(incarnation string, now time.Duration) relay.Summary {
	var sum relay.Summary
	if incarnation != "" {
		sum.Add(g.tracker.workSum(g.incarnation, time.Now()))
	}
	for from, p := range g.peers.peerSums {
		if now-p.receivedAt > maxStatusAge {
			delete(g.peers.peerSums, from)
			continue
		}
		if from != incarnation {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// agedTo returns the sum of p as of now, as if there had been no events since.
func (p peerSum) agedTo(now time.Duration) relay.Summary {
	if now-p.receivedAt > maxStatusAge {
		return relay.Summary{}
	}
	out := relay.Summary{Loads: make(map[int64]relay.ReplicaLoad, len(p.sum.Loads)), Demand: p.sum.Demand, Traffic: p.sum.Traffic}
	if now-p.daemonsAt <= membershipTTL {
		out.Daemons = p.daemons
	}
	for epoch, w := range p.sum.Loads {
		w.SinceEvent += now - p.receivedAt
		out.Loads[epoch] = w
	}
	return out
}

// daemonID returns the number that identifies a daemon in sums.
func daemonID(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }
