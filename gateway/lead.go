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
	// probeTimeout bounds the wait for a server's own report: many round trips.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between looks at the same replica.
	probeInterval = time.Second
	// probeAttempts is the number of probes in a row that a dead server leaves
	// unanswered.
	probeAttempts = 2
	// deadTTL is longer than the list of servers keeps an entry of a silent one.
	deadTTL = 6 * time.Second
)

// A termsResult is the end of the topic of terms.
type termsResult struct {
	end int64
	err error
}

// A claimResult is the end of an attempt to take a term.
type claimResult struct {
	sentAt time.Duration
	err    error
}

// A heartbeatStored tells that a heartbeat of this daemon was taken by the store.
type heartbeatStored struct {
	sentAt time.Duration
	term   int64
}

// An orderResult is an order with its answer.
type orderResult struct {
	order  formation.Order
	answer formation.Answer
	term   int64
}

// A probeResult is a look at a server that may be dead.
type probeResult struct {
	server   site.Server
	answered bool
}

// A deadServer is a server that does not answer although it is listed.
type deadServer struct {
	born          int64
	detectedAt    time.Duration
	failureDomain string
}

// leadership is what the control state knows of this daemon's own lead.
type leadership struct {
	candidate tenure.Candidate
	// termsKnown means that the end of the topic of terms is known, heardAt is when the
	// last termsKnown of heartbeats was sent that brought an answer.
	termsKnown       bool
	heartbeatsReadAt time.Duration
	// callPending means that a call about terms is on its way, askAt when the next may be.
	callPending bool
	nextCallAt  time.Duration
	term        int64
	// nextFleetLogAt is when the fleet is logged next.
	nextFleetLogAt time.Duration
	planner        *formation.Planner
	// probedAt holds when each suspected replica or head was last looked at, alive when
	// servers answered another hub.
	probedAt map[string]time.Duration
	// polledAt holds when each server that is to change was last polledAt for its report.
	polledAt map[string]time.Duration
	aliveAt  map[string]time.Duration
	dead     map[string]deadServer
}

// tenureBounds are the times by which daemons follow each other as leaders. A
// leader's heartbeats come every leaderInterval, so that two may be lost; the wait
// leaves time for drift of clocks and orders on their way.
var tenureBounds = tenure.Timeouts{LeaseDuration: 1600 * time.Millisecond, ElectionTimeout: 2 * time.Second}

// callTermStore makes a call about terms and tells the control state its end. kind is for the
// counters.
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

// readTerms finds out how many terms there were.
func (c *controller) readTerms() {
	c.callTermStore("terms", func(ctx context.Context) any {
		end, err := c.gateway.store.End(ctx, platform.TopicTerms)
		return termsResult{end: end, err: err}
	})
}

// claimTerm tries to take the term at end.
func (c *controller) claimTerm(end int64) {
	c.callTermStore("claim", func(ctx context.Context) any {
		sent := clock.Boot()
		return claimResult{sentAt: sent, err: c.gateway.store.AppendAt(ctx, platform.TopicTerms, end, c.gateway.incarnation)}
	})
}

// applyTerms takes the end of the topic of terms.
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

// applyClaim takes the end of an attempt to take a term.
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

// elect claims a term if this daemon may, and notes when it begins or ends to lead.
func (c *controller) elect(now time.Duration) {
	l := &c.leadership
	if !l.callPending && now >= l.nextCallAt && !c.gateway.leaving.Load() && c.eligible() {
		if end, may := l.candidate.ClaimableOffset(now, l.heartbeatsReadAt); !l.termsKnown {
			c.readTerms()
		} else if may && c.canServe() {
			c.claimTerm(end)
		}
	}
	if c.gateway.leaving.Load() {
		l.candidate.Resign()
	}
	term, leads := l.candidate.Leads(now)
	if !leads {
		term = 0
	}
	if old := c.gateway.term.Swap(term); old == term {
		return
	}
	c.gateway.logger.Info().Str("event", "leadership").Int64("term", term).Dur("until", l.candidate.LeaseExpiry()-now).Msg("lead changed")
	l.planner, l.probedAt, l.aliveAt, l.polledAt = nil, make(map[string]time.Duration), make(map[string]time.Duration), make(map[string]time.Duration)
	if leads {
		l.planner = formation.New(term, now)
		l.term = term
		c.gateway.requestHeartbeat()
	}
}

// eligible returns whether this daemon is one to lead: a reader, which knows the fleet first,
// or any if no reader has led for a while.
func (c *controller) eligible() bool {
	l := &c.leadership
	return c.gateway.isReader() || l.heartbeatsReadAt-max(l.candidate.LeaderSeenAt(), c.gateway.startedAt) > 2*tenureBounds.ElectionTimeout
}

