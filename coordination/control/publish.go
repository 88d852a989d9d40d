package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// View returns a snapshot of the control state for routing, and resets Changed.
func (c *Core) View(now time.Time) *View {
	c.changed = false
	mode, until := c.freshness.Until(now, c.bounds.Freshness)
	v := &View{
		Configuration: c.config,
		Mode:          mode,
		FreshUntil:    until,
		Leaving:       c.leaving,
		Replicas:      make(map[string][]Replica),
		Services:      c.services(),
		Entries:       c.entryAddresses(now),
		Peers:         c.peerViews(now),
	}
	for _, domain := range c.failureDomains() {
		l := c.leases.Lease(domain)
		v.Leases = append(v.Leases, LeaseView{FailureDomain: domain, Holder: l.Holder, Term: l.Term})
	}
	c.addReplicas(now, v)
	return v
}

// entryAddresses returns the entry instances that callers may use.
func (c *Core) entryAddresses(now time.Time) []EntryAddress {
	var out []EntryAddress
	if !c.leaving {
		out = append(out, EntryAddress{c.self.Daemon, c.self.CallerAddress, c.self.FailureDomain, c.self.Weight})
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[name]
		if p.heartbeat.Leaving || now.Sub(p.lastSeen) >= c.bounds.Freshness.PeerTimeout {
			continue
		}
		h := p.heartbeat
		out = append(out, EntryAddress{h.Daemon, h.CallerAddress, h.FailureDomain, h.Weight})
	}
	return out
}

// peerViews returns the state of this daemon and of its live peers.
func (c *Core) peerViews(now time.Time) []PeerView {
	out := []PeerView{{Daemon: c.self.Daemon, Offset: c.config.Offset, LogDown: c.freshness.LogDown, Leaving: c.leaving}}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[name]
		if now.Sub(p.lastSeen) < c.bounds.PeerForget && !p.heartbeat.Leaving {
			out = append(out, PeerView{Daemon: name, Offset: p.heartbeat.Offset, LogDown: p.heartbeat.LogDown})
		}
	}
	return out
}

// services returns the instances of plain services that may receive work, by deployment.
func (c *Core) services() map[string][]fleet.Instance {
	out := make(map[string][]fleet.Instance)
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		s := c.instances[name]
		i := s.instance
		if i.Kind != fleet.KindService || i.Leaving || c.excluded(i) {
			continue
		}
		out[i.Deployment] = append(out[i.Deployment], i)
	}
	return out
}

// addReplicas adds to v the complete replicas, and an explanation for each replica that does
// not serve.
func (c *Core) addReplicas(now time.Time, v *View) {
	heads := make(map[string]*instanceState)
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		s := c.instances[name]
		a := s.report.Assignment
		if a.Free() {
			continue
		}
		if h, ok := heads[a.Replica]; !ok || h.report.Assignment.Generation.Less(a.Generation) {
			heads[a.Replica] = s
		}
	}
	v.Explanations = append(v.Explanations, c.explainMissing(heads)...)
	draining := c.drainingReplicas(now)
	for _, id := range slices.Sorted(maps.Keys(heads)) {
		a := heads[id].report.Assignment
		if draining[id] {
			v.Explanations = append(v.Explanations, Explanation{id, "is drained by its director", "its instances are used otherwise once its requests have ended"})
		} else if r, why := c.replica(now, a); why.Reason == "" {
			v.Replicas[a.Deployment] = append(v.Replicas[a.Deployment], r)
		} else {
			v.Explanations = append(v.Explanations, why)
		}
	}
}

