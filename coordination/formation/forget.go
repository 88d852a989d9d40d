package formation

import "maps"

// forgetAfter is how long a replica must have had no member, and a server must not
// have been held for it, until nothing about it is remembered: an order about it may
// be carried out late, and the list lags.
const forgetAfter = lateOrder + joinTimeout

// forget drops what cannot matter any more, so that a planner whose term lasts for
// weeks stays small.
func (s *step) forget() {
	p := s.planner
	maps.DeleteFunc(p.sent, func(_ string, o sentOrder) bool { return s.now-o.at >= repeatAfter })
	maps.DeleteFunc(p.late, func(_ string, l lateJoin) bool { return !l.possible(s.now) })
	maps.DeleteFunc(p.highest, func(id string, _ int64) bool { _, listed := s.fleet.Servers[id]; return !listed })
	for name := range s.replicas {
		s.seen(name)
	}
	for _, h := range p.held {
		s.seen(h.group)
	}
	maps.DeleteFunc(p.heads, func(_ string, h *head) bool { return s.now-h.seenAt >= forgetAfter })
	maps.DeleteFunc(p.retired, func(name string, r *retirement) bool {
		_, exists := s.replicas[name]
		return !exists && s.now-r.at >= forgetAfter
	})
	maps.DeleteFunc(p.succeeded, func(name string, _ bool) bool { return s.replicas[name] == nil })
	s.forgetLosses()
}

// seen notes that the replica of the given name has members, or servers held for it.
func (s *step) seen(name string) {
	if h, ok := s.planner.heads[name]; ok {
		h.seenAt = s.now
	}
}
