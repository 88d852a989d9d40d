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
	// statusCost is the time that a hub takes over one follower at most, so that many
	// followers do not use up its processor.
	statusCost = 8 * time.Millisecond
	// statusAge is how old what a daemon told may be to count: several statuses.
	statusAge = 1200 * time.Millisecond
	// hubTimeout is how long a hub may be without an answer before its followers
	// turn to the next one.
	hubTimeout = 700 * time.Millisecond
	// relayedAge is how old the last news from a hub may be at least before a daemon reads
	// the store itself; relayedShare is the same as a part of the time within which a
	// configuration must be in force. The rest is for the read that brought the last news
	// and for its own.
	relayedAge   = 700 * time.Millisecond
	relayedShare = 0.35
	// staleAge is how old the read of a hub may be whose news it passes on: a read that
	// waited as long as it may, one more on its way, and a slow answer. With relayedAge
	// it stays below the time within which a configuration must be in force.
	staleAge = 2*operatorsWait + 300*time.Millisecond
	// passedOnAge is the same for the news that a hub has from another one: one message more.
	passedOnAge = staleAge + 2*statusInterval
	// daemonsTold is the time between two messages that name the daemons that live, and
	// that tell of replicas in other failure domains; namedAge is how long that counts.
	daemonsTold = 500 * time.Millisecond
	namedAge    = 3 * daemonsTold
	// hubReturn is how long a daemon follows a hub of another failure domain before it
	// tries those of its own again.
	hubReturn = 5 * time.Second
	// secondOpinions is the number of other hubs that are asked to look at a server.
	secondOpinions = 2
	// senderIdle is how long an unused link is kept.
	senderIdle = 5 * time.Second
)

// A message is what daemons tell each other directly: a follower its hub, a hub its
// followers and the other hubs.
type message struct {
	From string `cbor:"1,keyasint"`
	// Peer and Secret are where and how to answer. A daemon that asks to be told sets
	// Have, the offset from which it wants news of each topic, and Stamp, its clock.
	Peer   string           `cbor:"2,keyasint,omitempty"`
	Secret string           `cbor:"3,keyasint,omitempty"`
	Have   map[string]int64 `cbor:"4,keyasint,omitempty"`
	Stamp  time.Duration    `cbor:"5,keyasint,omitempty"`
	// Echo is the stamp that an answer is for. The news of an answer were read at
	// ReadAt after the hub had that stamp.
	Echo time.Duration           `cbor:"6,keyasint,omitempty"`
	News map[string]relay.Update `cbor:"7,keyasint,omitempty"`
	// Sum is the work of the sender, of a hub with its followers, or of all daemons
	// but the receiver.
	Sum     relay.Summary      `cbor:"8,keyasint"`
	Crashes []quarantine.Crash `cbor:"9,keyasint,omitempty"`
	// Probe asks hubs to look at servers, and Alive names those that answered.
	Probe []target `cbor:"10,keyasint,omitempty"`
	Alive []string `cbor:"11,keyasint,omitempty"`
	// Leaving names servers that said lately that they leave.
	Leaving []notice.Life `cbor:"12,keyasint,omitempty"`
	// Hub means that Sum is the work of a hub with its followers.
	Hub bool `cbor:"13,keyasint,omitempty"`
	// Far is the work at replicas of other failure domains, told now and then.
	Far map[int64]relay.ReplicaLoad `cbor:"14,keyasint,omitempty"`
	// Changes are replicas that began or ended to serve, each told once.
	Changes []change `cbor:"15,keyasint,omitempty"`
}

// A target is a server to look at.
type target struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Born    int64
}

// A usedSender is a link and when it was last used.
type usedSender struct {
	sender *link.Sender[message]
	cancel context.CancelFunc
	used   time.Duration
}

// neighbours are the daemons that this one has links with. The zero value has none.
type neighbours struct {
	mu      sync.Mutex
	topics  map[string]*relay.Topic
	parts   map[string]part
	senders map[string]*usedSender
	// sent is what followers were sent last, by follower and topic.
	sent map[string]sentNews
	// hub is the front address of the hub that this daemon follows, askedAt when it
	// turned to it, and newsAt when the last news came.
	hub     string
	askedAt time.Duration
	// dry means that the hub answered without news.
	dry    bool
	newsAt time.Duration
	// answeredAt is when a hub last answered, with news or without, and readAt when
	// this daemon last read what operators ask for itself.
	answeredAt time.Duration
	readAt     time.Duration
	isHub      bool
	// isReader means that this daemon is one of the hubs that read the store.
	isReader bool
	// namedAt is when each other daemon was last told who lives.
	namedAt   map[string]time.Duration
	announced announcements
}

// peerHandler takes the messages of other daemons.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	present := link.Accept(g.secret, g.links, g.takeMessage)
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		if former := g.formerSecret.Load(); former != nil && link.Authorised(r, *former) {
			g.metrics.events.Add("peers_by_former_heartbeat", 1)
			link.Accept(*former, g.links, g.takeMessage).ServeHTTP(w, r)
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
		interval := g.tellNeighbours(ctx)
		g.dropSenders()
		sleep(ctx, interval, g.tellNow)
	}
	g.dropAllSenders()
	stopReaping()
	return <-reaped
}

// members returns the daemons that are known, by front address.
func (g *Gateway) members(v *View) []relay.Member {
	out := []relay.Member{{Name: g.settings.Front, FailureDomain: g.settings.FailureDomain, CPUShare: g.settings.Limits.CPUShare}}
	for _, h := range v.Peers {
		if !h.Leaving && h.Front != g.settings.Front {
			out = append(out, relay.Member{Name: h.Front, FailureDomain: h.Zone, CPUShare: h.Strength})
		}
	}
	return out
}

// peer returns the daemon with the given front address.
func (v *View) peer(front string) (heartbeat, bool) {
	h, ok := v.Peers[v.Incarnations[front]]
	return h, ok
}

// tellNeighbours sends what is due and returns when to do so next.
func (g *Gateway) tellNeighbours(ctx context.Context) time.Duration {
	view, now := g.view.Load(), clock.Boot()
	members := g.members(view)
	hubs := relay.Hubs(members)
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isHub = slices.Contains(hubs, g.settings.Front) && view.Acquainted && !g.settling(now)
	n.isReader = n.isHub && slices.Contains(relay.StoreReaders(hubs), g.settings.Front)
	g.chooseSource(view, hubs, now)
	m := message{
		From: g.incarnation, Crashes: g.crashes.late(time.Now()), Leaving: g.board.toldLeaving(),
		Hub: n.isHub, Sum: g.board.sum(g.incarnation, time.Now()),
	}
	if n.isHub {
		m.Sum = g.sumBelow(now)
		others := g.sumExcept("", now)
		g.board.setElsewhere(others, nil, time.Now())
		g.tell(heard{daemons: others.Daemons, sum: others})
	}
	for _, front := range hubs {
		if h, ok := view.peer(front); ok && (n.isHub || front == n.hub) {
			g.sendStatus(ctx, h, m, front == n.hub, now)
		}
	}
	if n.isHub {
		return statusInterval
	}
	return max(statusInterval, time.Duration(len(members)/max(len(hubs), 1))*statusCost)
}

// chooseSource chooses the hub that this daemon asks for news: a reader if it is a hub, none
// if it reads the store itself and the store answers it. The caller holds the lock.
func (g *Gateway) chooseSource(view *View, hubs []string, now time.Duration) {
	n, sources := &g.neighbours, hubs
	if n.isReader && now-n.topic(platform.TopicOperators).ReadAt() < staleAge {
		n.hub = ""
		return
	}
	if n.isHub {
		sources = slices.DeleteFunc(slices.Clone(relay.StoreReaders(hubs)), func(front string) bool { return front == g.settings.Front })
	}
	g.chooseHub(relay.HubOrder(g.settings.Front, sources, func(front string) bool {
		h, ok := view.peer(front)
		return ok && h.Zone == g.settings.FailureDomain
	}), now)
}

