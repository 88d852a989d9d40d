package formation

import (
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// formSuccessors forms the successor of a lost replica while the head of the lost one is still
// closing. Idle servers load the model from their hosts, which takes longer than it takes the
// remaining members to rejoin, so they start at once; the remaining members join when they are
// free. An idle server becomes the head, so that if the successor is not completed nothing has to
// wait for its head.
func (s *step) formSuccessors() {
	if !s.fleet.TrafficStarted {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.awaitingClose)) {
		r := s.replicas[name]
		if s.planner.successorOrdered[name] || !s.mostNeeded(r.model) {
			continue
		}
		if members := s.successorMembers(r); members != nil {
			s.planner.successorOrdered[name] = true
			s.formReplica(r.model, members)
		}
	}
}

// successorMembers returns the members of the successor of r, those that can join at once first. It
// returns nil if there are not enough, or if none of them has to load the model from its host.
func (s *step) successorMembers(r *replica) []site.Server {
	var remaining []site.Server
	for _, rank := range slices.Sorted(maps.Keys(r.members)) {
		server := r.members[rank]
		_, held := s.planner.held[server.ID]
		// A member that is marked as serving is already on its way to another replica.
		if !held && !s.serving[server.ID] && s.assignable(server) && !s.outOfService(server) && !s.mayReopen(server) && s.confirmPlace(server) {
			remaining = append(remaining, server)
		}
	}
	if len(remaining) == 0 {
		return nil
	}
	spares := slices.DeleteFunc(s.capable(s.idle[remaining[0].FabricDomain], r.model), func(spare site.Server) bool {
		return s.timeToReady(spare, r.model) == 0
	})
	slices.SortStableFunc(remaining, s.compareSlow)
	if sound := remaining[:len(remaining)-s.countSlow(remaining)]; len(sound) > 0 && len(sound)+len(spares)-s.countSlow(spares) >= r.model.Size {
		remaining = sound
	}
	missing := r.model.Size - len(remaining)
	if missing <= 0 || len(spares) < missing {
		return nil
	}
	return slices.Concat(spares[:missing], remaining)
}

// mayJoin returns whether server may be ordered into the replica with the given name: the replica
// that it is in or has left has ended, and the planner is not waiting for the head of that one.
func (s *step) mayJoin(server site.Server, name string) bool {
	if _, held := s.planner.held[server.ID]; held || s.mayReopen(server) {
		return false
	}
	// The list may have gone back since the replica was planned. An order that is repeated relies on the place of before.
	f, forming := s.planner.forming[name]
	if repeated := forming && s.planner.highestEpoch[server.ID] == f.epoch; !repeated && server.Member.Group != name && !s.confirmPlace(server) {
		return false
	}
	if server.Member.State == site.Unassigned || server.Member.Group == name {
		return true
	}
	r, ok := s.replicas[server.Member.Group]
	return !ok || !s.awaitingClose[r.name] && (!s.complete(r) || s.retirementDone(r))
}
