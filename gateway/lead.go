package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/coordination/tenure"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// probeTimeout bounds the wait for a server's answer to a probe: many round trips.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the minimum time between probes of the same replica or server.
	probeInterval = time.Second
	// probeAttempts is the number of consecutive probes that a dead server leaves unanswered.
	probeAttempts = 2
	// maxBriefSilence is how long a server that accepts connections may answer no probe and still be sound:
	// the second or so that the platform documents, and half of that.
	maxBriefSilence = 1500 * time.Millisecond
	// deadTTL is how long a server counts as dead: longer than the list of servers keeps the entry
	// of one that has stopped writing it.
	deadTTL = 6 * time.Second
)

// A termsResult is the result of reading the end of the terms topic.
type termsResult struct {
	end int64
	err error
}

// A claimResult is the result of an attempt to claim a term.
type claimResult struct {
	sentAt time.Duration
	err    error
}

// A heartbeatStored reports that the store has accepted a heartbeat of this daemon.
type heartbeatStored struct {
	sentAt time.Duration
	term   int64
}

// An orderResult is an order and the server's answer.
type orderResult struct {
	order  formation.Order
	answer formation.Answer
	term   int64
	// unreached means that no daemon reaches the server, nor this daemon any other one on its own paths.
	unreached bool
}

// A serverUnreached reports that a server did not answer a probe and that this daemon reaches no other
// server either.
type serverUnreached struct{}

// A probeResult reports what this daemon's probes of a server that may be dead have found.
type probeResult struct {
	server  site.Server
	finding probeFinding
	// sentAt is when the first of the probes was sent.
	sentAt time.Duration
}

// A probeFinding is what probes of a server have found.
type probeFinding int

// The findings.
const (
	// probeUnreached means that the server accepts no connections.
	probeUnreached probeFinding = iota
	// probeSilent means that it accepts connections and answers nothing.
	probeSilent
	// probeReplaced means that another incarnation or another server answered.
	probeReplaced
	// probeAlive means that the server answered.
	probeAlive
)

// A deadServer is a server that is still listed but answers no probes.
type deadServer struct {
	born          int64
	detectedAt    time.Duration
	failureDomain string
}

// A silentServer is a server that accepts connections and answers no probe.
type silentServer struct {
	// since is when the first probe was sent that it did not answer, lastAt when the last one ended.
	since, lastAt time.Duration
}

// leadership is the state of this daemon as a candidate and as the leader.
type leadership struct {
	candidate tenure.Candidate
	// termsKnown means that the end of the terms topic has been read. heartbeatsReadAt is when the
	// latest successful read of heartbeats was sent.
	termsKnown       bool
	heartbeatsReadAt time.Duration
	// callPending means that a call about terms is in flight. nextCallAt is when the next one may
	// be made.
	callPending bool
	nextCallAt  time.Duration
	term        int64
	// unreachedSince is when this daemon first failed to reach a server, on any path, since a server
	// last answered it; zero if none did. isolatedUntil is until when it claims no term for that.
	unreachedSince time.Duration
	isolatedUntil  time.Duration
	// claimableSince is since when a term has been claimable; zero if none is.
	claimableSince time.Duration
	// nextFleetLogAt is when the fleet is logged next.
	nextFleetLogAt time.Duration
	planner        *formation.Planner
	// probedAt holds when each suspected replica or server was last probed, and aliveAt when
	// servers last answered another hub.
	probedAt map[string]time.Duration
	// polledAt holds when each server that is about to change was last asked for its report.
	polledAt map[string]time.Duration
	aliveAt  map[string]time.Duration
	dead     map[string]deadServer
	// silent holds the servers that accept connections and have answered no probe.
	silent map[string]silentServer
}

// tenureTimeouts are the times that separate one leader from the next. A leader's heartbeats come
// every leaderInterval, so that two may be lost. ElectionTimeout leaves time for clock drift and
// for orders in flight.
var tenureTimeouts = tenure.Timeouts{LeaseDuration: 1600 * time.Millisecond, ElectionTimeout: 2 * time.Second}

