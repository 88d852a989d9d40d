package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// reportPollInterval is the time between two polls of a server that is about to change: half of
	// the lag that the platform documents for its reports.
	reportPollInterval = 100 * time.Millisecond
	// maxAnnouncements bounds the changes that are kept for daemons which have not been sent them
	// yet: all replicas of a fleet of thousands of servers.
	maxAnnouncements = 512
)

// A serverReport is a server's report of itself, for which it was asked at askedAt. current means that it can't be an earlier one.
type serverReport struct {
	server  site.Server
	askedAt time.Duration
	current bool
}

// A replicaChange is a replica that started serving, or that stopped if it has no members. Members
// are in rank order, the head first.
type replicaChange struct {
	_       struct{} `cbor:",toarray"`
	Group   string
	Epoch   int64
	Members []notice.Incarnation
}

// A peerChanges carries changes of replicas that another daemon sent.
type peerChanges struct{ changes []replicaChange }

// pollAwaitedServers polls the servers that are about to change, whose reports are ahead of the
// list.
func (c *controller) pollAwaitedServers(now time.Duration) {
	l := &c.leadership
	for _, s := range l.planner.UnconfirmedServers() {
		if c.takePoll(now, s.ID) {
			c.gateway.metrics.events.Add("places_asked", 1)
			c.gateway.startPoll(c.gateway.placeEngines, s)
		}
	}
	pending := l.planner.PendingServers()
	// Those that were polled longest ago come first.
	slices.SortStableFunc(pending, func(a, b site.Server) int { return cmp.Compare(l.polledAt[a.ID], l.polledAt[b.ID]) })
	for _, s := range pending {
		if c.takePoll(now, s.ID) {
			c.gateway.pollReport(s)
		}
	}
}

// takePoll returns whether the server with the given id may be polled again now, and records that it is.
func (c *controller) takePoll(now time.Duration, id string) bool {
	l := &c.leadership
	if at, ok := l.polledAt[id]; ok && now-at < reportPollInterval || !l.reportPolls.Allow(now) {
		return false
	}
	l.polledAt[id] = now
	return true
}

// reportPollsPerSecond bounds the polls of a leader, and maxReportPolls those at once: a tenth of the processor of the
// smallest instances that are hubs. While hundreds of servers join at the same time, each is polled less often.
const (
	reportPollsPerSecond = 300
	maxReportPolls       = 60
)

// pollReport asks s for its report, for the controller.
func (g *Gateway) pollReport(s site.Server) { g.startPoll(g.engines, s) }

// startPoll asks s for its report with engines, for the controller.
func (g *Gateway) startPoll(engines *platform.EngineClient, s site.Server) {
	g.work.Go(context.Background(), "report", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		g.metrics.events.Add("probes", 1)
		askedAt := clock.Boot()
		report, err := engines.Report(ctx, s)
		if err != nil {
			// The list shows the change later, and other probes determine whether the server is
			// alive.
			g.metrics.events.Add("reports_failed", 1)
			return nil
		}
		g.enqueue(serverReport{server: report, askedAt: askedAt, current: engines == g.placeEngines})
		return nil
	})
}

const (
	// pacePollInterval is the time between two polls of a server that may be slow.
	pacePollInterval = 2 * time.Second
	// pacePollsPerSecond bounds these polls: all members of a few replicas at once.
	pacePollsPerSecond = 100
)

// pollPaces polls the members of the replicas that daemons found to be slow, and the servers that were slow when
// they were last asked.
func (c *controller) pollPaces(now time.Duration) {
	l := &c.leadership
	suspects := make(map[int64]bool)
	for _, r := range c.gateway.tracker.slowReplicas() {
		suspects[r.Epoch] = true
	}
	for id, e := range c.servers.entries {
		if e.pace < slowPace && !suspects[e.server.Member.Epoch] || e.server.Draining {
			continue
		}
		if at, ok := l.pacePolledAt[id]; ok && now-at < pacePollInterval {
			continue
		}
		if !l.pacePolls.Allow(now) {
			return
		}
		l.pacePolledAt[id] = now
		c.gateway.pollReport(e.server)
	}
}

