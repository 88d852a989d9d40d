package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A hold prevents a server that left group from joining another replica until the head of group is
// certain to have broken.
type hold struct {
	group string
	until time.Duration
}

// A head is what the planner knows of the head of a replica. The list of servers lags, and is not
// updated for a server that is cut off from the store, so the answers to orders count as well.
type head struct {
	server site.Server
	// incomplete means that the replica has been without one of its members since incompleteSince.
	incomplete      bool
	incompleteSince time.Duration
	// unlisted means that the head is missing from the list although its members are listed.
	unlisted bool
	// absent means that connections to the address of the head are refused. The head has ended, or is cut off.
	absent bool
	// openOrderedAt is when the head was last ordered to open. Without a record of that it is the
	// start of the term, as the previous leader may have sent such an order until then, or when the
	// head was first listed as open.
	// openUnansweredAt is when an order to open last had no answer.
	openOrderedAt    time.Duration
	openUnansweredAt time.Duration
	// opensOnTheWay is the number of orders to open without an answer yet. openSettledAt is from when on an order to stop, sent
	// then, does not reach the head while it forms its replica for an order to open: what it answers sooner does not hold.
	opensOnTheWay int
	openSettledAt time.Duration
	// closedAt is when the head was known to have stopped serving. It is zero if the head was ordered to open or listed as
	// open since. Times cannot show which came first: the list may show the close in the step that orders to open.
	closedAt time.Duration
	// evidence is what showed it.
	evidence Evidence
	// closeOrdered means that the head was ordered to stop serving since it was last ordered to open, listedClosed that
	// the list has shown it closed since then. The list may only lag, so that the head is asked by an order to stop.
	closeOrdered, listedClosed bool
	// seenAt is when the replica last had a member or a server held for it.
	seenAt time.Duration
	// confirmed are the members of a replica formed by an earlier leader that have accepted an
	// order of this term.
	confirmed map[string]bool
}

// mayOpenLate returns whether h may still carry out an order to open that it left unanswered.
func (h *head) mayOpenLate(now time.Duration) bool {
	return h.openUnansweredAt > 0 && now-h.openUnansweredAt < maxOrderDelay
}

// closeTime is how long a head takes to stop serving after an order to preempt.
const closeTime = 400 * time.Millisecond

// mayServe returns whether h may be serving at now, given the state in which it is listed.
func (h *head) mayServe(now time.Duration, listed site.MemberState) bool {
	if h.opensOnTheWay > 0 || h.mayOpenLate(now) {
		return true
	}
	stopped := h.closedAt > 0
	if listed == site.Open || listed == site.Closing {
		return !stopped || now-h.closedAt < closeTime
	}
	return notYetOpen(listed) && h.openOrderedAt > 0 && !stopped
}

// notYetOpen returns whether a head is listed in a state from which it may have opened since.
func notYetOpen(listed site.MemberState) bool { return listed == site.Joining || listed == site.Ready }

const (
	// openMargin is added to the time in which a head forms its replica, from the order to open on. It covers the delivery
	// of the order and the lag of the list.
	openMargin = 900 * time.Millisecond
	// formMargin is the same from the answer to the order on: a head that is slower than published.
	formMargin = 300 * time.Millisecond
)

// opening returns whether h may have been forming its replica at a time, or be ordered to. Its answer to an order to preempt
// that was sent then does not hold for the time after.
func (h *head) opening(at time.Duration) bool { return h.opensOnTheWay > 0 || at < h.openSettledAt }

// recordOpenOrder records that h was ordered to open, to form its replica in formTime.
func (h *head) recordOpenOrder(now, formTime time.Duration) {
	h.openOrderedAt, h.closedAt, h.closeOrdered, h.listedClosed = now, 0, false, false
	h.opensOnTheWay++
	h.openSettledAt = now + formTime + openMargin
}

// recordOpenAnswer records the answer to an order to open h.
func (h *head) recordOpenAnswer(now, formTime time.Duration, a Answer) {
	if h.opensOnTheWay--; a == Accepted {
		h.openSettledAt = now + formTime + formMargin
	}
}

