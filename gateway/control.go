package gateway

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// tickInterval is the time between looks of the control state at the clock.
const tickInterval = 100 * time.Millisecond

// A tick gives the control state the time.
type tick struct{}

// A control is the control state. One actor owns it.
type control struct {
	gateway *Gateway

	configuration *site.Configuration
	configOffset  int64
	out           map[string]bool
	servers       roster
	daemons       map[string]Peer
	loaded        map[string]bool
	failed        map[string]bool
	broken        map[string]int64
	leadership    leadership
	// confirmed is when the last read of what operators ask for was sent, and sum
	// the work of all other daemons.
	confirmed time.Duration
	sum       relay.Summary
	dirty     bool
	traffic   bool
}

// startControl starts the actor that owns the control state.
func (g *Gateway) startControl() {
	// The library's own log lines are not JSON.
	g.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	c := &control{
		gateway: g, out: make(map[string]bool), daemons: make(map[string]Peer), loaded: make(map[string]bool),
		failed: make(map[string]bool), broken: make(map[string]int64), dirty: true,
	}
	c.leadership.dead, c.leadership.alive = make(map[string]deadServer), make(map[string]time.Duration)
	c.leadership.candidate.Bounds = tenureBounds
	g.pid = g.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// tell sends message to the control state.
func (g *Gateway) tell(message any) { g.system.Root.Send(g.pid, message) }

// runTicks gives the control state the time.
func (g *Gateway) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		g.tell(tick{})
		clock.Sleep(ctx, tickInterval)
	}
	return nil
}

// receive takes one message.
func (c *control) receive(context actor.Context) {
	now := clock.Boot()
	switch m := context.Message().(type) {
	case tick:
		c.tick(now)
	case feedPage:
		c.takePage(now, m)
	case feedFailed:
		c.takeFailure(m)
	case termsRead:
		c.takeTerms(now, m)
	case claimed:
		c.takeClaim(now, m)
	case aliveElsewhere:
		c.takeAlive(now, m)
	case heard:
		c.takeHeard(now, m)
	case unanswered:
		c.suspectUnanswered()
	case serversLeave:
		c.takeLeaving(m)
	case reported:
		c.takeReport(now, m)
	case replicasChange:
		c.takeChanges(now, m)
	case beaten:
		c.leadership.candidate.Renewed(now, m.sentAt, m.term)
	case orderDone:
		c.takeAnswer(now, m)
	case probed:
		c.takeProbe(now, m)
	}
	if c.dirty {
		c.publish(now)
	}
	if c.confirmed != 0 {
		// Only now does traffic act on what was read then.
		c.gateway.confirmed.Store(int64(max(c.confirmed, time.Duration(c.gateway.confirmed.Load()))))
	}
}

// tick does what is due.
func (c *control) tick(now time.Duration) {
	if c.servers.expire(now) || c.expirePeers(now) {
		c.dirty = true
	}
	if ready := c.canServe(); ready != c.gateway.view.Load().Ready {
		c.dirty = true
	}
	c.gateway.board.forgetNotices(now, c.lists)
	c.suspectUnanswered()
	c.elect(now)
	c.lead(now)
}

// takeFailure notes that a topic cannot be read.
func (c *control) takeFailure(m feedFailed) {
	if !c.failed[m.topic] {
		c.gateway.logger.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("topic", m.topic).Err(m.err).Msg("the store does not answer")
	}
	c.failed[m.topic] = true
}

// takePage takes records of a topic.
func (c *control) takePage(now time.Duration, m feedPage) {
	if c.failed[m.topic] {
		c.gateway.logger.Info().Str("event", "dependency_regained").Str("dependency", "store").Str("topic", m.topic).
			Dur("missed", m.missed).Msg("the store answers again")
	}
	c.failed[m.topic] = false
	switch m.topic {
	case platform.TopicOperators:
		c.takeOperators(now, m)
		c.confirmed = max(c.confirmed, m.news.ReadAt)
	case platform.TopicServers:
		c.takeServers(now, m)
	case platform.TopicDaemons:
		c.takeDaemons(now, m)
	}
	c.dirty = c.dirty || !c.loaded[m.topic]
	if m.topic == platform.TopicDaemons && !c.loaded[m.topic] {
		close(c.gateway.acquainted)
	}
	c.loaded[m.topic] = true
}