// callTermStore makes a call about terms and sends its result to the controller. kind is the name
// of the call in the metrics.
func (c *controller) callTermStore(kind string, call func(ctx context.Context) any) {
	g := c.gateway
	c.leadership.callPending = true
	g.work.Go(context.Background(), kind, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		g.metrics.storeCalls.Add(kind, 1)
		g.enqueue(call(ctx))
		return nil
	})
}

// readTerms reads the end of the terms topic, which is the number of terms so far.
func (c *controller) readTerms() {
	c.callTermStore("terms", func(ctx context.Context) any {
		end, err := c.gateway.store.End(ctx, platform.TopicTerms)
		return termsResult{end: end, err: err}
	})
}

// claimTerm tries to claim the next term by appending a record to the terms topic at the offset
// end.
func (c *controller) claimTerm(end int64) {
	c.callTermStore("claim", func(ctx context.Context) any {
		sent := clock.Boot()
		return claimResult{sentAt: sent, err: c.gateway.store.AppendAt(ctx, platform.TopicTerms, end, c.gateway.incarnation)}
	})
}

// applyTerms applies the end of the terms topic.
func (c *controller) applyTerms(now time.Duration, m termsResult) {
	c.leadership.callPending = false
	if m.err != nil {
		c.gateway.metrics.storeFailures.Add("terms", 1)
		c.leadership.nextCallAt = now + retryInterval
		return
	}
	c.leadership.termsKnown = true
	c.leadership.candidate.ObserveEnd(now, m.end)
}

// applyClaim applies the result of an attempt to claim a term.
func (c *controller) applyClaim(now time.Duration, m claimResult) {
	l := &c.leadership
	l.callPending = false
	var conflict *platform.ConflictError
	switch {
	case m.err == nil:
		l.candidate.ClaimAccepted(m.sentAt)
	case errors.As(m.err, &conflict):
		l.candidate.ClaimRejected(now, conflict.End)
	default:
		c.gateway.metrics.storeFailures.Add("claim", 1)
		l.nextCallAt = now + retryInterval
	}
}

// elect claims a term if this daemon may, and records when it starts or stops leading.
func (c *controller) elect(now time.Duration) {
	l := &c.leadership
	end, claimable := l.candidate.ClaimableOffset(now, l.heartbeatsReadAt)
	if c.eligible(now, claimable) && !l.callPending && now >= l.nextCallAt && !c.gateway.leaving.Load() {
		if !l.termsKnown {
			c.readTerms()
		} else if claimable && c.canServe() {
			c.claimTerm(end)
		}
	}
	if c.gateway.leaving.Load() || c.isIsolated(now) {
		l.candidate.Resign()
	}
	term, leads := l.candidate.Leads(now)
	if !leads {
		term = 0
	}
	if old := c.gateway.term.Swap(term); old == term {
		return
	}
	line := c.gateway.logger.Info().Str("event", "leadership").Int64("term", term)
	if expiry := l.candidate.LeaseExpiry(); expiry != 0 {
		line = line.Dur("until", expiry-now)
	}
	line.Msg("this daemon started or stopped leading")
	l.planner, l.probedAt, l.aliveAt, l.polledAt = nil, make(map[string]time.Duration), make(map[string]time.Duration), make(map[string]time.Duration)
	l.silent = make(map[string]silentServer)
	if leads {
		l.planner = formation.New(term, now)
		l.term = term
		c.gateway.requestHeartbeat()
	}
}

const (
	// isolationTimeout is how long the orders and probes of a leader may reach no server before it
	// resigns, so that a daemon leads that reaches them.
	isolationTimeout = 1500 * time.Millisecond
	// isolationPause is how long it claims no term afterwards.
	isolationPause = 5 * time.Second
)

