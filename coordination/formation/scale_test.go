package formation_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// scaleEngine has the sizes of replicas of tsagaan-elsen-large, in fabric domains of scaleDomain servers.
var scaleEngine = &site.Engine{
	Slots: 22, LoadsAtOnce: 6, LoadsPerSecond: 4, Form: 300 * time.Millisecond,
	Models: []site.Model{
		{Name: "large", Size: 16, Pace: 1, Share: 0.5, Load: 16 * time.Second, StagedLoad: 1600 * time.Millisecond},
		{Name: "small", Size: 8, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, StagedLoad: 1100 * time.Millisecond},
	},
}

const (
	scaleDomain = 37
	// heartbeat is the time between two entries of a server, and lapseAfter that after which a silent one is removed.
	heartbeat  = 1200 * time.Millisecond
	lapseAfter = 3 * heartbeat
	// orderTimeout and cutOffTTL are those of gateway.
	orderTimeout = 700 * time.Millisecond
	cutOffTTL    = 10 * time.Second
	// listLag is how old the platform documents the list to be, and reportLag how old the reports of servers are.
	listLag = 800 * time.Millisecond
	// longLag is how old the list may be beside disturbances of the store and of leaders.
	longLag   = 6 * time.Second
	reportLag = 200 * time.Millisecond
	// maxOrderDelay is how late an order may be carried out.
	maxOrderDelay = 12 * time.Second
	// scaleHistories is the number of histories of a test. Each has some hundred steps for up to three fabric domains.
	scaleHistories = 100
	// formedAfter is when all replicas of a scaleSimulation serve.
	formedAfter = 6 * time.Second
)

// A fate is what happens to an order. The zero fate is that it is sent, carried out and answered at once.
type fate struct {
	// unsent orders are answered as gateway answers for one whose lease ran out.
	unsent bool
	// wait is how long the order waits at the leader, late how long the server takes to carry it out, and answer how
	// long the answer takes after that.
	wait, late, answer time.Duration
	// lost orders never arrive. second means that an earlier answer of the server comes in place of the answer to this order,
	// which the gateway takes for none (gateway.TestAnswersToTheOrderBefore).
	lost, second bool
}

// An entry is what the store holds of a server from a time on. removed means that it was removed for its silence.
type entry struct {
	at      time.Duration
	server  site.Server
	removed bool
}

// A listing is what the leader's list holds of a server.
type listing struct {
	server     site.Server
	lastModel  string
	reportedAt time.Duration
	cutOff     bool
	expiresAt  time.Duration
	// next is the next entry of the store to be read.
	next int
}

// A scaleSimulation runs a planner against servers at scale: orders are under way for a time, and the list holds, in order,
// the entries that the servers have written, as in gateway.
type scaleSimulation struct {
	*simulation
	// fate returns what happens to an order, nil for the zero fate.
	fate func(formation.Order) fate
	// stepInterval is the time to the next step, nil for step.
	stepInterval func() time.Duration
	nextStep     time.Duration
	// readLag is how old the list is, writeLag how late entries of some servers are besides, and maxLag bounds both together.
	readLag  time.Duration
	maxLag   time.Duration
	writeLag map[string]time.Duration
	entries  map[string][]entry
	list     map[string]*listing
	// storeCut are the servers that are cut off from the store; refusing and unreachable ones are cut off from the leader.
	storeCut, refusing map[string]bool
	writtenAt          map[string]time.Duration
	// history holds what the servers were in each tick, the latest last.
	history []map[string]site.Server
	// events are what happens later.
	events map[time.Duration][]func()
	trace  []string
	born   int64
}

// newScaleSimulation returns a simulation of whole fabric domains whose replicas serve, with the model spare on the hosts of
// the other servers.
func newScaleSimulation(t *testing.T, domains int, spare string) *scaleSimulation {
	sim := &scaleSimulation{
		simulation: newSimulation(t, domains, scaleDomain), writeLag: make(map[string]time.Duration),
		entries: make(map[string][]entry), list: make(map[string]*listing), storeCut: make(map[string]bool), refusing: make(map[string]bool),
		writtenAt: make(map[string]time.Duration), events: make(map[time.Duration][]func()), born: 1,
	}
	sim.exact, sim.fleet.Engine, sim.formTime = true, scaleEngine, scaleEngine.Form
	sim.stepInterval = func() time.Duration { return 5 * step }
	sim.advance(formedAfter)
	sim.stepInterval, sim.nextStep, sim.trace = nil, sim.now, nil
	sim.fleet.TrafficStarted = true
	for id, s := range sim.actual {
		if s.Member.State == site.Unassigned {
			s.Staged = []string{spare}
			sim.actual[id] = s
		}
	}
	return sim
}

