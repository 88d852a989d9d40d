package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// operatorsLongPoll is how long a read of the operators' topic waits for a change. Several of
	// these reads fit into the time after which a revoked key must no longer work.
	operatorsLongPoll = 500 * time.Millisecond
	// serversReadInterval is the time between reads of the list of servers, which changes all the
	// time: half of the servers' own heartbeat interval. The leader reads it every
	// leaderReadInterval, since replicas wait for it.
	serversReadInterval = 700 * time.Millisecond
	leaderReadInterval  = 300 * time.Millisecond
	// daemonsReadInterval is the time between reads of the daemons' heartbeats.
	daemonsReadInterval = 600 * time.Millisecond
	// readTimeout bounds a read in addition to its long poll, and each page of a listing. A slow store takes a few hundred
	// milliseconds.
	readTimeout = 900 * time.Millisecond
	// retryInterval is the initial pause after a failed call to the store.
	retryInterval = 250 * time.Millisecond
)

// followedTopics are the topics that every daemon follows.
var followedTopics = []string{platform.TopicOperators, platform.TopicServers, platform.TopicDaemons}

// A topicPage is an update of a topic. sincePrevious is the time between its read and the one
// before.
type topicPage struct {
	topic  string
	update relay.Update
	// from is the incarnation of the hub that sent the update; empty if this daemon read the store.
	from          string
	sincePrevious time.Duration
	// endBefore is the end of the copy of the topic before the update, and comparable means that there was one and that its
	// offsets are of the same era. restored means that the update is the first one after the store came back from a copy.
	endBefore  int64
	comparable bool
	restored   bool
}

// A topicReadFailure reports that a read of a topic failed.
type topicReadFailure struct {
	topic string
	err   error
}

// followOperators follows the operators' topic.
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

// followTopic reads topic for as long as this daemon is a reader or no hub sends it updates.
func (g *Gateway) followTopic(ctx context.Context, topic string, wait, interval time.Duration) error {
	expired, failures := false, 0
	for ctx.Err() == nil {
		if !g.readsStore(topic) {
			clock.Sleep(ctx, relayCheckInterval)
			continue
		}
		sent := clock.Boot()
		g.peers.mu.Lock()
		next, era := g.peers.topic(topic).End(), g.peers.topic(topic).Era()
		g.peers.mu.Unlock()
		var (
			page platform.Page
			err  error
		)
		whole := next < 0 || expired || era != 0 && g.store.Era() > era
		if page, err = g.readTopic(ctx, topic, next, wait, whole); err != nil {
			g.metrics.storeFailures.Add(topic, 1)
			if expired = errors.Is(err, platform.ErrExpired); !expired {
				g.enqueue(topicReadFailure{topic: topic, err: err})
			}
			failures++
			g.recordRead(topic, err)
			clock.Sleep(ctx, g.retryBackoff(failures))
			continue
		}
		g.recordRead(topic, nil)
		expired, failures = false, 0
		if !whole && era != 0 && page.Era > era {
			// The offset was one of the era before, so the records after it are not those that follow the copy.
			continue
		}
		update := relay.Update{Whole: whole, From: next, End: page.End, Era: page.Era, ReadAt: sent, Records: relayRecords(topic, page)}
		g.peers.mu.Lock()
		if topic == platform.TopicOperators {
			g.peers.storeReadAt = clock.Boot()
		}
		if page.Partial {
			// Later records are unread, so the read confirms nothing as of its time.
			update.ReadAt = min(sent, g.peers.topic(topic).ReadAt())
		}
		g.applyTopicUpdate(topic, "", update)
		g.peers.mu.Unlock()
		if !page.Partial || page.End <= next {
			clock.Sleep(ctx, g.readInterval(topic, interval))
		}
	}
	return nil
}

