package formation

import (
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A replica is one group of servers as its members report it.
type replica struct {
	name    string
	epoch   int64
	model   site.Model
	members map[int]site.Server
}

// mayLeave returns whether a member of r may be taken away by a late order to join
// another replica.
func (s *step) mayLeave(r *replica) bool {
	for _, server := range r.members {
		if l, ok := s.planner.late[server.ID]; ok && l.epoch > r.epoch && l.possible(s.now) {
			return true
		}
	}
	return false
}

// usable returns whether server can be a member of a replica.
func (s *step) usable(server site.Server) bool {
	return !server.Draining && !s.fleet.Dead[server.ID]
}

// assignable returns whether server can be given something new to do: nobody sees what a
// silent one does with it.
func (s *step) assignable(server site.Server) bool {
	return s.usable(server) && !s.fleet.CutOff[server.ID]
}

// out returns whether operators took the failure domain of server out of service.
// Its replicas stay as they are, so that they serve as soon as it is taken back.
func (s *step) out(server site.Server) bool { return s.fleet.OutOfService[server.FailureDomain] }

// collect puts the servers into their replicas.
func (s *step) collect() {
	s.replicas, s.busy, s.serving = make(map[string]*replica), make(map[string]bool), make(map[string]bool)
	s.kept = make(map[string]bool)
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
		server := s.fleet.Servers[id]
		m := server.Member
		if m.State == site.Unassigned {
			continue
		}
		r, ok := s.replicas[m.Group]
		if !ok {
			model, _ := s.fleet.Engine.Model(ModelOf(m.Group))
			r = &replica{name: m.Group, epoch: m.Epoch, model: model, members: make(map[int]site.Server)}
			s.replicas[m.Group] = r
		}
		r.members[m.Rank] = server
		if m.Rank == 0 {
			s.remember(m.Group, server)
		}
		if m.State >= site.Ready && !s.fleet.TrafficStarted {
			delete(s.planner.loading, id)
		}
	}
}

// tend looks after every replica that exists: it opens complete ones and closes
// those that miss a member.
func (s *step) tend() {
	for _, f := range s.planner.forming {
		f.failed = f.failed || s.abandoned(f)
	}
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[name]
		if s.whole(r) {
			s.tendWhole(r)
			continue
		}
		s.tendBroken(r)
	}
	for _, name := range slices.Sorted(maps.Keys(s.planner.forming)) {
		f := s.planner.forming[name]
		if r, ok := s.replicas[name]; ok && s.whole(r) && !f.failed {
			continue
		}
		s.tendForming(name, f)
	}
}

// await notes that server was ordered something that it does not report yet.
func (s *step) await(server site.Server) { s.planner.awaited = append(s.planner.awaited, server) }

// whole returns whether r has all its members and every one of them is usable.
func (s *step) whole(r *replica) bool {
	if r.model.Size == 0 || len(r.members) != r.model.Size {
		return false
	}
	for rank := range r.model.Size {
		server, ok := r.members[rank]
		if !ok || !s.usable(server) || server.Member.Epoch != r.epoch {
			return false
		}
	}
	return r.members[0].Member.State != site.Broken
}

// tendWhole opens r once all its members are ready.
func (s *step) tendWhole(r *replica) {
	s.have[r.model.Name]++
	ready := true
	first, h := r.members[0], s.planner.heads[r.name]
	h.lost = false
	if ret := s.planner.retired[r.name]; ret != nil && s.now-ret.at > retireInterval && s.leftOver(r) {
		// Nothing came of the room that it made.
		delete(s.planner.retired, r.name)
	}
	if s.planner.retired[r.name] != nil {
		s.have[r.model.Name]--
		if s.leftOver(r) {
			// Its members are free.
			return
		}
	}
	for _, server := range r.members {
		s.busy[server.ID], s.serving[server.ID] = true, true
		ready = ready && server.Member.State >= site.Ready && !s.fleet.CutOff[server.ID]
		if server.Member.State == site.Joining {
			s.await(server)
		}
	}
	if s.out(first) {
		s.have[r.model.Name]--
		delete(s.planner.forming, r.name)
		return
	}
	if first.Member.State == site.Open {
		delete(s.planner.forming, r.name)
		s.noteServing(r)
	}
	if ready && first.Member.State == site.Ready && h.opening(s.now, s.planner.form) {
		s.await(first)
	}
	if s.planner.retired[r.name] != nil || !ready || first.Member.State != site.Ready || s.mayLeave(r) || !s.takenOver(r) {
		return
	}
	if s.orderAbout(first, Open, r.name, r.epoch) {
		h.openedAt = s.now
	}
}

// tendBroken takes r apart. Its members are free once its head cannot serve.
func (s *step) tendBroken(r *replica) {
	if f, ok := s.planner.forming[r.name]; ok && !f.failed {
		// Members are still on their way.
		return
	}
	s.noteLoss(r)
	first, ok := r.members[0]
	if ok && !s.fleet.Dead[first.ID] {
		s.closeHead(r, first)
		return
	}
	s.withoutHead(r)
}

// keep marks the members of r as not free.
func (s *step) keep(r *replica) {
	s.kept[r.name] = true
	for _, server := range r.members {
		s.busy[server.ID] = true
	}
}

// abandoned returns whether a replica that is being formed cannot come about.
func (s *step) abandoned(f *formed) bool {
	for _, id := range f.members {
		server, ok := s.fleet.Servers[id]
		if !ok || !s.assignable(server) {
			return true
		}
		if s.now-f.at > joinTimeout && server.Member.Epoch != f.epoch {
			return true
		}
	}
	return false
}

// tendForming gives orders to join again that had no answer, and keeps the
// members of a replica that is still on its way.
func (s *step) tendForming(name string, f *formed) {
	if f.failed {
		delete(s.planner.forming, name)
		return
	}
	s.have[f.model]++
	for _, id := range f.members {
		s.busy[id], s.serving[id] = true, true
		server := s.fleet.Servers[id]
		if server.Member.Epoch == f.epoch {
			continue
		}
		if s.mayJoin(server, name) {
			s.orderJoin(server, name, f)
			s.await(server)
		}
	}
}
