package formation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// settled returns whether replicas may be formed. Before callers come the list of
// servers fills up within a few seconds; what is formed of a part of it fits badly. Later
// the list must show what the leader before has ordered.
func (s *step) settled() bool {
	p := s.planner
	if n := len(s.fleet.Servers); n != p.known {
		if n > p.known {
			p.grewAt = s.now
		}
		p.known = n
	}
	if s.fleet.TrafficStarted {
		return s.now-p.since >= catchUpTime
	}
	return s.now-p.grewAt >= settleTime || s.now-p.since >= longestSettle
}

const (
	// settleTime is how long no server must have come: twice the lag of the list.
	settleTime = 1500 * time.Millisecond
	// longestSettle bounds the wait, so that replicas are formed before callers come.
	longestSettle = 4 * time.Second
	// catchUpTime is the lag of the list by the platform's pages, 0.8 s, and a read of it.
	catchUpTime = time.Second
)

// gather lists the servers that are free, by their fabric domain.
func (s *step) gather() {
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
		if server := s.fleet.Servers[id]; !s.busy[id] && s.assignable(server) && !s.out(server) && !s.mayOpenAgain(server) {
			s.idle[server.FabricDomain] = append(s.idle[server.FabricDomain], server)
		}
	}
}

// needs returns the models in the order of how short of replicas they are.
func (s *step) needs() []site.Model {
	models := slices.Clone(s.fleet.Engine.Models)
	slices.SortStableFunc(models, func(a, b site.Model) int { return cmp.Compare(s.need(b), s.need(a)) })
	return models
}

// need returns how much work there is for one more replica of m.
func (s *step) need(m site.Model) float64 {
	return s.demand(m) / (float64(s.have[m.Name]) + 0.5)
}

// needed returns whether m is the model that is needed most, or nearly.
func (s *step) needed(m site.Model) bool { return s.need(m) >= worthChanging*s.need(s.needs()[0]) }

// demand returns the work that there is for replicas of m.
func (s *step) demand(m site.Model) float64 {
	asked := 0.0
	for _, other := range s.fleet.Engine.Models {
		if s.fleet.Demand[other.Name] == 0 {
			return m.Share / float64(max(m.Size, 1))
		}
		asked += s.fleet.Demand[other.Name]
	}
	return s.fleet.Demand[m.Name] / asked
}

// cost returns the time for server to be ready for m.
func (s *step) cost(server site.Server, m site.Model) time.Duration {
	switch {
	case s.fleet.LastModel[server.ID] == m.Name:
		return 0
	case slices.Contains(server.Staged, m.Name):
		return m.Warm
	}
	return m.Load
}

// form orders new replicas of free servers, the model that is needed most first.
// Before callers come servers load what they need; later free servers are staged
// first, so that they can still be used otherwise meanwhile.
func (s *step) form() {
	for range len(s.fleet.Servers) {
		if !s.formOne() {
			return
		}
	}
}

// formOne orders one replica, and returns whether it found one.
func (s *step) formOne() bool {
	models := s.needs()
	for _, m := range models {
		top := models[0]
		if s.needed(m) {
			// Changing servers over to m is worth what it costs.
			top = m
		}
		if members := s.pick(m, top); members != nil {
			s.join(m, members)
			return true
		}
	}
	return false
}

// worthChanging is the part of the greatest need above which servers that could run
// the model that is needed most are changed over to another one for good.
const worthChanging = 0.9

// changesFor returns whether server can run top now and could not after it has
// joined a replica of m.
func (s *step) changesFor(server site.Server, m, top site.Model) bool {
	return m.Name != top.Name && s.cost(server, top) < top.Load && !slices.Contains(server.Staged, top.Name)
}

// pick returns free servers of one fabric domain for a replica of m, from the
// domain with the fewest free ones that suffice. It leaves those that would not be
// able to run top any more.
func (s *step) pick(m, top site.Model) []site.Server {
	var best []site.Server
	room := 0
	for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
		free := slices.DeleteFunc(s.capable(s.idle[domain], m), func(server site.Server) bool { return s.changesFor(server, m, top) })
		if m.Size > 0 && len(free) >= m.Size && (best == nil || len(free) < room) {
			best, room = free[:m.Size], len(free)
		}
	}
	return best
}

// capable returns those of servers that can run m without a load, the quickest
// first. Before callers come every server can.
func (s *step) capable(servers []site.Server, m site.Model) []site.Server {
	out := slices.DeleteFunc(slices.Clone(servers), func(server site.Server) bool {
		return s.fleet.TrafficStarted && s.cost(server, m) >= m.Load
	})
	slices.SortStableFunc(out, func(a, b site.Server) int { return cmp.Compare(s.cost(a, m), s.cost(b, m)) })
	return out
}

// join orders members to form a replica of m.
func (s *step) join(m site.Model, members []site.Server) {
	p := s.planner
	p.sequence++
	f := &formed{model: m.Name, epoch: p.term*epochsPerTerm + p.sequence, at: s.now}
	for _, server := range members {
		f.members = append(f.members, server.ID)
	}
	name := fmt.Sprintf("%s/%d/%d", m.Name, p.term, p.sequence)
	p.forming[name] = f
	s.have[m.Name]++
	for _, server := range members {
		if s.cost(server, m) >= m.Load {
			s.planner.loading[server.ID] = load{model: m.Name, at: s.now}
		}
		if s.mayJoin(server, name) {
			s.orderJoin(server, name, f)
		}
		s.take(server)
	}
}

// take removes server from those that are free.
func (s *step) take(server site.Server) {
	s.busy[server.ID] = true
	s.idle[server.FabricDomain] = slices.DeleteFunc(s.idle[server.FabricDomain], func(o site.Server) bool { return o.ID == server.ID })
}
