package formation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/balance"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// listSettled returns whether the list of servers is reliable enough to form replicas. Before
// traffic starts, the list fills up within a few seconds, and replicas formed from a part of it
// make poor use of the servers. Later, the list must first show what the previous leader has
// ordered.
func (s *step) listSettled() bool {
	p := s.planner
	if n := len(s.fleet.Servers); n != p.serverCount {
		if n > p.serverCount {
			p.serverCountGrewAt = s.now
		}
		p.serverCount = n
	}
	if s.fleet.TrafficStarted {
		return s.now-p.termStart >= catchUpTime
	}
	return s.now-p.serverCountGrewAt >= settleTime || s.now-p.termStart >= maxSettleTime
}

const (
	// settleTime is how long the list must not have grown: twice its lag.
	settleTime = 1500 * time.Millisecond
	// maxSettleTime bounds the wait, so that replicas are formed before traffic starts.
	maxSettleTime = 4 * time.Second
	// catchUpTime is the lag of the list, 0.8 s according to the platform's documentation, plus the
	// time to read it.
	catchUpTime = time.Second
)

// collectIdle lists the idle servers by fabric domain.
func (s *step) collectIdle() {
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
		if server := s.fleet.Servers[id]; !s.busy[id] && s.assignable(server) && !s.failedLately(server) && !s.outOfService(server) && !s.mayReopen(server) && s.confirmPlace(server) {
			s.idle[server.FabricDomain] = append(s.idle[server.FabricDomain], server)
		}
	}
}

// modelsByNeed returns the models, the one most short of replicas first.
func (s *step) modelsByNeed() []site.Model {
	models := slices.Clone(s.fleet.Engine.Models)
	slices.SortStableFunc(models, func(a, b site.Model) int { return cmp.Compare(s.need(b), s.need(a)) })
	return models
}

// need returns the demand for one more replica of m.
func (s *step) need(m site.Model) float64 {
	if s.fleet.Balance {
		return balance.Need(s.work(m), s.replicaCount[m.Name])
	}
	return s.demand(m) / (float64(s.replicaCount[m.Name]) + 0.5)
}

// mostNeeded returns whether the need for m is at least reassignThreshold of the greatest need.
func (s *step) mostNeeded(m site.Model) bool {
	return s.need(m) >= reassignThreshold*s.need(s.modelsByNeed()[0])
}

// work returns the number of replicas that the work for m keeps busy. It falls back to the configured share if any model
// has no demand.
func (s *step) work(m site.Model) float64 {
	for _, other := range s.fleet.Engine.Models {
		if s.fleet.Demand[other.Name] == 0 {
			return balance.AssumedWork(m.Share, m.Size, len(s.fleet.Servers))
		}
	}
	servers := 0.0
	for _, other := range s.fleet.Engine.Models {
		servers += s.fleet.Demand[other.Name] * float64(other.Size)
	}
	// Work for more servers than there are is short of all models alike.
	return s.fleet.Demand[m.Name] * min(float64(len(s.fleet.Servers))/servers, 1)
}

// remainingNeed returns the need for one of the replicas of m if it is closed.
func (s *step) remainingNeed(m site.Model) float64 {
	if s.fleet.Balance {
		return balance.Need(s.work(m), s.replicaCount[m.Name]-1)
	}
	return s.demand(m) / max(float64(s.replicaCount[m.Name])-0.5, 0.5)
}

// demand returns the share of the work that is for m. It falls back to the configured share if any
// model has no demand.
func (s *step) demand(m site.Model) float64 {
	total := 0.0
	for _, other := range s.fleet.Engine.Models {
		if s.fleet.Demand[other.Name] == 0 {
			return m.Share / float64(max(m.Size, 1))
		}
		total += s.fleet.Demand[other.Name]
	}
	return s.fleet.Demand[m.Name] / total
}

// timeToReady returns how long server takes to be ready to run m.
func (s *step) timeToReady(server site.Server, m site.Model) time.Duration {
	switch {
	case s.fleet.LastModel[server.ID] == m.Name:
		return 0
	case slices.Contains(server.Staged, m.Name):
		return m.StagedLoad
	}
	return m.Load
}

