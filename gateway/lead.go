package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/coordination/tenure"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// A termsResult is the result of reading the end of the terms topic, in an era of the store.
type termsResult struct {
	end int64
	era int64
	err error
}

// A claimResult is the result of an attempt to claim a term, in an era of the store.
type claimResult struct {
	sentAt time.Duration
	era    int64
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
	// claimEra is the era of the store in which the term that is claimed follows the last one.
	claimEra int64
	term     int64
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
	// pacePolledAt holds when each server was last asked whether it is slow.
	pacePolledAt map[string]time.Duration
	// pacePolls and reportPolls bound the polls of servers that may be slow, and of those that are about to change.
	pacePolls, reportPolls budget.Bucket
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
		end, era, err := c.gateway.store.End(ctx, platform.TopicTerms)
		return termsResult{end: end, era: era, err: err}
	})
}

// claimTerm tries to claim the next term by appending a record to the terms topic at the offset
// end.
func (c *controller) claimTerm(end int64) {
	c.leadership.claimEra = c.storeEra
	c.callTermStore("claim", func(ctx context.Context) any {
		sent := clock.Boot()
		era, err := c.gateway.store.AppendAt(ctx, platform.TopicTerms, end, c.gateway.incarnation)
		return claimResult{sentAt: sent, era: era, err: err}
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
	if m.era != c.storeEra {
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
	case m.era != l.claimEra && (m.err == nil || errors.As(m.err, &conflict)):
		// The offset was that of an earlier era. If the claim was accepted there by chance, nobody holds that term.
		c.gateway.logger.Warn().Str("event", "claim_dropped").Int64("era", m.era).Int64("claim_era", l.claimEra).
			Msg("claim of a term was answered in another era of the store than the one it was meant for")
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
	l.silent, l.pacePolledAt = make(map[string]silentServer), make(map[string]time.Duration)
	if leads {
		l.planner = formation.New(term, now)
		l.pacePolls = budget.Bucket{Rate: pacePollsPerSecond, Burst: pacePollsPerSecond}
		l.reportPolls = budget.Bucket{Rate: reportPollsPerSecond, Burst: maxReportPolls}
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
		Engine: service.Engine, Servers: make(map[string]site.Server), CutOff: make(map[string]bool), LastModel: make(map[string]string), Demand: c.demand(), Balance: c.gateway.policy().Models.Balance, Dead: make(map[string]bool), OutOfService: c.domainsOut, Pace: make(map[string]float64),
		TrafficStarted: c.trafficStarted(), StallTimeout: c.gateway.bounds().Stall,
		LoadLimit: service.Engine.LoadsPerSecond * c.gateway.bounds().CeilingWindow.Seconds(), LoadWindow: c.gateway.bounds().CeilingWindow,
	}
	c.pollPaces(now)
	for _, e := range c.consistentServers() {
		if e.server.Service != service.Name || !e.isUsable() {
			continue
		}
		if e.pace >= slowPace {
			f.Pace[e.server.ID] = e.pace
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
	for _, r := range c.leadership.planner.Reforms() {
		c.gateway.metrics.events.Add("replicas_reformed", 1)
		c.gateway.logger.Info().Str("event", "replica_reformed").Str("group", r.Replica).Str("model", r.Model).Int("slow", r.Slow).
			Msg("replica is formed anew without its slow members")
	}
	for _, e := range c.leadership.planner.Closures() {
		c.logClosure(e)
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

// logClosure logs that a head is taken to have stopped serving, or that the list contradicts that.
func (c *controller) logClosure(e formation.Closure) {
	event, text := "head_closed", "head is taken to have stopped serving"
	if e.Contradicted {
		event, text = "head_found_open", "the list shows a head open that was taken to have stopped serving"
		c.gateway.metrics.events.Add("heads_found_open", 1)
	}
	c.gateway.logger.Info().Str("event", event).Str("server", e.Head).Str("group", e.Replica).Int64("epoch", e.Epoch).Int64("term", c.leadership.term).
		Str("evidence", e.Evidence.String()).Dur("evidence_age", e.Age).Str("listed", e.Listed.String()).Msg(text)
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

// A queuedOrder is an order that is to be sent within the lease under which it was decided, which ends at leaseExpiry.
type queuedOrder struct {
	order       formation.Order
	term        int64
	queuedAt    time.Duration
	leaseExpiry time.Duration
}

// sendOrder sends an order on its own goroutine, unless this daemon's term has ended by then.
func (c *controller) sendOrder(o formation.Order) {
	g := c.gateway
	q := queuedOrder{order: o, term: c.leadership.term, queuedAt: clock.Boot(), leaseExpiry: c.leadership.candidate.LeaseExpiry()}
	g.work.Go(context.Background(), "order", func(ctx context.Context) error {
		g.enqueue(g.deliverOrder(ctx, q))
		return nil
	})
}

// deliverOrder sends an order to its server, if the lease has not run out, and returns the result.
func (g *Gateway) deliverOrder(ctx context.Context, q queuedOrder) orderResult {
	o, began := q.order, clock.Boot()
	if began >= q.leaseExpiry {
		g.metrics.events.Add("orders_unsent", 1)
		g.logger.Warn().Str("event", "order_unsent").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
			Int64("epoch", o.Epoch).Int64("term", q.term).Dur("waited", began-q.queuedAt).Dur("lapsed", began-q.leaseExpiry).
			Msg("lease ran out before the order could be sent")
		return orderResult{order: o, answer: formation.Unsent, term: q.term}
	}
	g.metrics.orders.Add(o.Action.String(), 1)
	answer, err := g.engines.Order(ctx, o)
	line := g.logger.Info().Str("event", "order").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
		Int64("epoch", o.Epoch).Int64("term", q.term).Str("model", o.Model).Str("answer", answer.String()).Dur("took", clock.Boot()-began)
	if p := o.Previous; p.Replica != "" {
		line = line.Str("previous", p.Replica).Str("previous_head", p.Head).Str("evidence", p.Evidence.String()).Dur("evidence_age", p.Age).Str("listed", p.Listed.String())
	}
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("order sent to server")
	if errors.Is(err, context.DeadlineExceeded) {
		g.checkPath(o.Address)
	}
	return orderResult{order: o, answer: answer, term: q.term, unreached: errors.Is(err, errNoPath) && !g.ownLinksWork(ctx, o.Address, began)}
}

// applyOrderResult applies the answer to an order. A daemon whose term was superseded sends no more
// orders under it.
func (c *controller) applyOrderResult(now time.Duration, m orderResult) {
	l := &c.leadership
	if m.unreached {
		c.recordUnreached(now)
	} else if m.answer != formation.Unknown && m.answer != formation.Unsent {
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
