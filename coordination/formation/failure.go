package formation

import (
	"maps"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// failurePause is how long a server is left alone after it failed to carry out an order. It doubles with
	// each failure in a row up to maxFailurePause, so that a server that is listed but not there keeps few
	// others waiting. One that failed for the faults around it is used again within the time that the
	// platform's pages give for a recovery, 12 s and more.
	failurePause    = time.Second
	maxFailurePause = 8 * time.Second
	// maxFailureDoublings is the number of doublings that reach maxFailurePause.
	maxFailureDoublings = 3
)

// A failure is that a server was absent, declined to join a replica, or was ordered to join or to load
// weights without any effect, count times in a row.
type failure struct {
	// born identifies the incarnation, once the server was seen after the failure.
	born  int64
	count int
	until time.Duration
}

// recordFailure records that the server with the given id failed to carry out an order.
func (p *Planner) recordFailure(now time.Duration, id string) {
	f := p.failures[id]
	f.until = now + min(failurePause<<min(f.count, maxFailureDoublings), maxFailurePause)
	f.count++
	p.failures[id] = f
}

// recordDecline records that the server with the given id declined to join a replica. It may only be busy, so
// that the first time has no pause.
func (p *Planner) recordDecline(now time.Duration, id string) {
	if f, failed := p.failures[id]; !failed {
		f.count = 1
		p.failures[id] = f
		return
	}
	p.recordFailure(now, id)
}

// failedLately returns whether server failed to carry out an order and is left alone for that.
func (s *step) failedLately(server site.Server) bool {
	return s.now < s.planner.failures[server.ID].until
}

// forgetFailures drops the failures of servers that are no longer listed or have restarted.
func (s *step) forgetFailures() {
	for id, f := range s.planner.failures {
		if f.born == 0 {
			f.born = s.fleet.Servers[id].Born
			s.planner.failures[id] = f
		}
	}
	maps.DeleteFunc(s.planner.failures, func(id string, f failure) bool {
		server, listed := s.fleet.Servers[id]
		return !listed || server.Born != f.born
	})
}

// recordAbandoned records the failures of the members that left f incomplete: each was ordered to join and
// does not report it.
func (s *step) recordAbandoned(name string, f *formingReplica) {
	for _, id := range f.members {
		_, ordered := s.planner.sentOrders[orderKey(id, Join, name)]
		if server, listed := s.fleet.Servers[id]; listed && ordered && server.Member.Epoch != f.epoch {
			s.planner.recordFailure(s.now, id)
		}
	}
}
