package formation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// epochsPerTerm is how many epochs a leader may use up in one term.
const epochsPerTerm = 1_000_000

// A Fleet is what the leader knows at one moment. Dead holds servers that did not
// answer the leader although they are listed, Out the failure domains that
// operators took out of service.
type Fleet struct {
	Engine  *site.Engine
	Servers map[string]site.Server
	Dead    map[string]bool
	Out     map[string]bool
	// Last is the model of the last replica that each server belonged to in its life.
	Last map[string]string
	// Demand is the work that callers ask of each model, in replicas kept busy. The
	// shares of the engine stand in for a model that nobody asked for.
	Demand map[string]float64
	// Traffic means that callers have begun to call.
	Traffic bool
	Stall   time.Duration
	// Ceiling is the number of loads of weights that may begin in Window.
	Ceiling float64
	Window  time.Duration
}

// A Planner decides for one term of one leader. Make one with New. It is not
// safe for concurrent use.
type Planner struct {
	term     int64
	sequence int64
	since    time.Duration
	forming  map[string]*formed
	heads    map[string]*head
	sent     map[string]sentOrder
	loads    []time.Duration
	loading  map[string]load
	// held are servers that left a replica whose head may still be open.
	held map[string]hold
	// retired are replicas that are closed so that others can use their servers.
	retired   map[string]time.Duration
	retiredAt time.Duration
	// late are the orders to join that may still be carried out, by server.
	late map[string]lateJoin
	// known and grewAt tell when the number of servers last grew.
	known  int
	grewAt time.Duration
}

// A load is a server that loads the weights of a model.
type load struct {
	model string
	at    time.Duration
}

// A lateJoin is an order to join that was given at a time and not answered.
type lateJoin struct {
	epoch int64
	at    time.Duration
}

// A hold keeps a server that left group from joining another one until a time at
// which the head is broken for certain.
type hold struct {
	group string
	until time.Duration
}

// A formed replica is one that this planner has ordered.
type formed struct {
	model   string
	epoch   int64
	members []string
	at      time.Duration
	failed  bool
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
	// openedAt is when it was last ordered to open, unansweredAt when such an order
	// last got no answer, and closedAt when it was last known to have stopped.
	openedAt     time.Duration
	unansweredAt time.Duration
	closedAt     time.Duration
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
	return listed == site.Ready && h.openedAt > 0 && !stopped
}

// answered takes the answer to an order to h.
func (h *head) answered(now time.Duration, action Action, a Answer) {
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
			// An order to open does not fit it any more.
			h.closedAt, h.unansweredAt = now, 0
		}
	case Join, Close, Stage:
	}
}

// A sentOrder is the last order of one kind to one server.
type sentOrder struct {
	at     time.Duration
	answer Answer
	known  bool
}

// A replica is one group of servers as its members report it.
type replica struct {
	name    string
	epoch   int64
	model   site.Model
	members map[int]site.Server
}

// New returns a planner for a term that begins at now. Terms rise for ever.
func New(term int64, now time.Duration) *Planner {
	return &Planner{
		term: term, since: now, forming: make(map[string]*formed), heads: make(map[string]*head),
		sent: make(map[string]sentOrder), loading: make(map[string]load), held: make(map[string]hold),
		retired: make(map[string]time.Duration), late: make(map[string]lateJoin), grewAt: now,
	}
}

// ModelOf returns the model that a replica of the given name runs.
func ModelOf(group string) string {
	model, _, _ := strings.Cut(group, "/")
	return model
}

// Answered takes the answer to an order that Step returned.
func (p *Planner) Answered(now time.Duration, o Order, a Answer) {
	p.sent[sentKey(o.Server, o.Action, o.Group)] = sentOrder{at: now, answer: a, known: true}
	if h, ok := p.heads[o.Group]; ok && h.server.ID == o.Server {
		h.answered(now, o.Action, a)
	}
	if o.Action == Join {
		p.joinAnswered(now, o, a)
	}
	if f, ok := p.forming[o.Group]; ok && o.Action == Join && (a == Declined || a == Absent || a == Fenced) {
		f.failed = true
	}
	if a != Accepted && a != Unknown {
		delete(p.loading, o.Server)
	}
}