// advance advances the time by d.
func (sim *scaleSimulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += step {
		sim.finishLoads()
		sim.finishTransitions()
		sim.breakHeads()
		for _, event := range sim.events[sim.now] {
			event()
		}
		delete(sim.events, sim.now)
		sim.writeEntries()
		sim.readEntries()
		if sim.now >= sim.nextStep {
			sim.nextStep = sim.now + step
			if sim.stepInterval != nil {
				sim.nextStep = sim.now + sim.stepInterval()
			}
			sim.stepLeader()
		}
	}
}

// after makes event happen after d, or at once.
func (sim *scaleSimulation) after(d time.Duration, event func()) {
	if d = d.Round(step); d <= 0 {
		event()
		return
	}
	sim.events[sim.now+d] = append(sim.events[sim.now+d], event)
}

// record adds a line to the trace.
func (sim *scaleSimulation) record(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%7.1f ", sim.now.Seconds())+fmt.Sprintf(format, args...))
}

// stepLeader makes the leader send the orders that are due.
func (sim *scaleSimulation) stepLeader() {
	p := sim.planner
	for _, o := range p.Step(sim.now, sim.fleet) {
		sim.orders = append(sim.orders, o)
		sim.send(p, o)
	}
	for _, c := range p.Closures() {
		sim.record("closed   %s head %s by %v, listed %v, contradicted %v", c.Replica, c.Head, c.Evidence, c.Listed, c.Contradicted)
	}
	sim.pollReports(p)
}

// send makes the fate of an order happen to it.
func (sim *scaleSimulation) send(p *formation.Planner, o formation.Order) {
	f := fate{}
	if sim.fate != nil {
		f = sim.fate(o)
	}
	answer := func(a formation.Answer) {
		sim.record("answer   %s %s %s sent %.1f: %v", o.Action, o.Server, o.Group, o.SentAt.Seconds(), a)
		if p == sim.planner {
			p.RecordAnswer(sim.now, o, a)
		}
	}
	sim.record("order    %s %s %s fate %+v", o.Action, o.Server, o.Group, f)
	if f.unsent {
		answer(formation.Unsent)
		return
	}
	sim.after(f.wait, func() {
		s, lives := sim.actual[o.Server]
		if sim.refusing[o.Server] {
			answer(formation.Absent)
			return
		}
		if f.lost || !lives || sim.unreachable[o.Server] {
			sim.after(orderTimeout, func() { answer(formation.Unknown) })
			return
		}
		timely := f.late+f.answer < orderTimeout
		switch {
		case f.second, !timely:
			sim.after(orderTimeout, func() { answer(formation.Unknown) })
		}
		sim.after(f.late, func() {
			now, lives := sim.actual[o.Server]
			if !lives || now.Born != s.Born {
				return
			}
			a := sim.apply(now, o)
			sim.record("done     %s %s %s of term %d: %v", o.Action, o.Server, o.Group, o.Fence, a)
			if timely && !f.second {
				sim.after(f.answer, func() { answer(a) })
			}
		})
	})
}

// writeEntries makes servers write their entries after a change and with each heartbeat, and removes those of silent ones.
func (sim *scaleSimulation) writeEntries() {
	sim.history = append(sim.history, maps.Clone(sim.actual))
	sim.history = sim.history[max(0, len(sim.history)-1-int(reportLag/step)):]
	for id, s := range sim.actual {
		written := sim.entries[id]
		last := entry{removed: true}
		if len(written) > 0 {
			last = written[len(written)-1]
		}
		if !sim.storeCut[id] && (last.removed || !equal(last.server, s) || sim.now-sim.writtenAt[id] >= heartbeat) {
			sim.entries[id], sim.writtenAt[id] = append(written, entry{at: sim.now, server: s}), sim.now
		}
	}
	for id, written := range sim.entries {
		if last := written[len(written)-1]; !last.removed && sim.now-sim.writtenAt[id] >= lapseAfter {
			sim.entries[id] = append(written, entry{at: sim.now, server: last.server, removed: true})
		}
	}
}

// equal returns whether two entries say the same.
func equal(a, b site.Server) bool {
	return a.Born == b.Born && a.Draining == b.Draining && a.Member == b.Member && slices.Equal(a.Staged, b.Staged)
}

// readEntries updates the list as the roster of gateway does.
func (sim *scaleSimulation) readEntries() {
	for id, written := range sim.entries {
		l := sim.list[id]
		if l == nil {
			l = &listing{}
			sim.list[id] = l
		}
		for ; l.next < len(written) && written[l.next].at+sim.lagOf(id) <= sim.now; l.next++ {
			sim.readEntry(l, written[l.next])
		}
		if l.cutOff && sim.now >= l.expiresAt {
			*l = listing{next: l.next}
		}
		sim.showListing(id, l)
	}
}

