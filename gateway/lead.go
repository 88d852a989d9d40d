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
	// deadProbes is the number of probes in a row that a dead server leaves
	// unanswered.
	deadProbes = 2
	// deadFor is longer than the list of servers keeps an entry of a silent one.
	deadFor = 6 * time.Second
)

// A termsRead is the end of the topic of terms.
type termsRead struct {
	end int64
	err error
}

// A claimed is the end of an attempt to take a term.
type claimed struct {
	sentAt time.Duration
	err    error
}

// A beaten tells that a heartbeat of this daemon was taken by the store.
type beaten struct {
	sentAt time.Duration
	term   int64
}

// An orderDone is an order with its answer.
type orderDone struct {
	order  formation.Order
	answer formation.Answer
	term   int64
}

// A probed is a look at a server that may be dead.
type probed struct {
	server   site.Server
	answered bool
}

// A deadServer is a server that does not answer although it is listed.
type deadServer struct {
	born          int64
	at            time.Duration
	failureDomain string
}

// leadership is what the control state knows of this daemon's own lead.
type leadership struct {
	candidate tenure.Candidate
	// read means that the end of the topic of terms is known, heardAt is when the
	// last read of heartbeats was sent that brought an answer.
	read    bool
	heardAt time.Duration
	// asking means that a call about terms is on its way, askAt when the next may be.
	asking bool
	askAt  time.Duration
	term   int64
	// describeAt is when the fleet is logged next.
	describeAt time.Duration
	planner    *formation.Planner
	// probing holds when each suspected replica or head was last looked at, alive when
	// servers answered another hub.
	probing map[string]time.Duration
	// asked holds when each server that is to change was last asked for its report.
	asked map[string]time.Duration
	alive map[string]time.Duration
	dead  map[string]deadServer
}

// tenureBounds are the times by which daemons follow each other as leaders. A
// leader's heartbeats come every leaderInterval, so that two may be lost; the wait
// leaves time for drift of clocks and orders on their way.
var tenureBounds = tenure.Bounds{Hold: 1600 * time.Millisecond, Wait: 2 * time.Second}

// ask makes a call about terms and tells the control state its end. kind is for the
// counters.
func (c *control) ask(kind string, call func(ctx context.Context) any) {
	g := c.gateway
	c.leadership.asking = true
	g.work.Go(context.Background(), kind, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		g.metrics.storeCalls.Add(kind, 1)
		g.tell(call(ctx))
		return nil
	})
}

// readTerms finds out how many terms there were.
func (c *control) readTerms() {
	c.ask("terms", func(ctx context.Context) any {
		end, err := c.gateway.store.End(ctx, platform.TopicTerms)
		return termsRead{end: end, err: err}
	})
}

// claim tries to take the term at end.
func (c *control) claim(end int64) {
	c.ask("claim", func(ctx context.Context) any {
		sent := clock.Boot()
		return claimed{sentAt: sent, err: c.gateway.store.AppendAt(ctx, platform.TopicTerms, end, c.gateway.incarnation)}
	})
}

// takeTerms takes the end of the topic of terms.
func (c *control) takeTerms(now time.Duration, m termsRead) {
	c.leadership.asking = false
	if m.err != nil {
		c.gateway.metrics.storeFailures.Add("terms", 1)
		c.leadership.askAt = now + retryInterval
		return
	}
	c.leadership.read = true
	c.leadership.candidate.Ended(now, m.end)
}

// takeClaim takes the end of an attempt to take a term.
func (c *control) takeClaim(now time.Duration, m claimed) {
	l := &c.leadership
	l.asking = false
	var conflict *platform.ConflictError
	switch {
	case m.err == nil:
		l.candidate.Won(m.sentAt)
	case errors.As(m.err, &conflict):
		l.candidate.Lost(now, conflict.End)
	default:
		c.gateway.metrics.storeFailures.Add("claim", 1)
		l.askAt = now + retryInterval
	}
}