// joinAnswered notes whether an order to join may be carried out late. A server
// that has taken a later one refuses it.
func (p *Planner) joinAnswered(now time.Duration, o Order, a Answer) {
	switch {
	case a == Unknown:
		p.late[o.Server] = lateJoin{epoch: max(o.Epoch, p.late[o.Server].epoch), at: now}
	case a == Accepted && o.Epoch >= p.late[o.Server].epoch, a == Absent:
		delete(p.late, o.Server)
	}
}

// mayLeave returns whether a member of r may be taken away by a late order to join
// another replica.
func (s *step) mayLeave(r *replica) bool {
	for _, server := range r.members {
		if l, ok := s.planner.late[server.ID]; ok && l.epoch > r.epoch && s.now-l.at < lateOrder {
			return true
		}
	}
	return false
}

// Step returns the orders to give at now.
func (p *Planner) Step(now time.Duration, f Fleet) []Order {
	s := &step{planner: p, fleet: f, now: now, idle: make(map[string][]site.Server), have: make(map[string]int)}
	s.collect()
	s.tend()
	s.tendHeld()
	s.gather()
	if s.settled() {
		s.form()
		s.retire()
	}
	s.stage()
	return s.orders
}

// A step is the working state of one call of Step.
type step struct {
	planner  *Planner
	fleet    Fleet
	now      time.Duration
	replicas map[string]*replica
	busy     map[string]bool
	// serving are the members of replicas that are whole or on their way.
	serving map[string]bool
	idle    map[string][]site.Server
	have    map[string]int
	orders  []Order
}

// usable returns whether server can be a member of a replica.
func (s *step) usable(server site.Server) bool {
	return !server.Draining && !s.fleet.Dead[server.ID]
}

// out returns whether operators took the failure domain of server out of service.
// Its replicas stay as they are, so that they serve as soon as it is taken back.
func (s *step) out(server site.Server) bool { return s.fleet.Out[server.FailureDomain] }

// collect puts the servers into their replicas.
func (s *step) collect() {
	s.replicas, s.busy, s.serving = make(map[string]*replica), make(map[string]bool), make(map[string]bool)
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
		if m.State >= site.Ready && !s.fleet.Traffic {
			delete(s.planner.loading, id)
		}
	}
}