// lagOf returns how old the entry of a server in the list is.
func (sim *scaleSimulation) lagOf(id string) time.Duration {
	return min(sim.readLag+sim.writeLag[id], sim.maxLag)
}

// readEntry applies the next entry of a server to its listing.
func (sim *scaleSimulation) readEntry(l *listing, e entry) {
	if e.removed {
		state := l.server.Member.State
		if state >= site.Ready && state != site.Broken && !l.server.Draining {
			l.cutOff, l.expiresAt = true, sim.now+cutOffTTL
		} else {
			*l = listing{next: l.next}
		}
		return
	}
	s, lastModel, reportedAt := e.server, "", time.Duration(0)
	if l.server.Born == s.Born {
		lastModel = l.lastModel
		if l.reportedAt > 0 && sim.now-l.reportedAt < reportTTL && supersedes(l.server.Member, s.Member) {
			s.Member, reportedAt = l.server.Member, l.reportedAt
		}
	}
	*l = listing{server: s, lastModel: lastModel, reportedAt: reportedAt, next: l.next}
}

// showListing puts a listing into the fleet.
func (sim *scaleSimulation) showListing(id string, l *listing) {
	if l.cutOff && sim.fleet.Dead[id] {
		*l = listing{next: l.next}
	}
	if l.server.ID == "" {
		delete(sim.fleet.Servers, id)
		delete(sim.fleet.CutOff, id)
		delete(sim.fleet.LastModel, id)
		return
	}
	if l.server.Member.State != site.Unassigned {
		l.lastModel = formation.ModelOf(l.server.Member.Group)
	}
	sim.fleet.Servers[id], sim.fleet.LastModel[id] = l.server, l.lastModel
	if sim.fleet.CutOff == nil {
		sim.fleet.CutOff = make(map[string]bool)
	}
	sim.fleet.CutOff[id] = l.cutOff
}

// pollReports makes the leader know what the servers report that the planner waits for.
func (sim *scaleSimulation) pollReports(p *formation.Planner) {
	unconfirmed := make(map[string]bool)
	for _, s := range p.UnconfirmedServers() {
		unconfirmed[s.ID] = true
	}
	for _, pending := range slices.Concat(p.UnconfirmedServers(), p.PendingServers()) {
		s, lived := sim.history[0][pending.ID]
		l := sim.list[pending.ID]
		if _, lives := sim.actual[pending.ID]; !lived || !lives || sim.unreachable[pending.ID] || sim.refusing[pending.ID] {
			continue
		}
		if unconfirmed[pending.ID] {
			p.RecordReport(sim.now, s)
		}
		if l != nil && l.server.Born == s.Born && supersedes(s.Member, l.server.Member) {
			l.server.Member, l.reportedAt = s.Member, sim.now
			sim.showListing(pending.ID, l)
		}
	}
}

// replaceLeader makes a daemon lead whose list is older than that of the one before by lag, in which the reports to that one
// do not count.
func (sim *scaleSimulation) replaceLeader(lag time.Duration) {
	sim.changeLeader()
	sim.record("leader   term %d, its list is %v old", sim.term, min(sim.readLag+lag, sim.maxLag))
	sim.fleet.Dead, sim.list = make(map[string]bool), make(map[string]*listing)
	sim.fleet.Servers, sim.fleet.CutOff, sim.fleet.LastModel = make(map[string]site.Server), make(map[string]bool), make(map[string]string)
	sim.readLag += lag
	sim.readEntries()
	sim.after(lag, func() { sim.readLag = max(sim.readLag-lag, 0) })
	sim.nextStep = sim.now
}

// die ends a server, which counts as dead after believed.
func (sim *scaleSimulation) die(id string, believed time.Duration) {
	sim.record("dies     %s", id)
	delete(sim.actual, id)
	sim.after(believed, func() { sim.fleet.Dead[id] = true })
}

// doubt makes a server count as dead for a time.
func (sim *scaleSimulation) doubt(id string, d time.Duration) {
	sim.record("dead?    %s", id)
	sim.fleet.Dead[id] = true
	sim.after(d, func() {
		sim.record("doubted  %s", id)
		delete(sim.fleet.Dead, id)
	})
}

// restart makes a server start again under the same id after d.
func (sim *scaleSimulation) restart(id string, d time.Duration) {
	s := sim.actual[id]
	sim.record("restarts %s", id)
	delete(sim.actual, id)
	sim.after(d, func() {
		sim.born++
		s.Born, s.Member, s.Draining = sim.born, site.Membership{}, false
		sim.actual[id] = s
		delete(sim.highestEpoch, id)
		delete(sim.highestFence, id)
		delete(sim.fleet.Dead, id)
	})
}

// leave makes a server drain and end after d.
func (sim *scaleSimulation) leave(id string, d time.Duration) {
	sim.record("drains   %s", id)
	sim.drain(id)
	sim.after(d, func() { delete(sim.actual, id) })
}