// isIsolated returns whether this daemon leads although it reaches no server on any path, and keeps it
// from claiming a term for a while.
func (c *controller) isIsolated(now time.Duration) bool {
	l := &c.leadership
	if l.unreachedSince == 0 || now-l.unreachedSince < isolationTimeout || !c.isLeading(now) {
		return false
	}
	l.unreachedSince, l.isolatedUntil = 0, now+isolationPause
	c.gateway.logger.Warn().Str("event", "leader_isolated").Int64("term", l.term).Msg("this daemon reaches no server on any path; it stops leading")
	return true
}

// recordUnreached records that this daemon did not reach a server on any path.
func (c *controller) recordUnreached(now time.Duration) {
	if c.leadership.unreachedSince == 0 {
		c.leadership.unreachedSince = now
	}
}

// strandedClaimDelay is how long a reader that has lost its links leaves a term to the others.
const strandedClaimDelay = time.Second

// eligible returns whether this daemon may claim a term, if one is claimable: readers may, as they are the
// first to see changes of the fleet, those that have lost their links later than the others, and so may
// any daemon if no reader has led for a while.
func (c *controller) eligible(now time.Duration, claimable bool) bool {
	l := &c.leadership
	if !claimable {
		l.claimableSince = 0
	} else if l.claimableSince == 0 {
		l.claimableSince = now
	}
	if now < l.isolatedUntil {
		return false
	}
	reader := c.gateway.isReader()
	if reader && c.gateway.paths.linksLost() {
		reader = claimable && now-l.claimableSince >= strandedClaimDelay
	}
	return reader || l.heartbeatsReadAt-max(l.candidate.LeaderSeenAt(), c.gateway.startedAt) > 2*tenureTimeouts.ElectionTimeout
}

// isReader returns whether this daemon reads the store for others.
func (g *Gateway) isReader() bool {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	return g.peers.isReader
}

// isLeading returns whether this daemon leads now.
func (c *controller) isLeading(now time.Duration) bool {
	_, leads := c.leadership.candidate.Leads(now)
	return leads && c.leadership.planner != nil
}

// engineService returns the service whose servers form replicas; nil if there is none.
func (c *controller) engineService() *site.Service {
	if c.configuration == nil {
		return nil
	}
	for _, s := range c.configuration.Services {
		if s.Engine != nil {
			return s
		}
	}
	return nil
}

// stepLeader sends the orders that are due, if this daemon leads.
func (c *controller) stepLeader(now time.Duration) {
	service := c.engineService()
	c.expireProbeState(now)
	if !c.isLeading(now) || service == nil || !c.loadedTopics[platform.TopicServers] || c.failedTopics[platform.TopicServers] {
		return
	}
	c.probeStalled(now)
	f := formation.Fleet{
		Engine: service.Engine, Servers: make(map[string]site.Server), CutOff: make(map[string]bool), LastModel: make(map[string]string), Demand: c.demand(), Dead: make(map[string]bool), OutOfService: c.domainsOut,
		TrafficStarted: c.trafficStarted(), StallTimeout: c.gateway.bounds().Stall,
		LoadLimit: service.Engine.LoadsPerSecond * c.gateway.bounds().CeilingWindow.Seconds(), LoadWindow: c.gateway.bounds().CeilingWindow,
	}
	for _, e := range c.consistentServers() {
		if e.server.Service != service.Name || !e.isUsable() {
			continue
		}
		f.Servers[e.server.ID], f.LastModel[e.server.ID] = e.server, e.lastModel
		if e.cutOff {
			f.CutOff[e.server.ID] = true
			c.reprobe(now, e.server)
		}
	}
	for id := range c.leadership.dead {
		f.Dead[id] = true
	}
	for _, order := range c.leadership.planner.Step(now, f) {
		c.sendOrder(order)
	}
	for _, r := range c.leadership.planner.Repairs() {
		c.gateway.metrics.repair.observe(r.Downtime)
		c.gateway.logger.Info().Str("event", "replica_repaired").Str("group", r.Replica).Str("model", r.Model).Str("cause", r.Cause.String()).
			Dur("after", r.Downtime).Msg("servers of a lost replica are serving again")
	}
	for _, e := range c.leadership.planner.StoppedReplicas() {
		c.broadcastChange(replicaChange{Group: e.Replica, Epoch: e.Epoch})
	}
	for id := range c.leadership.silent {
		if e, listed := c.servers.entries[id]; listed {
			c.reprobe(now, e.server)
		}
	}
	for _, head := range c.leadership.planner.HeadsToProbe() {
		c.reprobe(now, head)
	}
	c.pollAwaitedServers(now)
	c.logFleet(now, f)
}

