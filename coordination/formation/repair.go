package formation

import (
	"maps"
	"time"
)

// A Cause is why a replica stopped serving.
type Cause int

// The causes.
const (
	// MemberDead means that a member does not answer any hub.
	MemberDead Cause = iota
	// MemberLeft means that a member is leaving or is no longer listed.
	MemberLeft
	// MemberElsewhere means that a member has restarted or joined another replica, or that the head
	// broke.
	MemberElsewhere
)

// String returns the name of c.
func (c Cause) String() string {
	return [...]string{"member_dead", "member_left", "member_elsewhere"}[c]
}

// A Repair is the end of the time in which none of the servers of a lost replica served. Downtime
// counts from when the loss was detected.
type Repair struct {
	Replica  string
	Model    string
	Cause    Cause
	Downtime time.Duration
}

// A loss is a replica that stopped serving.
type loss struct {
	replica  string
	model    string
	cause    Cause
	at       time.Duration
	repaired bool
}

// A StoppedReplica is a replica that served and, as far as the planner knows, no longer does.
type StoppedReplica struct {
	Replica string
	Epoch   int64
}

// StoppedReplicas returns the replicas that stopped serving since the last call.
func (p *Planner) StoppedReplicas() []StoppedReplica {
	out := p.stopped
	p.stopped = nil
	return out
}

// Repairs returns the repairs since the last call.
func (p *Planner) Repairs() []Repair {
	out := p.repairs
	p.repairs = nil
	return out
}

// recordServing records that r serves, and ends the losses of its members.
func (s *step) recordServing(r *replica) {
	p := s.planner
	if p.servingMembers[r.name] == nil {
		for rank := range r.model.Size {
			p.servingMembers[r.name] = append(p.servingMembers[r.name], r.members[rank].ID)
		}
	}
	for _, server := range r.members {
		l := p.losses[server.ID]
		if l == nil || l.replica == r.name {
			continue
		}
		delete(p.losses, server.ID)
		if !l.repaired {
			l.repaired = true
			p.repairs = append(p.repairs, Repair{Replica: l.replica, Model: l.model, Cause: l.cause, Downtime: s.now - l.at})
		}
	}
}

// recordLoss records that r no longer serves, if it did.
func (s *step) recordLoss(r *replica) {
	p := s.planner
	members, served := p.servingMembers[r.name]
	if !served {
		return
	}
	delete(p.servingMembers, r.name)
	p.stopped = append(p.stopped, StoppedReplica{Replica: r.name, Epoch: r.epoch})
	l := &loss{replica: r.name, model: r.model.Name, cause: s.lossCause(members), at: s.now}
	for _, server := range r.members {
		if s.usable(server) {
			p.losses[server.ID] = l
		}
	}
}

// lossCause returns why a replica with the given members stopped serving.
func (s *step) lossCause(members []string) Cause {
	left := false
	for _, id := range members {
		server, listed := s.fleet.Servers[id]
		if s.fleet.Dead[id] {
			return MemberDead
		}
		left = left || !listed || server.Draining
	}
	if left {
		return MemberLeft
	}
	return MemberElsewhere
}

// forgetLosses drops the losses of unlisted servers, and replicas that no longer exist.
func (s *step) forgetLosses() {
	p := s.planner
	maps.DeleteFunc(p.losses, func(id string, _ *loss) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.servingMembers, func(name string, _ []string) bool { return s.replicas[name] == nil })
}
