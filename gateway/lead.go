package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// leaseTTL is how long the store keeps a member that is silent.
	leaseTTL = 3 * time.Second
	// leaseGuard is how much earlier the holder stops, for drift of clocks and an
	// order on its way.
	leaseGuard = time.Second
	// leaseInterval is the time between renewals: two may be lost.
	leaseInterval = 800 * time.Millisecond
	// leadGroup names the group of daemons that may lead.
	leadGroup = "leaders"
	// leadPart is the partition whose holder leads.
	leadPart = 0
	// probeTimeout bounds the wait for a server's own report: many round trips.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the time between looks at the same replica.
	probeInterval = time.Second
	// deadProbes is the number of probes in a row that a dead server leaves
	// unanswered.
	deadProbes = 2
	// deadFor is longer than the list of servers keeps an entry of a silent one.
	deadFor = 6 * time.Second
)

// A leaseHeld tells the control state that this daemon leads until a time on the
// boot clock. Term is zero if it does not.
type leaseHeld struct {
	term  int64
	until time.Duration
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
	born int64
	at   time.Duration
}

// leadership is what the control state knows of this daemon's own lead.
type leadership struct {
	term    int64
	until   time.Duration
	planner *formation.Planner
	// probing holds when each suspected replica was last looked at.
	probing map[string]time.Duration
	dead    map[string]deadServer
}

// runLeadership keeps this daemon in the group of those that may lead. Whoever the
// store deals the partition to leads, under a term that is the offset of a record
// of its own, so that terms rise for ever.
func (g *Gateway) runLeadership(ctx context.Context) error {
	var (
		generation int64
		term       int64
	)
	for ctx.Err() == nil {
		sent := clock.Boot()
		lease, err := g.join(ctx, generation)
		switch {
		case err != nil:
			g.metrics.storeFailures.Add("join", 1)
		case !slices.Contains(lease.Parts, leadPart) || g.leaving.Load():
			generation, term = lease.Generation, 0
			g.tell(leaseHeld{})
		default:
			generation = lease.Generation
			if term == 0 {
				term = g.newTerm(ctx)
			}
			if term != 0 {
				g.tell(leaseHeld{term: term, until: sent + leaseTTL - leaseGuard})
			}
		}
		if err != nil && clock.Boot()-sent > leaseTTL {
			term = 0
		}
		if g.leaving.Load() {
			return g.resign(ctx)
		}
		sleep(ctx, leaseInterval)
	}
	return nil
}

// join renews the membership of this daemon.
func (g *Gateway) join(ctx context.Context, generation int64) (platform.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.metrics.storeCalls.Add("join", 1)
	return g.store.Join(ctx, leadGroup, g.incarnation, platform.TopicDuties, max(leaseTTL, g.settings.Bounds.MinLease), generation)
}

// newTerm begins a term and returns it, zero if the store did not answer. A record
// that is taken late only leaves a gap.
func (g *Gateway) newTerm(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.metrics.storeCalls.Add("term", 1)
	var (
		offset int64
		err    error
	)
	if offset, err = g.store.Append(ctx, platform.TopicTerms, []byte(g.incarnation)); err != nil {
		g.metrics.storeFailures.Add("term", 1)
		g.logger.Warn().Str("event", "term_failed").Err(err).Msg("no term to lead under")
		return 0
	}
	return offset + 1
}

// resign gives the lead up before this daemon ends.
func (g *Gateway) resign(ctx context.Context) error {
	g.tell(leaseHeld{})
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := g.store.Leave(ctx, leadGroup, g.incarnation); err != nil {
		g.logger.Warn().Str("event", "resign_failed").Err(err).Msg("the lease has to lapse")
	}
	return nil
}

// takeLease takes what the store said about the lead.
func (c *control) takeLease(now time.Duration, m leaseHeld) {
	l := &c.leadership
	if m.term == l.term {
		l.until = max(l.until, m.until)
		return
	}
	c.gateway.logger.Info().Str("event", "leadership").Int64("term", m.term).Int64("before", l.term).Dur("for", m.until-now).Msg("lead changed")
	*l = leadership{term: m.term, until: m.until, dead: l.dead, probing: make(map[string]time.Duration)}
	if m.term != 0 {
		l.planner = formation.New(m.term, now)
	}
}

