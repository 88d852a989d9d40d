package formation

import (
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// An Evidence is what shows that the head of a replica has stopped serving.
type Evidence int

// The kinds of evidence.
const (
	// NoEvidence means that nothing shows it.
	NoEvidence Evidence = iota
	// StopAccepted means that the head accepted an order to stop, and StopDeclined that it declined one.
	StopAccepted
	StopDeclined
	// LeaveAccepted means that the head accepted an order to leave its replica.
	LeaveAccepted
	// OpenRefused means that the head declined or fenced the order to open.
	OpenRefused
)

// String returns the name of e.
func (e Evidence) String() string {
	return [...]string{"none", "stop_accepted", "stop_declined", "leave_accepted", "open_refused"}[e]
}

// A Closure is that the head of a replica is taken to have stopped serving, in the state in which it is listed. With
// Contradicted the list shows it open although nothing has ordered it to open since.
type Closure struct {
	Replica      string
	Epoch        int64
	Head         string
	Evidence     Evidence
	Listed       site.MemberState
	Contradicted bool
	// Age is how long ago the evidence was found.
	Age time.Duration
}

// Closures returns the closures found since the last call.
func (p *Planner) Closures() []Closure {
	out := p.closures
	p.closures = nil
	return out
}

// recordClosed records that the head of group has stopped serving.
func (p *Planner) recordClosed(now time.Duration, h *head, e Evidence) {
	h.closedAt, h.evidence = now, e
	p.closures = append(p.closures, h.closure(now))
}

// recordContradiction records that the list shows the head of group open although it was taken to have stopped.
func (p *Planner) recordContradiction(now time.Duration, h *head) {
	c := h.closure(now)
	c.Contradicted = true
	p.closures = append(p.closures, c)
}

// closure returns what is known of the close of h.
func (h *head) closure(now time.Duration) Closure {
	m := h.server.Member
	c := Closure{Replica: m.Group, Epoch: m.Epoch, Head: h.server.ID, Listed: m.State}
	if h.closedAt > 0 {
		c.Evidence, c.Age = h.evidence, now-h.closedAt
	}
	return c
}

// previous returns what is known of the replica that server is listed in, or left, other than the one with the given name.
func (s *step) previous(server site.Server, name string) Closure {
	group := server.Member.Group
	if group == "" {
		group = s.planner.left[server.ID].group
	}
	if group == "" || group == name {
		return Closure{}
	}
	if h, ok := s.planner.heads[group]; ok && h.server.ID != "" {
		return h.closure(s.now)
	}
	return Closure{Replica: group}
}
