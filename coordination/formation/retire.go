package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// worthRetiring is how many times more the replicas must be needed that are made
	// than those that make room for them, so that replicas are not closed back and forth.
	worthRetiring = 1.3
	// retireInterval is the time between two closings that make room: a close, a join
	// and their way through the list.
	retireInterval = 4 * time.Second
)

// A retirement closes replicas of one fabric domain together, so that their servers
// can be used otherwise. None of these is free before all are closed.
type retirement struct {
	replicas []string
	at       time.Duration
}

// retire closes replicas of a model that is needed less, where their servers and the
// free ones of their fabric domain make up one or more of a model that is needed more.
func (s *step) retire() {
	p := s.planner
	if !s.fleet.TrafficStarted || p.retiredAt != 0 && s.now-p.retiredAt < retireInterval {
		return
	}
	for _, m := range s.needs() {
		if together := s.room(m); together != nil {
			r := &retirement{at: s.now}
			p.retiredAt = s.now
			for _, old := range together {
				r.replicas = append(r.replicas, old.name)
				p.retired[old.name] = r
				s.orderAbout(old.members[0], Close, old.name, old.epoch)
			}
			return
		}
	}
}

// room returns replicas of one other model and one fabric domain that are worth to be
// closed for m, nil if there are none.
func (s *step) room(m site.Model) []*replica {
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		if r := s.replicas[name]; s.serves(r) && s.makesRoom(r, m) {
			return []*replica{r}
		}
	}
	if s.have[m.Name] > 0 || s.fleet.Demand[m.Name] == 0 {
		return nil
	}
	return s.roomForFirst(m)
}

// serves returns whether r serves as far as the list tells.
func (s *step) serves(r *replica) bool {
	return s.whole(r) && r.members[0].Member.State == site.Open && s.planner.retired[r.name] == nil
}

// makesRoom returns whether a replica of m is worth the end of r.
func (s *step) makesRoom(r *replica, m site.Model) bool {
	if r.model.Name == m.Name || r.model.Size >= m.Size {
		return false
	}
	free := len(s.capable(s.idle[r.members[0].FabricDomain], m))
	if free == 0 || free >= m.Size || free+len(s.capable(slices.Collect(maps.Values(r.members)), m)) < m.Size {
		return false
	}
	lost := s.demand(r.model) / max(float64(s.have[r.model.Name])-0.5, 0.5)
	return s.need(m) > worthRetiring*lost
}

// roomForFirst returns the replicas of the fabric domain where the fewest must end for
// one of m, which has none, with no server free to begin with. It is worth it at any
// need: nobody who asks for m is served.
func (s *step) roomForFirst(m site.Model) []*replica {
	serving := make(map[string][]*replica)
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		if r := s.replicas[name]; r.model.Name != m.Name && s.serves(r) && !s.out(r.members[0]) && s.have[r.model.Name] > 1 {
			domain := r.members[0].FabricDomain
			serving[domain] = append(serving[domain], r)
		}
	}
	var fewest []*replica
	for _, domain := range slices.Sorted(maps.Keys(serving)) {
		var together []*replica
		servers := len(s.capable(s.idle[domain], m))
		for _, r := range serving[domain] {
			if members := len(s.capable(slices.Collect(maps.Values(r.members)), m)); members > 0 && servers < m.Size {
				together, servers = append(together, r), servers+members
			}
		}
		if servers >= m.Size && (fewest == nil || len(together) < len(fewest)) {
			fewest = together
		}
	}
	return fewest
}

// leftOver returns whether r is closed to make room, and all that were closed with it
// are closed as well, so that its servers are free.
func (s *step) leftOver(r *replica) bool {
	ret := s.planner.retired[r.name]
	return ret != nil && !slices.ContainsFunc(ret.replicas, func(name string) bool {
		other, ok := s.replicas[name]
		h := s.planner.heads[name]
		return ok && h != nil && s.whole(other) && h.mayServe(s.now, other.members[0].Member.State)
	})
}
