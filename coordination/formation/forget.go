package formation

import (
	"maps"
	"time"
)

// forgetAfter is how long a replica must have had no member and no server held for it before its
// records are dropped: an order about it may be carried out late, and the list lags.
const forgetAfter = maxOrderDelay + joinTimeout

// forget drops records that no longer matter, so that the planner does not grow without bound
// during a term of several weeks.
func (s *step) forget() {
	p := s.planner
	maps.DeleteFunc(p.sentOrders, func(_ string, o sentOrder) bool { return s.now-o.at >= resendAfter })
	maps.DeleteFunc(p.unansweredJoins, func(_ string, l unansweredJoin) bool { return !l.mayTakeEffect(s.now) })
	maps.DeleteFunc(p.sentJoins, func(_ string, j sentJoin) bool { return s.now-j.at >= maxOrderDelay })
	maps.DeleteFunc(p.seen, func(id string, _ seenMember) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.reported, func(id string, _ reportedPlace) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.placeAsks, func(id string, _ placeAsk) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.movedAt, func(id string, _ time.Duration) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.leaveOrdered, func(id string, _ int64) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.highestEpoch, func(id string, _ int64) bool { _, listed := s.fleet.Servers[id]; return !listed })
	for name := range s.replicas {
		s.markSeen(name)
	}
	for _, h := range p.held {
		s.markSeen(h.group)
	}
	maps.DeleteFunc(p.heads, func(_ string, h *head) bool { return s.now-h.seenAt >= forgetAfter })
	maps.DeleteFunc(p.retired, func(name string, r *retirement) bool {
		_, exists := s.replicas[name]
		return !exists && s.now-r.at >= forgetAfter
	})
	maps.DeleteFunc(p.successorOrdered, func(name string, _ bool) bool { return s.replicas[name] == nil })
	s.forgetLosses()
}

// markSeen records that the replica with the given name has members or servers held for it.
func (s *step) markSeen(name string) {
	if h, ok := s.planner.heads[name]; ok {
		h.seenAt = s.now
	}
}