// leads returns whether this daemon leads now.
func (c *control) leads(now time.Duration) bool {
	return c.leadership.planner != nil && now < c.leadership.until
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
		Engine: service.Engine, Servers: make(map[string]site.Server), Dead: make(map[string]bool), Out: c.out,
		Traffic: c.trafficBegan(), Stall: c.gateway.settings.Bounds.Stall,
		Ceiling: service.Engine.LoadsPerSecond * c.gateway.settings.Bounds.CeilingWindow.Seconds(), Window: c.gateway.settings.Bounds.CeilingWindow,
	}
	for _, e := range c.servers.all() {
		if e.server.Service == service.Name && e.goneAt == 0 {
			f.Servers[e.server.ID] = e.server
		}
	}
	for id := range c.leadership.dead {
		f.Dead[id] = true
	}
	for _, order := range c.leadership.planner.Step(now, f) {
		c.give(order)
	}
}

// trafficBegan returns whether callers have begun to call.
func (c *control) trafficBegan() bool {
	if !c.traffic {
		c.traffic = !c.gateway.settings.FirstRun || c.gateway.board.began() || c.othersBegan()
	}
	return c.traffic
}

// othersBegan returns whether another daemon has work.
func (c *control) othersBegan() bool {
	for _, p := range c.daemons {
		if len(p.Heartbeat.Loads) > 0 {
			return true
		}
	}
	return false
}

// give sends an order from a goroutine of its own.
func (c *control) give(o formation.Order) {
	g, term, until := c.gateway, c.leadership.term, c.leadership.until
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
	if m.answer == formation.Fenced && m.order.Action != formation.Join {
		c.gateway.logger.Warn().Str("event", "fenced").Int64("term", l.term).Str("server", m.order.Server).Msg("a later leader has given orders")
		l.planner = nil
	}
}

// suspect notes replicas that do not answer a daemon.
func (c *control) suspect(now time.Duration, groups []string) {
	if !c.leads(now) {
		return
	}
	for _, name := range groups {
		if last, ok := c.leadership.probing[name]; !ok || now-last > probeInterval {
			c.leadership.probing[name] = now
			c.probe(name)
		}
	}
}

// probeStalled looks at the replicas that do not answer this daemon.
func (c *control) probeStalled(now time.Duration) { c.suspect(now, c.gateway.board.stalled()) }

// probe asks every member of a replica for its report.
func (c *control) probe(name string) {
	g := c.gateway
	for _, e := range c.servers.all() {
		if e.server.Member.Group != name {
			continue
		}
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			answered := false
			for range deadProbes {
				attempt, cancel := context.WithTimeout(ctx, probeTimeout)
				g.metrics.events.Add("probes", 1)
				_, err := g.engines.Report(attempt, e.server)
				cancel()
				if answered = err == nil; answered {
					break
				}
			}
			g.tell(probed{server: e.server, answered: answered})
			return nil
		})
	}
}

// takeProbe takes the end of a look at a server.
func (c *control) takeProbe(now time.Duration, m probed) {
	_, known := c.leadership.dead[m.server.ID]
	if m.answered {
		delete(c.leadership.dead, m.server.ID)
		c.dirty = c.dirty || known
		return
	}
	c.leadership.dead[m.server.ID] = deadServer{born: m.server.Born, at: now}
	if !known {
		c.dirty = true
		c.gateway.logger.Warn().Str("event", "server_dead").Str("server", m.server.ID).Str("group", m.server.Member.Group).
			Int64("term", c.leadership.term).Dur("at", now).Msg("server does not answer")
	}
}

// forgetDead forgets dead servers that are not listed any more, have a new life or
// are still listed although a silent one would have lapsed.
func (c *control) forgetDead(now time.Duration) {
	for id, d := range c.leadership.dead {
		e, ok := c.servers.entries[id]
		if !ok || e.server.Born != d.born || now-d.at > deadFor {
			delete(c.leadership.dead, id)
			c.dirty = true
		}
	}
}
