package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

const (
	// statusInterval is the time between two statuses while a hub has few followers:
	// two passes of a busy engine.
	statusInterval = 150 * time.Millisecond
	// statusCostPerFollower is the time that a hub takes over one follower at most, so that many
	// followers do not use up its processor.
	statusCostPerFollower = 8 * time.Millisecond
	// maxStatusAge is how old what a daemon told may be to count: several statuses.
	maxStatusAge = 1200 * time.Millisecond
	// hubTimeout is how long a hub may be without an answer before its followers
	// turn to the next one.
	hubTimeout = 700 * time.Millisecond
	// maxRelayedAge is how old the last news from a hub may be at least before a daemon reads
	// the store itself; relayedShare is the same as a part of the time within which a
	// configuration must be in force. The rest is for the read that brought the last news
	// and for its own.
	maxRelayedAge = 700 * time.Millisecond
	relayedShare  = 0.35
	// maxHubReadAge is how old the read of a hub may be whose news it passes on: a read that
	// waited as long as it may, one more on its way, and a slow answer. With relayedAge
	// it stays below the time within which a configuration must be in force.
	maxHubReadAge = 2*operatorsLongPoll + 300*time.Millisecond
	// maxForwardedReadAge is the same for the news that a hub has from another one: one message more.
	maxForwardedReadAge = maxHubReadAge + 2*statusInterval
	// membershipInterval is the time between two messages that name the daemons that live, and
	// that tell of replicas in other failure domains; namedAge is how long that counts.
	membershipInterval = 500 * time.Millisecond
	membershipTTL      = 3 * membershipInterval
	// hubFailbackDelay is how long a daemon follows a hub of another failure domain before it
	// tries those of its own again.
	hubFailbackDelay = 5 * time.Second
	// maxPeerProbes is the number of other hubs that are asked to look at a server.
	maxPeerProbes = 2
	// senderIdleTimeout is how long an unused link is kept.
	senderIdleTimeout = 5 * time.Second
)

// A peerMessage is what daemons tell each other directly: a follower its hub, a hub its
// followers and the other hubs.
type peerMessage struct {
	From string `cbor:"1,keyasint"`
	// PeerAddress and Secret are where and how to answer. A daemon that asks to be told sets
	// Have, the offset from which it wants news of each topic, and Stamp, its clock.
	PeerAddress string           `cbor:"2,keyasint,omitempty"`
	Secret      string           `cbor:"3,keyasint,omitempty"`
	Offsets     map[string]int64 `cbor:"4,keyasint,omitempty"`
	Timestamp   time.Duration    `cbor:"5,keyasint,omitempty"`
	// EchoTimestamp is the stamp that an answer is for. The news of an answer were read at
	// ReadAt after the hub had that stamp.
	EchoTimestamp time.Duration         `cbor:"6,keyasint,omitempty"`
	Updates       map[string]relay.News `cbor:"7,keyasint,omitempty"`
	// Sum is the work of the sender, of a hub with its followers, or of all daemons
	// but the receiver.
	Sum     relay.Sum          `cbor:"8,keyasint"`
	Crashes []quarantine.Crash `cbor:"9,keyasint,omitempty"`
	// ProbeTargets asks hubs to look at servers, and Alive names those that answered.
	ProbeTargets []probeTarget `cbor:"10,keyasint,omitempty"`
	Alive        []string      `cbor:"11,keyasint,omitempty"`
	// Leaving names servers that said lately that they leave.
	Leaving []notice.Life `cbor:"12,keyasint,omitempty"`
	// FromHub means that Sum is the work of a hub with its followers.
	FromHub bool `cbor:"13,keyasint,omitempty"`
	// OtherDomainWork is the work at replicas of other failure domains, told now and then.
	OtherDomainWork map[int64]relay.Work `cbor:"14,keyasint,omitempty"`
	// Changes are replicas that began or ended to serve, each told once.
	Changes []replicaChange `cbor:"15,keyasint,omitempty"`
}

// A probeTarget is a server to look at.
type probeTarget struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Born    int64
}

// A peerSender is a link and when it was last used.
type peerSender struct {
	sender   *link.Sender[peerMessage]
	cancel   context.CancelFunc
	lastUsed time.Duration
}

