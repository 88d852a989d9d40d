package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/placement"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// snapshotChanges is the number of configuration records after which a snapshot is published
// before its interval has passed.
const snapshotChanges = 64

// tick claims and renews leases, directs the failure domains whose leases this daemon holds,
// publishes a configuration snapshot before retention removes the last one, and sends a
// heartbeat.
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

// expirePeers removes peers that have been silent for PeerForget. During a log outage it keeps
// them: they may have read a change that this daemon has not, and count for the majority.
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

// claimLease returns the append that acquires or renews the lease of domain, if due. A daemon
// that is leaving, cannot read the log or has no configuration claims nothing. A daemon of
// another failure domain lets the daemons of the domain itself claim first.
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

// deferToLocal returns whether the claim of domain is left to a daemon that runs there. For
// PeerTimeout after its start a daemon defers always, as it has not yet received the heartbeats
// that would show one.
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

// direct returns the orders for the instances of domain. It returns none unless this daemon
// holds the lease of domain, has a report of every instance since it acquired the lease (or
// has waited for DeadAfter), and has no order in flight.
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
	candidates, complete := c.candidates(now, domain)
	if !complete || c.hasOrdersInFlight(now, domain) {
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

// candidates returns the engines of domain, and whether there is enough information to plan:
// each has reported since this daemon acquired the lease, or DeadAfter has passed since then.
func (c *Core) candidates(now time.Time, domain string) ([]placement.Candidate, bool) {
	since := c.terms[domain].since
	complete := now.Sub(since) >= c.bounds.DeadAfter
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
	return out, complete || answered
}

// wantedReplicas returns the number of replicas that each deployment must have in domain.
func (c *Core) wantedReplicas(domain string) []placement.Target {
	var out []placement.Target
	for _, d := range c.config.Deployments {
		if quota := d.Quota(domain, c.config.DomainsOut); d.Kind == fleet.KindEngine && quota > 0 {
			out = append(out, placement.Target{Deployment: d, Replicas: quota})
		}
	}
	return out
}

// orderJoin returns the join orders for the members of m that do not have its generation yet.
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

// newOrder returns the command that sends an order to one instance, and records the order as in
// flight.
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
	// An engine ignores an order whose id it has carried out already. The counter keeps the ids
	// unique, so that an order is carried out again if a later one has undone it.
	c.orderCount++
	o.ID = fmt.Sprintf("%s/%d/%s/%s/%s/%d", o.Instance, term, a.Generation, action, o.Expect, c.orderCount)
	s.ordersInFlight[o.ID] = now
	return []Command{Send{Address: s.instance.Address, Scope: domain, Until: c.leases.ValidUntil(domain), Order: o}}
}

// hasOrdersInFlight returns whether an order to an instance of domain is in flight. No plan is
// made until the result of each order is known or its deadline has passed, after which it
// cannot take effect.
func (c *Core) hasOrdersInFlight(now time.Time, domain string) bool {
	inFlight := false
	for _, s := range c.enginesOf(domain) {
		for id, at := range s.ordersInFlight {
			if now.Sub(at) >= c.bounds.Lease.LongestOrder {
				delete(s.ordersInFlight, id)
				continue
			}
			inFlight = true
		}
	}
	return inFlight
}

// publishSnapshot returns the append of a configuration snapshot if one is due: after
// SnapshotInterval, so that retention never removes the last one, or after snapshotChanges
// records. The holder of the first failure domain's lease publishes it; any other daemon
// does so after twice the interval.
func (c *Core) publishSnapshot(now time.Time) []Command {
	if c.freshness.LogDown || c.config.Offset == 0 || c.freshness.ConfirmedAt.IsZero() {
		return nil
	}
	if c.snapshot.at.IsZero() {
		c.snapshot.at = now
	}
	interval := 2 * c.bounds.SnapshotInterval
	if domains := c.failureDomains(); len(domains) > 0 && c.leases.Lease(domains[0]).Holder == c.leases.Self {
		interval = c.bounds.SnapshotInterval
	}
	if now.Sub(c.snapshot.at) < interval && c.config.Offset < c.snapshot.offset+snapshotChanges {
		return nil
	}
	c.snapshot = lastSnapshot{offset: c.config.Offset, at: now}
	config := c.config
	id := fmt.Sprintf("%s/snapshot/%d/%d", c.leases.Self, config.Offset, now.UnixNano())
	return []Command{Append{Stream: StreamSystem, ID: id, Entry: Entry{Snapshot: &config}}}
}

// nextHeartbeat returns the heartbeat for all peers. It carries the configuration while the
// offset of a live peer lags behind.
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
