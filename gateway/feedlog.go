package gateway

import (
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// hubLostLogInterval is the least time between two log lines of a daemon that turns from hub to hub.
const hubLostLogInterval = time.Second

// A topicFeed is what is known of this daemon's reads of a topic from the store, for log lines. The zero value has no
// reads.
type topicFeed struct {
	// failure is the error of the last read that failed, at failedAt. It is empty after a read that succeeded.
	failure  string
	failedAt time.Duration
	// staleSince is when this daemon, as a hub, first had no update to give; zero while it has one.
	staleSince time.Duration
}

// feed returns what is known of the reads of topic. The caller holds the lock.
func (ps *peerState) feed(topic string) *topicFeed {
	if ps.feeds == nil {
		ps.feeds = make(map[string]*topicFeed)
	}
	if ps.feeds[topic] == nil {
		ps.feeds[topic] = &topicFeed{}
	}
	return ps.feeds[topic]
}

// recordRead records the result of a read of topic from the store.
func (g *Gateway) recordRead(topic string, err error) {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	f := g.peers.feed(topic)
	if f.failure = ""; err != nil {
		f.failure, f.failedAt = err.Error(), clock.Boot()
	}
}

// recordFeed records whether this daemon has an update of topic for a follower, and logs when that changes. The caller
// holds the lock.
func (g *Gateway) recordFeed(topic string, fresh bool, now time.Duration) {
	ps := &g.peers
	f := ps.feed(topic)
	if fresh == (f.staleSince == 0) {
		return
	}
	line := g.logger.Info().Str("event", "topic_fresh").Dur("stale", now-f.staleSince)
	message := "hub has updates for its followers again"
	if !fresh {
		line, message = g.logger.Warn().Str("event", "topic_stale"), "hub has no recent read to answer its followers from"
		g.metrics.events.Add("topics_stale", 1)
	}
	t := ps.topic(topic)
	line = withAge(line.Str("topic", topic).Int64("end", t.End()), "read_age", now, t.ReadAt())
	if f.failure != "" {
		line = withAge(line.Str("read_failure", f.failure), "failed", now, f.failedAt)
	}
	line.Msg(message)
	if f.staleSince = 0; !fresh {
		f.staleSince = now
	}
}

// recordMissingTopics records which topics the answer of a hub lacks, and logs when they change. The caller holds the
// lock.
func (g *Gateway) recordMissingTopics(m peerMessage) {
	var missing []string
	for _, topic := range followedTopics {
		if _, ok := m.Updates[topic]; !ok {
			missing = append(missing, topic)
		}
	}
	if slices.Equal(missing, g.peers.missingTopics) {
		return
	}
	g.peers.missingTopics = missing
	g.logger.Info().Str("event", "hub_topics").Str("peer", m.From).Strs("missing", missing).Msg("hubs answer without updates of these topics")
}

// logHubLost logs that this daemon turns from its hub to next, at most once in hubLostLogInterval. The caller holds the
// lock.
func (g *Gateway) logHubLost(next string, now time.Duration) {
	ps := &g.peers
	g.metrics.events.Add("hubs_lost", 1)
	ps.hubTurns++
	if ps.hubLostLoggedAt != 0 && now-ps.hubLostLoggedAt < hubLostLogInterval {
		return
	}
	line := withAge(g.logger.Warn().Str("event", "hub_lost").Str("hub", ps.hub).Str("next", next).Int("turns", ps.hubTurns).
		Strs("missing", ps.missingTopics), "silent", now, ps.lastAnswerAt)
	withAge(line, "no_news", now, ps.lastUpdateAt).Msg("hub sends no updates; following the next one")
	ps.hubTurns, ps.hubLostLoggedAt = 0, now
}
