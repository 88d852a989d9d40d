package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// operatorsLongPoll is how long a read waits for an operator's change. A few of
	// them fit into the time after which a withdrawn key must not work.
	operatorsLongPoll = 500 * time.Millisecond
	// serversReadInterval is the time between reads of the list of servers, which
	// changes all the time: half of the servers' own interval. Whoever leads reads
	// it at leaderReads, since replicas wait for it.
	serversReadInterval = 700 * time.Millisecond
	leaderReadInterval  = 300 * time.Millisecond
	// daemonsReadInterval is the time between reads of the daemons' heartbeats.
	daemonsReadInterval = 600 * time.Millisecond
	// readTimeout bounds a read beyond the time that it may wait. A slow store
	// takes a few hundred milliseconds.
	readTimeout = 900 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = 250 * time.Millisecond
)

// followedTopics are the topics that every daemon follows.
var followedTopics = []string{platform.TopicOperators, platform.TopicServers, platform.TopicDaemons}

// A topicPage is what is new of a topic. Missed is the time since the page before it.
type topicPage struct {
	topic         string
	update        relay.News
	sincePrevious time.Duration
}

// A topicReadFailure is a read of a topic that failed.
type topicReadFailure struct {
	topic string
	err   error
}

// followOperators follows what operators ask for.
func (g *Gateway) followOperators(ctx context.Context) error {
	return g.followTopic(ctx, platform.TopicOperators, operatorsLongPoll, 0)
}

// followServers follows the list of servers.
func (g *Gateway) followServers(ctx context.Context) error {
	return g.followTopic(ctx, platform.TopicServers, 0, serversReadInterval)
}

// followDaemons follows the heartbeats of the daemons.
func (g *Gateway) followDaemons(ctx context.Context) error {
	return g.followTopic(ctx, platform.TopicDaemons, 0, daemonsReadInterval)
}

// followTopic reads topic for as long as this daemon is a hub or no hub tells it what
// is new.
func (g *Gateway) followTopic(ctx context.Context, topic string, wait, interval time.Duration) error {
	expired, failures := false, 0
	for ctx.Err() == nil {
		if !g.readsStore(topic) {
			clock.Sleep(ctx, relayCheckInterval)
			continue
		}
		sent := clock.Boot()
		g.neighbours.mu.Lock()
		next := g.neighbours.topic(topic).End()
		g.neighbours.mu.Unlock()
		var (
			page platform.Page
			err  error
		)
		whole := next < 0 || expired
		if page, err = g.readTopic(ctx, topic, next, wait, whole); err != nil {
			g.metrics.storeFailures.Add(topic, 1)
			if expired = errors.Is(err, platform.ErrExpired); !expired {
				g.enqueue(topicReadFailure{topic: topic, err: err})
			}
			failures++
			clock.Sleep(ctx, g.retryBackoff(failures))
			continue
		}
		expired, failures = false, 0
		news := relay.News{Whole: whole, From: next, End: page.End, ReadAt: sent}
		for _, r := range page.Records {
			news.Records = append(news.Records, relay.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
		}
		g.neighbours.mu.Lock()
		if topic == platform.TopicOperators {
			g.neighbours.storeReadAt = clock.Boot()
		}
		g.applyTopicUpdate(topic, news)
		g.neighbours.mu.Unlock()
		clock.Sleep(ctx, g.readInterval(topic, interval))
	}
	return nil
}

const (
	// maxHubBackoff and longestBackoff bound the pause after failed reads. Hubs
	// try for all, and every call counts, also one that fails.
	maxHubBackoff = time.Second
	maxBackoff    = 4 * time.Second
)

// retryBackoff returns the pause after a number of failed reads in a row.
func (g *Gateway) retryBackoff(failures int) time.Duration {
	longest := maxBackoff
	if g.isReader() {
		longest = maxHubBackoff
	}
	pause := min(retryInterval<<min(failures-1, 6), longest)
	return pause/2 + rand.N(pause)
}

// relayCheckInterval is the time between looks at whether the hubs still tell what is new.
const relayCheckInterval = 100 * time.Millisecond

// readsStore returns whether this daemon reads topic itself.
func (g *Gateway) readsStore(topic string) bool {
	n := &g.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Boot()
	switch {
	case n.isReader:
		return true
	case n.lastUpdateAt == 0:
		return g.readsAtStart(topic, now)
	}
	// Whether the store answers at all is found out by one topic.
	tries := topic == platform.TopicOperators || now-n.storeReadAt < storeReadTTL
	oldest := max(maxRelayedAge, time.Duration(relayedShare*float64(g.bounds().Apply)))
	return now-n.lastUpdateAt > oldest && tries
}

const (
	// firstRunHubWait is how long a daemon that starts with all others for the first time waits
	// for what the hubs tell before it reads the store itself: nobody calls yet.
	firstRunHubWait = 3 * time.Second
	// serverListHubWait is how long any other daemon that starts waits for the list of servers: a hub
	// that starts at the same time reads it, and is reached after a connection that failed
	// and one more attempt. Read by hundreds of daemons that start again together, the list
	// would take the store seconds.
	serverListHubWait = 1500 * time.Millisecond
	// maxStartupReaders is the number of daemons that may read the list of servers together when
	// they start: as many as follow one hub.
	maxStartupReaders = 30
)

// readsAtStart returns whether this daemon, which has had no news of a hub yet, reads topic
// itself.
func (g *Gateway) readsAtStart(topic string, now time.Duration) bool {
	switch {
	case topic == platform.TopicDaemons:
		return true
	case g.settings.FirstRun:
		return now-g.startedAt > firstRunHubWait
	case topic == platform.TopicServers:
		view := g.view.Load()
		return view.PeersLoaded && view.Daemons <= maxStartupReaders || now-g.startedAt > serverListHubWait
	}
	return true
}

const (
	// storeReadTTL is how long a daemon's own read of what operators ask for shows
	// that the store answers it.
	storeReadTTL = 3 * time.Second
	// isolatedReadInterval is the time between reads of a daemon that is cut off from the hubs;
	// the list of servers is read often enough for those that leave.
	isolatedReadInterval = 1100 * time.Millisecond
)

// readInterval returns the time between reads of topic: usual for a hub.
func (g *Gateway) readInterval(topic string, usual time.Duration) time.Duration {
	switch {
	case usual > 0 && !g.isReader():
		return isolatedReadInterval
	case topic == platform.TopicServers && g.term.Load() != 0:
		return leaderReadInterval
	}
	return usual
}

// applyTopicUpdate takes news of a topic that this daemon or a hub has read. The caller
// holds the neighbours' lock, so that news reach the control state in order.
func (g *Gateway) applyTopicUpdate(topic string, news relay.News) {
	t := g.neighbours.topic(topic)
	fresh, ok := t.New(news)
	if !ok {
		return
	}
	missed := news.ReadAt - t.ReadAt()
	t.Take(fresh)
	g.enqueue(topicPage{topic: topic, update: fresh, sincePrevious: missed})
}

// readTopic reads topic once: all newest records if whole is set, else those from
// next on.
func (g *Gateway) readTopic(ctx context.Context, topic string, next int64, wait time.Duration, whole bool) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	g.metrics.storeCalls.Add("read", 1)
	if whole {
		return g.store.Newest(ctx, topic)
	}
	return g.store.Read(ctx, topic, next, wait)
}