// sendStatus sends m to the hub h, as a question for news if asks is set. The caller holds
// the lock.
func (g *Gateway) sendStatus(ctx context.Context, h heartbeat, m message, asks bool, now time.Duration) {
	n := &g.neighbours
	m.Changes = n.announced.since(h.Incarnation)
	if !n.namesDaemons(h.Incarnation, now) {
		m.Sum.Daemons = nil
	}
	if asks {
		m.Peer, m.Secret, m.Stamp, m.Have = g.settings.Peer, g.secret, now, make(map[string]int64)
		for _, topic := range feeds {
			m.Have[topic] = n.topic(topic).End()
		}
	}
	g.sendTo(ctx, h.Incarnation, h.Peer, h.Secret, m)
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

// namesDaemons returns whether it is time to tell a daemon who lives, and notes that it is
// told.
func (n *neighbours) namesDaemons(incarnation string, now time.Duration) bool {
	if n.namedAt == nil {
		n.namedAt = make(map[string]time.Duration)
	}
	if at, ok := n.namedAt[incarnation]; ok && now-at < daemonsTold {
		return false
	}
	n.namedAt[incarnation] = now
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
		n.hub, n.askedAt, n.dry = order[0], now, false
	case n.dry || now-max(n.askedAt, n.newsAt) > hubTimeout:
		next := order[(at+1)%len(order)]
		g.logger.Warn().Str("event", "hub_lost").Str("hub", n.hub).Str("next", next).Dur("silent", now-n.answeredAt).Dur("no_news", now-n.newsAt).Msg("hub does not tell what is new")
		n.hub, n.askedAt, n.dry = next, now, false
	case at > 0 && now-n.askedAt > hubReturn:
		n.hub, n.askedAt = order[0], now
	}
}