// cut cuts a server off for d: from the store, and, with the answers that the leader then has, from the leader.
func (sim *scaleSimulation) cut(id string, d time.Duration, store, silent, refuses bool) {
	sim.record("cut      %s for %v, store %v, silent %v, refuses %v", id, d, store, silent, refuses)
	sim.storeCut[id], sim.unreachable[id], sim.refusing[id] = store, silent, refuses
	sim.after(d, func() {
		sim.record("heals    %s", id)
		delete(sim.storeCut, id)
		delete(sim.unreachable, id)
		delete(sim.refusing, id)
		delete(sim.fleet.Dead, id)
	})
	if silent || refuses {
		// Two probes and the answers of other hubs.
		sim.after(7*step, func() {
			if sim.unreachable[id] || sim.refusing[id] {
				sim.fleet.Dead[id] = true
			}
		})
	}
}

// scaleKinds are the kinds of things that random histories hold besides deaths, some of them doubted, slow answers, slow steps and
// servers that start.
type scaleKinds struct {
	// unsent means orders, and all orders of a step, that are not sent, second answers of other orders, late orders that are
	// carried out late or lost, and waits orders that wait at the leader.
	unsent, second, late, waits bool
	// lags means that the list lags, each entry by maxLag at most.
	lags   bool
	maxLag time.Duration
	// leaders means other leaders, cuts servers that are cut off, drains ones that leave, restarts ones that start again.
	leaders, cuts, drains, restarts bool
}

// drawTenths draws a time of at most most, in steps.
func drawTenths(rt *rapid.T, name string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(least/step), int(most/step)).Draw(rt, name)) * step
}

// drawServer draws a server, half of the time a member of a serving replica and often its head.
func (sim *scaleSimulation) drawServer(rt *rapid.T) string {
	ids := slices.Sorted(maps.Keys(sim.actual))
	var heads []string
	for _, id := range ids {
		if sim.actual[id].Member.State == site.Open {
			heads = append(heads, id)
		}
	}
	of := func() string { return heads[min(rapid.IntRange(0, 3).Draw(rt, "of"), len(heads)-1)] }
	switch kind := rapid.IntRange(0, 4).Draw(rt, "whom"); {
	case kind == 0 && len(heads) > 0:
		return of()
	case kind <= 3 && len(heads) > 0:
		members := sim.members[sim.actual[of()].Member.Group]
		if id := members[rapid.IntRange(1, len(members)-1).Draw(rt, "rank")]; sim.actual[id].ID != "" {
			return id
		}
	}
	return rapid.SampledFrom(ids).Draw(rt, "server")
}

// fates returns the fates of orders for a seed: they depend on the order and on how often it was sent before only.
func (k scaleKinds) fates(seed uint64, share int) func(formation.Order) fate {
	sent := make(map[string]int)
	burst := make(map[time.Duration]bool)
	return func(o formation.Order) fate {
		key := fmt.Sprint(o.Server, o.Action, o.Group, o.Fence)
		sent[key]++
		hash := fnv.New64a()
		fmt.Fprint(hash, key, sent[key])
		r := rand.New(rand.NewPCG(seed, hash.Sum64()))
		if _, drawn := burst[o.SentAt]; k.unsent && !drawn {
			hash.Write([]byte(o.SentAt.String()))
			burst[o.SentAt] = rand.New(rand.NewPCG(seed, hash.Sum64())).IntN(20) == 0
		}
		var f fate
		if k.waits {
			f.wait = time.Duration(r.IntN(11)) * step
		}
		if k.unsent && burst[o.SentAt] {
			return fate{unsent: true}
		}
		if r.IntN(100) >= share {
			return f
		}
		switch kind := r.IntN(4); {
		case kind == 0 && k.unsent:
			return fate{unsent: true}
		case kind == 1 && k.second:
			f.second = true
			f.lost = false
			f.late = time.Duration(r.IntN(2)*r.IntN(int(maxOrderDelay/step))) * step
		case kind == 2 && k.late:
			f.late = time.Duration(r.IntN(int(maxOrderDelay/step))) * step
		case kind == 3 && k.late:
			f.lost = true
		default:
			f.answer = time.Duration(r.IntN(7)) * step
		}
		return f
	}
}