// isReader returns whether this daemon reads the store for others.
func (g *Gateway) isReader() bool {
	g.neighbours.mu.Lock()
	defer g.neighbours.mu.Unlock()
	return g.neighbours.isReader
}

// isLeading returns whether this daemon isLeading now.
func (c *controller) isLeading(now time.Duration) bool {
	_, leads := c.leadership.candidate.Leads(now)
	return leads && c.leadership.planner != nil
}

// engineService returns the service whose servers form replicas.
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

// stepLeader gives the orders that are due, if this daemon leads.
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
	for _, e := range c.servers.all() {
		if e.server.Service != service.Name || e.expiresAt != 0 && !e.cutOff {
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
			Dur("after", r.Downtime).Msg("servers of a lost replica serve again")
	}
	for _, e := range c.leadership.planner.StoppedReplicas() {
		c.broadcastChange(replicaChange{Group: e.Replica, Epoch: e.Epoch})
	}
	for _, head := range c.leadership.planner.HeadsToProbe() {
		c.reprobe(now, head)
	}
	c.pollAwaitedServers(now)
	c.logFleet(now, f)
}

// reprobe finds out whether s lives, unless that was done lately.
func (c *controller) reprobe(now time.Duration, s site.Server) {
	if c.probeDue(now, s.ID) {
		c.probeServers([]site.Server{s})
	}
}

// probeDue returns whether the replica or server of the given name was not looked at
// lately, and notes that it is.
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

// logFleet logs the state of the fleet, a line for each fabric domain.
func (c *controller) logFleet(now time.Duration, f formation.Fleet) {
	if now < c.leadership.nextFleetLogAt {
		return
	}
	c.leadership.nextFleetLogAt = now + fleetLogInterval
	for _, d := range f.Domains() {
		c.gateway.logger.Info().Str("event", "fleet").Str("fabric_domain", d.Name).Strs("replicas", d.Replicas).Strs("idle", d.Idle).Msg("")
	}
}

// demand returns the work that callers ask of each model, at all daemons.
func (c *controller) demand() map[string]float64 {
	sum := relay.Sum{}
	sum.Add(c.peerWork)
	sum.Add(relay.Sum{Asked: c.gateway.board.currentDemand(clock.Boot())})
	return sum.Asked
}

// trafficStarted returns whether callers have begun to call.
func (c *controller) trafficStarted() bool {
	if !c.trafficSeen {
		c.trafficSeen = !c.gateway.settings.FirstRun || c.gateway.board.hadTraffic() || c.peerWork.Traffic || c.peerHadTraffic()
	}
	return c.trafficSeen
}

// peerHadTraffic returns whether another daemon has had work.
func (c *controller) peerHadTraffic() bool {
	for _, p := range c.daemons {
		if p.Heartbeat.HadTraffic {
			return true
		}
	}
	return false
}

// sendOrder sends an order from a goroutine of its own.
func (c *controller) sendOrder(o formation.Order) {
	g, term, until := c.gateway, c.leadership.term, c.leadership.candidate.LeaseExpiry()
	g.work.Go(context.Background(), "order", func(ctx context.Context) error {
		if clock.Boot() >= until {
			g.enqueue(orderResult{order: o, answer: formation.Declined, term: term})
			return nil
		}
		g.metrics.orders.Add(o.Action.String(), 1)
		answer, err := g.engines.Order(ctx, o)
		line := g.logger.Info().Str("event", "order").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
			Int64("epoch", o.Epoch).Int64("term", term).Str("model", o.Model).Str("answer", answer.String())
		if err != nil {
			line = line.Err(err)
		}
		line.Msg("order to a server")
		g.enqueue(orderResult{order: o, answer: answer, term: term})
		return nil
	})
}

// applyOrderResult takes the answer to an order. A daemon whose term was overtaken gives
// no more orders under it.
func (c *controller) applyOrderResult(now time.Duration, m orderResult) {
	l := &c.leadership
	if l.planner == nil || m.term != l.term {
		return
	}
	l.planner.RecordAnswer(now, m.order, m.answer)
	if l.planner.Superseded(m.order, m.answer) {
		c.gateway.logger.Warn().Str("event", "fenced").Int64("term", l.term).Str("server", m.order.Server).Msg("a later leader has given orders")
		l.planner = nil
		l.candidate.Superseded(now)
	}
}

// probeReplicas notes replicas that do not answer a daemon.
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