// reprobe probes s, unless that was done within the last probeInterval.
func (c *controller) reprobe(now time.Duration, s site.Server) {
	if c.probeDue(now, s.ID) {
		c.probeServers([]site.Server{s})
	}
}

// probeDue returns whether the replica or server with the given name was not probed within the last
// probeInterval, and records that it is probed now.
func (c *controller) probeDue(now time.Duration, name string) bool {
	last, ok := c.leadership.probedAt[name]
	if ok && now-last <= probeInterval {
		return false
	}
	c.leadership.probedAt[name] = now
	return true
}

// fleetLogInterval is the time between two log lines about the fleet.
const fleetLogInterval = 2 * time.Second

// logFleet logs the state of the fleet, one line per fabric domain.
func (c *controller) logFleet(now time.Duration, f formation.Fleet) {
	if now < c.leadership.nextFleetLogAt {
		return
	}
	c.leadership.nextFleetLogAt = now + fleetLogInterval
	for _, d := range f.Domains() {
		c.gateway.logger.Info().Str("event", "fleet").Str("fabric_domain", d.Name).Strs("replicas", d.Replicas).Strs("idle", d.Idle).Msg("")
	}
}

// demand returns the work that callers request of each model at all daemons, in replicas kept busy.
func (c *controller) demand() map[string]float64 {
	summary := relay.Summary{}
	summary.Add(c.peerSummary)
	summary.Add(relay.Summary{Demand: c.gateway.tracker.currentDemand(clock.Boot())})
	return summary.Demand
}

// trafficStarted returns whether any daemon has had requests of callers.
func (c *controller) trafficStarted() bool {
	if !c.trafficSeen {
		c.trafficSeen = !c.gateway.settings.FirstRun || c.gateway.tracker.hadTraffic() || c.peerSummary.Traffic || c.peerHadTraffic()
	}
	return c.trafficSeen
}

// peerHadTraffic returns whether another daemon has had requests of callers.
func (c *controller) peerHadTraffic() bool {
	for _, p := range c.daemons {
		if p.Heartbeat.HadTraffic {
			return true
		}
	}
	return false
}

// sendOrder sends an order on its own goroutine, unless this daemon's term has ended by then.
func (c *controller) sendOrder(o formation.Order) {
	g, term, until := c.gateway, c.leadership.term, c.leadership.candidate.LeaseExpiry()
	g.work.Go(context.Background(), "order", func(ctx context.Context) error {
		if clock.Boot() >= until {
			g.enqueue(orderResult{order: o, answer: formation.Declined, term: term})
			return nil
		}
		g.enqueue(g.deliverOrder(ctx, o, term))
		return nil
	})
}

// deliverOrder sends an order of a term to its server and returns the result.
func (g *Gateway) deliverOrder(ctx context.Context, o formation.Order, term int64) orderResult {
	began := clock.Boot()
	g.metrics.orders.Add(o.Action.String(), 1)
	answer, err := g.engines.Order(ctx, o)
	line := g.logger.Info().Str("event", "order").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
		Int64("epoch", o.Epoch).Int64("term", term).Str("model", o.Model).Str("answer", answer.String())
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("order sent to server")
	if errors.Is(err, context.DeadlineExceeded) {
		g.checkPath(o.Address)
	}
	return orderResult{order: o, answer: answer, term: term, unreached: errors.Is(err, errNoPath) && !g.ownLinksWork(ctx, o.Address, began)}
}