// elect claims a term if this daemon may, and notes when it begins or ends to lead.
func (c *control) elect(now time.Duration) {
	l := &c.leadership
	if !l.asking && now >= l.askAt && !c.gateway.leaving.Load() && c.mayRun() {
		if end, may := l.candidate.Claim(now, l.heardAt); !l.read {
			c.readTerms()
		} else if may && c.canServe() {
			c.claim(end)
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
	c.gateway.logger.Info().Str("event", "leadership").Int64("term", term).Dur("until", l.candidate.Until()-now).Msg("lead changed")
	l.planner, l.probing, l.alive, l.asked = nil, make(map[string]time.Duration), make(map[string]time.Duration), make(map[string]time.Duration)
	if leads {
		l.planner = formation.New(term, now)
		l.term = term
		c.gateway.beat()
	}
}

// mayRun returns whether this daemon is one to lead: a reader, which knows the fleet first,
// or any if no reader has led for a while.
func (c *control) mayRun() bool {
	l := &c.leadership
	return c.gateway.isReader() || l.heardAt-max(l.candidate.SeenAt(), c.gateway.startedAt) > 2*tenureBounds.Wait
}

// isReader returns whether this daemon reads the store for others.
func (g *Gateway) isReader() bool {
	g.neighbours.mu.Lock()
	defer g.neighbours.mu.Unlock()
	return g.neighbours.isReader
}

// leads returns whether this daemon leads now.
func (c *control) leads(now time.Duration) bool {
	_, leads := c.leadership.candidate.Leads(now)
	return leads && c.leadership.planner != nil
}

// engineService returns the service whose servers form replicas.
func (c *control) engineService() *site.Service {
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

// lead gives the orders that are due, if this daemon leads.
func (c *control) lead(now time.Duration) {
	service := c.engineService()
	c.forgetDead(now)
	if !c.leads(now) || service == nil || !c.loaded[platform.TopicServers] || c.failed[platform.TopicServers] {
		return
	}
	c.probeStalled(now)
	f := formation.Fleet{
		Engine: service.Engine, Servers: make(map[string]site.Server), Silent: make(map[string]bool), Last: make(map[string]string), Demand: c.demand(), Dead: make(map[string]bool), Out: c.out,
		Traffic: c.trafficBegan(), Stall: c.gateway.bounds().Stall,
		Ceiling: service.Engine.LoadsPerSecond * c.gateway.bounds().CeilingWindow.Seconds(), Window: c.gateway.bounds().CeilingWindow,
	}
	for _, e := range c.servers.all() {
		if e.server.Service != service.Name || e.goneAt != 0 && !e.silent {
			continue
		}
		f.Servers[e.server.ID], f.Last[e.server.ID] = e.server, e.last
		if e.silent {
			f.Silent[e.server.ID] = true
			c.lookAgain(now, e.server)
		}
	}
	for id := range c.leadership.dead {
		f.Dead[id] = true
	}
	for _, order := range c.leadership.planner.Step(now, f) {
		c.give(order)
	}
	for _, r := range c.leadership.planner.Repairs() {
		c.gateway.metrics.repair.observe(r.After)
		c.gateway.logger.Info().Str("event", "replica_repaired").Str("group", r.Replica).Str("model", r.Model).Str("cause", r.Cause.String()).
			Dur("after", r.After).Msg("servers of a lost replica serve again")
	}
	for _, e := range c.leadership.planner.Endings() {
		c.tellAll(change{Group: e.Replica, Epoch: e.Epoch})
	}
	for _, head := range c.leadership.planner.Unlisted() {
		c.lookAgain(now, head)
	}
	c.askAwaited(now)
	c.describe(now, f)
}

// lookAgain finds out whether s lives, unless that was done lately.
func (c *control) lookAgain(now time.Duration, s site.Server) {
	if c.lookDue(now, s.ID) {
		c.look([]site.Server{s})
	}
}

// lookDue returns whether the replica or server of the given name was not looked at
// lately, and notes that it is.
func (c *control) lookDue(now time.Duration, name string) bool {
	last, ok := c.leadership.probing[name]
	if ok && now-last <= probeInterval {
		return false
	}
	c.leadership.probing[name] = now
	return true
}

// describeInterval is the time between two log lines about the fleet.
const describeInterval = 2 * time.Second

// describe logs the state of the fleet, a line for each fabric domain.
func (c *control) describe(now time.Duration, f formation.Fleet) {
	if now < c.leadership.describeAt {
		return
	}
	c.leadership.describeAt = now + describeInterval
	for _, d := range f.Domains() {
		c.gateway.logger.Info().Str("event", "fleet").Str("fabric_domain", d.Name).Strs("replicas", d.Replicas).Strs("idle", d.Idle).Msg("")
	}
}

// demand returns the work that callers ask of each model, at all daemons.
func (c *control) demand() map[string]float64 {
	sum := relay.Summary{}
	sum.Add(c.sum)
	sum.Add(relay.Summary{Demand: c.gateway.board.askedNow(clock.Boot())})
	return sum.Demand
}

// trafficBegan returns whether callers have begun to call.
func (c *control) trafficBegan() bool {
	if !c.traffic {
		c.traffic = !c.gateway.settings.FirstRun || c.gateway.board.began() || c.sum.Traffic || c.othersBegan()
	}
	return c.traffic
}

// othersBegan returns whether another daemon has had work.
func (c *control) othersBegan() bool {
	for _, p := range c.daemons {
		if p.Heartbeat.Traffic {
			return true
		}
	}
	return false
}

// give sends an order from a goroutine of its own.
func (c *control) give(o formation.Order) {
	g, term, until := c.gateway, c.leadership.term, c.leadership.candidate.Until()
	g.work.Go(context.Background(), "order", func(ctx context.Context) error {
		if clock.Boot() >= until {
			g.tell(orderDone{order: o, answer: formation.Declined, term: term})
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
		g.tell(orderDone{order: o, answer: answer, term: term})
		return nil
	})
}

// takeAnswer takes the answer to an order. A daemon whose term was overtaken gives
// no more orders under it.
func (c *control) takeAnswer(now time.Duration, m orderDone) {
	l := &c.leadership
	if l.planner == nil || m.term != l.term {
		return
	}
	l.planner.Answered(now, m.order, m.answer)
	if l.planner.Overtaken(m.order, m.answer) {
		c.gateway.logger.Warn().Str("event", "fenced").Int64("term", l.term).Str("server", m.order.Server).Msg("a later leader has given orders")
		l.planner = nil
		l.candidate.Overtaken(now)
	}
}

// suspect notes replicas that do not answer a daemon.
func (c *control) suspect(now time.Duration, groups []string) {
	if !c.leads(now) {
		return
	}
	for _, name := range groups {
		if c.lookDue(now, name) {
			c.probe(name)
		}
	}
}

// suspectEpoch notes that the replica of epoch does not answer another daemon.
func (c *control) suspectEpoch(now time.Duration, epoch int64) {
	for _, e := range c.servers.entries {
		if e.server.Member.Epoch == epoch {
			c.suspect(now, []string{e.server.Member.Group})
			return
		}
	}
}

// probeStalled looks at the replicas that do not answer this daemon.
func (c *control) probeStalled(now time.Duration) { c.suspect(now, c.gateway.board.stalled()) }

// probe looks at every member of a replica.
func (c *control) probe(name string) {
	var servers []site.Server
	for _, e := range c.servers.all() {
		if e.server.Member.Group == name {
			servers = append(servers, e.server)
		}
	}
	c.look(servers)
}

// look finds out whether servers answer, this daemon or another hub.
func (c *control) look(servers []site.Server) {
	g := c.gateway
	targets := make([]target, 0, len(servers))
	for _, s := range servers {
		targets = append(targets, target{ID: s.ID, Address: s.Address, Born: s.Born})
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			answered := g.answers(ctx, s)
			if !answered {
				// Other hubs have as long, and their answers are on their way.
				clock.Sleep(ctx, hubMargin)
			}
			g.tell(probed{server: s, answered: answered})
			return nil
		})
	}
	g.askHubs(targets)
}

// hubMargin is the time for the way to another hub and back.
const hubMargin = 100 * time.Millisecond

// answers returns whether a server answers this daemon.
func (g *Gateway) answers(ctx context.Context, s site.Server) bool {
	for range deadProbes {
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

// An aliveElsewhere names servers that answered another hub.
type aliveElsewhere struct{ servers []string }

// takeAlive takes which servers answered another hub.
func (c *control) takeAlive(now time.Duration, m aliveElsewhere) {
	for _, id := range m.servers {
		c.leadership.alive[id] = now
		if _, known := c.leadership.dead[id]; known {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}

// aliveFor is how long the answer of a server to another hub counts.
const aliveFor = 2 * time.Second

// takeProbe takes the end of a look at a server.
func (c *control) takeProbe(now time.Duration, m probed) {
	_, known := c.leadership.dead[m.server.ID]
	at, alive := c.leadership.alive[m.server.ID]
	if m.answered || alive && now-at < aliveFor {
		delete(c.leadership.dead, m.server.ID)
		c.dirty = c.dirty || known
		return
	}
	c.leadership.dead[m.server.ID] = deadServer{born: m.server.Born, at: now, failureDomain: m.server.FailureDomain}
	c.dirty = c.servers.forget(m.server.ID) || c.dirty
	if !known {
		c.dirty = true
		c.gateway.logger.Warn().Str("event", "server_dead").Str("server", m.server.ID).Str("group", m.server.Member.Group).
			Int64("term", c.leadership.term).Msg("server answers no hub")
	}
}

// doubtDead forgets which servers of a failure domain answered nobody: another one whose entry
// had lapsed is listed again, so that the whole of it may have been out of reach.
func (c *control) doubtDead(failureDomain string) {
	n := len(c.leadership.dead)
	maps.DeleteFunc(c.leadership.dead, func(_ string, d deadServer) bool { return d.failureDomain == failureDomain })
	if len(c.leadership.dead) != n {
		c.dirty = true
		c.gateway.logger.Info().Str("event", "deaths_doubted").Str("failure_domain", failureDomain).Int("servers", n-len(c.leadership.dead)).
			Msg("a server is listed again: others of its failure domain may live as well")
	}
}

// forgetDead forgets dead servers that have a new life or are still listed although
// a silent one would have lapsed, and looks and answers that are too old to count.
func (c *control) forgetDead(now time.Duration) {
	maps.DeleteFunc(c.leadership.asked, func(_ string, at time.Duration) bool { return now-at > reportInterval })
	maps.DeleteFunc(c.leadership.probing, func(_ string, at time.Duration) bool { return now-at > probeInterval })
	maps.DeleteFunc(c.leadership.alive, func(_ string, at time.Duration) bool { return now-at >= aliveFor })
	for id, d := range c.leadership.dead {
		e, ok := c.servers.entries[id]
		if ok && e.server.Born != d.born || now-d.at > deadFor {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}
