package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/presence"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

const (
	// statusInterval is the time between two statuses while a hub has few followers: two passes of
	// a busy engine.
	statusInterval = 150 * time.Millisecond
	// statusCostPerFollower is the least status interval per follower of a hub, so that many
	// followers do not use up the hub's processor.
	statusCostPerFollower = 8 * time.Millisecond
	// maxStatusAge is the age up to which a daemon's status counts: several status intervals.
	maxStatusAge = 1200 * time.Millisecond
	// hubTimeout is how long a hub may send no updates before its followers turn to the next one.
	hubTimeout = 700 * time.Millisecond
	// maxRelayedAge is the least age of the last update from a hub at which a daemon reads the
	// store itself, and relayedShare is the same as a fraction of the time within which a
	// configuration must be in force. The rest of that time is for the read that brought the last
	// update and for the daemon's own read.
	maxRelayedAge = 700 * time.Millisecond
	relayedShare  = 0.35
	// maxHubReadAge is the maximum age of a read that a hub sends updates from: a full long poll,
	// the next one in flight, and a slow answer. Together with maxRelayedAge it stays below the
	// time within which a configuration must be in force.
	maxHubReadAge = 2*operatorsLongPoll + 300*time.Millisecond
	// maxForwardedReadAge is the same for updates that a hub has from another hub: one more
	// message.
	maxForwardedReadAge = maxHubReadAge + 2*statusInterval
	// membershipInterval is the time between two messages that list the live daemons and the work
	// at replicas of other failure domains, and membershipTTL is how long these count.
	membershipInterval = 500 * time.Millisecond
	membershipTTL      = 3 * membershipInterval
	// hubFailbackDelay is how long a daemon follows a hub of another failure domain before it tries
	// those of its own again.
	hubFailbackDelay = 5 * time.Second
	// maxPeerProbes is the number of other hubs that are asked to probe a server.
	maxPeerProbes = 2
	// senderIdleTimeout is how long an unused link is kept.
	senderIdleTimeout = 5 * time.Second
)

// A peerMessage is what daemons send each other directly: a follower to its hub, and a hub to its
// followers and the other hubs.
type peerMessage struct {
	From string `cbor:"1,keyasint"`
	// PeerAddress and Secret are where and how to answer. A daemon that requests updates sets
	// Offsets, the offset from which it wants the records of each topic. Timestamp is its clock, in all messages to hubs.
	PeerAddress string           `cbor:"2,keyasint,omitempty"`
	Secret      string           `cbor:"3,keyasint,omitempty"`
	Offsets     map[string]int64 `cbor:"4,keyasint,omitempty"`
	Timestamp   time.Duration    `cbor:"5,keyasint,omitempty"`
	// EchoTimestamp is the timestamp of the request that this message answers. The ReadAt of the
	// updates counts from the moment at which the hub received that request.
	EchoTimestamp time.Duration           `cbor:"6,keyasint,omitempty"`
	Updates       map[string]relay.Update `cbor:"7,keyasint,omitempty"`
	// Summary is the work of the sender, of a hub with its followers, or of all daemons but the
	// receiver.
	Summary relay.Summary      `cbor:"8,keyasint"`
	Crashes []quarantine.Crash `cbor:"9,keyasint,omitempty"`
	// ProbeTargets are servers that hubs are asked to probe, and Alive lists those that answered.
	ProbeTargets []probeTarget `cbor:"10,keyasint,omitempty"`
	Alive        []string      `cbor:"11,keyasint,omitempty"`
	// Leaving lists servers that recently reported that they are leaving.
	Leaving []notice.Incarnation `cbor:"12,keyasint,omitempty"`
	// FromHub means that Summary is the work of a hub with its followers.
	FromHub bool `cbor:"13,keyasint,omitempty"`
	// OtherDomainLoads is the work at replicas of other failure domains, sent every
	// membershipInterval.
	OtherDomainLoads map[int64]relay.ReplicaLoad `cbor:"14,keyasint,omitempty"`
	// Changes are replicas that started or stopped serving, each sent once.
	Changes []replicaChange `cbor:"15,keyasint,omitempty"`
	// AnsweredParts are suspect parts of prompts and when requests with them were last answered.
	AnsweredParts []quarantine.PartAnswer `cbor:"16,keyasint,omitempty"`
	// Level is the level of the sender's build.
	Level level.Level `cbor:"17,keyasint,omitempty"`
	// Slow lists the replicas that daemons found to be slow lately.
	Slow []dispatch.SlowReplica `cbor:"18,keyasint,omitempty"`
	// Limits are the limits of servers that changed, and now and then all of them.
	Limits []notice.Limit `cbor:"19,keyasint,omitempty"`
	// Eras are the eras of the store that the offsets of Offsets are of, where they are known.
	Eras map[string]int64 `cbor:"20,keyasint,omitempty"`
	// Usage is the usage of organisations by service, at the same daemons as Summary. Builds before it send none.
	Usage serviceUsage `cbor:"21,keyasint,omitempty"`
}

