package gateway

import (
	"context"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// reportInterval is the time between two questions to a server that is to change: half
	// of the lag of its reports, by the platform's pages.
	reportInterval = 100 * time.Millisecond
	// reportsKept bounds the announcements that are kept for daemons which have not had
	// them: all replicas of a fleet of thousands of servers.
	reportsKept = 512
)

// A reported is what a server said of itself.
type reported struct{ server site.Server }

// A change is a replica that began to serve, or that ended if it has no members. Members are
// in rank order, the head first.
type change struct {
	_       struct{} `cbor:",toarray"`
	Group   string
	Epoch   int64
	Members []notice.Life
}

// A replicasChange names replicas that another daemon told of.
type replicasChange struct{ changes []change }

// askAwaited asks the servers that are to change for their reports, which are newer than the
// list.
func (c *control) askAwaited(now time.Duration) {
	for _, s := range c.leadership.planner.PendingServers() {
		if at, ok := c.leadership.asked[s.ID]; ok && now-at < reportInterval {
			continue
		}
		c.leadership.asked[s.ID] = now
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
			g.tell(reported{server: report})
			return nil
		})
	}
}

// takeReport takes what a server said of itself.
func (c *control) takeReport(now time.Duration, m reported) {
	c.dirty = c.servers.report(now, m.server.ID, m.server.Born, m.server.Member) || c.dirty
}

// announce tells other daemons of replicas that this one, which leads, knows to serve before
// the list shows it.
func (c *control) announce(now time.Duration, v *View) {
	if !c.leads(now) {
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
				c.announceOne(r)
			}
		}
	}
}

// announceOne tells other daemons that r serves.
func (c *control) announceOne(r Replica) {
	told := change{Group: r.Name, Epoch: r.Epoch}
	for _, id := range r.Members {
		told.Members = append(told.Members, lifeOf(c.servers.entries[id].server))
	}
	c.gateway.logger.Info().Str("event", "replica_serves").Str("group", r.Name).Int64("epoch", r.Epoch).Int64("term", c.leadership.term).
		Msg("replica serves")
	c.tellAll(told)
}

// tellAll tells the other daemons of a change.
func (c *control) tellAll(told change) {
	n := &c.gateway.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	n.announced.add(told)
}

// takeChanges takes changes of replicas that another daemon told of, and passes those on that
// are news.
func (c *control) takeChanges(now time.Duration, m replicasChange) {
	for _, told := range m.changes {
		news := false
		if len(told.Members) == 0 {
			news = c.endReplica(now, told.Group, told.Epoch)
		}
		for rank, l := range told.Members {
			news = c.joinReplica(now, told, rank, l) || news
		}
		if news {
			c.dirty = true
			c.tellAll(told)
		}
	}
}

// joinReplica takes that a server is the member of the given rank of a replica that serves,
// and returns whether that is news.
func (c *control) joinReplica(now time.Duration, told change, rank int, l notice.Life) bool {
	member := site.Membership{Group: told.Group, Epoch: told.Epoch, Rank: rank, State: site.Ready}
	if rank == 0 {
		member.State = site.Open
	}
	return c.servers.report(now, l.Server, l.Born, member)
}

// endReplica takes that the replica of the given name and epoch does not serve any more, and
// returns whether that is news. Its head closes before the list shows it.
func (c *control) endReplica(now time.Duration, group string, epoch int64) bool {
	for id, e := range c.servers.entries {
		if m := e.server.Member; m.Group == group && m.Epoch == epoch && m.Rank == 0 && m.State == site.Open {
			m.State = site.Closing
			return c.servers.report(now, id, e.server.Born, m)
		}
	}
	return false
}

// announcements are changes of replicas, to be told to each daemon once. The zero
// value has none.
type announcements struct {
	log []change
	// first is the number of those that were dropped from the log, and told how many of
	// all each daemon was told, by incarnation.
	first int
	told  map[string]int
}

// add adds s, and drops the oldest if there are many.
func (a *announcements) add(s change) {
	a.log = append(a.log, s)
	if over := len(a.log) - reportsKept; over > 0 {
		a.log, a.first = append([]change(nil), a.log[over:]...), a.first+over
	}
}

// since returns what a daemon was not told yet, and notes that it is told. A daemon that
// comes later knows from the list what was announced before.
func (a *announcements) since(incarnation string) []change {
	end := a.first + len(a.log)
	from, known := a.told[incarnation]
	if a.told == nil {
		a.told = make(map[string]int)
	}
	a.told[incarnation] = end
	if !known || from >= end {
		return nil
	}
	return a.log[max(from-a.first, 0):]
}

// forget drops the daemons that are not linked any more.
func (a *announcements) forget(linked func(incarnation string) bool) {
	for incarnation := range a.told {
		if !linked(incarnation) {
			delete(a.told, incarnation)
		}
	}
}
