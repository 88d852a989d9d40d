package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// relayedAge is how old the last news from a hub may be before a daemon reads the
	// store itself.
	relayedAge = 700 * time.Millisecond
	// staleAge is how old the read of a hub may be whose news it passes on: a read that
	// waited as long as it may, one more on its way, and a slow answer. With relayedAge
	// it stays below the time within which a configuration must be in force.
	staleAge = 2*operatorsWait + 300*time.Millisecond
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
	Echo time.Duration         `cbor:"6,keyasint,omitempty"`
	News map[string]relay.News `cbor:"7,keyasint,omitempty"`
	// Sum is the work of the sender, of a hub with its followers, or of all daemons
	// but the receiver.
	Sum     relay.Sum          `cbor:"8,keyasint"`
	Crashes []quarantine.Crash `cbor:"9,keyasint,omitempty"`
	// Probe asks hubs to look at servers, and Alive names those that answered.
	Probe []target `cbor:"10,keyasint,omitempty"`
	Alive []string `cbor:"11,keyasint,omitempty"`
	// Leaving names servers that said lately that they leave.
	Leaving []notice.Life `cbor:"12,keyasint,omitempty"`
}

// A target is a server to look at.
type target struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Born    int64
}

// A part is the newest sum of one daemon, or of a hub with its followers.
type part struct {
	sum relay.Sum
	at  time.Duration
	hub bool
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
}

// peerHandler takes the messages of other daemons.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, link.Accept(g.secret, g.links, g.takeMessage))
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
		clock.Sleep(ctx, interval)
	}
	g.dropAllSenders()
	stopReaping()
	return <-reaped
}

// members returns the daemons that are known, by front address.
func (g *Gateway) members(v *View) []relay.Member {
	out := []relay.Member{{Name: g.settings.Front, Strength: g.settings.Limits.CPUShare}}
	for _, h := range v.Peers {
		if !h.Leaving && h.Front != g.settings.Front {
			out = append(out, relay.Member{Name: h.Front, Strength: h.Strength})
		}
	}
	return out
}

// peer returns the daemon with the given front address.
func (v *View) peer(front string) (heartbeat, bool) {
	for _, h := range v.Peers {
		if h.Front == front {
			return h, true
		}
	}
	return heartbeat{}, false
}

// tellNeighbours sends what is due and returns when to do so next.
func (g *Gateway) tellNeighbours(ctx context.Context) time.Duration {
	view, now := g.view.Load(), clock.Boot()
	members := g.members(view)
	hubs := relay.Hubs(members)
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isHub = slices.Contains(hubs, g.settings.Front); n.isHub {
		m := message{From: g.incarnation, Sum: g.sumBelow(now), Crashes: g.board.lateCrashes(time.Now()), Leaving: g.board.toldLeaving()}
		for _, front := range hubs {
			if h, ok := view.peer(front); ok {
				g.sendTo(ctx, h.Incarnation, h.Peer, h.Secret, m)
			}
		}
		others := g.sumExcept("", now)
		g.board.setElsewhere(others, time.Now())
		g.tell(heard{daemons: others.Daemons, sum: others})
		if now-n.topic(platform.TopicOperators).ReadAt() < staleAge {
			return statusInterval
		}
		// The store may turn this hub away and answer others.
		hubs = slices.DeleteFunc(hubs, func(front string) bool { return front == g.settings.Front })
	}
	g.chooseHub(relay.Order(g.settings.Front, hubs), now)
	if h, ok := view.peer(n.hub); ok {
		m := message{
			From: g.incarnation, Peer: g.settings.Peer, Secret: g.secret, Have: make(map[string]int64), Stamp: now,
			Sum: g.board.sum(g.incarnation, time.Now()), Crashes: g.board.lateCrashes(time.Now()), Leaving: g.board.toldLeaving(),
		}
		for _, topic := range feeds {
			m.Have[topic] = n.topic(topic).End()
		}
		g.sendTo(ctx, h.Incarnation, h.Peer, h.Secret, m)
	}
	return max(statusInterval, time.Duration(len(members)/max(len(hubs), 1))*statusCost)
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
		n.hub, n.askedAt = order[0], now
	case n.dry || now-max(n.askedAt, n.newsAt) > hubTimeout:
		next := order[(at+1)%len(order)]
		g.logger.Warn().Str("event", "hub_lost").Str("hub", n.hub).Str("next", next).Dur("silent", now-n.answeredAt).Dur("no_news", now-n.newsAt).Msg("hub does not tell what is new")
		n.hub, n.askedAt, n.dry = next, now, false
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
	g.board.convicted(m.Crashes)
	g.hearLeaving(m)
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
	if n.parts == nil {
		n.parts = make(map[string]part)
	}
	n.parts[m.From] = part{sum: m.Sum, at: now, hub: m.Peer == ""}
	if m.Peer == "" {
		return
	}
	answer := message{From: g.incarnation, Echo: m.Stamp, News: make(map[string]relay.News), Sum: g.sumExcept(m.From, now)}
	answer.Crashes, answer.Leaving = g.board.lateCrashes(time.Now()), g.board.toldLeaving()
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
func (n *neighbours) newsFor(follower, topic string, have int64, now time.Duration) (relay.News, bool) {
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
	if !ok || now-news.ReadAt > staleAge {
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
	for _, front := range relay.Hubs(g.members(view)) {
		if h, ok := view.peer(front); ok {
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
	g.board.setElsewhere(m.Sum, time.Now())
	g.tell(heard{daemons: m.Sum.Daemons, sum: m.Sum})
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

// sumBelow returns the work of this daemon and its followers. The caller holds the
// lock.
func (g *Gateway) sumBelow(now time.Duration) relay.Sum {
	sum := g.board.sum(g.incarnation, time.Now())
	for _, p := range g.neighbours.parts {
		if !p.hub {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// sumExcept returns the work of all daemons but the one named, or but this one. The
// caller holds the lock.
func (g *Gateway) sumExcept(incarnation string, now time.Duration) relay.Sum {
	var sum relay.Sum
	if incarnation != "" {
		sum.Add(g.board.sum(g.incarnation, time.Now()))
	}
	for from, p := range g.neighbours.parts {
		if now-p.at > statusAge {
			delete(g.neighbours.parts, from)
			continue
		}
		if from != incarnation {
			sum.Add(p.agedTo(now))
		}
	}
	return sum
}

// agedTo returns the sum of p as of now: nothing is known of events since.
func (p part) agedTo(now time.Duration) relay.Sum {
	if now-p.at > statusAge {
		return relay.Sum{}
	}
	out := relay.Sum{Work: make(map[int64]relay.Work, len(p.sum.Work)), Asked: p.sum.Asked, Daemons: p.sum.Daemons, Traffic: p.sum.Traffic}
	for epoch, w := range p.sum.Work {
		w.Silent += now - p.at
		out.Work[epoch] = w
	}
	return out
}

// nameOf returns the number that stands for a daemon in sums.
func nameOf(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }
