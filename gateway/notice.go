package gateway

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// A serversLeave names servers that said in answers that they leave.
type serversLeaving struct{ servers []notice.Incarnation }

// lifeOf returns the life of s.
func incarnationOf(s site.Server) notice.Incarnation {
	return notice.Incarnation{Server: s.ID, Born: s.Born}
}

// takeNotice takes what server said of itself in the answer to c.
func (g *Gateway) recordNotice(c *call, server site.Server, n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	life := incarnationOf(server)
	g.tracker.mu.Lock()
	news := g.tracker.notices.Record(clock.Boot(), life, n)
	g.tracker.mu.Unlock()
	if n.Backoff > 0 {
		g.metrics.events.Add("servers_rest", 1)
		g.logger.Info().Str("event", "server_rests").Str("request", c.request.Attempt).Str("server", server.ID).Dur("rest", n.Backoff).
			Msg("server wants no requests for a while")
	}
	if news {
		g.logger.Info().Str("event", "server_leaving").Str("request", c.request.Attempt).Str("server", server.ID).Int64("born", server.Born).
			Msg("server says in an answer that it leaves")
		g.enqueue(serversLeaving{servers: []notice.Incarnation{life}})
	}
}

// hearLeaving takes which servers leave from a message of another daemon.
func (g *Gateway) applyPeerLeaving(m peerMessage) {
	if len(m.Leaving) == 0 {
		return
	}
	g.tracker.mu.Lock()
	news := g.tracker.notices.Merge(clock.Boot(), m.Leaving)
	g.tracker.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, l := range news {
		g.logger.Info().Str("event", "server_leaving").Str("server", l.Server).Int64("born", l.Born).Str("from", m.From).
			Msg("another daemon says that a server leaves")
	}
	g.enqueue(serversLeaving{servers: news})
}

// takesWork returns whether s may get new work for all that it said itself. If it wants
// none for a while, rest is lowered to that time. The caller holds the lock.
func (b *attemptTracker) admitsWork(s site.Server, rest *time.Duration) bool {
	if b.notices.Leaving(incarnationOf(s)) {
		return false
	}
	left := b.notices.Backoff(clock.Boot(), s.ID)
	if left > 0 && (*rest == 0 || left < *rest) {
		*rest = left
	}
	return left == 0
}

// rests returns whether s wants no requests for a while. It lives then, and has said when it
// takes them again.
func (b *attemptTracker) isBackingOff(s site.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Backoff(clock.Boot(), s.ID) > 0
}

// leaves returns whether s said that it leaves.
func (b *attemptTracker) isLeaving(s site.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Leaving(incarnationOf(s))
}

// toldLeaving returns the servers of which other daemons are told that they leave.
func (b *attemptTracker) leavingToAnnounce() []notice.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Announcements(clock.Boot())
}

// forgetNotices drops notices that cannot matter any more.
func (b *attemptTracker) expireNotices(now time.Duration, listed func(notice.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.Expire(now, listed)
}

// takeLeaving takes that servers leave which may still be listed as sound.
func (c *controller) applyLeaving(m serversLeaving) {
	for _, l := range m.servers {
		c.dirty = c.servers.markDraining(l.Server, l.Born) || c.dirty
	}
}

// lists returns whether the list of servers has the given life.
func (c *controller) isListed(l notice.Incarnation) bool {
	e, ok := c.servers.entries[l.Server]
	return ok && e.server.Born == l.Born
}
