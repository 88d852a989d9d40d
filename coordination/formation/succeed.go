package formation

import (
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// succeed lets free servers join the successor of a replica that is lost while the head
// of that one still closes: from the host they take longer than the members that stay,
// which join once they are free. A free server is the head, so that nothing has to wait
// for the head of a successor that does not come about.
func (s *step) succeed() {
	if !s.fleet.TrafficStarted {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.kept)) {
		r := s.replicas[name]
		if s.planner.succeeded[name] || !s.needed(r.model) {
			continue
		}
		if members := s.successors(r); members != nil {
			s.planner.succeeded[name] = true
			s.join(r.model, members)
		}
	}
}

// successors returns the members of the successor of r, those first that can join at
// once, nil if there are not enough or none of them has to come from its host.
func (s *step) successors(r *replica) []site.Server {
	var stay []site.Server
	for _, rank := range slices.Sorted(maps.Keys(r.members)) {
		server := r.members[rank]
		_, held := s.planner.held[server.ID]
		// A member of a lost replica that is to serve is on its way to another one.
		if !held && !s.serving[server.ID] && s.assignable(server) && !s.out(server) && !s.mayOpenAgain(server) {
			stay = append(stay, server)
		}
	}
	missing := r.model.Size - len(stay)
	if len(stay) == 0 || missing <= 0 {
		return nil
	}
	spares := slices.DeleteFunc(s.capable(s.idle[stay[0].FabricDomain], r.model), func(spare site.Server) bool {
		return s.cost(spare, r.model) == 0
	})
	if len(spares) < missing {
		return nil
	}
	return slices.Concat(spares[:missing], stay)
}

// mayJoin returns whether server may be ordered into the replica of the given name: the
// one that it is in or has left has ended, and nobody waits for the head of that one.
func (s *step) mayJoin(server site.Server, name string) bool {
	if _, held := s.planner.held[server.ID]; held || s.mayOpenAgain(server) {
		return false
	}
	if server.Member.State == site.Unassigned || server.Member.Group == name {
		return true
	}
	r, ok := s.replicas[server.Member.Group]
	return !ok || !s.kept[r.name] && (!s.whole(r) || s.leftOver(r))
}