// A peerSender is a link to another daemon and when it was last used.
type peerSender struct {
	sender   *link.Sender[peerMessage]
	cancel   context.CancelFunc
	lastUsed time.Duration
}

// peerState is the state of the links with other daemons and of what they exchange. The zero value
// has no links.
type peerState struct {
	mu            sync.Mutex
	topics        map[string]*relay.Topic
	peerSummaries map[string]peerSummary
	// transits is what is known of the way of the messages of other daemons, by incarnation.
	transits map[string]*presence.Transit
	senders  map[string]*peerSender
	// exchangers are the links for detours, by incarnation.
	exchangers map[string]*link.Exchanger[detourRequest, detourPart]
	// lastSent holds the last update that was sent, by follower and topic.
	lastSent map[string]sentUpdate
	// hub is the front address of the hub that this daemon follows, followedSince is when it turned
	// to that hub, and lastUpdateAt is when the last update arrived.
	hub           string
	followedSince time.Duration
	// hubStale means that the hub answered without updates.
	hubStale     bool
	lastUpdateAt time.Duration
	// missingTopics are the topics that the last answer of a hub lacked, and feeds is what is known of this daemon's
	// own reads of each topic.
	missingTopics []string
	feeds         map[string]*topicFeed
	// hubTurns is the number of turns to another hub since the last log line about one, at hubLostLoggedAt.
	hubTurns        int
	hubLostLoggedAt time.Duration
	// lastAnswerAt is when a hub last answered, with updates or without. storeReadAt is when this
	// daemon itself last read the operators' topic.
	lastAnswerAt time.Duration
	storeReadAt  time.Duration
	isHub        bool
	// isReader means that this daemon is one of the hubs that read the store.
	isReader bool
	// membershipSentAt is when each other daemon was last sent the list of live daemons.
	membershipSentAt map[string]time.Duration
	announcements    announcementLog
	// limitsSent is what each other daemon was sent of the limits of servers.
	limitsSent map[string]limitsSent
}

// peerHandler handles the messages of other daemons.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, g.withPeerSecret(func(secret string) http.Handler { return link.Accept(secret, g.links, g.handlePeerMessage) }))
	mux.Handle(detourPath, g.withPeerSecret(func(secret string) http.Handler { return link.AcceptExchanges(secret, g.links, g.serveDetour) }))
	return mux
}

// withPeerSecret returns a handler for peers that present the secret of this incarnation or, until they
// have read its heartbeat, of the previous one.
func (g *Gateway) withPeerSecret(handler func(secret string) http.Handler) http.Handler {
	current := handler(g.secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if former := g.previousSecret.Load(); former != nil && link.Authorised(r, *former) {
			g.metrics.events.Add("peers_by_former_heartbeat", 1)
			handler(*former).ServeHTTP(w, r)
			return
		}
		current.ServeHTTP(w, r)
	})
}

// runPeers sends the work of this daemon to its hub, or as a hub to the other hubs.
func (g *Gateway) runPeers(ctx context.Context) error {
	var group task.Group
	reaped := make(chan error, 1)
	reapCtx, stopReaping := context.WithCancel(ctx)
	defer stopReaping()
	go func() { reaped <- group.Reap(reapCtx) }()
	g.linkGroup.Store(&group)
	for ctx.Err() == nil {
		interval := g.sendStatuses(ctx)
		g.closeIdleSenders()
		sleepOrWake(ctx, interval, g.statusNow)
	}
	g.closeAllSenders()
	stopReaping()
	return <-reaped
}

// members returns the known daemons, with their front addresses as names.
func (g *Gateway) members(v *View) []relay.Member {
	out := []relay.Member{{Name: g.settings.Front, FailureDomain: g.settings.FailureDomain, CPUShare: g.settings.Limits.CPUShare}}
	for _, h := range v.Peers {
		if !h.Leaving && h.Front != g.settings.Front {
			out = append(out, relay.Member{Name: h.Front, FailureDomain: h.FailureDomain, CPUShare: h.CPUShare})
		}
	}
	return out
}

