package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A hold keeps a server that left group from joining another one until a time at
// which the head is broken for certain.
type hold struct {
	group string
	until time.Duration
}

// A head is what is known of the head of a replica. The list lags, and stands still
// for a server that is cut off from it, so that answers to orders count as well.
type head struct {
	server site.Server
	// lost means that its replica has missed a member since lostAt.
	lost   bool
	lostAt time.Duration
	// unlisted means that it is not listed although its members are.
	unlisted bool
	// absent means that nothing is at its address any more.
	absent bool
	// openedAt is when it was last ordered to open, for all that is known: the leader
	// before may have done so until the term began. unansweredAt is when such an order
	// last got no answer, and closedAt when it was last known to have stopped.
	openedAt     time.Duration
	unansweredAt time.Duration
	closedAt     time.Duration
	// seenAt is when its replica last had a member, or a server was held for it.
	seenAt time.Duration
	// taken are the members of its replica, formed by a leader before, that have taken an
	// order of this term.
	taken map[string]bool
}

// mayOpenLate returns whether h may still carry out an order to open that it left
// unanswered.
func (h *head) mayOpenLate(now time.Duration) bool {
	return h.unansweredAt > 0 && now-h.unansweredAt < lateOrder
}

// closeTime is how long a head takes to stop at once.
const closeTime = 400 * time.Millisecond

// mayServe returns whether h may be serving at now, given the state that the list
// has of it.
func (h *head) mayServe(now time.Duration, listed site.MemberState) bool {
	if h.mayOpenLate(now) {
		return true
	}
	stopped := h.closedAt > 0 && h.closedAt >= h.openedAt
	if listed == site.Open || listed == site.Closing {
		return !stopped || now-h.closedAt < closeTime
	}
	return notYetOpen(listed) && h.openedAt > 0 && !stopped
}

// notYetOpen returns whether a head that the list shows like this may have opened since.
func notYetOpen(listed site.MemberState) bool { return listed == site.Joining || listed == site.Ready }

// openMargin is added to the time in which a head forms its replica until the list shows it
// open: the way of the order, and the lag of the list.
const openMargin = 900 * time.Millisecond

// opening returns whether h may be forming its replica, which takes the time form: what it
// says of an order to close does not hold for the time after that.
func (h *head) opening(now, form time.Duration) bool {
	return notYetOpen(h.server.Member.State) && h.openedAt > 0 && now-h.openedAt < form+openMargin
}

// answered takes the answer to an order to h. Rejoins means that it may join its replica
// again by an order that is carried out late.
func (h *head) answered(now time.Duration, action Action, a Answer, rejoins bool) {
	h.absent = h.absent || a == Absent
	switch action {
	case Open:
		if a == Unknown {
			h.unansweredAt = now
		}
		if a == Declined || a == Fenced {
			h.closedAt = now
		}
	case Preempt:
		// A head that declines is not open.
		if a == Accepted || a == Declined {
			h.closedAt = now
		}
	case Leave:
		if a == Accepted {
			h.closedAt = now
		}
		if a == Accepted && !rejoins {
			// An order to open does not fit it any more.
			h.unansweredAt = 0
		}
	case Join, Close, Stage:
	}
}

// take notes that a member of the replica of h has taken an order of this term.
func (h *head) take(id string) {
	if h.taken == nil {
		h.taken = make(map[string]bool)
	}
	h.taken[id] = true
}

// takenOver returns whether no member of r can be taken away by a leader before, whose orders to
// join another replica may be carried out late. Members of a replica that such a leader
// formed are ordered to join it again, which changes nothing but the term that they know.
func (s *step) takenOver(r *replica) bool {
	if r.epoch >= s.planner.term*epochsPerTerm {
		return true
	}
	f := &formed{model: r.model.Name, epoch: r.epoch}
	for rank := range r.model.Size {
		f.members = append(f.members, r.members[rank].ID)
	}
	all, h := true, s.planner.heads[r.name]
	for rank := range r.model.Size {
		if server := r.members[rank]; !h.taken[server.ID] {
			all = false
			s.orderJoin(server, r.name, f)
			s.await(server)
		}
	}
	return all
}

// lose notes that the replica of h misses a member from now on, if it did not before.
func (h *head) lose(now time.Duration) {
	if !h.lost {
		h.lost, h.lostAt = true, now
	}
}

// head returns what is known of the head of group; at first that is nothing.
func (s *step) head(group string) *head {
	h, ok := s.planner.heads[group]
	if !ok {
		h = &head{}
		s.planner.heads[group] = h
	}
	return h
}

// remember keeps what is known of a head.
func (s *step) remember(group string, server site.Server) {
	_, known := s.planner.heads[group]
	h := s.head(group)
	was, is := h.server.Member.State, server.Member.State
	switch {
	case !known:
		if notYetOpen(is) && server.Member.Epoch < s.planner.term*epochsPerTerm {
			h.openedAt = s.planner.since
		}
	case was == is:
	case was == site.Open || was == site.Closing:
		if is <= site.Ready {
			// The list has moved on from open, so that this is news of a close.
			h.closedAt = s.now
		}
	case is == site.Open:
		// And this is news of an order to open that was carried out.
		h.openedAt = s.now
	}
	h.server, h.unlisted = server, false
}

