package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// retireNeedRatio is by what factor the need for the new replica must exceed that for a closed
	// one, so that replicas are not closed back and forth.
	retireNeedRatio = 1.3
	// retireInterval is the time between two retirements: a close, a join and the time until the
	// list shows them.
	retireInterval = 4 * time.Second
)

// A retirement closes replicas of one fabric domain together, so that their servers can be used for
// another model. Their servers become idle only when all of the replicas have closed.
type retirement struct {
	replicas []string
	at       time.Duration
	// forPace means that the replicas are closed because they have slow members.
	forPace bool
}

// retireReplicas closes replicas of a model that is needed less where their servers, with the idle
// ones of their fabric domain, suffice for one or more replicas of a model that is needed more.
func (s *step) retireReplicas() {
	p := s.planner
	if !s.fleet.TrafficStarted || p.retiredAt != 0 && s.now-p.retiredAt < retireInterval {
		return
	}
	for _, m := range s.modelsByNeed() {
		if toClose := s.replicasToClose(m); toClose != nil {
			r := &retirement{at: s.now}
			p.retiredAt = s.now
			for _, old := range toClose {
				r.replicas = append(r.replicas, old.name)
				p.retired[old.name] = r
				s.orderAction(old.members[0], Close, old.name, old.epoch)
			}
			return
		}
	}
}

// replicasToClose returns the replicas, of one fabric domain, that are worth closing for m, or nil.
func (s *step) replicasToClose(m site.Model) []*replica {
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		if r := s.replicas[name]; s.serves(r) && s.makesRoom(r, m) {
			return []*replica{r}
		}
	}
	if s.replicaCount[m.Name] > 0 || s.fleet.Demand[m.Name] == 0 {
		return nil
	}
	return s.replicasToCloseForFirst(m)
}

// serves returns whether r is listed as serving and is not being retired.
func (s *step) serves(r *replica) bool {
	return s.complete(r) && r.members[0].Member.State == site.Open && s.planner.retired[r.name] == nil
}

// reliable returns whether server has not failed lately and is not slow: no replica is closed for one that may
// not be there.
func (s *step) reliable(server site.Server) bool {
	return s.planner.failures[server.ID].count == 0 && !s.slow(server)
}

// countReliable returns how many reliable idle servers of a fabric domain can run m without a load.
func (s *step) countReliable(domain string, m site.Model) int {
	return len(slices.DeleteFunc(s.capable(s.idle[domain], m), func(server site.Server) bool { return !s.reliable(server) }))
}

// makesRoom returns whether closing r makes room for a replica of m and is worth it.
func (s *step) makesRoom(r *replica, m site.Model) bool {
	if r.model.Name == m.Name || r.model.Size >= m.Size {
		return false
	}
	free := s.countReliable(r.members[0].FabricDomain, m)
	if free == 0 || free >= m.Size || free+len(s.capable(slices.Collect(maps.Values(r.members)), m)) < m.Size {
		return false
	}
	return s.need(m) > retireNeedRatio*s.remainingNeed(r.model)
}

// replicasToCloseForFirst returns the replicas to close for the first one of m, in the fabric
// domain where the fewest must close, even if no server is idle. It is worth it at any need, since
// otherwise no request for m is served.
func (s *step) replicasToCloseForFirst(m site.Model) []*replica {
	serving := make(map[string][]*replica)
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		if r := s.replicas[name]; r.model.Name != m.Name && s.serves(r) && !s.outOfService(r.members[0]) && s.replicaCount[r.model.Name] > 1 {
			domain := r.members[0].FabricDomain
			serving[domain] = append(serving[domain], r)
		}
	}
	var fewest []*replica
	for _, domain := range slices.Sorted(maps.Keys(serving)) {
		var toClose []*replica
		servers := s.countReliable(domain, m)
		for _, r := range serving[domain] {
			if members := len(s.capable(slices.Collect(maps.Values(r.members)), m)); members > 0 && servers < m.Size {
				toClose, servers = append(toClose, r), servers+members
			}
		}
		if servers >= m.Size && (fewest == nil || len(toClose) < len(fewest)) {
			fewest = toClose
		}
	}
	return fewest
}

// retirementDone returns whether r was retired, and all replicas retired with it have closed as
// well, so that its servers are free.
func (s *step) retirementDone(r *replica) bool {
	ret := s.planner.retired[r.name]
	return ret != nil && !slices.ContainsFunc(ret.replicas, func(name string) bool {
		other, ok := s.replicas[name]
		h := s.planner.heads[name]
		return ok && h != nil && s.complete(other) && h.mayServe(s.now, other.members[0].Member.State)
	})
}