// drawEvent makes one thing happen.
func (sim *scaleSimulation) drawEvent(rt *rapid.T, k scaleKinds, n int) {
	id := sim.drawServer(rt)
	enough := len(sim.actual) > scaleDomain-8
	switch kind := rapid.IntRange(0, 8).Draw(rt, "kind"); {
	case kind <= 1 && enough:
		sim.die(id, drawTenths(rt, "believed", 0, 2*time.Second))
	case kind == 2:
		sim.doubt(id, drawTenths(rt, "dead", step, 12*step))
	case kind == 3:
		for range rapid.IntRange(2, 4).Draw(rt, "doubts") {
			sim.doubt(id, drawTenths(rt, "dead", step, 8*step))
			sim.advance(drawTenths(rt, "until the next", 2*step, 15*step))
		}
	case kind == 4 && k.cuts:
		silent := rapid.Bool().Draw(rt, "silent")
		sim.cut(id, drawTenths(rt, "cut", step, 10*time.Second), rapid.Bool().Draw(rt, "store"), silent, !silent && rapid.Bool().Draw(rt, "refuses"))
	case kind == 5 && k.drains:
		sim.leave(id, drawTenths(rt, "drain", 2*time.Second, 5*time.Second))
	case kind == 6 && k.restarts:
		sim.restart(id, drawTenths(rt, "down", step, 4*time.Second))
	case kind == 7 && k.leaders:
		sim.replaceLeader(drawTenths(rt, "older", 0, k.maxLag))
	case kind == 8 && k.lags:
		sim.readLag = drawTenths(rt, "lag", 0, k.maxLag)
		sim.writeLag[id] = drawTenths(rt, "write lag", 0, k.maxLag)
	default:
		sim.born++
		name := fmt.Sprintf("new-%d", n)
		sim.actual[name] = site.Server{ID: name, Address: name, FailureDomain: "zone", FabricDomain: "d0", Born: sim.born, Staged: []string{"large"}}
	}
	longest := time.Second
	if rapid.IntRange(0, 3).Draw(rt, "long") == 3 {
		longest = 8 * time.Second
	}
	sim.advance(drawTenths(rt, "pause", step, longest))
}

// drawHistory runs a random history and returns the simulation.
func (k scaleKinds) drawHistory(t *testing.T, rt *rapid.T) *scaleSimulation {
	sim := newScaleSimulation(t, rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(rt, "domains"), rapid.SampledFrom([]string{"large", "small"}).Draw(rt, "spares"))
	sim.maxLag = k.maxLag
	sim.fate = k.fates(rapid.Uint64().Draw(rt, "fates"), rapid.SampledFrom([]int{0, 5, 20, 50}).Draw(rt, "share"))
	if slow := rapid.IntRange(1, 10).Draw(rt, "slow"); slow > 1 {
		n := 0
		sim.stepInterval = func() time.Duration { n++; return time.Duration(1+n*7%slow) * step }
	}
	if k.lags {
		sim.readLag = drawTenths(rt, "lag", 0, min(k.maxLag, 15*step))
	}
	for n := range rapid.IntRange(1, 20).Draw(rt, "events") {
		sim.drawEvent(rt, k, n)
		if len(sim.broken) > 0 {
			return sim
		}
	}
	sim.advance(5 * time.Second)
	return sim
}

