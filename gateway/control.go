package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// tickInterval is the period of the controller's timer.
const tickInterval = 100 * time.Millisecond

// A tick is the message of the controller's timer.
type tick struct{}

// A controller holds the control state: the configuration, the list of servers, the known daemons
// and the leadership. One actor owns it, so its fields need no lock.
type controller struct {
	gateway *Gateway

	configuration       *site.Configuration
	configurationOffset int64
	domainsOut          map[string]bool
	servers             roster
	daemons             map[string]Peer
	// dropped holds the daemons that no longer count as alive, as they were last seen, by front address.
	dropped       map[string]Peer
	loadedTopics  map[string]bool
	failedTopics  map[string]bool
	brokenEntries map[string]int64
	leadership    leadership
	levels        level.Fleet
	// operatorsReadAt is when the latest successful read of the operators' topic was sent, and
	// peerSummary is the work of all other daemons.
	operatorsReadAt time.Duration
	peerSummary     relay.Summary
	// storeEra is the era of the store, as far as this daemon knows, and topicEras are those of the records that were
	// last applied.
	storeEra  int64
	topicEras map[string]int64
	// domainsShown are the failure domains that are out of service according to the store, and heldDomains those for
	// which the state before the store came back from a copy holds, and until when.
	domainsShown map[string]bool
	heldDomains  map[string]time.Duration
	dirty        bool
	trafficSeen  bool
	// services are those of the configuration, and former ones that are in use.
	services map[string]*site.Service
}

// startController starts the actor that owns the control state.
func (g *Gateway) startController() {
	// The library's own log lines are not JSON, so they are discarded.
	g.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	c := &controller{
		gateway: g, domainsOut: make(map[string]bool), daemons: make(map[string]Peer), dropped: make(map[string]Peer), loadedTopics: make(map[string]bool),
		failedTopics: make(map[string]bool), brokenEntries: make(map[string]int64), dirty: true,
	}
	c.leadership.dead, c.leadership.aliveAt = make(map[string]deadServer), make(map[string]time.Duration)
	c.leadership.silent = make(map[string]silentServer)
	c.leadership.candidate.Timeouts = tenureTimeouts
	g.pid = g.system.Root.Spawn(actor.PropsFromFunc(c.receive))
}

// enqueue sends message to the controller.
func (g *Gateway) enqueue(message any) { g.system.Root.Send(g.pid, message) }

// runTicks sends the controller a tick every tickInterval.
func (g *Gateway) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		g.enqueue(tick{})
		clock.Sleep(ctx, tickInterval)
	}
	return nil
}

// receive handles one message and publishes a new view if the control state changed.
func (c *controller) receive(context actor.Context) {
	now := clock.Boot()
	c.observeStoreEra(now)
	switch m := context.Message().(type) {
	case tick:
		c.tick(now)
	case topicPage:
		c.applyPage(now, m)
	case topicReadFailure:
		c.recordReadFailure(m)
	case termsResult:
		c.applyTerms(now, m)
	case claimResult:
		c.applyClaim(now, m)
	case peerProbeResult:
		c.applyPeerProbe(now, m)
	case peerStatus:
		c.applyPeerStatus(now, m)
	case unansweredCheck:
		c.recordUnansweredCrashes()
	case serversLeaving:
		c.applyLeaving(m)
	case serverReport:
		c.applyReport(now, m)
	case peerChanges:
		c.applyPeerChanges(now, m)
	case heartbeatStored:
		c.leadership.candidate.Renew(now, m.sentAt, m.term)
	case orderResult:
		c.applyOrderResult(now, m)
	case probeResult:
		c.applyProbe(now, m)
	case runVerified:
		c.applyRunVerified(now, m)
	case serverUnreached:
		c.recordUnreached(now)
	}
	if c.dirty {
		c.publish(now)
	}
	if c.operatorsReadAt != 0 {
		// Requests may rely on this read only now, when the view contains what it returned.
		c.gateway.confirmedAt.Store(int64(max(c.operatorsReadAt, time.Duration(c.gateway.confirmedAt.Load()))))
	}
}