// probeEpoch notes that the replica of epoch does not answer another daemon.
func (c *controller) probeEpoch(now time.Duration, epoch int64) {
	for _, e := range c.servers.entries {
		if e.server.Member.Epoch == epoch {
			c.probeReplicas(now, []string{e.server.Member.Group})
			return
		}
	}
}

// probeStalled looks at the replicas that do not answer this daemon.
func (c *controller) probeStalled(now time.Duration) {
	c.probeReplicas(now, c.gateway.board.suspectTargets())
}

// probeReplica looks at every member of a replica.
func (c *controller) probeReplica(name string) {
	var servers []site.Server
	for _, e := range c.servers.all() {
		if e.server.Member.Group == name {
			servers = append(servers, e.server)
		}
	}
	c.probeServers(servers)
}

// probeServers finds out whether servers answer, this daemon or another hub.
func (c *controller) probeServers(servers []site.Server) {
	g := c.gateway
	targets := make([]probeTarget, 0, len(servers))
	for _, s := range servers {
		targets = append(targets, probeTarget{ID: s.ID, Address: s.Address, Born: s.Born})
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			answered := g.answersProbe(ctx, s)
			if !answered {
				// Other hubs have as long, and their answers are on their way.
				clock.Sleep(ctx, peerProbeMargin)
			}
			g.enqueue(probeResult{server: s, answered: answered})
			return nil
		})
	}
	g.requestPeerProbes(targets)
}

// peerProbeMargin is the time for the way to another hub and back.
const peerProbeMargin = 100 * time.Millisecond

// answersProbe returns whether a server answersProbe this daemon.
func (g *Gateway) answersProbe(ctx context.Context, s site.Server) bool {
	for range probeAttempts {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		g.metrics.events.Add("probes", 1)
		now, err := g.engines.Report(attempt, s)
		cancel()
		if err == nil {
			// One that has started again is not the server that was asked for.
			return s.Born == 0 || now.Born == s.Born
		}
	}
	return false
}

// An peerProbeResult names servers that answered another hub.
type peerProbeResult struct{ servers []string }

// applyPeerProbe takes which servers answered another hub.
func (c *controller) applyPeerProbe(now time.Duration, m peerProbeResult) {
	for _, id := range m.servers {
		c.leadership.aliveAt[id] = now
		if _, known := c.leadership.dead[id]; known {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}

// aliveTTL is how long the answer of a server to another hub counts.
const aliveTTL = 2 * time.Second

// applyProbe takes the end of a look at a server.
func (c *controller) applyProbe(now time.Duration, m probeResult) {
	_, known := c.leadership.dead[m.server.ID]
	at, alive := c.leadership.aliveAt[m.server.ID]
	if m.answered || alive && now-at < aliveTTL {
		delete(c.leadership.dead, m.server.ID)
		c.dirty = c.dirty || known
		return
	}
	c.leadership.dead[m.server.ID] = deadServer{born: m.server.Born, detectedAt: now, failureDomain: m.server.FailureDomain}
	c.dirty = c.servers.dropCutOff(m.server.ID) || c.dirty
	if !known {
		c.dirty = true
		c.gateway.logger.Warn().Str("event", "server_dead").Str("server", m.server.ID).Str("group", m.server.Member.Group).
			Int64("term", c.leadership.term).Msg("server answers no hub")
	}
}

// clearDeadInDomain forgets which servers of a failure domain answered nobody: another one whose entry
// had lapsed is listed again, so that the whole of it may have been out of reach.
func (c *controller) clearDeadInDomain(failureDomain string) {
	n := len(c.leadership.dead)
	maps.DeleteFunc(c.leadership.dead, func(_ string, d deadServer) bool { return d.failureDomain == failureDomain })
	if len(c.leadership.dead) != n {
		c.dirty = true
		c.gateway.logger.Info().Str("event", "deaths_doubted").Str("failure_domain", failureDomain).Int("servers", n-len(c.leadership.dead)).
			Msg("a server is listed again: others of its failure domain may live as well")
	}
}

// expireProbeState forgets dead servers that have a new life or are still listed although
// a silent one would have lapsed, and looks and answers that are too old to count.
func (c *controller) expireProbeState(now time.Duration) {
	maps.DeleteFunc(c.leadership.polledAt, func(_ string, at time.Duration) bool { return now-at > reportPollInterval })
	maps.DeleteFunc(c.leadership.probedAt, func(_ string, at time.Duration) bool { return now-at > probeInterval })
	maps.DeleteFunc(c.leadership.aliveAt, func(_ string, at time.Duration) bool { return now-at >= aliveTTL })
	for id, d := range c.leadership.dead {
		e, ok := c.servers.entries[id]
		if ok && e.server.Born != d.born || now-d.detectedAt > deadTTL {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}