// about returns the lines of the trace on any of the given names.
func (sim *scaleSimulation) about(names ...string) string {
	var out []string
	for _, line := range sim.trace {
		if strings.Contains(line, "leader ") || slices.ContainsFunc(names, func(name string) bool { return name != "" && strings.Contains(line+" ", name+" ") }) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// requireRule checks that no server has taken a join while the head of its replica served.
func (sim *scaleSimulation) requireRule(t require.TestingT) {
	if len(sim.broken) == 0 {
		return
	}
	b := sim.broken[0]
	require.Fail(t, "rule TWO", "at %v server %s joins %s (term %d) while head %s of %s is %v; taken for closed by %v\n%s", b.at, b.server.ID, b.order.Group,
		b.order.Fence, b.head.ID, b.head.Member.Group, b.head.Member.State, b.order.Previous.Evidence, sim.about(b.server.ID, b.head.ID))
}

// advanceToOrder advances the time until a server is sent an order with the given action.
func (sim *scaleSimulation) advanceToOrder(a formation.Action, server string) {
	seen := len(sim.orders)
	sent := func() bool {
		return slices.ContainsFunc(sim.orders[seen:], func(o formation.Order) bool { return o.Action == a && o.Server == server })
	}
	for deadline := sim.now + 10*time.Second; !sent(); {
		require.Less(sim.t, sim.now, deadline, "%v is not ordered of %s", a, server)
		sim.advance(step)
	}
}

// fateOf gives the orders with one action the fate f, and the others the zero one.
func fateOf(a formation.Action, f fate) func(formation.Order) fate {
	return func(o formation.Order) fate {
		if o.Action == a {
			return f
		}
		return fate{}
	}
}

// reopen makes a member of the replica of head count as dead until d after it is ordered to stop, and advances to the order to
// open.
func (sim *scaleSimulation) reopen(head, member string, d time.Duration) {
	countAsDead(sim.simulation, member)
	sim.advanceToOrder(formation.Preempt, head)
	sim.advance(d)
	delete(sim.fleet.Dead, member)
	sim.advanceToOrder(formation.Open, head)
}

// TestUnsentOrderToStop guards against an order to stop that was never sent and counts as declined by its head.
func TestUnsentOrderToStop(t *testing.T) {
	for _, model := range []string{"large", "small"} {
		t.Run(model, func(t *testing.T) {
			sim := newScaleSimulation(t, 1, model)
			_, others := sim.head(model)
			sim.fate = fateOf(formation.Preempt, fate{unsent: true})
			countAsDead(sim.simulation, others[0])
			sim.advance(2 * time.Second)
			sim.requireRule(t)
		})
	}
}

// TestAnswerOfAnotherOrder guards against an answer to an earlier order that counts as the one to an order to stop, which the
// head carries out late.
func TestAnswerOfAnotherOrder(t *testing.T) {
	sim := newScaleSimulation(t, 1, "large")
	_, others := sim.head("large")
	sim.fate = fateOf(formation.Preempt, fate{second: true, late: 5 * time.Second})
	countAsDead(sim.simulation, others[0])
	sim.advance(2 * time.Second)
	sim.requireRule(t)
}

// TestHeadThatDeclinesWhileItForms guards against a head that declines to stop while it forms its replica, and opens after
// that: its answer arrives when it is open, the order to open has reached it late, or a report shows that it was open before.
func TestHeadThatDeclinesWhileItForms(t *testing.T) {
	for _, tc := range []struct {
		name       string
		open, stop fate
		// again is the time from the order to open to that to stop, and opened that from an order to open before both.
		again, opened time.Duration
	}{
		{"answer_is_late", fate{}, fate{answer: 3 * step}, step, 0},
		{"order_is_late", fate{wait: 10 * step}, fate{wait: 4 * step}, 8 * step, 0},
		{"report_is_older", fate{}, fate{}, step, 4 * step},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newScaleSimulation(t, 1, "small")
			head, others := sim.head("small")
			sim.fate = fateOf(formation.Open, tc.open)
			if tc.opened > 0 {
				sim.readLag, sim.maxLag = listLag, listLag
				sim.advance(time.Second)
				sim.reopen(head, others[0], 0)
				sim.advance(tc.opened - step)
			}
			sim.reopen(head, others[0], 0)
			sim.advance(tc.again - step)
			sim.fate = fateOf(formation.Preempt, tc.stop)
			countAsDead(sim.simulation, others[0])
			sim.advance(3 * time.Second)
			sim.requireRule(t)
		})
	}
}

// TestJoinsOnTheirWay guards against a replica that is opened again while orders to its members to join another one are
// on their way: they wait at the leader, or servers carry them out late.
func TestJoinsOnTheirWay(t *testing.T) {
	for name, join := range map[string]fate{"at_the_leader": {wait: 10 * step}, "at_the_servers": {late: 2 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			sim := newScaleSimulation(t, 1, "small")
			head, others := sim.head("small")
			sim.readLag, sim.maxLag = listLag, listLag
			sim.fate = fateOf(formation.Join, join)
			countAsDead(sim.simulation, others[0])
			sim.advanceToOrder(formation.Join, head)
			delete(sim.fleet.Dead, others[0])
			sim.advance(4 * time.Second)
			sim.requireRule(t)
		})
	}
}

// TestJoinsBeforeARefusal guards against orders to join without an answer that are forgotten when their servers refuse a
// connection, as their zone is cut off, and carried out after their old replica was opened again.
func TestJoinsBeforeARefusal(t *testing.T) {
	sim := newScaleSimulation(t, 1, "small")
	head, others := sim.head("small")
	sim.readLag, sim.maxLag = listLag, listLag
	sim.fate = fateOf(formation.Join, fate{late: 8 * time.Second})
	countAsDead(sim.simulation, others[0])
	sim.advanceToOrder(formation.Join, head)
	sim.advance(orderTimeout)
	for _, id := range append([]string{head}, others...) {
		sim.refusing[id] = true
	}
	sim.advance(time.Second)
	clear(sim.refusing)
	delete(sim.fleet.Dead, others[0])
	sim.advance(10 * time.Second)
	sim.requireRule(t)
}

// TestListThatShowsAnEarlierClose guards against a close from before the last order to open, which a list that lags as documented
// shows after it: a death is believed and doubted twice, and the third time the head is still forming and declines to stop.
func TestListThatShowsAnEarlierClose(t *testing.T) {
	sim := newScaleSimulation(t, 1, "small")
	head, others := sim.head("small")
	sim.readLag, sim.maxLag = listLag, listLag
	sim.advance(time.Second)
	sim.reopen(head, others[0], 0)
	sim.advance(scaleEngine.Form)
	sim.fate = fateOf(formation.Open, fate{wait: 2 * step})
	sim.reopen(head, others[0], 2*step)
	sim.advance(2 * step)
	countAsDead(sim.simulation, others[0])
	sim.advance(5 * time.Second)
	sim.requireRule(t)
}