// takeOperators takes what operators ask for.
func (c *control) takeOperators(now time.Duration, m feedPage) {
	if m.news.Whole {
		c.dropDomains(m.news)
	}
	for _, r := range m.news.Records {
		if r.Key == platform.ConfigurationKey {
			c.takeConfiguration(r)
			continue
		}
		domain, ok := platform.DomainOut(r.Key)
		if !ok {
			continue
		}
		if out := len(r.Value) > 0; out != c.out[domain] {
			c.out = maps.Clone(c.out)
			delete(c.out, domain)
			if out {
				c.out[domain] = true
			}
			c.gateway.logger.Info().Str("event", "domain").Str("failure_domain", domain).Bool("out", out).
				Int64("offset", r.Offset).Dur("age", now-m.news.ReadAt).Msg("operators changed a failure domain")
			c.dirty = true
		}
	}
}

// dropDomains takes back the domains that a whole page does not name.
func (c *control) dropDomains(news relay.Update) {
	named := make(map[string]bool)
	for _, r := range news.Records {
		if domain, ok := platform.DomainOut(r.Key); ok {
			named[domain] = true
		}
	}
	out := maps.Clone(c.out)
	maps.DeleteFunc(out, func(domain string, _ bool) bool { return !named[domain] })
	if len(out) != len(c.out) {
		c.out, c.dirty = out, true
	}
}

// takeConfiguration puts a configuration in force, unless it is not newer.
func (c *control) takeConfiguration(r relay.Record) {
	if c.configuration != nil && r.Offset <= c.configOffset {
		return
	}
	var (
		next *site.Configuration
		err  error
	)
	if next, err = platform.DecodeConfiguration(r.Value); err != nil {
		c.gateway.logger.Error().Str("event", "configuration_refused").Int64("offset", r.Offset).Err(err).Msg("configuration cannot be read")
		return
	}
	if c.configuration != nil && next.Version <= c.configuration.Version {
		c.gateway.logger.Warn().Str("event", "configuration_refused").Int64("version", next.Version).
			Int64("in_force", c.configuration.Version).Msg("configuration is older than the one in force")
		return
	}
	c.configuration, c.configOffset, c.dirty = next, r.Offset, true
	c.gateway.logger.Info().Str("event", "configuration").Int64("version", next.Version).Int64("offset", r.Offset).
		Int("routes", next.Routes()).Msg("configuration is in force")
}

// takeServers takes entries of servers.
func (c *control) takeServers(now time.Duration, m feedPage) {
	if m.missed > storeAway {
		c.servers.storeReturned(now)
	}
	if m.news.Whole {
		c.servers.reset(now, m.news)
	}
	for _, r := range m.news.Records {
		if r.Key == "" {
			continue
		}
		if len(r.Value) == 0 {
			c.takeRemoval(now, r)
			continue
		}
		var (
			s   site.Server
			err error
		)
		if s, err = platform.DecodeServer(r.Key, r.Value); err != nil {
			c.takeBroken(now, r, err)
			continue
		}
		s.Draining = s.Draining || c.gateway.board.leaves(s)
		if c.servers.returns(s) {
			c.doubtDead(s.FailureDomain)
		}
		c.dirty = c.servers.put(now, r.Offset, s, c.coldFor(s)) || c.dirty
	}
}

// takeRemoval takes that an entry was removed. A server that is cut off from the store
// stays a member of its replica for a while, unless it is known to be dead.
func (c *control) takeRemoval(now time.Duration, r relay.Record) {
	if !c.servers.remove(now, r, c.gateway.bounds().ServerHeartbeat) {
		return
	}
	c.dirty = true
	if !c.servers.entries[r.Key].silent {
		return
	}
	if _, dead := c.leadership.dead[r.Key]; dead {
		c.servers.forget(r.Key)
		return
	}
	c.gateway.metrics.events.Add("servers_cut_off", 1)
	c.gateway.logger.Info().Str("event", "server_cut_off").Str("server", r.Key).Str("group", c.servers.entries[r.Key].server.Member.Group).
		Int64("offset", r.Offset).Msg("entry lapsed without a word")
}

// takeBroken notes an entry that another writer left; it names no server.
func (c *control) takeBroken(now time.Duration, r relay.Record, err error) {
	if _, known := c.broken[r.Key]; !known {
		c.gateway.metrics.events.Add("broken_entries", 1)
		c.gateway.logger.Warn().Str("event", "broken_entry").Str("server", r.Key).Int64("offset", r.Offset).Err(err).Msg("entry names no server")
	}
	c.broken[r.Key] = r.Offset
	c.dirty = c.servers.remove(now, r, 0) || c.dirty
}