// tick does the periodic work: expiry, election and the steps of the leader.
func (c *controller) tick(now time.Duration) {
	if c.servers.expire(now) || c.expirePeers(now) {
		c.dirty = true
	}
	c.expireHeldDomains(now)
	if ready := c.canServe(); ready != c.gateway.view.Load().Ready {
		c.dirty = true
	}
	c.gateway.tracker.expireNotices(now, c.isListed)
	c.gateway.tracker.expireAccounts(now, c.isListed)
	c.recordUnansweredCrashes()
	c.elect(now)
	c.stepLeader(now)
}

// recordReadFailure records that a read of a topic failed.
func (c *controller) recordReadFailure(m topicReadFailure) {
	if !c.failedTopics[m.topic] {
		c.gateway.logger.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("topic", m.topic).Err(m.err).Msg("store topic cannot be read")
	}
	c.failedTopics[m.topic] = true
}

// applyPage applies records of a topic.
func (c *controller) applyPage(now time.Duration, m topicPage) {
	if c.failedTopics[m.topic] {
		line := c.gateway.logger.Info().Str("event", "dependency_regained").Str("dependency", "store").Str("topic", m.topic)
		if c.loadedTopics[m.topic] {
			line = line.Dur("missed", m.sincePrevious)
		}
		line.Msg("store topic can be read again")
	}
	c.failedTopics[m.topic] = false
	m.restored = c.observeTopicEra(now, m)
	switch m.topic {
	case platform.TopicOperators:
		c.applyOperatorRecords(now, m)
		c.operatorsReadAt = max(c.operatorsReadAt, m.update.ReadAt)
	case platform.TopicServers:
		c.applyServerRecords(now, m)
	case platform.TopicDaemons:
		c.applyHeartbeats(now, m)
	}
	c.dirty = c.dirty || !c.loadedTopics[m.topic]
	if m.topic == platform.TopicDaemons && !c.loadedTopics[m.topic] {
		close(c.gateway.daemonsLoaded)
	}
	c.loadedTopics[m.topic] = true
}

// applyOperatorRecords applies the operators' records: the configuration and the failure domains
// that are out of service.
func (c *controller) applyOperatorRecords(now time.Duration, m topicPage) {
	for _, r := range m.update.Records {
		if r.Key == platform.ConfigurationKey {
			c.applyConfiguration(r)
		}
	}
	c.applyDomains(now, m)
}

// applyConfiguration puts a configuration in force if it is newer than the current one.
func (c *controller) applyConfiguration(r relay.Record) {
	if c.configuration != nil && r.Offset <= c.configurationOffset {
		return
	}
	var (
		next *site.Configuration
		err  error
	)
	if next, err = platform.DecodeConfiguration(r.Value); err != nil {
		c.gateway.logger.Error().Str("event", "configuration_refused").Int64("offset", r.Offset).Err(err).Msg("configuration cannot be decoded; ignored")
		return
	}
	if c.configuration != nil && next.Version == c.configuration.Version && c.configurationOffset < 0 {
		c.configurationOffset = r.Offset
		return
	}
	if c.configuration != nil && next.Version <= c.configuration.Version {
		c.gateway.logger.Warn().Str("event", "configuration_refused").Int64("version", next.Version).
			Int64("in_force", c.configuration.Version).Msg("configuration is not newer than the one in force; ignored")
		return
	}
	c.putInForce(next)
	c.configurationOffset = r.Offset
	c.gateway.configurationAt.Store(int64(clock.Boot()))
	c.servers.reconsiderClaims()
	c.gateway.logger.Info().Str("event", "configuration").Int64("version", next.Version).Int64("offset", r.Offset).
		Int("routes", next.Routes()).Msg("configuration applied")
}

// applyServerRecords applies entries of servers.
func (c *controller) applyServerRecords(now time.Duration, m topicPage) {
	if m.sincePrevious > storeOutageThreshold {
		c.servers.startGrace(now)
	}
	if m.update.Whole {
		c.servers.retainListed(now, m.update, m.restored)
	}
	for _, r := range m.update.Records {
		if r.Key == "" {
			continue
		}
		if len(r.Value) == 0 {
			c.applyServerRemoval(now, r)
			continue
		}
		var (
			s   site.Server
			err error
		)
		if s, err = platform.DecodeServer(r.Key, r.Value); err != nil {
			c.recordBrokenEntry(now, r, err)
			continue
		}
		if m.restored && c.servers.removedBefore(s) {
			c.gateway.metrics.events.Add("restored_entries_ignored", 1)
			continue
		}
		if err = c.servers.contradicts(s); err != nil {
			c.recordBrokenEntry(now, r, err)
			continue
		}
		if before, ok := c.servers.replacedMember(s); ok && c.isLeading(now) {
			c.verifyRun(before, s, r, m.update.Era)
			continue
		}
		c.applyServer(now, r.Offset, s)
	}
}