// peer returns the daemon with the given front address.
func (v *View) peer(front string) (heartbeat, bool) {
	h, ok := v.Peers[v.IncarnationByFront[front]]
	return h, ok
}

// sendStatuses sends the statuses that are due and returns the time until the next ones.
func (g *Gateway) sendStatuses(ctx context.Context) time.Duration {
	g.recordPartChanges()
	view, now := g.view.Load(), clock.Boot()
	members := g.members(view)
	hubs := relay.Hubs(members)
	ps := &g.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.isHub = slices.Contains(hubs, g.settings.Front) && view.PeersLoaded && !g.settling(now)
	ps.isReader = ps.isHub && slices.Contains(relay.StoreReaders(hubs), g.settings.Front)
	g.chooseUpdateSource(view, hubs, now)
	m := peerMessage{
		From: g.incarnation, Crashes: g.crashes.recent(time.Now()), Leaving: g.tracker.leavingToAnnounce(),
		FromHub: ps.isHub, AnsweredParts: g.crashes.partAnswers(time.Now()), Summary: g.tracker.summary(g.incarnation, time.Now()), Slow: g.tracker.slowReplicas(),
		Usage: g.tracker.usageHere(now),
	}
	if ps.isHub {
		m.Summary, m.Usage = g.hubSummary(now), g.hubUsage(now)
		others := g.summaryExcluding("", now)
		g.tracker.setPeerSummary(others, nil, time.Now())
		if usage := g.usageExcluding("", now); len(usage) > 0 {
			g.tracker.setPeerUsage(usage, now)
		}
		g.enqueue(peerStatus{daemons: others.Daemons, summary: others})
	}
	g.updateStandings(now)
	for _, front := range hubs {
		if h, ok := view.peer(front); ok && (ps.isHub || front == ps.hub) {
			g.sendStatus(ctx, h, m, front == ps.hub, now)
		}
	}
	if ps.isHub {
		return statusInterval
	}
	return max(statusInterval, time.Duration(len(members)/max(len(hubs), 1))*statusCostPerFollower)
}

// chooseUpdateSource chooses the hub that this daemon requests updates from: a reader if it is a
// hub, none if it reads the store itself and the store answers. The caller holds the lock.
func (g *Gateway) chooseUpdateSource(view *View, hubs []string, now time.Duration) {
	ps, sources := &g.peers, hubs
	if ps.isReader && now-ps.topic(platform.TopicOperators).ReadAt() < maxHubReadAge {
		ps.hub = ""
		return
	}
	if ps.isHub {
		sources = slices.DeleteFunc(slices.Clone(relay.StoreReaders(hubs)), func(front string) bool { return front == g.settings.Front })
	}
	g.chooseHub(relay.HubOrder(g.settings.Front, sources, func(front string) bool {
		h, ok := view.peer(front)
		return ok && h.FailureDomain == g.settings.FailureDomain
	}), now)
}

// sendStatus sends m to the hub h, with a request for updates if request is set. The caller holds
// the lock.
func (g *Gateway) sendStatus(ctx context.Context, h heartbeat, m peerMessage, request bool, now time.Duration) {
	ps := &g.peers
	m.Changes, m.Limits, m.Timestamp = ps.announcements.unsentTo(h.Incarnation), g.limitsFor(h.Incarnation, now), now
	if !ps.membershipDue(h.Incarnation, now) {
		m.Summary.Daemons = nil
	}
	if request {
		m.PeerAddress, m.Secret, m.Offsets = g.settings.Peer, g.secret, make(map[string]int64)
		for _, topic := range followedTopics {
			t := ps.topic(topic)
			m.Offsets[topic] = t.End()
			if era := t.Era(); era != 0 {
				if m.Eras == nil {
					m.Eras = make(map[string]int64)
				}
				m.Eras[topic] = era
			}
		}
	}
	g.sendToPeer(ctx, h.Incarnation, h.Peer, h.Secret, m)
}

// settling returns whether this daemon started with all others for the first time and is still
// waiting for their heartbeats.
func (g *Gateway) settling(now time.Duration) bool {
	return g.settings.FirstRun && now-g.startedAt < firstRunSettle
}

// firstRunSettle is how long a daemon that starts with all others for the first time waits for
// their heartbeats before it may consider itself a hub: the spread that the platform documents, and
// a read.
const firstRunSettle = 1400 * time.Millisecond

