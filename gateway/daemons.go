package gateway

import (
	"maps"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/presence"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
)

// An evidence is what shows that another daemon is alive.
type evidence string

const (
	// byHeartbeat is a heartbeat that followed those read before, byListing one in a listing of the newest of all daemons,
	// which may be old, byHub a hub's list of the daemons that send statuses, and byOutage the end of an outage of the
	// store, in which no daemon could write heartbeats.
	byHeartbeat evidence = "heartbeat"
	byListing   evidence = "listing"
	byHub       evidence = "hub"
	byOutage    evidence = "outage"
)

// maxLoggedDaemons bounds the names in one log line about daemons.
const maxLoggedDaemons = 16

// foundDaemons are the daemons that one update of the heartbeats adds to the known ones.
type foundDaemons struct {
	// names holds the first maxLoggedDaemons of count daemons.
	names []string
	count int
	// outdated is the number of heartbeats of daemons that ended a while ago, and repeated the number of those that were
	// known before.
	outdated, repeated int
}

// add adds the daemon of the heartbeat h.
func (f *foundDaemons) add(h heartbeat) {
	if f.count++; len(f.names) < maxLoggedDaemons {
		f.names = append(f.names, h.Daemon)
	}
}

// logFoundDaemons logs which daemons an update of the heartbeats added, and why: one line for each listing, and one for
// each other update that added any.
func (c *controller) logFoundDaemons(now time.Duration, m topicPage, f foundDaemons) {
	c.gateway.metrics.events.Add("heartbeats_outdated", int64(f.outdated))
	c.gateway.metrics.events.Add("heartbeats_repeated", int64(f.repeated))
	if f.count == 0 && !m.update.Whole {
		return
	}
	by := byHeartbeat
	if m.update.Whole {
		by = byListing
	}
	line := c.gateway.logger.Info().Str("event", "daemons_found").Strs("peers", f.names).Int("found", f.count).Str("by", string(by)).
		Str("from", c.daemonName(m.from)).Int("records", len(m.update.Records)).Int("outdated", f.outdated).Int("repeated", f.repeated).
		Int64("era", m.update.Era).Int64("end", m.update.End).Dur("age", now-m.update.ReadAt)
	if m.endBefore >= 0 {
		line = line.Int64("end_before", m.endBefore).Dur("since_previous", m.sincePrevious)
	}
	line.Msg("heartbeats of daemons that were not known to be alive")
}

// daemonName returns the name of the daemon with an incarnation, the incarnation itself if the daemon is not known, and
// "store" if there is none.
func (c *controller) daemonName(incarnation string) string {
	if incarnation == "" {
		return "store"
	}
	for _, p := range c.daemons {
		if p.Heartbeat.Incarnation == incarnation {
			return p.Heartbeat.Daemon
		}
	}
	return incarnation
}

// applyHeartbeats applies heartbeats of daemons.
func (c *controller) applyHeartbeats(now time.Duration, m topicPage) {
	if m.sincePrevious > storeOutageThreshold {
		// Daemons could not write heartbeats during the outage either. Those that no hub has heard since may be gone.
		for key, p := range c.daemons {
			if at := presenceTimeouts.SeenAfterOutage(now, p.LastSeenAt); at > p.LastSeenAt {
				p.LastSeenAt, p.LastSeenBy = at, byOutage
				c.daemons[key] = p
			}
		}
	}
	var found foundDaemons
	for _, r := range m.update.Records {
		if len(r.Value) == 0 {
			continue
		}
		var (
			h   heartbeat
			err error
		)
		if h, err = decodeHeartbeat(r.Key, r.Value); err != nil {
			c.logBrokenHeartbeat(r, err)
			continue
		}
		c.applyHeartbeat(now, m, r, h, &found)
	}
	c.leadership.heartbeatsReadAt = m.update.ReadAt
	c.logFoundDaemons(now, m, found)
}

// applyHeartbeat applies the heartbeat h, the record r of m.
func (c *controller) applyHeartbeat(now time.Duration, m topicPage, r relay.Record, h heartbeat, found *foundDaemons) {
	read := m.heartbeatRead()
	sign, own := read.Sign(r.Offset), h.Incarnation == c.gateway.incarnation
	if p, ok := c.dropped[r.Key]; ok && sign != presence.New && p.Heartbeat.Incarnation == h.Incarnation {
		// A copy of the store, whose offsets say nothing, has the heartbeat of before it was dropped.
		sign = presence.Repeated
	}
	if sign == presence.Repeated {
		found.repeated++
		return
	}
	if !own {
		c.gateway.learnFindings(h)
	}
	old, known := c.daemons[r.Key]
	delete(c.dropped, r.Key)
	if sign != presence.New && known {
		// What is known may be newer, and the daemon soon writes again.
		c.leadership.candidate.ObserveHeartbeat(now, h.Term, false)
		return
	}
	c.detectRestart(now, old.Heartbeat, h)
	if h.Front == c.gateway.settings.Front && !own {
		c.gateway.previousSecret.CompareAndSwap(nil, &h.Secret)
	}
	if sign == presence.Outdated {
		found.outdated++
		return
	}
	if !known || old.Heartbeat.Incarnation != h.Incarnation {
		found.add(h)
	}
	if sign == presence.Undated && !own {
		c.daemons[r.Key] = Peer{Heartbeat: h, LastSeenAt: presenceTimeouts.SeenAtUndated(now), LastSeenBy: byListing}
		c.dirty = true
		return
	}
	if !own {
		c.leadership.candidate.ObserveHeartbeat(now, h.Term, h.Leaving)
	}
	c.daemons[r.Key] = Peer{Heartbeat: h, LastSeenAt: presenceTimeouts.SeenAt(now, read), LastSeenBy: byHeartbeat}
	c.dirty = c.dirty || !known || old.Heartbeat.Incarnation != h.Incarnation || old.Heartbeat.Ready != h.Ready
}