// closeHead keeps the members of r busy until its head has closed.
func (s *step) closeHead(r *replica, first site.Server) {
	h := s.planner.heads[r.name]
	h.lose(s.now)
	if !h.mayServe(s.now, first.Member.State) {
		return
	}
	s.keep(r)
	action := Preempt
	if s.leaving(r) && s.now-h.lostAt <= queueTime {
		action = Close
	}
	s.orderAbout(first, action, r.name, r.epoch)
	if action == Preempt && h.mayOpenLate(s.now) {
		s.orderAbout(first, Leave, r.name, r.epoch)
	}
}

// leaving returns whether all members of r live and some of them are to go.
func (s *step) leaving(r *replica) bool {
	if len(r.members) != r.model.Size {
		return false
	}
	for _, server := range r.members {
		if s.fleet.Dead[server.ID] {
			return false
		}
	}
	return true
}

// withoutHead keeps the members of r until its head is known not to serve any
// more: it is gone, has a new life, or has been without its members for longer
// than it may stand still.
func (s *step) withoutHead(r *replica) {
	h := s.head(r.name)
	h.lose(s.now)
	h.unlisted = h.server.ID != "" && !s.fleet.Dead[h.server.ID]
	if s.surelyClosed(r.name) {
		return
	}
	s.keep(r)
	if s.now-h.lostAt < lookFirst {
		return
	}
	for _, rank := range slices.Sorted(maps.Keys(r.members)) {
		server := r.members[rank]
		if s.fleet.Dead[server.ID] || server.ID == h.server.ID {
			continue
		}
		if _, ok := s.planner.held[server.ID]; !ok {
			s.planner.held[server.ID] = hold{group: r.name, until: s.now + s.fleet.StallTimeout + holdMargin}
		}
		s.orderAbout(server, Leave, r.name, r.epoch)
	}
}

// lookFirst is how long whoever leads has to find out whether a head that is not listed
// lives, before its members are told to leave it. An entry that lapsed is back within two
// seconds once its server reaches the store, by the platform's pages.
const lookFirst = 2200 * time.Millisecond

// holdMargin is added to the time after which a head without members is broken:
// for the way of the orders to leave.
const holdMargin = time.Second

// surelyClosed returns whether the head of group cannot serve any more: it is
// gone, has a new life or another replica, or said that it closed.
func (s *step) surelyClosed(group string) bool {
	h, ok := s.planner.heads[group]
	if !ok {
		return false
	}
	listed, ok := s.fleet.Servers[h.server.ID]
	// One that is still listed lives, and may serve those who reach it.
	gone := s.fleet.Dead[h.server.ID] && !ok
	// In no replica, it may join and open again by orders that are carried out late.
	elsewhere := listed.Member.Group != group && (listed.Member.State != site.Unassigned || !h.mayOpenLate(s.now))
	reborn := ok && h.server.ID != "" && (listed.Born != h.server.Born || elsewhere)
	return h.absent || reborn || gone || !h.mayOpenLate(s.now) && h.closedAt > 0 && h.closedAt >= h.openedAt && s.now-h.closedAt > closeTime
}

// mayOpenAgain returns whether server, which left a replica that it was the head of, may
// join and open it again by orders that are carried out late.
func (s *step) mayOpenAgain(server site.Server) bool {
	l := s.planner.late[server.ID]
	h, ok := s.planner.heads[l.group]
	return ok && h.server.ID == server.ID && server.Member.Epoch <= l.epoch && l.possible(s.now) && h.mayOpenLate(s.now)
}

// HeadsToProbe returns the heads that servers are held for: whoever leads finds out
// whether they live.
func (p *Planner) HeadsToProbe() []site.Server {
	var out []site.Server
	seen := make(map[string]bool)
	for _, group := range slices.Sorted(maps.Keys(p.heads)) {
		if h := p.heads[group]; h.lost && h.unlisted && h.seenAt == p.steppedAt && !seen[h.server.ID] {
			seen[h.server.ID] = true
			out = append(out, h.server)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		if h, ok := p.heads[p.held[id].group]; ok && h.server.ID != "" && !seen[h.server.ID] {
			seen[h.server.ID] = true
			out = append(out, h.server)
		}
	}
	return out
}

// tendHeld asks heads that cannot be reached to close, and lets go of the servers
// that left them once that is certain.
func (s *step) tendHeld() {
	for _, id := range slices.Sorted(maps.Keys(s.planner.held)) {
		h := s.planner.held[id]
		_, listed := s.fleet.Servers[id]
		if !listed || s.now >= h.until || s.surelyClosed(h.group) {
			delete(s.planner.held, id)
			continue
		}
		s.busy[id] = true
		if first, ok := s.planner.heads[h.group]; ok && first.server.ID != "" {
			s.orderAbout(first.server, Preempt, h.group, first.server.Member.Epoch)
		}
	}
}