// recordHeadAnswer records the answer to o, an order to h. mayRejoin means that an order carried out late
// may make h join its replica again.
func (p *Planner) recordHeadAnswer(now time.Duration, h *head, o Order, a Answer, mayRejoin bool) {
	h.absent = h.absent || a == Absent
	if o.SentAt < h.openOrderedAt && a != Unknown {
		// The head was ordered to open since, and the answer says nothing about that.
		return
	}
	switch o.Action {
	case Open:
		if a == Unknown {
			h.openUnansweredAt = now
		}
		if a == Declined || a == Fenced {
			p.recordClosed(now, h, OpenRefused)
		}
	case Preempt:
		// A head that declines is not serving.
		if a == Accepted {
			p.recordClosed(now, h, StopAccepted)
		}
		if a == Declined {
			p.recordClosed(now, h, StopDeclined)
		}
	case Leave:
		if a == Accepted {
			p.recordClosed(now, h, LeaveAccepted)
		}
		if a == Accepted && !mayRejoin {
			// An order to open that arrives now is declined.
			h.openUnansweredAt = 0
		}
	case Join, Close, Stage:
	}
}

// confirm records that a member of h's replica has accepted an order of this term.
func (h *head) confirm(id string) {
	if h.confirmed == nil {
		h.confirmed = make(map[string]bool)
	}
	h.confirmed[id] = true
}

// confirmMembers returns whether no member of r can be taken away by an order of an earlier leader
// to join another replica, carried out late. It orders the members of a replica formed by such a
// leader to join that replica again, which only raises the term that they know: they then refuse
// orders of earlier terms.
func (s *step) confirmMembers(r *replica) bool {
	if r.epoch >= s.planner.term*epochsPerTerm {
		return true
	}
	f := &formingReplica{model: r.model.Name, epoch: r.epoch}
	for rank := range r.model.Size {
		f.members = append(f.members, r.members[rank].ID)
	}
	confirmed, h := true, s.planner.heads[r.name]
	for rank := range r.model.Size {
		if server := r.members[rank]; !h.confirmed[server.ID] {
			confirmed = false
			s.orderJoin(server, r.name, f)
			s.markPending(server)
		}
	}
	return confirmed
}

// markIncomplete records that the replica of h lacks a member from now on, unless it already did.
func (h *head) markIncomplete(now time.Duration) {
	if !h.incomplete {
		h.incomplete, h.incompleteSince = true, now
	}
}

// head returns the record of the head of group, and creates it if there is none.
func (s *step) head(group string) *head {
	h, ok := s.planner.heads[group]
	if !ok {
		h = &head{}
		s.planner.heads[group] = h
	}
	return h
}

// updateHead updates the record of the head of group from its list entry.
func (s *step) updateHead(group string, server site.Server) {
	h := s.head(group)
	known := h.server.ID != ""
	was, is := h.server.Member.State, server.Member.State
	reopened := false
	switch {
	case !known:
		if notYetOpen(is) && server.Member.Epoch < s.planner.term*epochsPerTerm {
			h.openOrderedAt = s.planner.termStart
			h.openSettledAt = s.planner.termStart + s.planner.formTime + openMargin
		}
		if is == site.Open || is == site.Closing {
			h.openOrderedAt = s.now
		}
	case was == is:
	case was == site.Open || was == site.Closing:
		h.listedClosed = is <= site.Ready && h.closeOrdered
	case is == site.Open:
		// An order to open was carried out.
		reopened = h.closedAt > 0
	}
	h.server, h.unlisted = server, false
	if reopened {
		s.planner.recordContradiction(s.now, h)
		h.closedAt = 0
		// The list may only lag behind the answer to the order to stop, so that the head is asked again at once.
		delete(s.planner.sentOrders, orderKey(server.ID, Preempt, group))
	}
}

// closeHead keeps the members of r busy until its head has closed.
func (s *step) closeHead(r *replica, server site.Server) {
	h := s.planner.heads[r.name]
	h.markIncomplete(s.now)
	if !h.mayServe(s.now, server.Member.State) {
		return
	}
	s.awaitClose(r)
	action := Preempt
	if s.plannedLeave(r) && s.now-h.incompleteSince <= drainTime && !h.listedClosed {
		action = Close
	}
	s.orderAction(server, action, r.name, r.epoch)
	if action == Preempt && h.mayOpenLate(s.now) {
		s.orderAction(server, Leave, r.name, r.epoch)
	}
}