// presenceTimeouts are how long a daemon counts as alive. A heartbeat of unknown age is followed by another one within one
// and a half intervals in a small fleet, and by a hub's list of live daemons in a large one. Alive, Lag and a tick stay below the 6 s
// after which the platform documents that callers must no longer be sent to a daemon that has ended; Outage and a reader's
// longest pause stay below the 3 s after an outage of the store from which that holds. Hubs list the live daemons twice in Outage.
var presenceTimeouts = presence.Timeouts{
	Alive: peerTimeout, Undated: heartbeatInterval * 3 / 2, Lag: 2200 * time.Millisecond, Outage: 1200 * time.Millisecond,
}

// extraLeaderHeartbeats is the number of heartbeats that the leader writes beyond one in the interval
// of the others.
const extraLeaderHeartbeats = int64(heartbeatInterval / leaderInterval)

// heartbeatRead returns what m, an update of the heartbeats, says of their age.
func (m topicPage) heartbeatRead() presence.Read {
	return presence.Read{
		Listing: m.update.Whole, Comparable: m.comparable, EndBefore: m.endBefore, PreviousAt: m.update.ReadAt - m.sincePrevious,
		End: m.update.End, Round: int64(len(m.update.Records)) + extraLeaderHeartbeats,
	}
}

// detectRestart compares the heartbeat h of a daemon with the one before, old. A new incarnation
// proves that the previous one has ended, and with it the term that it may have led. For this
// daemon itself, a heartbeat of another incarnation is enough proof.
func (c *controller) detectRestart(now time.Duration, old, h heartbeat) {
	ended := old
	if h.Front == c.gateway.settings.Front && h.Incarnation != c.gateway.incarnation {
		ended = h
	} else if old.Incarnation == h.Incarnation {
		return
	}
	c.leadership.candidate.ObserveHeartbeat(now, ended.Term, true)
}

// A peerStatus lists the daemons that hubs receive messages from, and the work of all of them.
type peerStatus struct {
	daemons []uint64
	summary relay.Summary
}

// applyPeerStatus refreshes the daemons that are alive, takes up those that had been dropped, records the work of all, and
// probes the replicas that have stalled for other daemons.
func (c *controller) applyPeerStatus(now time.Duration, m peerStatus) {
	c.peerSummary = m.summary
	alive := make(map[uint64]bool, len(m.daemons))
	for _, name := range m.daemons {
		alive[name] = true
	}
	// The list may be that old.
	seenAt := now - membershipInterval
	for key, p := range c.daemons {
		if alive[daemonID(p.Heartbeat.Incarnation)] && seenAt > p.LastSeenAt {
			p.LastSeenAt, p.LastSeenBy = seenAt, byHub
			c.daemons[key] = p
		}
	}
	c.takeUpDropped(seenAt, alive)
	for epoch, w := range m.summary.Loads {
		if w.Stalled > 0 {
			c.probeEpoch(now, epoch)
		}
	}
}

// takeUpDropped takes up the daemons that had been dropped and are alive according to a hub's list of seenAt: they were
// suspended or cut off, and in a large fleet their next heartbeat may be a minute away.
func (c *controller) takeUpDropped(seenAt time.Duration, alive map[uint64]bool) {
	var found foundDaemons
	for key, p := range c.dropped {
		if _, known := c.daemons[key]; known || !alive[daemonID(p.Heartbeat.Incarnation)] || seenAt <= p.LastSeenAt {
			continue
		}
		found.add(p.Heartbeat)
		p.LastSeenAt, p.LastSeenBy = seenAt, byHub
		c.daemons[key] = p
		delete(c.dropped, key)
		c.dirty = true
	}
	if found.count > 0 {
		c.gateway.logger.Info().Str("event", "daemons_found").Strs("peers", found.names).Int("found", found.count).Str("by", string(byHub)).
			Msg("daemons that had been dropped are in a hub's list of live daemons")
	}
}

// droppedTTL is how long a daemon that was dropped may be taken up again by a hub's list: longer than the interval of
// heartbeats of any fleet, by which it is taken up later.
const droppedTTL = 10 * time.Minute

// expirePeers removes the daemons whose heartbeats have timed out, and returns whether there were
// any. It removes none while heartbeats cannot be read.
func (c *controller) expirePeers(now time.Duration) bool {
	if c.failedTopics[platform.TopicDaemons] {
		return false
	}
	n := len(c.daemons)
	maps.DeleteFunc(c.dropped, func(_ string, p Peer) bool { return now-p.LastSeenAt > droppedTTL })
	maps.DeleteFunc(c.daemons, func(key string, p Peer) bool {
		if !presenceTimeouts.Expired(now, p.LastSeenAt) || p.Heartbeat.Incarnation == c.gateway.incarnation {
			return false
		}
		c.gateway.logger.Info().Str("event", "daemon_lost").Str("peer", p.Heartbeat.Daemon).Str("last_seen_by", string(p.LastSeenBy)).Dur("age", now-p.LastSeenAt).Msg("no heartbeat from daemon within the timeout; dropped from the peers")
		// Its findings have been learned.
		p.Heartbeat.Findings, p.Heartbeat.PartFindings = nil, nil
		c.dropped[key] = p
		return true
	})
	return len(c.daemons) != n
}
