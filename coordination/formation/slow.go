package formation

import (
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// slowPace is the pace from which a server is only used where others do not suffice.
	slowPace = 1.5
	// minReplacedPace is the pace of a member from which its replica is formed anew without it. None of the
	// members serves for two to three seconds meanwhile: half of what such a replica serves in five.
	minReplacedPace = 2.0
	// minLastReplacedPace is the same for the only serving replica of a model, for which no other one serves
	// meanwhile: callers give up streams that are that slow.
	minLastReplacedPace = 4.0
	// maxReformingShare is the share of the serving replicas of a model that may be formed anew at once.
	maxReformingShare = 0.5
)

// slow returns whether server has reported that it is slow.
func (s *step) slow(server site.Server) bool { return s.fleet.Pace[server.ID] >= slowPace }

// compareSlow orders servers that are slow after those that are not.
func (s *step) compareSlow(a, b site.Server) int {
	switch slowA, slowB := s.slow(a), s.slow(b); {
	case slowA == slowB:
		return 0
	case slowA:
		return 1
	}
	return -1
}

// countSlow returns how many of servers are slow.
func (s *step) countSlow(servers []site.Server) int {
	n := 0
	for _, server := range servers {
		if s.slow(server) {
			n++
		}
	}
	return n
}

// pace returns the factor by which r is slow: that of its slowest member.
func (s *step) pace(r *replica) float64 {
	slowest := 1.0
	for _, server := range r.members {
		slowest = max(slowest, s.fleet.Pace[server.ID])
	}
	return slowest
}

// replaceSlowMembers closes replicas that run at the pace of a slow member, where the servers of their fabric
// domain suffice for a replica without one, and forms that from the others.
func (s *step) replaceSlowMembers() {
	if !s.fleet.TrafficStarted || len(s.fleet.Pace) == 0 {
		return
	}
	slow, room := s.replicasToReform()
	for _, domain := range slices.Sorted(maps.Keys(slow)) {
		for _, m := range s.modelsByNeed() {
			ofModel := slices.DeleteFunc(slices.Clone(slow[domain]), func(r *replica) bool { return r.model.Name != m.Name })
			var rest []*replica
			for _, r := range ofModel {
				if room[m.Name] > 0 && s.reform(domain, m, []*replica{r}) {
					room[m.Name]--
				} else {
					rest = append(rest, r)
				}
			}
			// Where there are too few other servers, the slow members of several replicas can share one.
			if len(rest) > 1 && len(rest) <= room[m.Name] && s.reform(domain, m, rest) {
				room[m.Name] -= len(rest)
			}
		}
	}
}

// replicasToReform returns the replicas that need a replacement for slow members, by fabric domain, and how many
// of each model may be closed for that now.
func (s *step) replicasToReform() (slow map[string][]*replica, room map[string]int) {
	slow, room = make(map[string][]*replica), make(map[string]int)
	serving, reforming := make(map[string]int), make(map[string]int)
	for _, r := range s.replicas {
		if s.serves(r) {
			serving[r.model.Name]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r, least := s.replicas[name], minReplacedPace
		if serving[r.model.Name] == 1 {
			least = minLastReplacedPace
		}
		if s.serves(r) && !s.outOfService(r.members[0]) && s.pace(r) >= least {
			domain := r.members[0].FabricDomain
			slow[domain] = append(slow[domain], r)
		}
	}
	for name, f := range s.planner.forming {
		if f.reforms {
			reforming[ModelOf(name)]++
		}
	}
	for model, n := range serving {
		room[model] = max(int(maxReformingShare*float64(n+reforming[model])), 1) - reforming[model]
	}
	return slow, room
}

// reform closes replicas of m in domain and forms others from those of their servers that are not slow and idle
// ones, the idle ones first, and returns whether they suffice for at least one.
func (s *step) reform(domain string, m site.Model, replicas []*replica) bool {
	var pool []site.Server
	for _, server := range s.capable(s.idle[domain], m) {
		if s.reliable(server) {
			pool = append(pool, server)
		}
	}
	for _, r := range replicas {
		for rank := range m.Size {
			if server := r.members[rank]; !s.slow(server) && s.assignable(server) {
				pool = append(pool, server)
			}
		}
	}
	if len(pool) < m.Size {
		return false
	}
	ret := &retirement{at: s.now, forPace: true}
	for _, r := range replicas {
		ret.replicas = append(ret.replicas, r.name)
		s.planner.retired[r.name] = ret
		s.planner.stopped = append(s.planner.stopped, StoppedReplica{Replica: r.name, Epoch: r.epoch})
		s.planner.reformed = append(s.planner.reformed, Reform{Replica: r.name, Model: m.Name, Slow: s.countSlow(slices.Collect(maps.Values(r.members)))})
		s.orderAction(r.members[0], Close, r.name, r.epoch)
		s.replicaCount[m.Name]--
	}
	for ; len(pool) >= m.Size; pool = pool[m.Size:] {
		s.formReplica(m, pool[:m.Size]).reforms = true
	}
	return true
}

// A Reform is a replica that was closed because of Slow slow members.
type Reform struct {
	Replica string
	Model   string
	Slow    int
}

// Reforms returns the replicas that were closed for slow members since the last call.
func (p *Planner) Reforms() []Reform {
	out := p.reformed
	p.reformed = nil
	return out
}