// coldFor returns how long a server of s's service is cold after its start.
func (c *control) coldFor(s site.Server) time.Duration {
	if c.configuration == nil || !c.traffic {
		return 0
	}
	if service := c.configuration.Services[s.Service]; service != nil {
		return service.ColdFor
	}
	return 0
}

// takeDaemons takes heartbeats.
func (c *control) takeDaemons(now time.Duration, m feedPage) {
	if m.missed > storeAway {
		// Nobody could write either: all have time to be heard again.
		for key, p := range c.daemons {
			p.HeardAt = now
			c.daemons[key] = p
		}
	}
	for _, r := range m.news.Records {
		var h heartbeat
		if err := cbor.Unmarshal(r.Value, &h); err != nil || h.Front != r.Key {
			continue
		}
		if h.Incarnation != c.gateway.incarnation {
			c.gateway.learn(h)
		}
		old, known := c.daemons[r.Key]
		c.takeSuccessor(now, old.Heartbeat, h)
		if h.Front == c.gateway.settings.Front && h.Incarnation != c.gateway.incarnation {
			c.gateway.formerSecret.CompareAndSwap(nil, &h.Secret)
		}
		if m.news.Whole && !known && h.Incarnation != c.gateway.incarnation {
			// The newest record of a key may be of a daemon that ended long ago.
			c.daemons[r.Key] = Peer{Heartbeat: h, HeardAt: now - peerTimeout + heartbeatInterval*3/2}
			c.dirty = true
			continue
		}
		if h.Incarnation != c.gateway.incarnation {
			c.leadership.candidate.Heard(now, h.Term, h.Leaving)
		}
		c.daemons[r.Key] = Peer{Heartbeat: h, HeardAt: now}
		c.dirty = c.dirty || !known || old.Heartbeat.Incarnation != h.Incarnation || old.Heartbeat.Ready != h.Ready
	}
	c.leadership.heardAt = m.news.ReadAt
}

// takeSuccessor takes the heartbeat h of a daemon whose last one was old. A daemon that
// has started again proves that its life before is over, and with it the term that it
// may have led. This daemon itself need not be heard for that.
func (c *control) takeSuccessor(now time.Duration, old, h heartbeat) {
	over := old
	if h.Front == c.gateway.settings.Front && h.Incarnation != c.gateway.incarnation {
		over = h
	} else if old.Incarnation == h.Incarnation {
		return
	}
	c.leadership.candidate.Heard(now, over.Term, true)
}

// A heard names the daemons that hubs hear from, and the work of all.
type heard struct {
	daemons []uint64
	sum     relay.Summary
}

// takeHeard takes which daemons live, and their work.
func (c *control) takeHeard(now time.Duration, m heard) {
	c.sum = m.sum
	alive := make(map[uint64]bool, len(m.daemons))
	for _, name := range m.daemons {
		alive[name] = true
	}
	for key, p := range c.daemons {
		if alive[nameOf(p.Heartbeat.Incarnation)] {
			p.HeardAt = now
			c.daemons[key] = p
		}
	}
	for epoch, w := range m.sum.Loads {
		if w.Stalled > 0 {
			c.suspectEpoch(now, epoch)
		}
	}
}

// expirePeers forgets daemons that were not heard from, unless nobody can be
// heard because the store is away. It returns whether it forgot one.
func (c *control) expirePeers(now time.Duration) bool {
	if c.failed[platform.TopicDaemons] {
		return false
	}
	n := len(c.daemons)
	maps.DeleteFunc(c.daemons, func(_ string, p Peer) bool {
		if now-p.HeardAt <= peerTimeout || p.Heartbeat.Incarnation == c.gateway.incarnation {
			return false
		}
		c.gateway.logger.Info().Str("event", "daemon_lost").Str("peer", p.Heartbeat.Daemon).Dur("age", now-p.HeardAt).Msg("daemon was not heard from")
		return true
	})
	return len(c.daemons) != n
}

// canServe returns whether this daemon knows enough to serve.
func (c *control) canServe() bool {
	return c.configuration != nil && c.loaded[platform.TopicServers] && !c.gateway.leaving.Load()
}