// remember keeps what is known of a head.
func (s *step) remember(group string, server site.Server) {
	h, ok := s.planner.heads[group]
	if !ok {
		h = &head{}
		s.planner.heads[group] = h
	}
	was, is := h.server.Member.State, server.Member.State
	switch {
	case !ok || was == is:
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
	if at, ok := s.planner.retired[r.name]; ok && s.now-at > retireInterval && !h.mayServe(s.now, first.Member.State) {
		// Nothing came of the room that it made.
		delete(s.planner.retired, r.name)
	}
	if _, ok := s.planner.retired[r.name]; ok {
		s.have[r.model.Name]--
		if !h.mayServe(s.now, first.Member.State) {
			// Its members are free.
			return
		}
	}
	for _, server := range r.members {
		s.busy[server.ID], s.serving[server.ID] = true, true
		ready = ready && server.Member.State >= site.Ready
	}
	if s.out(first) {
		s.have[r.model.Name]--
		delete(s.planner.forming, r.name)
		return
	}
	if first.Member.State == site.Open {
		delete(s.planner.forming, r.name)
	}
	if _, retired := s.planner.retired[r.name]; retired || !ready || first.Member.State != site.Ready || s.mayLeave(r) {
		return
	}
	if s.order(Order{Server: first.ID, Address: first.Address, Action: Open, Group: r.name, Epoch: r.epoch}) {
		h.openedAt = s.now
	}
}

// tendBroken takes r apart. Its members are free once its head cannot serve.
func (s *step) tendBroken(r *replica) {
	if f, ok := s.planner.forming[r.name]; ok && !f.failed {
		// Members are still on their way.
		return
	}
	first, ok := r.members[0]
	if ok && !s.fleet.Dead[first.ID] {
		s.closeHead(r, first)
		return
	}
	s.withoutHead(r)
}

// closeHead keeps the members of r busy until its head has closed.
func (s *step) closeHead(r *replica, first site.Server) {
	h := s.planner.heads[r.name]
	if !h.lost {
		h.lost, h.lostAt = true, s.now
	}
	if !h.mayServe(s.now, first.Member.State) {
		return
	}
	s.keep(r)
	action := Preempt
	if s.leaving(r) && s.now-h.lostAt <= queueTime {
		action = Close
	}
	s.order(Order{Server: first.ID, Address: first.Address, Action: action, Group: r.name, Epoch: r.epoch})
	if action == Preempt && h.mayOpenLate(s.now) {
		s.order(Order{Server: first.ID, Address: first.Address, Action: Leave, Group: r.name, Epoch: r.epoch})
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
	h, ok := s.planner.heads[r.name]
	if !ok {
		h = &head{}
		s.planner.heads[r.name] = h
	}
	if !h.lost {
		h.lost, h.lostAt = true, s.now
	}
	h.unlisted = h.server.ID != "" && !s.fleet.Dead[h.server.ID]
	if s.surelyClosed(r.name) {
		return
	}
	s.keep(r)
	if s.now-h.lostAt < lookFirst {
		return
	}
	for _, server := range r.members {
		if s.fleet.Dead[server.ID] || server.ID == h.server.ID {
			continue
		}
		if _, ok := s.planner.held[server.ID]; !ok {
			s.planner.held[server.ID] = hold{group: r.name, until: s.now + s.fleet.Stall + holdMargin}
		}
		s.order(Order{Server: server.ID, Address: server.Address, Action: Leave, Group: r.name, Epoch: r.epoch})
	}
}

// lookFirst is how long whoever leads has to find out whether a head that is not
// listed lives, before its members are told to leave it.
const lookFirst = 800 * time.Millisecond

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
	reborn := ok && h.server.ID != "" && (listed.Born != h.server.Born || listed.Member.Group != group)
	return h.absent || reborn || s.fleet.Dead[h.server.ID] || !h.mayOpenLate(s.now) && h.closedAt > 0 && h.closedAt >= h.openedAt && s.now-h.closedAt > closeTime
}

// Unlisted returns the heads that servers are held for: whoever leads finds out
// whether they live.
func (p *Planner) Unlisted() []site.Server {
	var out []site.Server
	seen := make(map[string]bool)
	for _, group := range slices.Sorted(maps.Keys(p.heads)) {
		if h := p.heads[group]; h.lost && h.unlisted && !seen[h.server.ID] {
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
			s.order(Order{
				Server: first.server.ID, Address: first.server.Address, Action: Preempt, Group: h.group, Epoch: first.server.Member.Epoch,
			})
		}
	}
}

// keep marks the members of r as not free.
func (s *step) keep(r *replica) {
	for _, server := range r.members {
		s.busy[server.ID] = true
	}
}

// abandoned returns whether a replica that is being formed cannot come about.
func (s *step) abandoned(f *formed) bool {
	for _, id := range f.members {
		server, ok := s.fleet.Servers[id]
		if !ok || !s.usable(server) {
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
		s.order(Order{
			Server: id, Address: server.Address, Action: Join, Group: name, Epoch: f.epoch, Model: f.model, Members: f.members,
		})
	}
}

// settled returns whether replicas may be formed. Before callers come the list of
// servers fills up within a few seconds; what is formed of a part of it fits badly.
func (s *step) settled() bool {
	p := s.planner
	if n := len(s.fleet.Servers); n != p.known {
		if n > p.known {
			p.grewAt = s.now
		}
		p.known = n
	}
	return s.fleet.Traffic || s.now-p.grewAt >= settleTime || s.now-p.since >= longestSettle
}

const (
	// settleTime is how long no server must have come: twice the lag of the list.
	settleTime = 1500 * time.Millisecond
	// longestSettle bounds the wait, so that replicas are formed before callers come.
	longestSettle = 4 * time.Second
)

// gather lists the servers that are free, by their fabric domain.
func (s *step) gather() {
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
		if server := s.fleet.Servers[id]; !s.busy[id] && s.usable(server) && !s.out(server) {
			s.idle[server.FabricDomain] = append(s.idle[server.FabricDomain], server)
		}
	}
}

// order adds o unless it was given lately, and returns whether it did.
func (s *step) order(o Order) bool {
	key := sentKey(o.Server, o.Action, o.Group)
	if last, ok := s.planner.sent[key]; ok && s.now-last.at < repeatAfter {
		return false
	}
	s.planner.sent[key] = sentOrder{at: s.now}
	o.Fence = s.planner.term
	s.orders = append(s.orders, o)
	return true
}

// sentKey names the orders of one kind to one server about one replica.
func sentKey(server string, a Action, group string) string {
	return fmt.Sprint(server, " ", int(a), " ", group)
}

// needs returns the models in the order of how short of replicas they are.
func (s *step) needs() []site.Model {
	models := slices.Clone(s.fleet.Engine.Models)
	slices.SortStableFunc(models, func(a, b site.Model) int { return cmp.Compare(s.need(b), s.need(a)) })
	return models
}

// need returns how much work there is for one more replica of m.
func (s *step) need(m site.Model) float64 {
	return s.demand(m) / (float64(s.have[m.Name]) + 0.5)
}

// demand returns the work that there is for replicas of m.
func (s *step) demand(m site.Model) float64 {
	asked := 0.0
	for _, other := range s.fleet.Engine.Models {
		if s.fleet.Demand[other.Name] == 0 {
			return m.Share / float64(max(m.Size, 1))
		}
		asked += s.fleet.Demand[other.Name]
	}
	return s.fleet.Demand[m.Name] / asked
}

// cost returns the time for server to be ready for m.
func (s *step) cost(server site.Server, m site.Model) time.Duration {
	switch {
	case s.fleet.Last[server.ID] == m.Name:
		return 0
	case slices.Contains(server.Staged, m.Name):
		return m.Warm
	}
	return m.Load
}

// form orders new replicas of free servers, the model that is needed most first.
// Before callers come servers load what they need; later free servers are staged
// first, so that they can still be used otherwise meanwhile.
func (s *step) form() {
	for range len(s.fleet.Servers) {
		if !s.formOne() {
			return
		}
	}
}

// formOne orders one replica, and returns whether it found one.
func (s *step) formOne() bool {
	models := s.needs()
	for _, m := range models {
		top := models[0]
		if s.need(m) >= worthChanging*s.need(top) {
			// Changing servers over to m is worth what it costs.
			top = m
		}
		if members := s.pick(m, top); members != nil {
			s.join(m, members)
			return true
		}
	}
	return false
}

// worthChanging is the part of the greatest need above which servers that could run
// the model that is needed most are changed over to another one for good.
const worthChanging = 0.7

// changesFor returns whether server can run top now and could not after it has
// joined a replica of m.
func (s *step) changesFor(server site.Server, m, top site.Model) bool {
	return m.Name != top.Name && s.cost(server, top) < top.Load && !slices.Contains(server.Staged, top.Name)
}

// pick returns free servers of one fabric domain for a replica of m, from the
// domain with the fewest free ones that suffice. It leaves those that would not be
// able to run top any more.
func (s *step) pick(m, top site.Model) []site.Server {
	var best []site.Server
	room := 0
	for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
		free := slices.DeleteFunc(s.capable(s.idle[domain], m), func(server site.Server) bool { return s.changesFor(server, m, top) })
		if m.Size > 0 && len(free) >= m.Size && (best == nil || len(free) < room) {
			best, room = free[:m.Size], len(free)
		}
	}
	return best
}