// TestLeaderWithAnOldList guards against a new leader whose list does not show the replica that the one before has opened.
func TestLeaderWithAnOldList(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			sim := newScaleSimulation(t, 1, "small")
			sim.maxLag = lag
			for n := range 8 {
				name := fmt.Sprintf("new-%d", n)
				sim.actual[name] = site.Server{ID: name, Address: name, FailureDomain: "zone", FabricDomain: "d0", Born: 1, Staged: []string{"small"}}
			}
			sim.advanceToOrder(formation.Open, "new-0")
			sim.replaceLeader(lag)
			sim.advance(10 * time.Second)
			sim.requireRule(t)
		})
	}
}

// TestHeadListedAfterItsMembers guards against a new leader that takes a head for closed which it sees for the first time after
// its members, ready as it was before it opened, when one of them is lost.
func TestHeadListedAfterItsMembers(t *testing.T) {
	sim := newScaleSimulation(t, 1, "small")
	for n := range 8 {
		name := fmt.Sprintf("new-%d", n)
		sim.actual[name] = site.Server{ID: name, Address: name, FailureDomain: "zone", FabricDomain: "d0", Born: 1, Staged: []string{"small"}}
	}
	sim.advanceToOrder(formation.Open, "new-0")
	sim.advance(scaleEngine.Form)
	sim.maxLag, sim.writeLag["new-0"] = 2*time.Second, 2*time.Second
	sim.replaceLeader(0)
	countAsDead(sim.simulation, "new-0")
	countAsDead(sim.simulation, "new-1")
	for taken := sim.now; sim.fleet.Servers["new-0"].Member.State != site.Ready; {
		require.Less(t, sim.now-taken, sim.maxLag, "the list should show the head ready")
		sim.advance(step)
	}
	delete(sim.fleet.Dead, "new-0")
	sim.advance(3 * time.Second)
	sim.requireRule(t)
}

// testRandomScale checks that random histories with what k holds do not break the rule TWO.
func testRandomScale(t *testing.T, k scaleKinds) {
	t.Helper()
	histories.Limit(t, scaleHistories)
	rapid.Check(t, func(rt *rapid.T) { k.drawHistory(t, rt).requireRule(rt) })
}

// TestRandomUnsentOrders guards against orders that were not sent, single ones and those of whole steps.
func TestRandomUnsentOrders(t *testing.T) { testRandomScale(t, scaleKinds{unsent: true}) }

// TestRandomSecondAnswers guards against answers of other orders.
func TestRandomSecondAnswers(t *testing.T) { testRandomScale(t, scaleKinds{second: true}) }

// TestRandomLateOrdersAtScale guards against orders that are late, at the leader or at servers that are also cut off, drain or restart.
func TestRandomLateOrdersAtScale(t *testing.T) {
	testRandomScale(t, scaleKinds{late: true, waits: true, cuts: true, drains: true, restarts: true})
}

// TestRandomLags guards against a list that lags as documented.
func TestRandomLags(t *testing.T) {
	testRandomScale(t, scaleKinds{lags: true, maxLag: listLag, cuts: true, drains: true, restarts: true})
}

// TestRandomLongLags guards against a list that lags by up to 6 s.
func TestRandomLongLags(t *testing.T) {
	testRandomScale(t, scaleKinds{lags: true, maxLag: longLag, late: true, cuts: true})
}

// TestRandomLeadersAtScale guards against other leaders beside late orders, with a list that lags as documented.
func TestRandomLeadersAtScale(t *testing.T) {
	testRandomScale(t, scaleKinds{leaders: true, late: true, waits: true, lags: true, maxLag: listLag, restarts: true})
}

// TestRandomLeadersWithOldLists guards against the same with a list that lags by up to 6 s.
func TestRandomLeadersWithOldLists(t *testing.T) {
	testRandomScale(t, scaleKinds{leaders: true, lags: true, maxLag: longLag, drains: true})
}