// membershipDue returns whether a daemon is due to be sent the list of live daemons, and records
// that it is sent now.
func (ps *peerState) membershipDue(incarnation string, now time.Duration) bool {
	if ps.membershipSentAt == nil {
		ps.membershipSentAt = make(map[string]time.Duration)
	}
	if at, ok := ps.membershipSentAt[incarnation]; ok && now-at < membershipInterval {
		return false
	}
	ps.membershipSentAt[incarnation] = now
	return true
}

// chooseHub turns to the next hub when the current one sends no updates, and back to the first one
// after hubFailbackDelay. The caller holds the lock.
func (g *Gateway) chooseHub(order []string, now time.Duration) {
	ps := &g.peers
	at := max(slices.Index(order, ps.hub), 0)
	switch {
	case len(order) == 0:
		ps.hub = ""
	case order[at] != ps.hub:
		ps.hub, ps.followedSince, ps.hubStale = order[0], now, false
	case ps.hubStale || now-max(ps.followedSince, ps.lastUpdateAt) > hubTimeout:
		next := order[(at+1)%len(order)]
		g.logHubLost(next, now)
		ps.hub, ps.followedSince, ps.hubStale = next, now, false
	case at > 0 && now-ps.followedSince > hubFailbackDelay:
		ps.hub, ps.followedSince = order[0], now
	}
}

// topic returns this daemon's copy of a topic. The caller holds the lock.
func (ps *peerState) topic(name string) *relay.Topic {
	if ps.topics == nil {
		ps.topics = make(map[string]*relay.Topic)
	}
	if ps.topics[name] == nil {
		ps.topics[name] = &relay.Topic{}
		if name == platform.TopicServers {
			ps.topics[name].Equal = sameEntry
		}
	}
	return ps.topics[name]
}

// sameEntry returns whether two entries of a server are equal but for their sequence numbers.
func sameEntry(id string, a, b []byte) bool {
	var (
		before, after site.Server
		err           error
	)
	// Entries that cannot be decoded are passed on, so that each daemon counts them.
	if before, err = platform.DecodeServer(id, a); err != nil {
		return false
	}
	if after, err = platform.DecodeServer(id, b); err != nil {
		return false
	}
	return sameServer(before, after)
}

// sendToPeer sends m to a daemon. The caller holds the lock.
func (g *Gateway) sendToPeer(ctx context.Context, incarnation, peer, secret string, m peerMessage) {
	ps := &g.peers
	group := g.linkGroup.Load()
	if peer == "" || group == nil {
		return
	}
	if ps.senders == nil {
		ps.senders = make(map[string]*peerSender)
	}
	s, ok := ps.senders[incarnation]
	if !ok {
		ctx, cancel := context.WithCancel(ctx)
		s = &peerSender{sender: link.NewSender[peerMessage]("ws://"+peer+link.Path, secret, g.peerClient, g.links), cancel: cancel}
		ps.senders[incarnation] = s
		group.Go(ctx, "peer "+peer, s.sender.Run)
	}
	s.lastUsed, m.Level = clock.Boot(), level.Own
	s.sender.Send(m)
}

// closeIdleSenders closes the links that are no longer used, and drops what was recorded of them.
func (g *Gateway) closeIdleSenders() {
	ps := &g.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := clock.Boot()
	ps.closeIdleExchangers(g.view.Load())
	for incarnation, s := range ps.senders {
		if now-s.lastUsed > senderIdleTimeout {
			s.cancel()
			delete(ps.senders, incarnation)
		}
	}
	ps.announcements.dropUnlinked(func(incarnation string) bool { _, ok := ps.senders[incarnation]; return ok })
	maps.DeleteFunc(ps.limitsSent, func(_ string, s limitsSent) bool { return now-s.allAt > 2*limitsInterval })
	maps.DeleteFunc(ps.transits, func(_ string, t *presence.Transit) bool { return now-t.ReceivedAt() > transitTTL })
	maps.DeleteFunc(ps.membershipSentAt, func(_ string, at time.Duration) bool { return now-at > senderIdleTimeout })
	for key, s := range ps.lastSent {
		if now-s.at > time.Minute {
			delete(ps.lastSent, key)
		}
	}
}

// closeAllSenders closes all links.
func (g *Gateway) closeAllSenders() {
	ps := &g.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, s := range ps.senders {
		s.cancel()
	}
	for _, e := range ps.exchangers {
		e.Close()
	}
	ps.senders = nil
}