// capable returns those of servers that can run m without a load, the quickest
// first. Before callers come every server can.
func (s *step) capable(servers []site.Server, m site.Model) []site.Server {
	out := slices.DeleteFunc(slices.Clone(servers), func(server site.Server) bool {
		return s.fleet.Traffic && s.cost(server, m) >= m.Load
	})
	slices.SortStableFunc(out, func(a, b site.Server) int { return cmp.Compare(s.cost(a, m), s.cost(b, m)) })
	return out
}

const (
	// worthRetiring is how many times more a replica must be needed than the one
	// that makes room for it, so that replicas are not closed back and forth.
	worthRetiring = 1.3
	// retireInterval is the time between two replicas that make room: a close, a join
	// and their way through the list.
	retireInterval = 4 * time.Second
)

// retire closes a replica of a model that is needed less, where its servers and
// the free ones of its fabric domain make up one of a model that is needed more.
func (s *step) retire() {
	p := s.planner
	if !s.fleet.Traffic || p.retiredAt != 0 && s.now-p.retiredAt < retireInterval {
		return
	}
	for _, m := range s.needs() {
		for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
			if r := s.replicas[name]; s.whole(r) && r.members[0].Member.State == site.Open && s.makesRoom(r, m) {
				p.retired[name], p.retiredAt = s.now, s.now
				head := r.members[0]
				s.order(Order{Server: head.ID, Address: head.Address, Action: Close, Group: name, Epoch: r.epoch})
				return
			}
		}
	}
}