// explainMissing returns an explanation for each deployment and failure domain in which the
// sheet asks for more replicas than the instances report.
func (c *Core) explainMissing(heads map[string]*instanceState) []Explanation {
	reported := make(map[string]int)
	for _, s := range heads {
		reported[s.report.Assignment.Deployment+"\x00"+s.instance.FailureDomain]++
	}
	var out []Explanation
	for _, d := range c.config.Deployments {
		for _, domain := range d.FailureDomains {
			missing := d.Quota(domain, c.config.DomainsOut) - reported[d.Name+"\x00"+domain]
			if d.Kind != fleet.KindEngine || missing <= 0 {
				continue
			}
			why := fmt.Sprintf("%d replicas of %d instances are not formed", missing, d.InstancesPerReplica)
			next := "the director of " + domain + " forms them when a fabric domain has that many free instances"
			out = append(out, Explanation{d.Name + "/" + domain, why, next})
		}
	}
	return out
}

// drainingReplicas returns the replicas that this daemon or a live peer is draining.
func (c *Core) drainingReplicas(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, ids := range c.drains {
		for _, id := range ids {
			out[id] = true
		}
	}
	for _, p := range c.peers {
		if now.Sub(p.lastSeen) >= c.bounds.Freshness.PeerTimeout {
			continue
		}
		for _, id := range p.heartbeat.Drains {
			out[id] = true
		}
	}
	return out
}

// replica returns the replica of assignment a if all its members are present, have a current
// report and may serve. Otherwise it returns the reason why it does not serve.
func (c *Core) replica(now time.Time, a fleet.Assignment) (Replica, Explanation) {
	r := Replica{
		Name: a.Replica, Deployment: a.Deployment, Model: a.Model, Adapter: a.Adapter, Version: a.Version,
		Generation: a.Generation, Members: a.Members,
	}
	for rank, name := range a.Members {
		s, ok := c.instances[name]
		if !ok {
			return r, Explanation{a.Replica, name + " is not listed", "the director replaces it"}
		}
		if why, next := c.servingBlocker(now, s, a); why != "" {
			return r, Explanation{a.Replica, name + " " + why, next}
		}
		until := s.reportedAt.Add(c.bounds.ReportAge)
		if rank == 0 {
			r.Head, r.FailureDomain, r.ValidUntil = s.instance, s.instance.FailureDomain, until
			r.Warm = s.report.Warm && !now.Before(s.coldUntil)
			r.Slots, r.ColdLimit, r.Running = s.report.Slots, s.report.ColdLimit, s.report.Running
		}
		if until.Before(r.ValidUntil) {
			r.ValidUntil = until
		}
	}
	_, r.Directed = c.leases.Holds(now, r.FailureDomain)
	r.Director = c.directorAddress(now, r.FailureDomain)
	return r, Explanation{}
}

// directorAddress returns the peer address of the daemon that directs domain, or "" if that is
// not a live peer.
func (c *Core) directorAddress(now time.Time, domain string) string {
	holder := c.leases.Lease(domain).Holder
	for _, p := range c.peers {
		h := p.heartbeat
		if h.Daemon+"#"+h.Incarnation == holder && now.Sub(p.lastSeen) < c.bounds.Freshness.PeerTimeout && !h.Leaving {
			return h.PeerAddress
		}
	}
	return ""
}

// servingBlocker returns why instance s keeps the replica of assignment a from serving and what
// happens next, or empty strings if it does not.
func (c *Core) servingBlocker(now time.Time, s *instanceState, a fleet.Assignment) (why, next string) {
	switch {
	case c.config.DomainOut(s.instance.FailureDomain):
		return "is in failure domain " + s.instance.FailureDomain + ", which is out", "domain in returns it"
	case c.config.InstanceCordoned(s.instance.Name):
		return "is cordoned", "the director replaces it"
	case s.instance.Leaving || s.report.Leaving:
		return "is leaving", "the director replaces it"
	case !c.hasCurrentReport(now, s):
		return "does not answer", "the director replaces it when a spare is free"
	case s.report.Assignment.Generation != a.Generation || s.report.Assignment.Replica != a.Replica:
		return fmt.Sprintf("has generation %s instead of %s", s.report.Assignment.Generation, a.Generation), "the director orders it to join"
	case s.report.Phase != fleet.PhaseReady:
		return "is " + string(s.report.Phase), "it serves when its weights are loaded"
	}
	return "", ""
}