// relayRecords returns the records of a page of topic. Of an entry that is too large for a server only the
// beginning is kept, so that it fits into messages to other daemons, which refuse it as well.
func relayRecords(topic string, page platform.Page) []relay.Record {
	var out []relay.Record
	for _, r := range page.Records {
		if topic == platform.TopicServers && len(r.Value) > platform.MaxEntryBytes {
			r.Value = slices.Clone(r.Value[:platform.MaxEntryBytes+1])
		}
		out = append(out, relay.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return out
}

const (
	// maxHubBackoff and maxBackoff bound the pause after failed reads. Hubs read for all daemons,
	// so theirs is shorter; every call to the store counts, even a failed one.
	maxHubBackoff = time.Second
	maxBackoff    = 4 * time.Second
)

// retryBackoff returns the pause after a number of consecutive failed reads.
func (g *Gateway) retryBackoff(failures int) time.Duration {
	longest := maxBackoff
	if g.isReader() {
		longest = maxHubBackoff
	}
	pause := min(retryInterval<<min(failures-1, 6), longest)
	return pause/2 + rand.N(pause)
}

// relayCheckInterval is the time between checks whether the hubs still send updates.
const relayCheckInterval = 100 * time.Millisecond

// readsStore returns whether this daemon reads topic from the store itself.
func (g *Gateway) readsStore(topic string) bool {
	ps := &g.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := clock.Boot()
	switch {
	case ps.isReader:
		return true
	case ps.lastUpdateAt == 0:
		return g.readsAtStart(topic, now)
	}
	// Only the operators' topic is read to find out whether the store answers at all.
	mayTry := topic == platform.TopicOperators || now-ps.storeReadAt < storeReadTTL
	maxAge := max(maxRelayedAge, time.Duration(relayedShare*float64(g.bounds().Apply)))
	return now-ps.lastUpdateAt > maxAge && mayTry
}

const (
	// firstRunHubWait is how long a daemon that starts with all others for the first time waits for
	// updates from the hubs before it reads the store itself: callers send no requests yet.
	firstRunHubWait = 3 * time.Second
	// serverListHubWait is how long any other daemon that starts waits for a hub to send the list
	// of servers: a hub that starts at the same time reads it, and is reached after one failed
	// connection and another attempt. If hundreds of daemons that restart together read the list,
	// the store would need seconds.
	serverListHubWait = 1500 * time.Millisecond
	// maxStartupReaders is the number of daemons up to which all may read the list of servers when
	// they start: as many as follow one hub.
	maxStartupReaders = 30
)

// readsAtStart returns whether this daemon, which has received no updates from a hub yet, reads
// topic from the store itself.
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
	// storeReadTTL is how long this daemon's own read of the operators' topic shows that the store
	// answers it.
	storeReadTTL = 3 * time.Second
	// isolatedReadInterval is the time between reads of a daemon that is cut off from the hubs:
	// short enough to see in the list of servers which ones are leaving.
	isolatedReadInterval = 1100 * time.Millisecond
)

// readInterval returns the time between reads of topic. usual is that of a reader, but the leader
// reads the list of servers more often.
func (g *Gateway) readInterval(topic string, usual time.Duration) time.Duration {
	switch {
	case usual > 0 && !g.isReader():
		return isolatedReadInterval
	case topic == platform.TopicServers && g.term.Load() != 0:
		return leaderReadInterval
	}
	return usual
}

// applyTopicUpdate applies an update of a topic that this daemon, or the hub of the incarnation from, has read. The caller
// holds the lock of the peer state, so that updates reach the controller in order.
func (g *Gateway) applyTopicUpdate(topic, from string, update relay.Update) {
	if page, ok := g.peers.applyUpdate(topic, from, update); ok {
		g.enqueue(page)
	} else if update.Whole {
		g.metrics.events.Add("listings_dropped", 1)
	}
}

// applyUpdate applies update to the copy of topic and returns what it adds. It returns false if the update is older than
// the copy, or does not continue it. The caller holds the lock.
func (ps *peerState) applyUpdate(topic, from string, update relay.Update) (topicPage, bool) {
	t := ps.topic(topic)
	fresh, ok := t.Unseen(update)
	if !ok {
		return topicPage{}, false
	}
	page := topicPage{topic: topic, update: fresh, from: from, sincePrevious: update.ReadAt - t.ReadAt(), endBefore: t.End()}
	page.comparable = page.endBefore >= 0 && fresh.Era == t.Era()
	t.Apply(fresh)
	return page, true
}

// readTopic reads topic once: the newest record of each key if whole is set, otherwise the records
// from next on.
func (g *Gateway) readTopic(ctx context.Context, topic string, next int64, wait time.Duration, whole bool) (platform.Page, error) {
	g.metrics.storeCalls.Add("read", 1)
	if whole {
		return g.store.Newest(ctx, topic)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return g.store.Read(ctx, topic, next, wait)
}