// peerState are the daemons that this one has links with. The zero value has none.
type peerState struct {
	mu       sync.Mutex
	topics   map[string]*relay.Topic
	peerSums map[string]peerSum
	senders  map[string]*peerSender
	// lastSent is what followers were lastSent last, by follower and topic.
	lastSent map[string]sentUpdate
	// hub is the front address of the hub that this daemon follows, askedAt when it
	// turned to it, and newsAt when the last news came.
	hub           string
	followedSince time.Duration
	// hubStale means that the hub answered without news.
	hubStale     bool
	lastUpdateAt time.Duration
	// lastAnswerAt is when a hub last answered, with news or without, and readAt when
	// this daemon last read what operators ask for itself.
	lastAnswerAt time.Duration
	storeReadAt  time.Duration
	isHub        bool
	// isReader means that this daemon is one of the hubs that read the store.
	isReader bool
	// membershipSentAt is when each other daemon was last told who lives.
	membershipSentAt map[string]time.Duration
	announcements    announcementLog
}

// peerHandler takes the messages of other daemons.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	present := link.Accept(g.secret, g.links, g.handlePeerMessage)
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		if former := g.formerSecret.Load(); former != nil && link.Authorised(r, *former) {
			g.metrics.events.Add("peers_by_former_heartbeat", 1)
			link.Accept(*former, g.links, g.handlePeerMessage).ServeHTTP(w, r)
			return
		}
		present.ServeHTTP(w, r)
	})
	return mux
}

// runPeers tells the hub, or as a hub the other hubs, the work of this daemon.
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
		sleepOrWake(ctx, interval, g.tellNow)
	}
	g.closeAllSenders()
	stopReaping()
	return <-reaped
}

// members returns the daemons that are known, by front address.
func (g *Gateway) members(v *View) []relay.Member {
	out := []relay.Member{{Name: g.settings.Front, FailureDomain: g.settings.FailureDomain, Strength: g.settings.Limits.CPUShare}}
	for _, h := range v.Peers {
		if !h.Leaving && h.Front != g.settings.Front {
			out = append(out, relay.Member{Name: h.Front, FailureDomain: h.FailureDomain, Strength: h.CPUShare})
		}
	}
	return out
}

// peer returns the daemon with the given front address.
func (v *View) peer(front string) (heartbeat, bool) {
	h, ok := v.Peers[v.IncarnationByFront[front]]
	return h, ok
}

// sendStatuses sends what is due and returns when to do so next.
func (g *Gateway) sendStatuses(ctx context.Context) time.Duration {
	view, now := g.view.Load(), clock.Boot()
	members := g.members(view)
	hubs := relay.Hubs(members)
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isHub = slices.Contains(hubs, g.settings.Front) && view.PeersLoaded && !g.settling(now)
	n.isReader = n.isHub && slices.Contains(relay.Readers(hubs), g.settings.Front)
	g.chooseUpdateSource(view, hubs, now)
	m := peerMessage{
		From: g.incarnation, Crashes: g.crashes.recent(time.Now()), Leaving: g.board.toldLeaving(),
		FromHub: n.isHub, Sum: g.board.workSum(g.incarnation, time.Now()),
	}
	if n.isHub {
		m.Sum = g.hubSum(now)
		others := g.sumExcluding("", now)
		g.board.setPeerWork(others, nil, time.Now())
		g.enqueue(peerStatus{daemons: others.Daemons, work: others})
	}
	for _, front := range hubs {
		if h, ok := view.peer(front); ok && (n.isHub || front == n.hub) {
			g.sendStatus(ctx, h, m, front == n.hub, now)
		}
	}
	if n.isHub {
		return statusInterval
	}
	return max(statusInterval, time.Duration(len(members)/max(len(hubs), 1))*statusCostPerFollower)
}

// chooseUpdateSource chooses the hub that this daemon asks for news: a reader if it is a hub, none
// if it reads the store itself and the store answers it. The caller holds the lock.
func (g *Gateway) chooseUpdateSource(view *View, hubs []string, now time.Duration) {
	n, sources := &g.neighbours, hubs
	if n.isReader && now-n.topic(platform.TopicOperators).ReadAt() < maxHubReadAge {
		n.hub = ""
		return
	}
	if n.isHub {
		sources = slices.DeleteFunc(slices.Clone(relay.Readers(hubs)), func(front string) bool { return front == g.settings.Front })
	}
	g.chooseHub(relay.Order(g.settings.Front, sources, func(front string) bool {
		h, ok := view.peer(front)
		return ok && h.FailureDomain == g.settings.FailureDomain
	}), now)
}

