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

// mayLoseMember returns whether an order to join another replica, which is on its way, was accepted, or is carried out
// late, may take a member away from r.
func (s *step) mayLoseMember(r *replica) bool {
	for _, server := range r.members {
		if sent, ok := s.planner.sentJoins[server.ID]; ok && sent.epoch > r.epoch && s.now-sent.at < maxOrderDelay {
			return true
		}
		if l, ok := s.planner.unansweredJoins[server.ID]; ok && l.epoch > r.epoch && l.mayTakeEffect(s.now) {
			return true
		}
	}
	return false
}

// usable returns whether server can be a member of a replica.
func (s *step) usable(server site.Server) bool {
	return !server.Draining && !s.fleet.Dead[server.ID]
}

// assignable returns whether server can be given new work. Servers that are cut off from the store
// cannot, since the list would not show what they do with it.
func (s *step) assignable(server site.Server) bool {
	return s.usable(server) && !s.fleet.CutOff[server.ID]
}

// outOfService returns whether operators took the failure domain of server out of service. Its
// replicas stay as they are, so that they serve as soon as it is put back.
func (s *step) outOfService(server site.Server) bool {
	return s.fleet.OutOfService[server.FailureDomain]
}

// applySeen keeps the servers in the replicas of this term in which they were last listed while the list shows them with a
// lower epoch or in none, and they do not report that themselves. Only an order to leave, a later join and a new start take a
// server out of its replica.
func (s *step) applySeen() {
	p := s.planner
	s.fleet.Servers = maps.Clone(s.fleet.Servers)
	for id, server := range s.fleet.Servers {
		last, known := p.seen[id]
		switch epoch := server.Member.Epoch; {
		case known && server.Born == last.born && epoch < last.member.Epoch && !s.outdated(id, last):
			server.Member = last.member
			s.fleet.Servers[id] = server
			s.askPlace(server)
		case epoch >= p.term*epochsPerTerm && epoch > p.leaveOrdered[id]:
			p.seen[id] = seenMember{member: server.Member, born: server.Born, at: s.now}
		default:
			delete(p.seen, id)
		}
	}
}

// applyLeft takes the servers out of the replicas that they have left, which the list shows only later.
func (s *step) applyLeft() {
	for id, l := range s.planner.left {
		server, listed := s.fleet.Servers[id]
		if listed && server.Member.State == site.Unassigned {
			continue
		}
		if !listed || server.Member.Group != l.group || server.Member.Epoch != l.epoch {
			delete(s.planner.left, id)
			continue
		}
		server.Member = site.Membership{}
		s.fleet.Servers[id] = server
	}
}

// collectReplicas groups the servers by the replica that they report.
func (s *step) collectReplicas() {
	s.replicas, s.busy, s.serving = make(map[string]*replica), make(map[string]bool), make(map[string]bool)
	s.awaitingClose = make(map[string]bool)
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
			s.updateHead(m.Group, server)
		}
		if m.State >= site.Ready && !s.fleet.TrafficStarted {
			delete(s.planner.loading, id)
		}
	}
}