// applyServer applies the entry of a server.
func (c *controller) applyServer(now time.Duration, offset int64, s site.Server) {
	s.Draining = s.Draining || c.gateway.tracker.isLeaving(s)
	if c.servers.isReturning(s) {
		c.clearDeadInDomain(s.FailureDomain)
	}
	c.dirty = c.servers.put(now, offset, s, c.coldDuration(s)) || c.dirty
}

// applyServerRemoval applies the removal of a server's entry. A replica member that is cut off from
// the store stays in its replica for a while, unless it is known to be dead.
func (c *controller) applyServerRemoval(now time.Duration, r relay.Record) {
	delete(c.brokenEntries, r.Key)
	if !c.servers.remove(now, r, c.gateway.bounds().ServerHeartbeat) {
		return
	}
	c.dirty = true
	if !c.servers.entries[r.Key].cutOff {
		return
	}
	if _, dead := c.leadership.dead[r.Key]; dead {
		c.servers.dropCutOff(r.Key)
		return
	}
	c.gateway.metrics.events.Add("servers_cut_off", 1)
	c.gateway.logger.Info().Str("event", "server_cut_off").Str("server", r.Key).Str("group", c.servers.entries[r.Key].server.Member.Group).
		Int64("offset", r.Offset).Msg("entry of a replica member lapsed without draining; server seems cut off from the store")
}

// maxLoggedErrorBytes bounds the text of an error that contains what another program wrote.
const maxLoggedErrorBytes = 512

// recordBrokenEntry records an entry by another writer that cannot be decoded. The server that is listed
// under its key keeps serving: it may be a member of a replica, and soon writes its own entry again.
func (c *controller) recordBrokenEntry(now time.Duration, r relay.Record, err error) {
	c.logBrokenEntry(r, err)
	c.servers.overwrite(now, r)
}

// logBrokenEntry logs an entry that names no server to use, once for each key.
func (c *controller) logBrokenEntry(r relay.Record, err error) {
	if _, known := c.brokenEntries[r.Key]; !known {
		c.gateway.metrics.events.Add("broken_entries", 1)
		text := err.Error()
		c.gateway.logger.Warn().Str("event", "broken_entry").Str("server", r.Key).Int64("offset", r.Offset).
			Str("error", text[:min(len(text), maxLoggedErrorBytes)]).Msg("server entry is not one of a server; ignored")
	}
	c.brokenEntries[r.Key] = r.Offset
}

// logBrokenHeartbeat logs a heartbeat that no daemon can have written, once for each key.
func (c *controller) logBrokenHeartbeat(r relay.Record, err error) {
	key := platform.TopicDaemons + "/" + r.Key
	if _, known := c.brokenEntries[key]; !known {
		text := err.Error()
		c.gateway.logger.Warn().Str("event", "broken_heartbeat").Str("peer", r.Key).Int64("offset", r.Offset).
			Str("error", text[:min(len(text), maxLoggedErrorBytes)]).Msg("heartbeat is not one of a daemon; ignored")
	}
	c.brokenEntries[key] = r.Offset
}

// coldDuration returns how long a server of s's service is cold after its start: not at all before
// the first traffic.
func (c *controller) coldDuration(s site.Server) time.Duration {
	if c.configuration == nil || !c.trafficSeen {
		return 0
	}
	if service := c.configuration.Services[s.Service]; service != nil {
		return service.ColdFor
	}
	return 0
}

// canServe returns whether this daemon has a configuration, the list of servers and the heartbeats of
// the other daemons, which say which requests crash servers, and is not leaving.
func (c *controller) canServe() bool {
	return c.configuration != nil && c.loadedTopics[platform.TopicServers] && c.loadedTopics[platform.TopicDaemons] && !c.gateway.leaving.Load()
}