// sendStatus sends m to the hub h, as a question for news if asks is set. The caller holds
// the lock.
func (g *Gateway) sendStatus(ctx context.Context, h heartbeat, m peerMessage, asks bool, now time.Duration) {
	n := &g.neighbours
	m.Changes = n.announcements.unsentTo(h.Incarnation)
	if !n.membershipDue(h.Incarnation, now) {
		m.Sum.Daemons = nil
	}
	if asks {
		m.PeerAddress, m.Secret, m.Timestamp, m.Offsets = g.settings.Peer, g.secret, now, make(map[string]int64)
		for _, topic := range followedTopics {
			m.Offsets[topic] = n.topic(topic).End()
		}
	}
	g.sendToPeer(ctx, h.Incarnation, h.Peer, h.Secret, m)
}

// settling returns whether this daemon has not yet had the time to get to know the others
// that started with it for the first time.
func (g *Gateway) settling(now time.Duration) bool {
	return g.settings.FirstRun && now-g.startedAt < firstRunSettle
}

// firstRunSettle is how long a daemon that starts with all others for the first time waits
// for their heartbeats before it takes itself for a hub: their spread, by the platform's
// pages, and a read.
const firstRunSettle = 1400 * time.Millisecond

// membershipDue returns whether it is time to tell a daemon who lives, and notes that it is
// told.
func (n *peerState) membershipDue(incarnation string, now time.Duration) bool {
	if n.membershipSentAt == nil {
		n.membershipSentAt = make(map[string]time.Duration)
	}
	if at, ok := n.membershipSentAt[incarnation]; ok && now-at < membershipInterval {
		return false
	}
	n.membershipSentAt[incarnation] = now
	return true
}

// chooseHub turns to the next hub when the present one does not answer. The caller
// holds the lock.
func (g *Gateway) chooseHub(order []string, now time.Duration) {
	n := &g.neighbours
	at := max(slices.Index(order, n.hub), 0)
	switch {
	case len(order) == 0:
		n.hub = ""
	case order[at] != n.hub:
		n.hub, n.followedSince, n.hubStale = order[0], now, false
	case n.hubStale || now-max(n.followedSince, n.lastUpdateAt) > hubTimeout:
		next := order[(at+1)%len(order)]
		g.logger.Warn().Str("event", "hub_lost").Str("hub", n.hub).Str("next", next).Dur("silent", now-n.lastAnswerAt).Dur("no_news", now-n.lastUpdateAt).Msg("hub does not tell what is new")
		n.hub, n.followedSince, n.hubStale = next, now, false
	case at > 0 && now-n.followedSince > hubFailbackDelay:
		n.hub, n.followedSince = order[0], now
	}
}

// topic returns what is known of a topic. The caller holds the lock.
func (n *peerState) topic(name string) *relay.Topic {
	if n.topics == nil {
		n.topics = make(map[string]*relay.Topic)
	}
	if n.topics[name] == nil {
		n.topics[name] = &relay.Topic{}
		if name == platform.TopicServers {
			n.topics[name].Same = sameEntry
		}
	}
	return n.topics[name]
}

// sameEntry returns whether two entries of a server say the same but for their sequence.
func sameEntry(id string, a, b []byte) bool {
	var (
		before, after site.Server
		err           error
	)
	// Entries that cannot be read are passed on: each daemon counts them for itself.
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
	n := &g.neighbours
	group := g.linkGroup.Load()
	if peer == "" || group == nil {
		return
	}
	if n.senders == nil {
		n.senders = make(map[string]*peerSender)
	}
	s, ok := n.senders[incarnation]
	if !ok {
		ctx, cancel := context.WithCancel(ctx)
		s = &peerSender{sender: link.NewSender[peerMessage]("ws://"+peer+link.Path, secret, g.peerClient, g.links), cancel: cancel}
		n.senders[incarnation] = s
		group.Go(ctx, "peer "+peer, s.sender.Run)
	}
	s.lastUsed = clock.Boot()
	s.sender.Send(m)
}

// closeIdleSenders ends the links that are not used any more.
func (g *Gateway) closeIdleSenders() {
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Boot()
	for incarnation, s := range n.senders {
		if now-s.lastUsed > senderIdleTimeout {
			s.cancel()
			delete(n.senders, incarnation)
		}
	}
	n.announcements.dropUnlinked(func(incarnation string) bool { _, ok := n.senders[incarnation]; return ok })
	maps.DeleteFunc(n.membershipSentAt, func(_ string, at time.Duration) bool { return now-at > senderIdleTimeout })
	for key, s := range n.lastSent {
		if now-s.at > time.Minute {
			delete(n.lastSent, key)
		}
	}
}

// closeAllSenders ends all links.
func (g *Gateway) closeAllSenders() {
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.senders {
		s.cancel()
	}
	n.senders = nil
}

