package gateway

import (
	"context"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// reportPollInterval is the time between two questions to a server that is to change: half
	// of the lag of its reports, by the platform's pages.
	reportPollInterval = 100 * time.Millisecond
	// maxAnnouncements bounds the announcements that are kept for daemons which have not had
	// them: all replicas of a fleet of thousands of servers.
	maxAnnouncements = 512
)

// A serverReport is what a server said of itself.
type serverReport struct{ server site.Server }

// A replicaChange is a replica that began to serve, or that ended if it has no members. Members are
// in rank order, the head first.
type replicaChange struct {
	_       struct{} `cbor:",toarray"`
	Group   string
	Epoch   int64
	Members []notice.Life
}

// A peerChanges names replicas that another daemon told of.
type peerChanges struct{ changes []replicaChange }

// pollAwaitedServers asks the servers that are to change for their reports, which are newer than the
// list.
func (c *controller) pollAwaitedServers(now time.Duration) {
	for _, s := range c.leadership.planner.PendingServers() {
		if at, ok := c.leadership.polledAt[s.ID]; ok && now-at < reportPollInterval {
			continue
		}
		c.leadership.polledAt[s.ID] = now
		g := c.gateway
		g.work.Go(context.Background(), "report", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			g.metrics.events.Add("probes", 1)
			report, err := g.engines.Report(ctx, s)
			if err != nil {
				// The list tells the same later, and whether the server lives is looked
				// at elsewhere.
				g.metrics.events.Add("reports_failed", 1)
				return nil
			}
			g.enqueue(serverReport{server: report})
			return nil
		})
	}
}

// applyReport takes what a server said of itself.
func (c *controller) applyReport(now time.Duration, m serverReport) {
	c.dirty = c.servers.update(now, m.server.ID, m.server.Born, m.server.Member) || c.dirty
}

// announceNewReplicas tells other daemons of replicas that this one, which leads, knows to serve before
// the list shows it.
func (c *controller) announceNewReplicas(now time.Duration, v *View) {
	if !c.isLeading(now) {
		return
	}
	old := make(map[int64]bool)
	for _, replicas := range c.gateway.view.Load().Replicas {
		for _, r := range replicas {
			old[r.Epoch] = true
		}
	}
	for _, replicas := range v.Replicas {
		for _, r := range replicas {
			if !old[r.Epoch] {
				c.announceReplica(r)
			}
		}
	}
}

// announceReplica tells other daemons that r serves.
func (c *controller) announceReplica(r Replica) {
	told := replicaChange{Group: r.Name, Epoch: r.Epoch}
	for _, id := range r.Members {
		told.Members = append(told.Members, lifeOf(c.servers.entries[id].server))
	}
	c.gateway.logger.Info().Str("event", "replica_serves").Str("group", r.Name).Int64("epoch", r.Epoch).Int64("term", c.leadership.term).
		Msg("replica serves")
	c.broadcastChange(told)
}

// broadcastChange tells the other daemons of a change.
func (c *controller) broadcastChange(told replicaChange) {
	n := &c.gateway.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announcements.add(told)
}

// applyPeerChanges takes changes of replicas that another daemon told of, and passes those on that
// are news.
func (c *controller) applyPeerChanges(now time.Duration, m peerChanges) {
	for _, told := range m.changes {
		news := false
		if len(told.Members) == 0 {
			news = c.applyReplicaEnd(now, told.Group, told.Epoch)
		}
		for rank, l := range told.Members {
			news = c.applyMember(now, told, rank, l) || news
		}
		if news {
			c.dirty = true
			c.broadcastChange(told)
		}
	}
}

// applyMember takes that a server is the member of the given rank of a replica that serves,
// and returns whether that is news.
func (c *controller) applyMember(now time.Duration, told replicaChange, rank int, l notice.Life) bool {
	member := site.Membership{Group: told.Group, Epoch: told.Epoch, Rank: rank, State: site.Ready}
	if rank == 0 {
		member.State = site.Open
	}
	return c.servers.update(now, l.Server, l.Born, member)
}

// applyReplicaEnd takes that the replica of the given name and epoch does not serve any more, and
// returns whether that is news. Its head closes before the list shows it.
func (c *controller) applyReplicaEnd(now time.Duration, group string, epoch int64) bool {
	for id, e := range c.servers.entries {
		if m := e.server.Member; m.Group == group && m.Epoch == epoch && m.Rank == 0 && m.State == site.Open {
			m.State = site.Closing
			return c.servers.update(now, id, e.server.Born, m)
		}
	}
	return false
}

// announcementLog are changes of replicas, to be told to each daemon once. The zero
// value has none.
type announcementLog struct {
	log []replicaChange
	// dropped is the number of those that were dropped from the log, and told how many of
	// all each daemon was told, by incarnation.
	dropped   int
	sentCount map[string]int
}

// add adds s, and drops the oldest if there are many.
func (a *announcementLog) add(s replicaChange) {
	a.log = append(a.log, s)
	if over := len(a.log) - maxAnnouncements; over > 0 {
		a.log, a.dropped = append([]replicaChange(nil), a.log[over:]...), a.dropped+over
	}
}

// unsentTo returns what a daemon was not told yet, and notes that it is told. A daemon that
// comes later knows from the list what was announced before.
func (a *announcementLog) unsentTo(incarnation string) []replicaChange {
	end := a.dropped + len(a.log)
	from, known := a.sentCount[incarnation]
	if a.sentCount == nil {
		a.sentCount = make(map[string]int)
	}
	a.sentCount[incarnation] = end
	if !known || from >= end {
		return nil
	}
	return a.log[max(from-a.dropped, 0):]
}

// dropUnlinked drops the daemons that are not linked any more.
func (a *announcementLog) dropUnlinked(linked func(incarnation string) bool) {
	for incarnation := range a.sentCount {
		if !linked(incarnation) {
			delete(a.sentCount, incarnation)
		}
	}
}
