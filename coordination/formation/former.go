package formation

import (
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// formerModelTime is how long a replica goes on serving after its model has left the configuration or has
// another size: the longest time limit in the users' sheets, 8 s, and the delay with which daemons learn of
// the change.
const formerModelTime = 10 * time.Second

// servesFormerModel returns whether r lacks nothing but its place in the configuration, so that it finishes
// the requests that were accepted before, and keeps its members for that.
func (s *step) servesFormerModel(r *replica) bool {
	if r.model.Size == len(r.members) || r.model.Size > 0 && len(s.planner.servingMembers[r.name]) != len(r.members) {
		return false
	}
	for rank := range len(r.members) {
		server, ok := r.members[rank]
		if !ok || !s.usable(server) || server.Member.Epoch != r.epoch || server.Member.State < site.Ready || server.Member.State == site.Broken {
			return false
		}
	}
	h := s.head(r.name)
	h.markIncomplete(s.now)
	if r.members[0].Member.State != site.Open || s.now-h.incompleteSince > formerModelTime {
		return false
	}
	for _, server := range r.members {
		s.busy[server.ID], s.serving[server.ID] = true, true
	}
	return true
}
