package formation

import (
	"fmt"
	"strings"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// epochsPerTerm is how many epochs a leader may use in one term, so that the epochs of later terms
// are higher.
const epochsPerTerm = 1_000_000

// A Fleet is the leader's view of the backend servers at one moment. Dead holds servers that are
// listed but did not answer the leader's probes. CutOff holds members of replicas whose list
// entries expired although the servers still answer. OutOfService holds the failure domains that
// operators took out of service.
type Fleet struct {
	Engine       *site.Engine
	Servers      map[string]site.Server
	Dead         map[string]bool
	CutOff       map[string]bool
	OutOfService map[string]bool
	// LastModel is the model of the last replica that each server belonged to since it started.
	LastModel map[string]string
	// Demand is the requested work per model, as the number of replicas it keeps busy. If any model
	// has no demand, the shares in the engine's configuration are used instead.
	Demand map[string]float64
	// Balance gives replicas to models by the spare ones that they need, and not in proportion to demand.
	Balance bool
	// Pace holds the servers that report to be slower than published, with the factor.
	Pace map[string]float64
	// TrafficStarted is true once clients have begun to send requests.
	TrafficStarted bool
	// StallTimeout is how long a head without all of its members may go on serving before it
	// breaks.
	StallTimeout time.Duration
	// LoadLimit is the number of weight loads that may start within LoadWindow.
	LoadLimit  float64
	LoadWindow time.Duration
}

// A Planner decides which replicas are formed, opened and closed during one term of one leader.
// Create it with New. It is not safe for concurrent use.
type Planner struct {
	term      int64
	sequence  int64
	termStart time.Duration
	// formTime is how long a head takes to form a replica, according to the fleet of the last step.
	formTime time.Duration
	forming  map[string]*formingReplica
	heads    map[string]*head
	// sentOrders records when each kind of order was last sent or answered.
	sentOrders map[string]sentOrder
	loadStarts []time.Duration
	loading    map[string]load
	// held are servers that left a replica whose head may still be serving.
	held map[string]hold
	// retired are the replicas that were closed so that their servers can be used for another
	// model.
	retired   map[string]*retirement
	retiredAt time.Duration
	// unansweredJoins are the orders to join that may still be carried out, by server, and sentJoins those that are on their
	// way or were accepted.
	unansweredJoins map[string]unansweredJoin
	sentJoins       map[string]sentJoin
	// left holds the replica that each server last accepted to leave, other than as its head, until the list shows it.
	left map[string]leftReplica
	// reported holds what servers reported of their places, placeAsks how often each was asked without a report that shows it,
	// and movedAt when each was last ordered to join or leave.
	reported  map[string]reportedPlace
	placeAsks map[string]placeAsk
	movedAt   map[string]time.Duration
	// seen holds the replica of this term in which each server was last listed, unless it was ordered to leave it, and
	// leaveOrdered the epoch of the last replica that each server was ordered to leave.
	seen         map[string]seenMember
	leaveOrdered map[string]int64
	// servingMembers holds the members of each serving replica, by replica name.
	servingMembers map[string][]string
	// losses holds, by server, the loss of its replica until the server serves in a replica again.
	losses map[string]*loss
	// repairs, stopped and reformed collect the results of Repairs, StoppedReplicas and Reforms.
	repairs  []Repair
	stopped  []StoppedReplica
	reformed []Reform
	// closures collects the result of Closures.
	closures []Closure
	// highestEpoch is the highest epoch of the orders to join that were sent to each server.
	highestEpoch map[string]int64
	// successorOrdered holds the lost replicas whose successor has already been ordered.
	successorOrdered map[string]bool
	// failures holds the servers that failed to carry out an order.
	failures map[string]failure
	// pending are servers that have not reported the effect of an order yet.
	pending []site.Server
	// unconfirmed are servers whose places are not known.
	unconfirmed []site.Server
	steppedAt   time.Duration
	// serverCount is the number of servers in the last step, serverCountGrewAt when it last grew.
	serverCount       int
	serverCountGrewAt time.Duration
}

// A sentOrder is when an order was last sent or answered. With resendSoon it is sent again after
// resendUnansweredAfter, because it had no answer or an answer that proves nothing.
type sentOrder struct {
	at         time.Duration
	resendSoon bool
}

// An unansweredJoin is an order to join that was sent and not answered.
type unansweredJoin struct {
	group string
	epoch int64
	at    time.Duration
}

// A sentJoin sums up the orders to join that a server was sent: the highest epoch of those that are on their way or were accepted,
// and when one was last sent or accepted. Some of them may be late.
type sentJoin struct {
	epoch    int64
	onTheWay int
	accepted bool
	at       time.Duration
}

// sent returns j with another order on its way.
func (j sentJoin) sent(now time.Duration, epoch int64) sentJoin {
	if epoch > j.epoch {
		j.epoch, j.accepted = epoch, false
	}
	j.onTheWay++
	j.at = now
	return j
}

// answered returns j with one order less on its way, and whether it still matters.
func (j sentJoin) answered(now time.Duration, epoch int64, a Answer) (sentJoin, bool) {
	j.onTheWay--
	if a == Accepted {
		j.at, j.accepted = now, j.accepted || epoch == j.epoch
	}
	return j, j.onTheWay > 0 || j.accepted
}

// A leftReplica is a replica that a server has left, as it answered at a time.
type leftReplica struct {
	group string
	epoch int64
	at    time.Duration
}

// A seenMember is the membership of one incarnation of a server as listed at a time.
type seenMember struct {
	member site.Membership
	born   int64
	at     time.Duration
}

// A formingReplica is a replica that this planner has ordered and that does not serve yet.
type formingReplica struct {
	model   string
	epoch   int64
	members []string
	at      time.Duration
	failed  bool
	// reforms means that it takes the place of replicas that were closed for their slow members.
	reforms bool
}

// New returns a planner for a term that begins at now. Terms must only increase.
func New(term int64, now time.Duration) *Planner {
	return &Planner{
		term: term, termStart: now, forming: make(map[string]*formingReplica), heads: make(map[string]*head),
		sentOrders: make(map[string]sentOrder), loading: make(map[string]load), held: make(map[string]hold),
		retired: make(map[string]*retirement), unansweredJoins: make(map[string]unansweredJoin), sentJoins: make(map[string]sentJoin), serverCountGrewAt: now,
		servingMembers: make(map[string][]string), losses: make(map[string]*loss), highestEpoch: make(map[string]int64), successorOrdered: make(map[string]bool), failures: make(map[string]failure), left: make(map[string]leftReplica),
		reported: make(map[string]reportedPlace), placeAsks: make(map[string]placeAsk), movedAt: make(map[string]time.Duration), seen: make(map[string]seenMember), leaveOrdered: make(map[string]int64),
	}
}

// ModelOf returns the model of the replica with the given name.
func ModelOf(group string) string {
	model, _, _ := strings.Cut(group, "/")
	return model
}

// RecordAnswer records the answer to an order that Step returned.
func (p *Planner) RecordAnswer(now time.Duration, o Order, a Answer) {
	if a == Unsent {
		p.recordUnsent(now, o)
		return
	}
	opening := p.recordAnswerAboutHead(now, o, a)
	p.sentOrders[orderKey(o.Server, o.Action, o.Group)] = sentOrder{at: now, resendSoon: opening || a == Unknown && o.Action != Stage}
	if o.Action == Join {
		p.recordJoinAnswer(now, o, a)
		if h, ok := p.heads[o.Group]; ok && a == Accepted {
			h.confirm(o.Server)
		}
	}
	if h, ok := p.heads[o.Group]; o.Action == Leave && a == Accepted && (!ok || h.server.ID != o.Server) {
		p.left[o.Server] = leftReplica{group: o.Group, epoch: o.Epoch, at: now}
	}
	switch {
	case a == Absent:
		p.recordFailure(now, o.Server)
	case a == Declined && o.Action == Join:
		p.recordDecline(now, o.Server)
	}
	if f, ok := p.forming[o.Group]; ok && o.Action == Join && (a == Declined || a == Absent || a == Fenced) {
		f.failed = true
	}
	// A server that declines to stage a model is already loading one.
	if a != Accepted && a != Unknown && (o.Action != Stage || a != Declined) {
		delete(p.loading, o.Server)
	}
}

// recordAnswerAboutHead records what the answer to o says about the head of its replica, and returns whether it says nothing since
// the head may have been opening.
func (p *Planner) recordAnswerAboutHead(now time.Duration, o Order, a Answer) bool {
	h, ok := p.heads[o.Group]
	if !ok {
		return false
	}
	if o.Action == Open && h.opensOnTheWay > 0 {
		h.recordOpenAnswer(now, p.formTime, a)
	}
	if h.server.ID != o.Server {
		return false
	}
	opening := o.Action == Preempt && h.opening(o.SentAt)
	if !opening || a == Absent {
		join := p.unansweredJoins[o.Server]
		p.recordHeadAnswer(now, h, o, a, join.group == o.Group && join.mayTakeEffect(now))
	}
	return opening
}

// recordUnsent records that o was not sent, so that the next step may order it again.
func (p *Planner) recordUnsent(now time.Duration, o Order) {
	delete(p.sentOrders, orderKey(o.Server, o.Action, o.Group))
	if h, ok := p.heads[o.Group]; ok && o.Action == Open && h.opensOnTheWay > 0 {
		h.recordOpenAnswer(now, p.formTime, Unsent)
	}
	switch o.Action {
	case Stage:
		delete(p.loading, o.Server)
	case Join:
		p.recordSentJoin(now, o, Unsent)
	case Open, Close, Preempt, Leave:
	}
}

// Superseded returns whether a, the answer to o, proves that a later leader is sending orders. A
// server also fences an order to join if it has received one with a higher epoch, which may have
// come from p itself.
func (p *Planner) Superseded(o Order, a Answer) bool {
	highest, known := p.highestEpoch[o.Server]
	return a == Fenced && (o.Action != Join || known && o.Epoch >= highest)
}

// recordSentJoin records that o, an order to join, is no longer on its way.
func (p *Planner) recordSentJoin(now time.Duration, o Order, a Answer) {
	sent, ok := p.sentJoins[o.Server]
	if !ok {
		return
	}
	if sent, ok = sent.answered(now, o.Epoch, a); ok {
		p.sentJoins[o.Server] = sent
	} else {
		delete(p.sentJoins, o.Server)
	}
}

// recordJoinAnswer records whether an order to join may still be carried out late. A server that
// has accepted an order with a higher epoch refuses it; one with the same epoch has no effect as
// long as the server does not leave.
func (p *Planner) recordJoinAnswer(now time.Duration, o Order, a Answer) {
	p.recordSentJoin(now, o, a)
	unanswered := p.unansweredJoins[o.Server]
	switch {
	case a == Unknown && o.Epoch >= unanswered.epoch:
		p.unansweredJoins[o.Server] = unansweredJoin{group: o.Group, epoch: o.Epoch, at: now}
	case a == Unknown:
		unanswered.at = now
		p.unansweredJoins[o.Server] = unanswered
	case a == Accepted && o.Epoch > unanswered.epoch:
		delete(p.unansweredJoins, o.Server)
	}
}

// mayTakeEffect returns whether the server may still carry out the order.
func (l unansweredJoin) mayTakeEffect(now time.Duration) bool {
	return l.group != "" && now-l.at < maxOrderDelay
}

// Step returns the orders to send at now.
func (p *Planner) Step(now time.Duration, f Fleet) []Order {
	p.steppedAt, p.pending, p.unconfirmed = now, nil, nil
	if len(f.Engine.Models) == 0 {
		// The sizes of replicas are unknown without the models.
		return nil
	}
	p.formTime = f.Engine.Form
	s := &step{planner: p, fleet: f, now: now, idle: make(map[string][]site.Server), replicaCount: make(map[string]int)}
	s.forgetFailures()
	s.applySeen()
	s.applyLeft()
	s.collectReplicas()
	s.reconcileReplicas()
	s.reconcileHeld()
	s.collectIdle()
	settled := s.listSettled()
	if settled {
		s.formSuccessors()
		s.formReplicas()
	}
	if !s.formsMore {
		// The idle servers are those that are left over.
		if settled {
			s.retireReplicas()
			s.replaceSlowMembers()
		}
		s.stageModels()
	}
	s.forget()
	return s.orders
}

// PendingServers returns the servers that were ordered to join or open a replica and had not
// reported it by the last step. Their own reports are newer than the list.
func (p *Planner) PendingServers() []site.Server { return p.pending }

// A step is the working state of one call of Step.
type step struct {
	planner  *Planner
	fleet    Fleet
	now      time.Duration
	replicas map[string]*replica
	busy     map[string]bool
	// serving are the members of replicas that are complete or being formed.
	serving map[string]bool
	// awaitingClose are incomplete replicas whose head may still serve.
	awaitingClose map[string]bool
	idle          map[string][]site.Server
	replicaCount  map[string]int
	orders        []Order
	// bulk is the number of orders to join or stage among them. formsMore means that more replicas could be formed, in a
	// later step.
	bulk      int
	formsMore bool
}

// maxBulkOrders bounds the orders to join or stage in one step. A leader that sends an order to each of hundreds of
// servers at once has no processor time left for its heartbeats, and loses its lease before it has the answers.
const maxBulkOrders = 40

// order appends o unless it was sent recently or has to wait for a later step, and returns whether it did.
func (s *step) order(o Order) bool {
	isBulk := o.Action == Join || o.Action == Stage
	if isBulk && s.bulk >= maxBulkOrders {
		return false
	}
	key := orderKey(o.Server, o.Action, o.Group)
	wait := resendAfter
	last, ok := s.planner.sentOrders[key]
	if _, listed := s.fleet.Servers[o.Server]; last.resendSoon && listed && !s.fleet.Dead[o.Server] {
		wait = resendUnansweredAfter
	}
	if ok && s.now-last.at < wait {
		return false
	}
	s.planner.sentOrders[key] = sentOrder{at: s.now}
	if o.Action == Join || o.Action == Leave {
		s.planner.movedAt[o.Server] = s.now
		delete(s.planner.placeAsks, o.Server)
	}
	if o.Action == Leave {
		s.planner.leaveOrdered[o.Server] = max(o.Epoch, s.planner.leaveOrdered[o.Server])
		delete(s.planner.seen, o.Server)
	}
	if o.Action == Join {
		s.planner.highestEpoch[o.Server] = max(o.Epoch, s.planner.highestEpoch[o.Server])
		s.planner.sentJoins[o.Server] = s.planner.sentJoins[o.Server].sent(s.now, o.Epoch)
	}
	if isBulk {
		s.bulk++
	}
	// A head that has to close right after it was ordered to open, or the other way round, does not wait for the first
	// order to be resent.
	if o.Action == Open {
		delete(s.planner.sentOrders, orderKey(o.Server, Close, o.Group))
		delete(s.planner.sentOrders, orderKey(o.Server, Preempt, o.Group))
	}
	if h, ok := s.planner.heads[o.Group]; ok && h.server.ID == o.Server && o.Action.stops() {
		h.closeOrdered = true
		delete(s.planner.sentOrders, orderKey(o.Server, Open, o.Group))
	}
	o.Fence, o.SentAt = s.planner.term, s.now
	s.orders = append(s.orders, o)
	return true
}

// orderAction sends an action on the replica with the given name and epoch to a server, unless it
// was sent recently, and returns whether it did.
func (s *step) orderAction(server site.Server, a Action, group string, epoch int64) bool {
	return s.order(Order{Server: server.ID, Address: server.Address, Action: a, Group: group, Epoch: epoch})
}

// orderJoin orders a server to join the replica with the given name.
func (s *step) orderJoin(server site.Server, name string, f *formingReplica) {
	s.order(Order{
		Server: server.ID, Address: server.Address, Action: Join, Group: name, Epoch: f.epoch, Model: f.model, Members: f.members,
		Previous: s.previous(server, name),
	})
}

// orderStage orders a server to load m onto its host, and returns whether it did.
func (s *step) orderStage(server site.Server, m site.Model) bool {
	return s.order(Order{Server: server.ID, Address: server.Address, Action: Stage, Model: m.Name})
}

// orderKey identifies the orders with one action to one server about one replica.
func orderKey(server string, a Action, group string) string {
	return fmt.Sprint(server, " ", int(a), " ", group)
}