// TestTwoJoinsOnTheirWay guards against an order to join that is forgotten, while it is on its way, as the next one to the same server
// is not sent or refused: its old replica is opened again, and it arrives.
func TestTwoJoinsOnTheirWay(t *testing.T) {
	for _, second := range []string{"unsent", "refused", "lost"} {
		for doubt := 14; doubt <= 18; doubt++ {
			t.Run(fmt.Sprint(second, "_", doubt), func(t *testing.T) {
				sim := newScaleSimulation(t, 1, "small")
				head, others := sim.head("small")
				sim.readLag, sim.maxLag = listLag, listLag
				joins := make(map[string]int)
				sim.fate = func(o formation.Order) fate {
					if o.Action != formation.Join {
						return fate{}
					}
					if joins[o.Server]++; joins[o.Server] == 1 {
						return fate{wait: 16 * step, late: 6 * step}
					}
					if second == "refused" {
						sim.refusing[o.Server] = true
						sim.after(step, func() { delete(sim.refusing, o.Server) })
					}
					return fate{unsent: second == "unsent", lost: second == "lost"}
				}
				countAsDead(sim.simulation, others[0])
				sim.advanceToOrder(formation.Join, head)
				sim.advance(time.Duration(doubt) * step)
				delete(sim.fleet.Dead, others[0])
				sim.advance(6 * time.Second)
				sim.requireRule(t)
			})
		}
	}
}

// TestRandomBusyLeader guards against orders of all kinds that wait at a leader without processor time, or are late or not sent.
func TestRandomBusyLeader(t *testing.T) {
	testRandomWaits(t, scaleKinds{unsent: true, late: true, lags: true, maxLag: listLag}, false)
}

// TestRandomReforms guards against replicas that are formed anew, or retired, for slow members and demand, by leaders with old lists.
func TestRandomReforms(t *testing.T) {
	testRandomWaits(t, scaleKinds{leaders: true, lags: true, maxLag: longLag, drains: true}, true)
}

// testRandomWaits is testRandomScale with orders that wait at the leader for up to its lease, and with reforms with slow servers and
// changes of demand.
func testRandomWaits(t *testing.T, k scaleKinds, reforms bool) {
	t.Helper()
	histories.Limit(t, scaleHistories)
	rapid.Check(t, func(rt *rapid.T) {
		sim := newScaleSimulation(t, 1, rapid.SampledFrom([]string{"large", "small"}).Draw(rt, "spares"))
		sim.maxLag = k.maxLag
		base := k.fates(rapid.Uint64().Draw(rt, "fates"), rapid.SampledFrom([]int{0, 5, 20, 50}).Draw(rt, "share"))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "waits"), 1))
		sim.fate = func(o formation.Order) fate {
			f := base(o)
			if !f.unsent && r.IntN(3) == 0 {
				f.wait, f.late = time.Duration(r.IntN(17))*step, f.late+time.Duration(r.IntN(7))*step
			}
			return f
		}
		sim.readLag = drawTenths(rt, "lag", 0, k.maxLag)
		for n := range rapid.IntRange(1, 20).Draw(rt, "events") {
			if reforms && rapid.IntRange(0, 3).Draw(rt, "pace") == 0 {
				sim.fleet.Pace = map[string]float64{sim.drawServer(rt): 5}
			}
			if reforms && rapid.IntRange(0, 3).Draw(rt, "demand") == 0 {
				sim.fleet.Demand = map[string]float64{"large": rapid.Float64Range(0.1, 10).Draw(rt, "large"), "small": rapid.Float64Range(0.1, 10).Draw(rt, "small")}
			}
			sim.drawEvent(rt, k, n)
		}
		sim.advance(5 * time.Second)
		sim.requireRule(rt)
	})
}

// TestRandomEverythingAtScale guards against all of these together but second answers.
func TestRandomEverythingAtScale(t *testing.T) {
	testRandomScale(t, scaleKinds{
		unsent: true, late: true, waits: true, lags: true, maxLag: longLag, leaders: true, cuts: true, drains: true, restarts: true,
	})
}

// TestJoinAfterALeave guards against an order to join without an answer that is carried out when its server has left that
// replica, as its head refuses connections: it is in it again, and joins another one while the head is open.
func TestJoinAfterALeave(t *testing.T) {
	sim := newScaleSimulation(t, 1, "small")
	for n := range 8 {
		name := fmt.Sprintf("new-%d", n)
		sim.actual[name] = site.Server{ID: name, Address: name, FailureDomain: "zone", FabricDomain: "d0", Born: 1, Staged: []string{"small"}}
	}
	const late = 3 * time.Second
	sim.advance(2 * step)
	first := sim.now
	sim.fate = func(o formation.Order) fate {
		switch {
		case o.Action == formation.Join && o.Server == "new-1" && o.SentAt <= first+2*step:
			return fate{late: late}
		case o.Action == formation.Join && o.SentAt > first+2*time.Second:
			return fate{wait: 8 * step}
		}
		return fate{}
	}
	sim.advanceToOrder(formation.Open, "new-0")
	sim.advance(first + late - 3*step - sim.now)
	sim.refusing["new-0"] = true
	countAsDead(sim.simulation, "new-2")
	sim.advanceToOrder(formation.Preempt, "new-0")
	countAsDead(sim.simulation, "new-0")
	sim.advance(4 * time.Second)
	sim.requireRule(t)
}
