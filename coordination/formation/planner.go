package formation

import (
	"fmt"
	"strings"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// epochsPerTerm is how many epochs a leader may use up in one term.
const epochsPerTerm = 1_000_000

// A Fleet is what the leader knows at one moment. Dead holds servers that did not
// answer the leader although they are listed, CutOff members of replicas whose entries
// lapsed although they answer, and OutOfService the failure domains that operators took out of
// service.
type Fleet struct {
	Engine       *site.Engine
	Servers      map[string]site.Server
	Dead         map[string]bool
	CutOff       map[string]bool
	OutOfService map[string]bool
	// LastModel is the model of the last replica that each server belonged to in its life.
	LastModel map[string]string
	// Demand is the work that callers ask of each model, in replicas kept busy. The
	// shares of the engine stand in for a model that nobody asked for.
	Demand map[string]float64
	// TrafficStarted means that callers have begun to call.
	TrafficStarted bool
	StallTimeout   time.Duration
	// LoadLimit is the number of loads of weights that may begin in Window.
	LoadLimit  float64
	LoadWindow time.Duration
}

// A Planner decides for one term of one leader. Make one with New. It is not
// safe for concurrent use.
type Planner struct {
	term     int64
	sequence int64
	since    time.Duration
	// form is how long heads take to form a replica, of the fleet of the last step.
	form    time.Duration
	forming map[string]*formed
	heads   map[string]*head
	// sent is when each kind of order was last given or answered.
	sent    map[string]sentOrder
	loads   []time.Duration
	loading map[string]load
	// held are servers that left a replica whose head may still be open.
	held map[string]hold
	// retired are replicas that are closed so that others can use their servers.
	retired   map[string]*retirement
	retiredAt time.Duration
	// late are the orders to join that may still be carried out, by server.
	late map[string]lateJoin
	// serving holds the members of the replicas that serve, lost what servers have lost
	// that serve in no replica since, and repairs what has ended of that.
	serving map[string][]string
	lost    map[string]*loss
	repairs []Repair
	endings []StoppedReplica
	// highest is the highest epoch of an order to join that each server was given.
	highest map[string]int64
	// succeeded are the lost replicas that a successor was ordered of.
	succeeded map[string]bool
	// awaited are servers that were ordered something which is not reported yet.
	awaited []site.Server
	// steppedAt is the time of the last step.
	steppedAt time.Duration
	// known and grewAt tell when the number of servers last grew.
	known  int
	grewAt time.Duration
}

// A sentOrder is when an order was last given or answered. Soon means that it is given
// again soon, as it had no answer then or one that shows nothing.
type sentOrder struct {
	at   time.Duration
	soon bool
}

// A lateJoin is an order to join that was given at a time and not answered.
type lateJoin struct {
	group string
	epoch int64
	at    time.Duration
}

// A formed replica is one that this planner has ordered.
type formed struct {
	model   string
	epoch   int64
	members []string
	at      time.Duration
	failed  bool
}

// New returns a planner for a term that begins at now. Terms rise for ever.
func New(term int64, now time.Duration) *Planner {
	return &Planner{
		term: term, since: now, forming: make(map[string]*formed), heads: make(map[string]*head),
		sent: make(map[string]sentOrder), loading: make(map[string]load), held: make(map[string]hold),
		retired: make(map[string]*retirement), late: make(map[string]lateJoin), grewAt: now,
		serving: make(map[string][]string), lost: make(map[string]*loss), highest: make(map[string]int64), succeeded: make(map[string]bool),
	}
}

// ModelOf returns the model that a replica of the given name runs.
func ModelOf(group string) string {
	model, _, _ := strings.Cut(group, "/")
	return model
}

// RecordAnswer takes the answer to an order that Step returned.
func (p *Planner) RecordAnswer(now time.Duration, o Order, a Answer) {
	soon := a == Unknown && o.Action != Stage
	if h, ok := p.heads[o.Group]; ok && h.server.ID == o.Server {
		opening := o.Action == Preempt && h.opening(now, p.form)
		if !opening || a == Absent {
			late := p.late[o.Server]
			h.answered(now, o.Action, a, late.group == o.Group && late.possible(now))
		}
		soon = soon || opening
	}
	p.sent[sentKey(o.Server, o.Action, o.Group)] = sentOrder{at: now, soon: soon}
	if o.Action == Join {
		p.joinAnswered(now, o, a)
		if h, ok := p.heads[o.Group]; ok && a == Accepted {
			h.take(o.Server)
		}
	}
	if f, ok := p.forming[o.Group]; ok && o.Action == Join && (a == Declined || a == Absent || a == Fenced) {
		f.failed = true
	}
	// One that declines to load is loading already.
	if a != Accepted && a != Unknown && (o.Action != Stage || a != Declined) {
		delete(p.loading, o.Server)
	}
}

// Superseded returns whether a, the answer to o, shows that a later leader gives orders. A
// server refuses an order to join also for one of a higher epoch that it has had; it may
// have had that from p itself.
func (p *Planner) Superseded(o Order, a Answer) bool {
	highest, known := p.highest[o.Server]
	return a == Fenced && (o.Action != Join || known && o.Epoch >= highest)
}

// joinAnswered notes whether an order to join may be carried out late. A server
// that has taken one of a later epoch refuses it; one of the same epoch changes nothing
// for as long as the server does not leave.
func (p *Planner) joinAnswered(now time.Duration, o Order, a Answer) {
	late := p.late[o.Server]
	switch {
	case a == Unknown && o.Epoch >= late.epoch:
		p.late[o.Server] = lateJoin{group: o.Group, epoch: o.Epoch, at: now}
	case a == Unknown:
		late.at = now
		p.late[o.Server] = late
	case a == Accepted && o.Epoch > late.epoch, a == Absent:
		delete(p.late, o.Server)
	}
}

// possible returns whether l may still be carried out.
func (l lateJoin) possible(now time.Duration) bool { return l.group != "" && now-l.at < lateOrder }

// Step returns the orders to give at now.
func (p *Planner) Step(now time.Duration, f Fleet) []Order {
	p.steppedAt, p.awaited = now, nil
	if len(f.Engine.Models) == 0 {
		// Without models nothing tells how large replicas are.
		return nil
	}
	p.form = f.Engine.Form
	s := &step{planner: p, fleet: f, now: now, idle: make(map[string][]site.Server), have: make(map[string]int)}
	s.collect()
	s.tend()
	s.tendHeld()
	s.gather()
	if s.settled() {
		s.succeed()
		s.form()
		s.retire()
	}
	s.stage()
	s.forget()
	return s.orders
}

// PendingServers returns the servers that were ordered to join or open a replica and did not report
// it in time for the last step. Their own reports are newer than the list.
func (p *Planner) PendingServers() []site.Server { return p.awaited }

// A step is the working state of one call of Step.
type step struct {
	planner  *Planner
	fleet    Fleet
	now      time.Duration
	replicas map[string]*replica
	busy     map[string]bool
	// serving are the members of replicas that are whole or on their way.
	serving map[string]bool
	// kept are replicas that are lost and whose head may still serve.
	kept   map[string]bool
	idle   map[string][]site.Server
	have   map[string]int
	orders []Order
}

// order adds o unless it was given lately, and returns whether it did.
func (s *step) order(o Order) bool {
	key := sentKey(o.Server, o.Action, o.Group)
	wait := repeatAfter
	last, ok := s.planner.sent[key]
	if _, listed := s.fleet.Servers[o.Server]; last.soon && listed && !s.fleet.Dead[o.Server] {
		wait = repeatUnanswered
	}
	if ok && s.now-last.at < wait {
		return false
	}
	s.planner.sent[key] = sentOrder{at: s.now}
	if o.Action == Join {
		s.planner.highest[o.Server] = max(o.Epoch, s.planner.highest[o.Server])
	}
	o.Fence = s.planner.term
	s.orders = append(s.orders, o)
	return true
}

// orderAbout orders a server to do something about the replica of the given name and
// epoch, unless it was ordered lately, and returns whether it did.
func (s *step) orderAbout(server site.Server, a Action, group string, epoch int64) bool {
	return s.order(Order{Server: server.ID, Address: server.Address, Action: a, Group: group, Epoch: epoch})
}

// orderJoin orders a server to join the replica of the given name.
func (s *step) orderJoin(server site.Server, name string, f *formed) {
	s.order(Order{
		Server: server.ID, Address: server.Address, Action: Join, Group: name, Epoch: f.epoch, Model: f.model, Members: f.members,
	})
}

// orderStage orders a server to take m onto its host.
func (s *step) orderStage(server site.Server, m site.Model) {
	s.order(Order{Server: server.ID, Address: server.Address, Action: Stage, Model: m.Name})
}

// sentKey names the orders of one kind to one server about one replica.
func sentKey(server string, a Action, group string) string {
	return fmt.Sprint(server, " ", int(a), " ", group)
}