// plannedLeave returns whether r is incomplete only because members are leaving as planned: all of
// them are listed and none is dead.
func (s *step) plannedLeave(r *replica) bool {
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

// reconcileHeadless keeps the members of r busy until its head is known not to serve any more: because it has
// restarted, or has been without its members for longer than the stall timeout. Members of a head that is lost are
// free once they have left it: it may only be cut off, and serve.
func (s *step) reconcileHeadless(r *replica) {
	h := s.head(r.name)
	h.markIncomplete(s.now)
	h.unlisted = h.server.ID != "" && !s.fleet.Dead[h.server.ID]
	if s.knownClosed(r.name) {
		return
	}
	s.awaitClose(r)
	lost := s.lostHead(r.name)
	if !lost && s.now-h.incompleteSince < headProbeTime {
		return
	}
	for _, rank := range slices.Sorted(maps.Keys(r.members)) {
		server := r.members[rank]
		if s.fleet.Dead[server.ID] || server.ID == h.server.ID {
			continue
		}
		if _, ok := s.planner.held[server.ID]; !ok && !lost {
			s.planner.held[server.ID] = hold{group: r.name, until: s.now + s.fleet.StallTimeout + holdMargin}
		}
		s.orderAction(server, Leave, r.name, r.epoch)
	}
}

// headProbeTime is how long the leader has to find out whether an unlisted head is alive before its
// members are ordered to leave it. According to the platform's documentation, an expired entry is
// back within two seconds of its server reaching the store.
const headProbeTime = 2200 * time.Millisecond

// holdMargin is added to the stall timeout after which a head without members is broken, for the
// delivery of the orders to leave.
const holdMargin = time.Second

// lostHead returns whether the head of group has probably ended: connections to it are refused, or it answers no probe and
// its entry has lapsed. The same is seen of a head that is cut off from the store and from all daemons, but serves.
func (s *step) lostHead(group string) bool {
	h, ok := s.planner.heads[group]
	if !ok || h.server.ID == "" {
		return false
	}
	_, listed := s.fleet.Servers[h.server.ID]
	return h.absent || s.fleet.Dead[h.server.ID] && !listed
}

// knownClosed returns whether the head of group cannot serve any more: it has restarted, is in another replica, or
// answered that it closed.
func (s *step) knownClosed(group string) bool {
	h, ok := s.planner.heads[group]
	if !ok {
		return false
	}
	listed, ok := s.fleet.Servers[h.server.ID]
	// The list may be older than the join of the head, and a head in no replica may join and open this one again by orders
	// that are carried out late.
	elsewhere := listed.Member.Epoch > h.server.Member.Epoch ||
		listed.Member.Group != group && ok && s.confirmPlace(listed) && (listed.Member.State != site.Unassigned || !h.mayOpenLate(s.now))
	// A start after the one that is listed may have joined and opened this replica again.
	restarted := ok && listed.Born != h.server.Born && s.confirmPlace(listed)
	restartedOrMoved := ok && h.server.ID != "" && (restarted || elsewhere)
	return restartedOrMoved || h.opensOnTheWay == 0 && !h.mayOpenLate(s.now) && h.closedAt > 0 && s.now-h.closedAt > closeTime
}

// mayReopen returns whether server, which left a replica, may join it again by an order that is carried out late, while the head
// of that replica may serve: server itself, which may also be opened late, or another one.
func (s *step) mayReopen(server site.Server) bool {
	l := s.planner.unansweredJoins[server.ID]
	h, ok := s.planner.heads[l.group]
	if !ok || server.Member.Epoch > l.epoch || !l.mayTakeEffect(s.now) {
		return false
	}
	if h.server.ID == server.ID {
		return h.mayOpenLate(s.now)
	}
	return server.Member.Group != l.group && h.openOrderedAt > 0 && !s.knownClosed(l.group)
}

// HeadsToProbe returns the unlisted heads and those that servers are held for. The leader has to
// find out whether they are alive.
func (p *Planner) HeadsToProbe() []site.Server {
	var out []site.Server
	seen := make(map[string]bool)
	for _, group := range slices.Sorted(maps.Keys(p.heads)) {
		if h := p.heads[group]; h.incomplete && h.unlisted && h.seenAt == p.steppedAt && !seen[h.server.ID] {
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

// reconcileHeld orders heads that cannot be reached to stop, and releases the held servers once
// their head is certain not to serve.
func (s *step) reconcileHeld() {
	for _, id := range slices.Sorted(maps.Keys(s.planner.held)) {
		h := s.planner.held[id]
		server, listed := s.fleet.Servers[id]
		if !listed || s.now >= h.until || s.knownClosed(h.group) || s.lostHead(h.group) && server.Member.Group != h.group {
			delete(s.planner.held, id)
			continue
		}
		s.busy[id] = true
		if head, ok := s.planner.heads[h.group]; ok && head.server.ID != "" {
			s.orderAction(head.server, Preempt, h.group, head.server.Member.Epoch)
		}
	}
}
