package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
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

// A probeTarget is a server to probe.
type probeTarget struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Born    int64
}

// requestPeerProbes asks other hubs to probe servers.
func (g *Gateway) requestPeerProbes(targets []probeTarget) {
	view := g.view.Load()
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	m := peerMessage{From: g.incarnation, PeerAddress: g.settings.Peer, Secret: g.secret, ProbeTargets: targets}
	asked := 0
	for _, front := range relay.Hubs(g.members(view)) {
		if h, ok := view.peer(front); ok && asked < maxPeerProbes {
			asked++
			g.sendToPeer(context.Background(), h.Incarnation, h.Peer, h.Secret, m)
		}
	}
}

// probeForPeer probes servers for another daemon, and sends it those that answer. The caller holds
// the lock.
func (g *Gateway) probeForPeer(m peerMessage) {
	for _, t := range m.ProbeTargets {
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			if finding, _ := g.probeServer(ctx, site.Server{ID: t.ID, Address: t.Address, Born: t.Born}); finding != probeAlive {
				return nil
			}
			g.peers.mu.Lock()
			defer g.peers.mu.Unlock()
			g.sendToPeer(context.Background(), m.From, m.PeerAddress, m.Secret, peerMessage{From: g.incarnation, PeerAddress: g.settings.Peer, Secret: g.secret, Alive: []string{t.ID}})
			return nil
		})
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
			finding, report := g.probeServer(ctx, s)
			if finding == probeAlive {
				g.enqueue(serverReport{server: report})
			}
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

// probeServer sends probes to a server until it answers one, and returns its report if it is alive. It does
// not find out whether a server that answers none accepts connections.
func (g *Gateway) probeServer(ctx context.Context, s site.Server) (probeFinding, site.Server) {
	for range probeAttempts {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		g.metrics.events.Add("probes", 1)
		now, err := g.engines.Report(attempt, s)
		cancel()
		switch {
		case err == nil && (s.Born == 0 || now.Born == s.Born):
			return probeAlive, now
		case err == nil || platform.IsOtherServer(err):
			return probeReplaced, site.Server{}
		}
	}
	return probeUnreached, site.Server{}
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
	maps.DeleteFunc(c.leadership.pacePolledAt, func(_ string, at time.Duration) bool { return now-at >= pacePollInterval })
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