// reconcileReplicas opens complete replicas, closes those that lack a member, and continues with
// those that are being formed.
func (s *step) reconcileReplicas() {
	for name, f := range s.planner.forming {
		if !f.failed && s.abandoned(f) {
			f.failed = true
			if s.now-f.at > joinTimeout {
				s.recordAbandoned(name, f)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[name]
		if s.complete(r) {
			s.reconcileComplete(r)
			continue
		}
		if s.servesFormerModel(r) {
			continue
		}
		s.reconcileIncomplete(r)
	}
	for _, name := range slices.Sorted(maps.Keys(s.planner.forming)) {
		f := s.planner.forming[name]
		if r, ok := s.replicas[name]; ok && s.complete(r) && !f.failed {
			continue
		}
		s.reconcileForming(name, f)
	}
}

// markPending records that server has not reported the effect of an order yet.
func (s *step) markPending(server site.Server) { s.planner.pending = append(s.planner.pending, server) }

// complete returns whether r has all its members, every one of them is usable, and its head is not
// broken.
func (s *step) complete(r *replica) bool {
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

// reconcileComplete opens r once all its members are ready.
func (s *step) reconcileComplete(r *replica) {
	s.replicaCount[r.model.Name]++
	ready := true
	headServer, h := r.members[0], s.planner.heads[r.name]
	h.incomplete = false
	if retirement := s.planner.retired[r.name]; retirement != nil && s.now-retirement.at > retireInterval && s.retirementDone(r) {
		// No other replica was formed from the servers that it freed.
		delete(s.planner.retired, r.name)
	}
	if s.planner.retired[r.name] != nil {
		s.replicaCount[r.model.Name]--
		if s.retirementDone(r) {
			// Its members are free.
			return
		}
		// Its own report shows sooner than the list that it has closed.
		s.markPending(headServer)
		if ret := s.planner.retired[r.name]; h.listedClosed || ret.forPace && s.now-ret.at > drainTime && headServer.Member.State > site.Ready {
			// The head has no more requests, or they go on elsewhere sooner than here.
			s.orderAction(headServer, Preempt, r.name, r.epoch)
		}
	}
	for _, server := range r.members {
		s.busy[server.ID], s.serving[server.ID] = true, true
		ready = ready && server.Member.State >= site.Ready && !s.fleet.CutOff[server.ID]
		if server.Member.State == site.Joining {
			s.markPending(server)
		}
	}
	if s.outOfService(headServer) {
		s.replicaCount[r.model.Name]--
		delete(s.planner.forming, r.name)
		return
	}
	if headServer.Member.State == site.Open {
		delete(s.planner.forming, r.name)
		s.recordServing(r)
	}
	if ready && headServer.Member.State == site.Ready && h.opening(s.now) {
		s.markPending(headServer)
	}
	if s.planner.retired[r.name] != nil || !ready || headServer.Member.State != site.Ready || s.mayLoseMember(r) || !s.confirmMembers(r) {
		return
	}
	if s.orderAction(headServer, Open, r.name, r.epoch) {
		h.recordOpenOrder(s.now, s.planner.formTime)
	}
}

// reconcileIncomplete closes r. Its members become idle once its head cannot serve any more.
func (s *step) reconcileIncomplete(r *replica) {
	if f, ok := s.planner.forming[r.name]; ok && !f.failed {
		// Some members have not reported yet.
		return
	}
	s.recordLoss(r)
	headServer, ok := r.members[0]
	if ok && !s.fleet.Dead[headServer.ID] {
		s.closeHead(r, headServer)
		return
	}
	s.reconcileHeadless(r)
}

// awaitClose keeps the members of r busy while its head may still serve.
func (s *step) awaitClose(r *replica) {
	s.awaitingClose[r.name] = true
	for _, server := range r.members {
		if s.busy[server.ID] = true; s.assignable(server) {
			// Its report is there when the head has stopped.
			s.confirmPlace(server)
		}
	}
}

// abandoned returns whether a replica that is being formed cannot be completed.
func (s *step) abandoned(f *formingReplica) bool {
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

// reconcileForming repeats orders to join that had no effect yet, and keeps the members of the
// replica that is being formed busy.
func (s *step) reconcileForming(name string, f *formingReplica) {
	if f.failed {
		delete(s.planner.forming, name)
		return
	}
	s.replicaCount[f.model]++
	for _, id := range f.members {
		s.busy[id], s.serving[id] = true, true
		server := s.fleet.Servers[id]
		if server.Member.Epoch == f.epoch {
			delete(s.planner.failures, id)
			continue
		}
		if s.mayJoin(server, name) {
			s.orderJoin(server, name, f)
			s.markPending(server)
		}
	}
}