// topic returns what is known of a topic. The caller holds the lock.
func (n *neighbours) topic(name string) *relay.Topic {
	if n.topics == nil {
		n.topics = make(map[string]*relay.Topic)
	}
	if n.topics[name] == nil {
		n.topics[name] = &relay.Topic{}
		if name == platform.TopicServers {
			n.topics[name].Equal = sameEntry
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
	return same(before, after)
}

// sendTo sends m to a daemon. The caller holds the lock.
func (g *Gateway) sendTo(ctx context.Context, incarnation, peer, secret string, m message) {
	n := &g.neighbours
	group := g.linkGroup.Load()
	if peer == "" || group == nil {
		return
	}
	if n.senders == nil {
		n.senders = make(map[string]*usedSender)
	}
	s, ok := n.senders[incarnation]
	if !ok {
		ctx, cancel := context.WithCancel(ctx)
		s = &usedSender{sender: link.NewSender[message]("ws://"+peer+link.Path, secret, g.peerClient, g.links), cancel: cancel}
		n.senders[incarnation] = s
		group.Go(ctx, "peer "+peer, s.sender.Run)
	}
	s.used = clock.Boot()
	s.sender.Send(m)
}

// dropSenders ends the links that are not used any more.
func (g *Gateway) dropSenders() {
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Boot()
	for incarnation, s := range n.senders {
		if now-s.used > senderIdle {
			s.cancel()
			delete(n.senders, incarnation)
		}
	}
	n.announced.forget(func(incarnation string) bool { _, ok := n.senders[incarnation]; return ok })
	maps.DeleteFunc(n.namedAt, func(_ string, at time.Duration) bool { return now-at > senderIdle })
	for key, s := range n.sent {
		if now-s.at > time.Minute {
			delete(n.sent, key)
		}
	}
}

// dropAllSenders ends all links.
func (g *Gateway) dropAllSenders() {
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.senders {
		s.cancel()
	}
	n.senders = nil
}

// takeMessage takes a message of another daemon.
func (g *Gateway) takeMessage(m message) {
	now := clock.Boot()
	g.hearCrashes(m)
	g.hearLeaving(m)
	if len(m.Changes) > 0 {
		g.tell(replicasChange{changes: m.Changes})
	}
	if len(m.Alive) > 0 {
		g.tell(aliveElsewhere{servers: m.Alive})
	}
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(m.Probe) > 0 {
		g.probeFor(m)
		return
	}
	if m.Echo != 0 {
		g.takeNews(m, now)
		return
	}
	if len(m.Alive) > 0 {
		return
	}
	n.takePart(m, now)
	if m.Have == nil {
		return
	}
	answer := message{From: g.incarnation, Echo: m.Stamp, News: make(map[string]relay.Update)}
	if !m.Hub {
		g.tellWork(&answer, m, now)
	}
	answer.Changes = n.announced.since(m.From)
	answer.Crashes, answer.Leaving = g.crashes.late(time.Now()), g.board.toldLeaving()
	for topic, have := range m.Have {
		if news, ok := n.newsFor(m.From, topic, have, now); ok {
			news.ReadAt -= now
			answer.News[topic] = news
		}
	}
	g.sendTo(context.Background(), m.From, m.Peer, m.Secret, answer)
}

// A sentNews is what a follower was sent last of a topic.
type sentNews struct {
	end int64
	at  time.Duration
}

// resendAfter is how long news may be on their way to a follower before they are
// sent again.
const resendAfter = time.Second

// newsFor returns the news of topic for a follower that has it up to an offset, less
// what is on its way to it. The caller holds the lock.
func (n *neighbours) newsFor(follower, topic string, have int64, now time.Duration) (relay.Update, bool) {
	if n.sent == nil {
		n.sent = make(map[string]sentNews)
	}
	key := follower + " " + topic
	last, ok := n.sent[key]
	onTheWay := ok && have >= 0 && last.end > have && now-last.at < resendAfter
	if onTheWay {
		have = last.end
	}
	news, ok := n.topic(topic).Since(have)
	oldest := staleAge
	if !n.isReader {
		oldest = passedOnAge
	}
	if !ok || now-news.ReadAt > oldest {
		return news, false
	}
	if len(news.Records) > 0 || !onTheWay {
		n.sent[key] = sentNews{end: news.End, at: now}
	}
	return news, true
}

// askHubs asks the other hubs to look at servers.
func (g *Gateway) askHubs(targets []target) {
	view := g.view.Load()
	g.neighbours.mu.Lock()
	defer g.neighbours.mu.Unlock()
	m := message{From: g.incarnation, Peer: g.settings.Peer, Secret: g.secret, Probe: targets}
	asked := 0
	for _, front := range relay.Hubs(g.members(view)) {
		if h, ok := view.peer(front); ok && asked < secondOpinions {
			asked++
			g.sendTo(context.Background(), h.Incarnation, h.Peer, h.Secret, m)
		}
	}
}

// probeFor looks at servers for another daemon, and tells it which of them answer.
// The caller holds the lock.
func (g *Gateway) probeFor(m message) {
	for _, t := range m.Probe {
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			if !g.answers(ctx, site.Server{ID: t.ID, Address: t.Address, Born: t.Born}) {
				return nil
			}
			g.neighbours.mu.Lock()
			defer g.neighbours.mu.Unlock()
			g.sendTo(context.Background(), m.From, m.Peer, m.Secret, message{From: g.incarnation, Peer: g.settings.Peer, Secret: g.secret, Alive: []string{t.ID}})
			return nil
		})
	}
}

// takeNews takes the answer of a hub. The caller holds the lock.
func (g *Gateway) takeNews(m message, now time.Duration) {
	n := &g.neighbours
	if !n.isHub {
		g.board.setElsewhere(m.Sum, m.Far, time.Now())
		g.tell(heard{daemons: m.Sum.Daemons, sum: m.Sum})
	}
	n.answeredAt = now
	if len(m.News) == len(feeds) {
		n.newsAt = now
	} else if h, ok := g.view.Load().peer(n.hub); ok && h.Incarnation == m.From {
		// Another hub may reach the store.
		n.dry = true
	}
	for topic, news := range m.News {
		// What the hub read ReadAt after it had the stamp was read later than that
		// after the stamp was made.
		news.ReadAt += m.Echo
		g.takeFeed(topic, news)
	}
}