// makesRoom returns whether a replica of m is worth the end of r.
func (s *step) makesRoom(r *replica, m site.Model) bool {
	if r.model.Name == m.Name || r.model.Size >= m.Size {
		return false
	}
	domain := r.members[0].FabricDomain
	members := make([]site.Server, 0, len(r.members))
	for _, server := range r.members {
		members = append(members, server)
	}
	free := len(s.capable(s.idle[domain], m))
	if free == 0 || free >= m.Size || free+len(s.capable(members, m)) < m.Size {
		return false
	}
	lost := s.demand(r.model) / max(float64(s.have[r.model.Name])-0.5, 0.5)
	return s.need(m) > worthRetiring*lost
}

// mayLoad returns whether one more load may begin now.
func (s *step) mayLoad() bool {
	p, atOnce := s.planner, s.fleet.Engine.LoadsAtOnce
	if atOnce > 0 && len(p.loading) >= atOnce {
		return false
	}
	p.loads = slices.DeleteFunc(p.loads, func(at time.Duration) bool { return s.now-at > s.fleet.Window })
	ceiling := s.fleet.Ceiling
	if s.now-p.since < s.fleet.Window {
		// The leader before may have used up a part of the window.
		ceiling /= 2
	}
	return float64(len(p.loads)+1) <= ceiling
}

// load counts a load of m that server begins.
func (s *step) load(server site.Server, m site.Model) {
	s.planner.loading[server.ID] = load{model: m.Name, at: s.now}
	s.planner.loads = append(s.planner.loads, s.now)
}

// join orders members to form a replica of m.
func (s *step) join(m site.Model, members []site.Server) {
	p := s.planner
	p.sequence++
	f := &formed{model: m.Name, epoch: p.term*epochsPerTerm + p.sequence, at: s.now}
	for _, server := range members {
		f.members = append(f.members, server.ID)
	}
	name := fmt.Sprintf("%s/%d/%d", m.Name, p.term, p.sequence)
	p.forming[name] = f
	s.have[m.Name]++
	for _, server := range members {
		if s.cost(server, m) >= m.Load {
			s.planner.loading[server.ID] = load{model: m.Name, at: s.now}
		}
		s.order(Order{
			Server: server.ID, Address: server.Address, Action: Join, Group: name, Epoch: f.epoch, Model: m.Name, Members: f.members,
		})
		s.take(server)
	}
}

// take removes server from those that are free.
func (s *step) take(server site.Server) {
	s.busy[server.ID] = true
	s.idle[server.FabricDomain] = slices.DeleteFunc(s.idle[server.FabricDomain], func(o site.Server) bool { return o.ID == server.ID })
}