// formReplicas forms replicas from idle servers, for the most needed model first. Before traffic
// starts, servers load whatever model they are to run. After that, an idle server has to stage a
// model before it can join, so that it remains available for other replicas meanwhile.
func (s *step) formReplicas() {
	for range len(s.fleet.Servers) {
		if !s.formOne() {
			return
		}
	}
}

// formOne forms one replica, and returns whether it could.
func (s *step) formOne() bool {
	models := s.modelsByNeed()
	for _, m := range models {
		if s.bulk+m.Size > max(maxBulkOrders, m.Size) {
			// Its members would be ordered to join only later.
			s.formsMore = true
			return false
		}
		top := models[0]
		if s.mostNeeded(m) {
			// The need for m justifies using servers that could run the most needed model.
			top = m
		}
		if members := s.pickMembers(m, top); members != nil {
			s.formReplica(m, members)
			return true
		}
	}
	return false
}

// reassignThreshold is the fraction of the greatest need from which a model may permanently take
// over servers that could run the most needed model.
const reassignThreshold = 0.9

// wouldLose returns whether server can run top now without a load, and no longer could after
// joining a replica of m.
func (s *step) wouldLose(server site.Server, m, top site.Model) bool {
	return m.Name != top.Name && s.timeToReady(server, top) < top.Load && !slices.Contains(server.Staged, top.Name)
}

// pickMembers returns the idle servers for a replica of m, all of one fabric domain: of those with the
// fewest slow ones among them, the one with the fewest idle servers that suffice. It skips servers that would no longer be able to run top.
func (s *step) pickMembers(m, top site.Model) []site.Server {
	var best []site.Server
	fewest, slowest := 0, 0
	for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
		free := slices.DeleteFunc(s.capable(s.idle[domain], m), func(server site.Server) bool { return s.wouldLose(server, m, top) })
		if m.Size == 0 || len(free) < m.Size {
			continue
		}
		slow := s.countSlow(free[:m.Size])
		if best == nil || slow < slowest || slow == slowest && len(free) < fewest {
			best, fewest, slowest = free[:m.Size], len(free), slow
		}
	}
	return best
}

// capable returns those of servers that can run m without a load: first those that did not fail lately, then
// those that are not slow, then the fastest to be ready.
// Before traffic starts, it returns all of them.
func (s *step) capable(servers []site.Server, m site.Model) []site.Server {
	out := slices.DeleteFunc(slices.Clone(servers), func(server site.Server) bool {
		return s.fleet.TrafficStarted && s.timeToReady(server, m) >= m.Load
	})
	slices.SortStableFunc(out, func(a, b site.Server) int {
		return cmp.Or(cmp.Compare(s.planner.failures[a.ID].count, s.planner.failures[b.ID].count), s.compareSlow(a, b),
			cmp.Compare(s.timeToReady(a, m), s.timeToReady(b, m)))
	})
	return out
}

// formReplica orders members to form a replica of m.
func (s *step) formReplica(m site.Model, members []site.Server) *formingReplica {
	p := s.planner
	p.sequence++
	f := &formingReplica{model: m.Name, epoch: p.term*epochsPerTerm + p.sequence, at: s.now}
	for _, server := range members {
		f.members = append(f.members, server.ID)
	}
	name := fmt.Sprintf("%s/%d/%d", m.Name, p.term, p.sequence)
	p.forming[name] = f
	s.replicaCount[m.Name]++
	for _, server := range members {
		if s.timeToReady(server, m) >= m.Load {
			s.planner.loading[server.ID] = load{model: m.Name, at: s.now}
		}
		if s.mayJoin(server, name) {
			s.orderJoin(server, name, f)
		}
		s.removeIdle(server)
	}
	return f
}

// removeIdle marks server as busy and removes it from the idle servers.
func (s *step) removeIdle(server site.Server) {
	s.busy[server.ID] = true
	s.idle[server.FabricDomain] = slices.DeleteFunc(s.idle[server.FabricDomain], func(o site.Server) bool { return o.ID == server.ID })
}
