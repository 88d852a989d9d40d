package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/placement"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// snapshotChanges is the number of configuration offsets after which a snapshot
// is published without waiting for its interval.
const snapshotChanges = 64

// tick claims and renews leases, directs the failure domains that this daemon
// holds, re-publishes the configuration ahead of retention and beats.
func (c *Core) tick(now time.Time) []Command {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	var out []Command
	for _, domain := range c.failureDomains() {
		out = append(out, c.claimLease(now, domain)...)
		out = append(out, c.direct(now, domain)...)
	}
	out = append(out, c.publishSnapshot(now)...)
	c.expirePeers(now)
	return append(out, Broadcast{Heartbeat: c.nextHeartbeat(now)})
}

// expirePeers forgets daemons that have been silent for long, unless the log is
// away: then they still count among those that may know of a change.
func (c *Core) expirePeers(now time.Time) {
	if c.freshness.LogDown {
		return
	}
	for name, p := range c.peers {
		if now.Sub(p.lastSeen) >= c.bounds.PeerForget {
			delete(c.peers, name)
			delete(c.freshness.Peers, name)
		}
	}
}

// claimLease returns the append that takes or renews the lease of domain, if due. A
// daemon that is leaving, or whose view is not confirmed by the log, claims
// nothing; daemons of other failure domains leave the first claimLease to those of
// the domain itself.
func (c *Core) claimLease(now time.Time, domain string) []Command {
	if c.leaving || c.freshness.LogDown || c.config.Offset == 0 {
		return nil
	}
	if domain != c.self.FailureDomain && c.leases.Lease(domain).Holder != c.leases.Self && c.deferToLocal(now, domain) {
		return nil
	}
	claim, ok := c.leases.NextClaim(now, domain)
	if !ok {
		return nil
	}
	c.leases.ClaimSent(now, claim)
	return []Command{Append{Stream: StreamSystem, ID: claim.ID, Entry: Entry{Lease: &claim}}}
}

// deferToLocal returns whether the claim of domain is left to a daemon that runs
// there. A daemon that has just started does not know yet whether there is one.
func (c *Core) deferToLocal(now time.Time, domain string) bool {
	if now.Sub(c.startedAt) < c.bounds.Freshness.PeerTimeout {
		return true
	}
	for _, p := range c.peers {
		live := now.Sub(p.lastSeen) < c.bounds.PeerForget && !p.heartbeat.Leaving
		if live && p.heartbeat.FailureDomain == domain {
			return true
		}
	}
	return false
}

// direct returns the orders for the instances of domain, if this daemon holds
// its lease and has read every instance's report since it took it.
func (c *Core) direct(now time.Time, domain string) []Command {
	term, ok := c.leases.Holds(now, domain)
	if !ok || c.leaving {
		delete(c.drains, domain)
		return nil
	}
	if c.terms[domain].term != term {
		c.terms[domain] = termStart{term: term, since: now}
		c.generationSeq = 0
	}
	candidates, settled := c.candidates(now, domain)
	if !settled || c.hasOrdersInFlight(now, domain) {
		return nil
	}
	plan := placement.Make(domain, c.wantedReplicas(domain), candidates)
	c.drains[domain] = plan.Drains
	var out []Command
	for _, m := range plan.Memberships {
		out = append(out, c.orderJoin(now, domain, term, m)...)
	}
	for _, name := range plan.Releases {
		out = append(out, c.newOrder(now, domain, term, c.instances[name], fleet.ActionLeave, fleet.Assignment{})...)
	}
	return out
}

// candidates returns the engines of domain, and whether each has answered since
// this daemon took the lease or is known to be silent for long enough.
func (c *Core) candidates(now time.Time, domain string) ([]placement.Candidate, bool) {
	since := c.terms[domain].since
	settled := now.Sub(since) >= c.bounds.DeadAfter
	answered := true
	var out []placement.Candidate
	for _, s := range c.enginesOf(domain) {
		answered = answered && s.reportedAt.After(since)
		alive := !s.reportedAt.IsZero() && !s.refused && now.Sub(s.reportedAt) < c.bounds.DeadAfter
		if !s.reportedAt.After(since) {
			alive = false
		}
		out = append(out, placement.Candidate{
			Instance: s.instance,
			Report:   s.report,
			Alive:    alive,
			Usable:   alive && !s.instance.Leaving && !s.report.Leaving && !c.config.InstanceCordoned(s.instance.Name),
		})
	}
	return out, settled || answered
}

// wantedReplicas returns how many replicas of each deployment belong in domain.
func (c *Core) wantedReplicas(domain string) []placement.Target {
	var out []placement.Target
	for _, d := range c.config.Deployments {
		if quota := d.Quota(domain, c.config.DomainsOut); d.Kind == fleet.KindEngine && quota > 0 {
			out = append(out, placement.Target{Deployment: d, Replicas: quota})
		}
	}
	return out
}