// applyReport applies a server's report of itself.
func (c *controller) applyReport(now time.Duration, m serverReport) {
	if c.servers.recordPace(now, m.server) {
		c.gateway.logger.Info().Str("event", "server_pace").Str("server", m.server.ID).Str("group", m.server.Member.Group).Float64("pace", m.server.Pace).
			Msg("server became slow or ceased to be slow")
	}
	if m.current && c.leadership.planner != nil {
		c.leadership.planner.RecordReport(m.askedAt, m.server)
	}
	c.dirty = c.servers.update(now, m.server.ID, m.server.Born, m.server.Member) || c.dirty
}

// announceNewReplicas announces to other daemons, if this one leads, the replicas of v that the
// previous view does not have: the list may show them only later.
func (c *controller) announceNewReplicas(now time.Duration, v *View) {
	if !c.isLeading(now) {
		return
	}
	known := make(map[int64]bool)
	for _, replicas := range c.gateway.view.Load().Replicas {
		for _, r := range replicas {
			known[r.Epoch] = true
		}
	}
	for _, replicas := range v.Replicas {
		for _, r := range replicas {
			if !known[r.Epoch] {
				c.announceReplica(r)
			}
		}
	}
}

// announceReplica announces to other daemons that r is serving.
func (c *controller) announceReplica(r Replica) {
	change := replicaChange{Group: r.Name, Epoch: r.Epoch}
	for _, id := range r.Members {
		change.Members = append(change.Members, incarnationOf(c.servers.entries[id].server))
	}
	c.gateway.logger.Info().Str("event", "replica_serves").Str("group", r.Name).Int64("epoch", r.Epoch).Int64("term", c.leadership.term).
		Msg("replica started serving")
	c.broadcastChange(change)
}

// broadcastChange queues a change for all other daemons.
func (c *controller) broadcastChange(change replicaChange) {
	ps := &c.gateway.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.announcements.add(change)
}

// applyPeerChanges applies changes of replicas that another daemon sent, and passes on those that
// are new.
func (c *controller) applyPeerChanges(now time.Duration, m peerChanges) {
	for _, change := range m.changes {
		isNew := false
		if len(change.Members) == 0 {
			isNew = c.applyReplicaEnd(now, change.Group, change.Epoch)
		}
		for rank, l := range change.Members {
			isNew = c.applyMember(now, change, rank, l) || isNew
		}
		if isNew {
			c.dirty = true
			c.broadcastChange(change)
		}
	}
}

// applyMember records that a server is the member with the given rank of a serving replica, and
// returns whether that is new.
func (c *controller) applyMember(now time.Duration, change replicaChange, rank int, l notice.Incarnation) bool {
	member := site.Membership{Group: change.Group, Epoch: change.Epoch, Rank: rank, State: site.Ready}
	if rank == 0 {
		member.State = site.Open
	}
	return c.servers.update(now, l.Server, l.Born, member)
}

// applyReplicaEnd records that the replica with the given name and epoch has stopped serving, and
// returns whether that is new. Its head counts as closing before the list shows it.
func (c *controller) applyReplicaEnd(now time.Duration, group string, epoch int64) bool {
	for id, e := range c.servers.entries {
		if m := e.server.Member; m.Group == group && m.Epoch == epoch && m.Rank == 0 && m.State == site.Open {
			m.State = site.Closing
			return c.servers.update(now, id, e.server.Born, m)
		}
	}
	return false
}

// An announcementLog holds changes of replicas that are to be sent to each daemon once. The zero
// value is empty.
type announcementLog struct {
	log []replicaChange
	// dropped is the number of changes that were dropped from the log, and sentCount is how many of
	// all changes each daemon was sent, by incarnation.
	dropped   int
	sentCount map[string]int
}

// add appends a change, and drops the oldest one if the log is full.
func (a *announcementLog) add(change replicaChange) {
	a.log = append(a.log, change)
	if excess := len(a.log) - maxAnnouncements; excess > 0 {
		a.log, a.dropped = append([]replicaChange(nil), a.log[excess:]...), a.dropped+excess
	}
}

// unsentTo returns the changes that a daemon was not sent yet, and records that it is sent them
// now. A daemon that is seen for the first time has earlier changes from the list.
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

// dropUnlinked drops the daemons that no longer have a link.
func (a *announcementLog) dropUnlinked(linked func(incarnation string) bool) {
	for incarnation := range a.sentCount {
		if !linked(incarnation) {
			delete(a.sentCount, incarnation)
		}
	}
}