// handlePeerMessage takes a message of another daemon.
func (g *Gateway) handlePeerMessage(m peerMessage) {
	now := clock.Boot()
	g.applyPeerCrashes(m)
	g.hearLeaving(m)
	if len(m.Changes) > 0 {
		g.enqueue(peerChanges{changes: m.Changes})
	}
	if len(m.Alive) > 0 {
		g.enqueue(peerProbeResult{servers: m.Alive})
	}
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
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
	n.recordPeerSum(m, now)
	if m.Offsets == nil {
		return
	}
	answer := peerMessage{From: g.incarnation, EchoTimestamp: m.Timestamp, Updates: make(map[string]relay.News)}
	if !m.FromHub {
		g.fillWork(&answer, m, now)
	}
	answer.Changes = n.announcements.unsentTo(m.From)
	answer.Crashes, answer.Leaving = g.crashes.recent(time.Now()), g.board.toldLeaving()
	for topic, have := range m.Offsets {
		if news, ok := n.updatesFor(m.From, topic, have, now); ok {
			news.ReadAt -= now
			answer.Updates[topic] = news
		}
	}
	g.sendToPeer(context.Background(), m.From, m.PeerAddress, m.Secret, answer)
}

// A sentUpdate is what a follower was sent last of a topic.
type sentUpdate struct {
	end int64
	at  time.Duration
}

// resendAfter is how long news may be on their way to a follower before they are
// sent again.
const resendAfter = time.Second

// updatesFor returns the news of topic for a follower that has it up to an offset, less
// what is on its way to it. The caller holds the lock.
func (n *peerState) updatesFor(follower, topic string, have int64, now time.Duration) (relay.News, bool) {
	if n.lastSent == nil {
		n.lastSent = make(map[string]sentUpdate)
	}
	key := follower + " " + topic
	last, ok := n.lastSent[key]
	onTheWay := ok && have >= 0 && last.end > have && now-last.at < resendAfter
	if onTheWay {
		have = last.end
	}
	news, ok := n.topic(topic).Since(have)
	oldest := maxHubReadAge
	if !n.isReader {
		oldest = maxForwardedReadAge
	}
	if !ok || now-news.ReadAt > oldest {
		return news, false
	}
	if len(news.Records) > 0 || !onTheWay {
		n.lastSent[key] = sentUpdate{end: news.End, at: now}
	}
	return news, true
}

// requestPeerProbes asks the other hubs to look at servers.
func (g *Gateway) requestPeerProbes(targets []probeTarget) {
	view := g.view.Load()
	g.neighbours.mu.Lock()
	defer g.neighbours.mu.Unlock()
	m := peerMessage{From: g.incarnation, PeerAddress: g.settings.Peer, Secret: g.secret, ProbeTargets: targets}
	asked := 0
	for _, front := range relay.Hubs(g.members(view)) {
		if h, ok := view.peer(front); ok && asked < maxPeerProbes {
			asked++
			g.sendToPeer(context.Background(), h.Incarnation, h.Peer, h.Secret, m)
		}
	}
}

// probeForPeer looks at servers for another daemon, and tells it which of them answer.
// The caller holds the lock.
func (g *Gateway) probeForPeer(m peerMessage) {
	for _, t := range m.ProbeTargets {
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			if !g.answersProbe(ctx, site.Server{ID: t.ID, Address: t.Address, Born: t.Born}) {
				return nil
			}
			g.neighbours.mu.Lock()
			defer g.neighbours.mu.Unlock()
			g.sendToPeer(context.Background(), m.From, m.PeerAddress, m.Secret, peerMessage{From: g.incarnation, PeerAddress: g.settings.Peer, Secret: g.secret, Alive: []string{t.ID}})
			return nil
		})
	}
}

// applyHubAnswer takes the answer of a hub. The caller holds the lock.
func (g *Gateway) applyHubAnswer(m peerMessage, now time.Duration) {
	n := &g.neighbours
	if !n.isHub {
		g.board.setPeerWork(m.Sum, m.OtherDomainWork, time.Now())
		g.enqueue(peerStatus{daemons: m.Sum.Daemons, work: m.Sum})
	}
	n.lastAnswerAt = now
	if len(m.Updates) == len(followedTopics) {
		n.lastUpdateAt = now
	} else if h, ok := g.view.Load().peer(n.hub); ok && h.Incarnation == m.From {
		// Another hub may reach the store.
		n.hubStale = true
	}
	for topic, news := range m.Updates {
		// What the hub read ReadAt after it had the stamp was read later than that
		// after the stamp was made.
		news.ReadAt += m.EchoTimestamp
		g.applyTopicUpdate(topic, news)
	}
}