// handlePeerMessage handles a message of another daemon.
func (g *Gateway) handlePeerMessage(m peerMessage) {
	now := clock.Boot()
	if !m.Level.Understood() {
		g.metrics.events.Add("peers_of_unknown_level", 1)
	}
	g.crashes.applyPartAnswers(time.Now(), m.AnsweredParts)
	g.applyPeerCrashes(m)
	g.applyPeerLeaving(m)
	g.tracker.mergeSlow(m.Slow)
	g.applyPeerLimits(m)
	if len(m.Changes) > 0 {
		g.enqueue(peerChanges{changes: m.Changes})
	}
	if len(m.Alive) > 0 {
		g.enqueue(peerProbeResult{servers: m.Alive})
	}
	ps := &g.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if len(m.ProbeTargets) > 0 {
		g.probeForPeer(m)
		return
	}
	if m.EchoTimestamp != 0 {
		g.applyHubAnswer(m, now)
		return
	}
	if len(m.Alive) > 0 {
		return
	}
	ps.recordPeerSummary(m, now)
	if m.Offsets == nil {
		return
	}
	answer := peerMessage{From: g.incarnation, EchoTimestamp: m.Timestamp, Updates: make(map[string]relay.Update)}
	if !m.FromHub {
		g.fillSummary(&answer, m, now)
		answer.Usage = g.usageExcluding(m.From, now)
	}
	answer.Changes, answer.Limits = ps.announcements.unsentTo(m.From), g.limitsFor(m.From, now)
	answer.Crashes, answer.Leaving = g.crashes.recent(time.Now()), g.tracker.leavingToAnnounce()
	answer.AnsweredParts, answer.Slow = g.crashes.partAnswers(time.Now()), g.tracker.slowReplicas()
	for topic, offset := range m.Offsets {
		update, ok := ps.updatesFor(m.From, topic, m.Eras[topic], offset, now)
		g.recordFeed(topic, ok, now)
		if ok {
			update.ReadAt -= now
			answer.Updates[topic] = update
		}
	}
	g.sendToPeer(context.Background(), m.From, m.PeerAddress, m.Secret, answer)
}

// A sentUpdate is the last update of a topic that was sent to a follower.
type sentUpdate struct {
	end int64
	era int64
	at  time.Duration
}

// resendAfter is how long an update may be in flight to a follower before it is sent again.
const resendAfter = time.Second

// updatesFor returns the update of topic for a follower that has it up to an offset of an era of the store, without
// the records that are in flight to it. The caller holds the lock.
func (ps *peerState) updatesFor(follower, topic string, era, offset int64, now time.Duration) (relay.Update, bool) {
	if ps.lastSent == nil {
		ps.lastSent = make(map[string]sentUpdate)
	}
	key := follower + " " + topic
	last, ok := ps.lastSent[key]
	ahead := last.end > offset && (era == 0 || last.era == era) || era != 0 && last.era > era
	inFlight := ok && offset >= 0 && ahead && now-last.at < resendAfter
	if inFlight {
		era, offset = last.era, last.end
	}
	update, ok := ps.topic(topic).Since(era, offset)
	maxAge := maxHubReadAge
	if !ps.isReader {
		maxAge = maxForwardedReadAge
	}
	if !ok || now-update.ReadAt > maxAge {
		return update, false
	}
	if len(update.Records) > 0 || !inFlight {
		ps.lastSent[key] = sentUpdate{end: update.End, era: update.Era, at: now}
	}
	return update, true
}

// applyHubAnswer applies the answer of a hub to a request for updates. The caller holds the lock.
func (g *Gateway) applyHubAnswer(m peerMessage, now time.Duration) {
	ps := &g.peers
	if !ps.isHub {
		g.tracker.setPeerSummary(m.Summary, m.OtherDomainLoads, time.Now())
		if len(m.Usage) > 0 {
			g.tracker.setPeerUsage(m.Usage, now)
		}
		status := peerStatus{daemons: m.Summary.Daemons, summary: m.Summary}
		if now-m.EchoTimestamp > maxStatusAge {
			// The list may be as old as the request.
			status.daemons = nil
		}
		g.enqueue(status)
	}
	ps.lastAnswerAt = now
	g.recordMissingTopics(m)
	if len(m.Updates) == len(followedTopics) {
		ps.lastUpdateAt = now
	} else if h, ok := g.view.Load().peer(ps.hub); ok && h.Incarnation == m.From {
		// Another hub may be able to read the store.
		ps.hubStale = true
	}
	for topic, update := range m.Updates {
		// The hub received the request after its timestamp was taken, so the sum is never later
		// than the actual time of the read.
		update.ReadAt += m.EchoTimestamp
		g.store.ObserveEra(update.Era)
		g.applyTopicUpdate(topic, m.From, update)
	}
}
