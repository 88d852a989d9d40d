package formation

import (
	"maps"
	"time"
)

// A Cause is why a replica that served stopped.
type Cause int

// The causes.
const (
	// MemberDead means that a member answers nobody.
	MemberDead Cause = iota
	// MemberLeft means that a member is leaving, or gone from the list.
	MemberLeft
	// MemberElsewhere means that a member has a new life or another replica, or that the
	// head broke.
	MemberElsewhere
)

// String returns the name of c.
func (c Cause) String() string {
	return [...]string{"member_dead", "member_left", "member_elsewhere"}[c]
}

// A Repair is the end of the time in which none of the servers of a replica that was
// lost served. Downtime counts from when the loss was known.
type Repair struct {
	Replica  string
	Model    string
	Cause    Cause
	Downtime time.Duration
}

// A loss is a replica that stopped to serve at a time.
type loss struct {
	replica string
	model   string
	cause   Cause
	at      time.Duration
	over    bool
}

// An StoppedReplica is a replica that served and does not any more, as far as is known.
type StoppedReplica struct {
	Replica string
	Epoch   int64
}

// StoppedReplicas returns the replicas that stopped to serve since the last call.
func (p *Planner) StoppedReplicas() []StoppedReplica {
	out := p.endings
	p.endings = nil
	return out
}

// Repairs returns the repairs since the last call.
func (p *Planner) Repairs() []Repair {
	out := p.repairs
	p.repairs = nil
	return out
}

// noteServing notes that r serves, and ends the losses of its members.
func (s *step) noteServing(r *replica) {
	p := s.planner
	if p.serving[r.name] == nil {
		for rank := range r.model.Size {
			p.serving[r.name] = append(p.serving[r.name], r.members[rank].ID)
		}
	}
	for _, server := range r.members {
		l := p.lost[server.ID]
		if l == nil || l.replica == r.name {
			continue
		}
		delete(p.lost, server.ID)
		if !l.over {
			l.over = true
			p.repairs = append(p.repairs, Repair{Replica: l.replica, Model: l.model, Cause: l.cause, Downtime: s.now - l.at})
		}
	}
}

// noteLoss notes that r does not serve any more, if it did.
func (s *step) noteLoss(r *replica) {
	p := s.planner
	members, served := p.serving[r.name]
	if !served {
		return
	}
	delete(p.serving, r.name)
	p.endings = append(p.endings, StoppedReplica{Replica: r.name, Epoch: r.epoch})
	l := &loss{replica: r.name, model: r.model.Name, cause: s.cause(members), at: s.now}
	for _, server := range r.members {
		if s.usable(server) {
			p.lost[server.ID] = l
		}
	}
}

// cause returns why a replica that had members stopped.
func (s *step) cause(members []string) Cause {
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

// forgetLosses drops the losses of servers that are gone, and replicas that are over.
func (s *step) forgetLosses() {
	p := s.planner
	maps.DeleteFunc(p.lost, func(id string, _ *loss) bool { _, listed := s.fleet.Servers[id]; return !listed })
	maps.DeleteFunc(p.serving, func(name string, _ []string) bool { return s.replicas[name] == nil })
}
