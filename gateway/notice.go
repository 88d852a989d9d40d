package gateway

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// A serversLeaving lists servers that announced in answers that they are leaving.
type serversLeaving struct{ servers []notice.Incarnation }

// incarnationOf returns the incarnation of s.
func incarnationOf(s site.Server) notice.Incarnation {
	return notice.Incarnation{Server: s.ID, Born: s.Born}
}

// recordNotice records what server reported about itself in the answer to c.
func (g *Gateway) recordNotice(c *call, server site.Server, n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	incarnation := incarnationOf(server)
	g.tracker.mu.Lock()
	isNew := g.tracker.notices.Record(clock.Boot(), incarnation, n)
	g.tracker.mu.Unlock()
	if n.Backoff > 0 {
		g.metrics.events.Add("servers_rest", 1)
		g.logger.Info().Str("event", "server_rests").Str("request", c.request.Attempt).Str("server", server.ID).Dur("rest", n.Backoff).
			Msg("server asked for a backoff; sending it no requests until it ends")
	}
	if isNew {
		g.logger.Info().Str("event", "server_leaving").Str("request", c.request.Attempt).Str("server", server.ID).Int64("born", server.Born).
			Msg("server announced that it is leaving; sending it no new requests")
		g.enqueue(serversLeaving{servers: []notice.Incarnation{incarnation}})
	}
}

// applyPeerLeaving records the leaving servers that a message of a peer lists.
func (g *Gateway) applyPeerLeaving(m peerMessage) {
	if len(m.Leaving) == 0 {
		return
	}
	g.tracker.mu.Lock()
	added := g.tracker.notices.Merge(clock.Boot(), m.Leaving)
	g.tracker.mu.Unlock()
	if len(added) == 0 {
		return
	}
	for _, l := range added {
		g.logger.Info().Str("event", "server_leaving").Str("server", l.Server).Int64("born", l.Born).Str("from", m.From).
			Msg("peer reports a leaving server; sending it no new requests")
	}
	g.enqueue(serversLeaving{servers: added})
}

// admitsWork returns whether s accepts new requests according to its own notices. If it is backing
// off, backoff is lowered to the remaining time. The caller holds the lock.
func (b *attemptTracker) admitsWork(s site.Server, backoff *time.Duration) bool {
	if b.notices.Leaving(incarnationOf(s)) {
		return false
	}
	left := b.notices.Backoff(clock.Boot(), s.ID)
	if left > 0 && (*backoff == 0 || left < *backoff) {
		*backoff = left
	}
	return left == 0
}

// isBackingOff returns whether s has asked for a backoff. Such a server is alive and has said when
// it accepts requests again.
func (b *attemptTracker) isBackingOff(s site.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Backoff(clock.Boot(), s.ID) > 0
}

// isLeaving returns whether s announced that it is leaving.
func (b *attemptTracker) isLeaving(s site.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Leaving(incarnationOf(s))
}

// leavingToAnnounce returns the leaving servers to announce to peers.
func (b *attemptTracker) leavingToAnnounce() []notice.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Announcements(clock.Boot())
}

// expireNotices drops notices that no longer matter.
func (b *attemptTracker) expireNotices(now time.Duration, listed func(notice.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.Expire(now, listed)
}

// applyLeaving marks leaving servers as draining, because the list of servers may still show them
// as serving.
func (c *controller) applyLeaving(m serversLeaving) {
	for _, l := range m.servers {
		c.dirty = c.servers.markDraining(l.Server, l.Born) || c.dirty
	}
}

// isListed returns whether the list of servers contains the given incarnation.
func (c *controller) isListed(l notice.Incarnation) bool {
	e, ok := c.servers.entries[l.Server]
	return ok && e.server.Born == l.Born
}