// applyOrderResult applies the answer to an order. A daemon whose term was superseded sends no more
// orders under it.
func (c *controller) applyOrderResult(now time.Duration, m orderResult) {
	l := &c.leadership
	if m.unreached {
		c.recordUnreached(now)
	} else if m.answer != formation.Unknown {
		l.unreachedSince = 0
	}
	if l.planner == nil || m.term != l.term {
		return
	}
	l.planner.RecordAnswer(now, m.order, m.answer)
	if l.planner.Superseded(m.order, m.answer) {
		c.gateway.metrics.events.Add("leaders_fenced", 1)
		c.gateway.logger.Warn().Str("event", "fenced").Int64("term", l.term).Str("server", m.order.Server).Msg("server has orders of a later leader; this daemon stops leading")
		l.planner = nil
		l.candidate.Superseded(now)
	}
}

// probeReplicas probes replicas that do not answer a daemon, if this daemon leads.
func (c *controller) probeReplicas(now time.Duration, groups []string) {
	if !c.isLeading(now) {
		return
	}
	for _, name := range groups {
		if c.probeDue(now, name) {
			c.probeReplica(name)
		}
	}
}

// probeEpoch probes the replica with the given epoch, which does not answer another daemon.
func (c *controller) probeEpoch(now time.Duration, epoch int64) {
	for _, e := range c.servers.entries {
		if e.server.Member.Epoch == epoch {
			c.probeReplicas(now, []string{e.server.Member.Group})
			return
		}
	}
}

// probeStalled probes the replicas that do not answer this daemon.
func (c *controller) probeStalled(now time.Duration) {
	c.probeReplicas(now, c.gateway.tracker.suspectTargets())
}

// probeReplica probes every member of a replica.
func (c *controller) probeReplica(name string) {
	var servers []site.Server
	for _, e := range c.servers.all() {
		if e.server.Member.Group == name {
			servers = append(servers, e.server)
		}
	}
	c.probeServers(servers)
}

// probeServers probes servers, from this daemon and from other hubs.
func (c *controller) probeServers(servers []site.Server) {
	g := c.gateway
	targets := make([]probeTarget, 0, len(servers))
	for _, s := range servers {
		targets = append(targets, probeTarget{ID: s.ID, Address: s.Address, Born: s.Born})
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			began := clock.Boot()
			finding := g.probeServer(ctx, s)
			if finding != probeAlive {
				// Other hubs probe for just as long, and their results may still be in flight.
				clock.Sleep(ctx, peerProbeMargin)
				if !g.ownLinksWork(ctx, s.Address, began) {
					g.logger.Info().Str("event", "probe_ignored").Str("server", s.ID).Msg("this daemon reaches no server; the probe says nothing")
					g.enqueue(serverUnreached{})
					return nil
				}
			}
			if finding == probeUnreached && (g.testPath(ctx, s.Address) || g.testAround(ctx, s.Address)) {
				finding = probeSilent
			}
			g.enqueue(probeResult{server: s, finding: finding, sentAt: began})
			return nil
		})
	}
	g.requestPeerProbes(targets)
}

// peerProbeMargin is the time for the round trip to another hub.
const peerProbeMargin = 100 * time.Millisecond

// probeServer sends probes to a server until it answers one. It does not find out whether a server that
// answers none accepts connections.
func (g *Gateway) probeServer(ctx context.Context, s site.Server) probeFinding {
	for range probeAttempts {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		g.metrics.events.Add("probes", 1)
		now, err := g.engines.Report(attempt, s)
		cancel()
		switch {
		case err == nil && (s.Born == 0 || now.Born == s.Born):
			return probeAlive
		case err == nil || platform.IsOtherServer(err):
			return probeReplaced
		}
	}
	return probeUnreached
}

// A peerProbeResult lists servers that answered another hub.
type peerProbeResult struct{ servers []string }