// stage lets free servers that hold no weights load those that their fabric
// domain is likely to need.
func (s *step) stage() {
	for id, l := range s.planner.loading {
		if server, ok := s.fleet.Servers[id]; !ok || s.now-l.at > 2*longestLoad(s.fleet.Engine) || s.now-l.at > loadSeen && !s.onlyOne(server) {
			delete(s.planner.loading, id)
		}
	}
	if !s.fleet.Traffic {
		s.stageOthers()
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
		for _, server := range s.idle[domain] {
			_, loading := s.planner.loading[server.ID]
			if len(server.Staged) > 0 || s.fleet.Last[server.ID] != "" || loading || !s.mayLoad() {
				continue
			}
			m := s.spareFor(domain)
			s.load(server, m)
			s.order(Order{Server: server.ID, Address: server.Address, Action: Stage, Model: m.Name})
		}
	}
	s.restage()
}

// restage lets servers that can run one model only take the other one onto their
// hosts, beside what they do, so that they can change over later.
func (s *step) restage() {
	for _, idle := range []bool{true, false} {
		for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
			server := s.fleet.Servers[id]
			_, loading := s.planner.loading[id]
			if s.busy[id] == idle || loading || !s.usable(server) || s.out(server) || len(s.planner.loading) >= max(s.fleet.Engine.LoadsAtOnce/restageShare, 1) || !s.mayLoad() {
				continue
			}
			last := s.fleet.Last[id]
			if last == "" || server.Member.State == site.Joining || !s.onlyOne(server) {
				continue
			}
			if i := slices.IndexFunc(s.fleet.Engine.Models, func(m site.Model) bool { return m.Name != last }); i >= 0 {
				m := s.fleet.Engine.Models[i]
				s.load(server, m)
				s.order(Order{Server: id, Address: server.Address, Action: Stage, Model: m.Name})
			}
		}
	}
}

// restageShare divides the loads at once: the rest is kept for servers that have
// nothing loaded.
const restageShare = 2

// stageOthers lets members that have loaded put a model that they do not run onto
// their hosts, so that they can change over without a load, and lets the servers
// that are left over take one. It is free only before callers come. A member that
// rejoins its own model needs no host.
func (s *step) stageOthers() {
	models := s.fleet.Engine.Models
	if s.settled() {
		for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
			for i, server := range s.idle[domain] {
				if len(server.Staged) == 0 {
					s.order(Order{Server: server.ID, Address: server.Address, Action: Stage, Model: s.needs()[i%len(models)].Name})
				}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
		server := s.fleet.Servers[id]
		if server.Member.State < site.Ready || len(models) < 2 {
			continue
		}
		own := ModelOf(server.Member.Group)
		i := slices.IndexFunc(models, func(m site.Model) bool { return m.Name != own })
		if slices.Contains(server.Staged, own) {
			s.order(Order{Server: id, Address: server.Address, Action: Stage, Model: models[i].Name})
		}
	}
}

// spareFor returns the model for a server without weights in domain: the one that is
// needed most for each load that a replica of it still takes there. The need counts
// twice, since servers that change over for good are lost to the other model.
func (s *step) spareFor(domain string) site.Model {
	return slices.MaxFunc(s.needs(), func(a, b site.Model) int {
		return cmp.Compare(s.need(a)*s.need(a)/s.missing(domain, a), s.need(b)*s.need(b)/s.missing(domain, b))
	})
}

// missing returns how many loads a replica of m takes in domain, with the servers
// there that serve in none.
func (s *step) missing(domain string, m site.Model) float64 {
	have := 0
	for id, server := range s.fleet.Servers {
		if server.FabricDomain != domain || s.serving[id] || !s.usable(server) {
			continue
		}
		if s.cost(server, m) < m.Load || s.planner.loading[id].model == m.Name {
			have++
		}
	}
	return float64(max(m.Size-have%max(m.Size, 1), 1))
}

// loadSeen is when an order to load shows in the list at the earliest.
const loadSeen = 2 * time.Second

// onlyOne returns whether server can run one model or none.
func (s *step) onlyOne(server site.Server) bool {
	last := s.fleet.Last[server.ID]
	return len(server.Staged) == 0 || last != "" && len(s.fleet.Engine.Models) > 1 && slices.Contains(server.Staged, last)
}

// longestLoad returns the longest time that a load takes.
func longestLoad(e *site.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return longest
}