// orderJoin returns the orders that give m to each of its members that does not
// have it yet.
func (c *Core) orderJoin(now time.Time, domain string, term uint64, m placement.Membership) []Command {
	if m.NewGeneration {
		c.generationSeq++
		m.Generation = fleet.Generation{Fence: term, Seq: c.generationSeq}
	}
	a := fleet.Assignment{
		Replica: m.Replica, Deployment: m.Deployment.Name, Generation: m.Generation, Members: m.Members,
		Model: m.Deployment.Model, Adapter: m.Deployment.Adapter, Version: m.Deployment.Version,
	}
	for _, name := range m.Members {
		a.Addresses = append(a.Addresses, c.instances[name].instance.Address)
	}
	var out []Command
	for rank, name := range m.Members {
		s := c.instances[name]
		a.Rank = rank
		if s.report.Assignment.Generation != a.Generation {
			out = append(out, c.newOrder(now, domain, term, s, fleet.ActionJoin, a)...)
		}
	}
	return out
}

// newOrder returns the newOrder for one instance, unless another one of this term is
// in flight to it.
func (c *Core) newOrder(now time.Time, domain string, term uint64, s *instanceState, action fleet.Action, a fleet.Assignment) []Command {
	o := fleet.Order{
		Director:   c.leases.Self,
		Instance:   s.instance.Name,
		Action:     action,
		Fence:      term,
		Expect:     s.report.Assignment.Generation,
		Assignment: a,
		Deadline:   now.Add(c.bounds.Lease.LongestOrder),
	}
	// An order that was carried out, and undone since, is another one when it is given
	// again: the engine knows by the id what it has done.
	c.orderCount++
	o.ID = fmt.Sprintf("%s/%d/%s/%s/%s/%d", o.Instance, term, a.Generation, action, o.Expect, c.orderCount)
	s.ordersInFlight[o.ID] = now
	return []Command{Send{Address: s.instance.Address, Scope: domain, Until: c.leases.ValidUntil(domain), Order: o}}
}

// hasOrdersInFlight returns whether an order to an instance of domain is in flight. No
// plan is made until its result is known, or it cannot take effect any more.
func (c *Core) hasOrdersInFlight(now time.Time, domain string) bool {
	busy := false
	for _, s := range c.enginesOf(domain) {
		for id, at := range s.ordersInFlight {
			if now.Sub(at) >= c.bounds.Lease.LongestOrder {
				delete(s.ordersInFlight, id)
				continue
			}
			busy = true
		}
	}
	return busy
}

// publishSnapshot returns the append of a configuration snapshot, if the last one is
// old enough for retention to pass it. The holder of the first failure domain's
// lease publishes; any other daemon does so when the holder is late.
func (c *Core) publishSnapshot(now time.Time) []Command {
	if c.freshness.LogDown || c.config.Offset == 0 || c.freshness.ConfirmedAt.IsZero() {
		return nil
	}
	if c.snapshot.at.IsZero() {
		c.snapshot.at = now
	}
	patience := 2 * c.bounds.SnapshotInterval
	if domains := c.failureDomains(); len(domains) > 0 && c.leases.Lease(domains[0]).Holder == c.leases.Self {
		patience = c.bounds.SnapshotInterval
	}
	if now.Sub(c.snapshot.at) < patience && c.config.Offset < c.snapshot.offset+snapshotChanges {
		return nil
	}
	c.snapshot = lastSnapshot{offset: c.config.Offset, at: now}
	config := c.config
	id := fmt.Sprintf("%s/snapshot/%d/%d", c.leases.Self, config.Offset, now.UnixNano())
	return []Command{Append{Stream: StreamSystem, ID: id, Entry: Entry{Snapshot: &config}}}
}

// nextHeartbeat returns what this daemon tells its peers. It carries the
// configuration while a live peer lags behind.
func (c *Core) nextHeartbeat(now time.Time) Heartbeat {
	h := Heartbeat{
		Daemon: c.self.Daemon, Incarnation: c.self.Incarnation, FailureDomain: c.self.FailureDomain,
		CallerAddress: c.self.CallerAddress, PeerAddress: c.self.PeerAddress, Weight: c.self.Weight,
		Leaving: c.leaving, Drains: slices.Concat(slices.Collect(maps.Values(c.drains))...), Offset: c.config.Offset, ConfirmedAge: -1, LogDown: c.freshness.LogDown,
	}
	c.heartbeatSeq++
	c.heartbeatSentAt[c.heartbeatSeq] = now
	for sequence, at := range c.heartbeatSentAt {
		if now.Sub(at) > c.bounds.PeerForget {
			delete(c.heartbeatSentAt, sequence)
		}
	}
	h.Sequence, h.Echoes = c.heartbeatSeq, make(map[string]uint64, len(c.peers))
	for _, p := range c.peers {
		h.Echoes[p.heartbeat.Incarnation] = p.heartbeat.Sequence
	}
	if at := c.freshness.LastConfirmed(); !at.IsZero() {
		h.ConfirmedAge = now.Sub(at)
	}
	for _, p := range c.peers {
		if p.heartbeat.Offset < c.config.Offset && now.Sub(p.lastSeen) < c.bounds.PeerForget {
			config := c.config
			h.Configuration = &config
		}
	}
	return h
}