// applyPeerProbe records which servers answered another hub.
func (c *controller) applyPeerProbe(now time.Duration, m peerProbeResult) {
	for _, id := range m.servers {
		c.leadership.aliveAt[id] = now
		delete(c.leadership.silent, id)
		if _, known := c.leadership.dead[id]; known {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}

// aliveTTL is how long a server's answer to another hub counts.
const aliveTTL = 2 * time.Second

// applyProbe applies the result of this daemon's probes of a server.
func (c *controller) applyProbe(now time.Duration, m probeResult) {
	l, id := &c.leadership, m.server.ID
	_, known := l.dead[id]
	at, alive := l.aliveAt[id]
	if m.finding == probeAlive {
		l.unreachedSince = 0
	}
	if m.finding == probeAlive || alive && now-at < aliveTTL {
		delete(l.dead, id)
		delete(l.silent, id)
		c.dirty = c.dirty || known
		return
	}
	if m.finding == probeSilent && !known && c.isBrieflySilent(now, m) {
		return
	}
	c.leadership.dead[m.server.ID] = deadServer{born: m.server.Born, detectedAt: now, failureDomain: m.server.FailureDomain}
	c.dirty = c.servers.dropCutOff(m.server.ID) || c.dirty
	if !known {
		c.dirty = true
		c.gateway.metrics.events.Add("servers_dead", 1)
		c.gateway.logger.Warn().Str("event", "server_dead").Str("server", m.server.ID).Str("group", m.server.Member.Group).
			Int64("term", c.leadership.term).Msg("server answers neither this daemon nor another hub; counted as dead")
	}
}

// isBrieflySilent returns whether a server that answered no probe, although it accepts connections, may go on
// in a moment.
func (c *controller) isBrieflySilent(now time.Duration, m probeResult) bool {
	s, known := c.leadership.silent[m.server.ID]
	if !known || m.sentAt-s.lastAt > probeInterval*3/2 {
		s.since = m.sentAt
		c.gateway.metrics.events.Add("servers_silent", 1)
		c.gateway.logger.Info().Str("event", "server_silent").Str("server", m.server.ID).Str("group", m.server.Member.Group).
			Msg("server accepts connections and answers no probe; not counted as dead yet")
	}
	s.lastAt = now
	c.leadership.silent[m.server.ID] = s
	return now-s.since < maxBriefSilence
}

// clearDeadInDomain clears the dead servers of a failure domain when another server of it is listed
// again after its entry had lapsed: the whole failure domain may have been unreachable.
func (c *controller) clearDeadInDomain(failureDomain string) {
	n := len(c.leadership.dead)
	maps.DeleteFunc(c.leadership.dead, func(_ string, d deadServer) bool { return d.failureDomain == failureDomain })
	if len(c.leadership.dead) != n {
		c.dirty = true
		c.gateway.logger.Info().Str("event", "deaths_doubted").Str("failure_domain", failureDomain).Int("servers", n-len(c.leadership.dead)).
			Msg("lapsed server is listed again; dead servers of its failure domain are no longer counted as dead")
	}
}

// expireProbeState clears dead servers that have restarted, and those that have counted as dead for
// deadTTL: the entry of a silent server has lapsed by then. It also drops results of probes and
// polls that are too old to count.
func (c *controller) expireProbeState(now time.Duration) {
	maps.DeleteFunc(c.leadership.polledAt, func(_ string, at time.Duration) bool { return now-at > reportPollInterval })
	maps.DeleteFunc(c.leadership.probedAt, func(_ string, at time.Duration) bool { return now-at > probeInterval })
	maps.DeleteFunc(c.leadership.silent, func(_ string, s silentServer) bool { return now-s.lastAt > deadTTL })
	maps.DeleteFunc(c.leadership.aliveAt, func(_ string, at time.Duration) bool { return now-at >= aliveTTL })
	for id, d := range c.leadership.dead {
		e, ok := c.servers.entries[id]
		if ok && e.server.Born != d.born || now-d.detectedAt > deadTTL {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}
