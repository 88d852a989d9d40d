package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/shares"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// shareLogInterval is the least time between two log lines about organisations that went over their shares or
	// returned, and the time without a request over its share after which an organisation has returned.
	shareLogInterval = time.Second
	// maxLoggedOrganisations is the number of organisations that such a line names.
	maxLoggedOrganisations = 8
)

// serviceUsage is the usage of organisations of services.
type serviceUsage map[string]shares.Summary

// add adds other to u and returns it.
func (u serviceUsage) add(other serviceUsage) serviceUsage {
	if u == nil && len(other) > 0 {
		u = make(serviceUsage, len(other))
	}
	for service, s := range other {
		u[service] = u[service].Add(s)
	}
	return u
}

// largest returns u with the organisations that a message names.
func (u serviceUsage) largest() serviceUsage {
	for service, s := range u {
		u[service] = s.Largest()
	}
	return u
}

// A userKey names an organisation at a service.
type userKey struct{ service, organisation string }

// usageState is what this daemon knows of the usage of organisations. The zero value knows nothing.
type usageState struct {
	meters map[string]*shares.Meter
	// peers is the usage at all other daemons, as of peersAt on the boot clock, zero if it was never received.
	peers   serviceUsage
	peersAt time.Duration
	// standings are the standings of organisations by service.
	standings map[string]shares.Standing
	// overAt is when an organisation was last found over its share, and loggedOver are those of the last log line.
	overAt     map[userKey]time.Duration
	loggedOver []userKey
	loggedAt   time.Duration
}

// recordUsage counts a request of an organisation for work of a service, if organisations have shares. The caller
// holds the lock of the tracker.
func (g *Gateway) recordUsage(service, organisation string, work time.Duration, accepted bool) {
	if !g.policy().Organisations.FairShares {
		return
	}
	u := &g.tracker.usage
	m, ok := u.meters[service]
	if !ok {
		if u.meters == nil {
			u.meters = make(map[string]*shares.Meter)
		}
		m = &shares.Meter{}
		u.meters[service] = m
	}
	m.Record(clock.Boot(), organisation, work, accepted)
}

// shareRatio returns what an organisation asks for lately as a multiple of its fair share of a service, zero if
// organisations have no shares. It is for use while the service is short: requests over a share are counted and
// logged. The caller holds the lock of the tracker.
func (g *Gateway) shareRatio(service, organisation string) float64 {
	if !g.policy().Organisations.FairShares {
		return 0
	}
	u := &g.tracker.usage
	ratio := u.standings[service].Ratio(organisation)
	if ratio > 1 {
		if u.overAt == nil {
			u.overAt = make(map[userKey]time.Duration)
		}
		u.overAt[userKey{service: service, organisation: organisation}] = clock.Boot()
		g.metrics.events.Add("requests_over_share", 1)
	}
	return ratio
}

// usageHere returns the usage at this daemon, nil if there is none.
func (b *attemptTracker) usageHere(now time.Duration) serviceUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out serviceUsage
	for service, m := range b.usage.meters {
		s := m.Summary(now)
		if len(s) == 0 {
			delete(b.usage.meters, service)
			continue
		}
		if out == nil {
			out = make(serviceUsage, len(b.usage.meters))
		}
		out[service] = s
	}
	return out
}

// setPeerUsage sets the usage at all other daemons as of now.
func (b *attemptTracker) setPeerUsage(u serviceUsage, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.peers, b.usage.peersAt = u, now
}

// updateStandings finds the standings of organisations anew from the usage at this daemon and at all others.
func (g *Gateway) updateStandings(now time.Duration) {
	b, organisations := &g.tracker, g.policy().Organisations
	b.mu.Lock()
	if !organisations.FairShares {
		b.usage = usageState{}
		b.mu.Unlock()
		return
	}
	peers, at := b.usage.peers, b.usage.peersAt
	b.mu.Unlock()
	var standings map[string]shares.Standing
	if at != 0 {
		all := serviceUsage(nil).add(peers).add(b.usageHere(now))
		standings = make(map[string]shares.Standing, len(all))
		for service, s := range all {
			standings[service] = shares.StandingOf(s, organisations.Weights, now-at)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.standings = standings
	g.logShares(now)
}

// logShares logs which organisations went over their shares or returned, at most once in shareLogInterval. The caller
// holds the lock of the tracker.
func (g *Gateway) logShares(now time.Duration) {
	u := &g.tracker.usage
	maps.DeleteFunc(u.overAt, func(_ userKey, at time.Duration) bool { return now-at > shareLogInterval })
	if u.loggedAt != 0 && now-u.loggedAt < shareLogInterval {
		return
	}
	went, returned := 0, 0
	for key := range u.overAt {
		if !slices.Contains(u.loggedOver, key) {
			went++
		}
	}
	for _, key := range u.loggedOver {
		if _, ok := u.overAt[key]; !ok {
			returned++
		}
	}
	if went+returned == 0 {
		return
	}
	u.loggedOver, u.loggedAt = slices.Collect(maps.Keys(u.overAt)), now
	names := make([]string, 0, maxLoggedOrganisations)
	for _, key := range u.loggedOver[:min(len(u.loggedOver), maxLoggedOrganisations)] {
		names = append(names, key.service+" "+key.organisation)
	}
	slices.Sort(names)
	g.metrics.events.Add("share_changes", int64(went+returned))
	g.logger.Info().Str("event", "shares_changed").Int("went_over", went).Int("returned", returned).Int("over", len(u.loggedOver)).
		Strs("organisations", names).Msg("organisations went over their fair shares while room is short, or returned")
}

// hubUsage returns the usage at this daemon and its followers. The caller holds the lock of the peers.
func (g *Gateway) hubUsage(now time.Duration) serviceUsage {
	u := g.tracker.usageHere(now)
	for _, p := range g.peers.peerSummaries {
		if !p.fromHub {
			u = u.add(p.usageAt(now))
		}
	}
	return u.largest()
}

// usageExcluding returns the usage at all daemons but the given one, or but this one if none is given. The caller
// holds the lock of the peers.
func (g *Gateway) usageExcluding(incarnation string, now time.Duration) serviceUsage {
	var u serviceUsage
	if incarnation != "" {
		u = g.tracker.usageHere(now)
	}
	for from, p := range g.peers.peerSummaries {
		if from != incarnation {
			u = u.add(p.usageAt(now))
		}
	}
	return u.largest()
}

// usageAt returns the usage that p reports as of now.
func (p peerSummary) usageAt(now time.Duration) serviceUsage {
	if now-p.receivedAt > maxStatusAge {
		return nil
	}
	return p.usage
}
