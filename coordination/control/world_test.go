package control_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/admission"
	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/freshness"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/coordination/lease"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

const (
	// tickInterval, readInterval, pollInterval and listInterval are the intervals at which a daemon
	// ticks, reads the log, asks the engines for reports and reads the list of instances.
	tickInterval = 200 * time.Millisecond
	readInterval = 250 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	listInterval = 500 * time.Millisecond
	// requestInterval is the interval between requests to one daemon.
	requestInterval = 200 * time.Millisecond
	// loadTime is how long an engine takes to load weights.
	loadTime = 400 * time.Millisecond
	// maxDelay bounds the delay of one message.
	maxDelay = 300 * time.Millisecond
	// effectTimeout is how long a daemon may act on a state that has changed: work may still reach
	// a domain that was taken out, or a replica that lost a member, for this long.
	effectTimeout = 4 * time.Second
	// coldLimit is how many requests a cold engine may run at once, warmAfter how many it must
	// have served to be warm.
	coldLimit = 2
	warmAfter = 5
)

// bounds returns the bounds that all daemons of a simulation share.
func bounds() control.Bounds {
	return control.Bounds{
		Freshness:        freshness.Bounds{MaxAge: 3 * time.Second, PeerTimeout: 2 * time.Second},
		Lease:            lease.Timing{Duration: 3 * time.Second, Guard: 500 * time.Millisecond, LongestOrder: time.Second},
		ReportAge:        1500 * time.Millisecond,
		DeadAfter:        1500 * time.Millisecond,
		PeerForget:       20 * time.Second,
		SnapshotInterval: 2 * time.Second,
	}
}

// A simEngine is one engine of a simulation, with the numbers of requests that it runs and has
// served. gone means that it never starts again.
type simEngine struct {
	instance fleet.Instance
	member   standin.Member
	up       bool
	paused   time.Time
	running  int
	served   int
	lostAt   time.Time
	leftAt   time.Time
	gone     bool
}

// A simDaemon is one daemon of a simulation. Until disruptedUntil it may be unable to read the
// log.
type simDaemon struct {
	name           string
	domain         string
	core           *control.Core
	up             bool
	paused         time.Time
	incarnation    int
	nextOffset     map[control.Stream]uint64
	inFlight       map[string]int
	offset         uint64
	disruptedUntil time.Time
}

// A simulation runs several daemons, a log and engines on a simulated clock. violations lists the
// violated invariants, and outSince the time from which a domain counts as out of service.
type simulation struct {
	now        time.Time
	random     *rand.Rand
	log        simLog
	engines    map[string]*simEngine
	names      []string
	daemons    []*simDaemon
	partitions map[[2]string]bool
	events     eventQueue
	order      int
	monitor    invariant.Monitor
	violations []string
	trace      []string

	verdicts    map[string]configuration.Verdict
	fenced      bool
	outSince    map[string]time.Time
	outRequests []domainOutRequest
	outageAt    time.Time
	dispatched  int
	completed   int
}

// An event is a function to run at a simulated time. order keeps events of the same time in the
// order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func()
}

// An eventQueue is a heap of events by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	if e, ok := x.(*event); ok {
		*q = append(*q, e)
	}
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation returns a simulation of daemons in two failure domains, with the given number of
// engines in each.
func newSimulation(seed uint64, daemons, engines int, fenced bool) *simulation {
	sim := &simulation{
		now:     time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[string]*simEngine), partitions: make(map[[2]string]bool),
		verdicts: make(map[string]configuration.Verdict), outSince: make(map[string]time.Time), fenced: fenced,
		log: simLog{streams: make(map[control.Stream][]record), next: map[control.Stream]uint64{
			control.StreamConfiguration: 1, control.StreamSystem: 1,
		}},
	}
	sim.monitor.OnViolation = func(p invariant.Name, message string) {
		sim.violations = append(sim.violations, fmt.Sprintf("%s: %s", p, message))
		sim.tracef("VIOLATION %s: %s", p, message)
	}
	for i := range 2 * engines {
		domain := fmt.Sprintf("domain-%d", i%2)
		name := fmt.Sprintf("%s-engine-%d", domain, i/2)
		e := &simEngine{instance: fleet.Instance{
			Name: name, Address: name, Kind: fleet.KindEngine, FailureDomain: domain, FabricDomain: domain + "-fabric",
		}}
		sim.engines[name] = e
		sim.names = append(sim.names, name)
		sim.boot(e)
	}
	for i := range daemons {
		d := &simDaemon{name: fmt.Sprintf("daemon-%d", i), domain: fmt.Sprintf("domain-%d", i%2)}
		sim.daemons = append(sim.daemons, d)
		sim.start(d)
	}
	return sim
}

// after schedules f to run after d.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.order++
	heap.Push(&sim.events, &event{at: sim.now.Add(d), order: sim.order, run: f})
}

// boot puts e in the state of a process that has just started.
func (sim *simulation) boot(e *simEngine) {
	stale, orders := e.member.Stale, e.member.Orders
	e.member = standin.Member{ChecksFencing: sim.fenced, Stale: stale, Orders: orders}
	e.member.Report = fleet.Report{
		Instance: e.instance.Name, Incarnation: uint64(sim.now.UnixNano()), Phase: fleet.PhaseIdle, Slots: 16, ColdLimit: coldLimit,
	}
	e.up, e.running, e.served = true, 0, 0
}

// crashEngine stops the engine of the given name and boots it again after down.
func (sim *simulation) crashEngine(name string, down time.Duration) {
	e := sim.engines[name]
	if !e.up {
		return
	}
	sim.tracef("engine %s down for %s", name, down)
	e.up, e.running, e.lostAt = false, 0, sim.now
	sim.after(down, func() {
		if !e.up && !e.gone {
			sim.boot(e)
		}
	})
}

// disrupt records that d may be unable to read the log for the given time.
func (sim *simulation) disrupt(d *simDaemon, length time.Duration) {
	if until := sim.now.Add(length); until.After(d.disruptedUntil) {
		d.disruptedUntil = until
	}
}

// delay returns a random delay of one message.
func (sim *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(sim.random.Int64N(int64(maxDelay)))/time.Duration(1+sim.random.IntN(20))
}

// deliver runs f at d, at once or when d resumes from a pause, and never if d has stopped or
// restarted since.
func (sim *simulation) deliver(d *simDaemon, life int, f func()) {
	if !d.up || d.incarnation != life {
		return
	}
	if sim.now.Before(d.paused) {
		sim.after(d.paused.Sub(sim.now), func() { sim.deliver(d, life, f) })
		return
	}
	f()
}

// every runs f at d at an interval until d stops.
func (sim *simulation) every(d *simDaemon, interval time.Duration, f func()) {
	life := d.incarnation
	var again func()
	again = func() {
		sim.deliver(d, life, func() {
			f()
			sim.after(interval, again)
		})
	}
	sim.after(time.Duration(sim.random.Int64N(int64(interval))), again)
}

// dispatch lets d send one request to each replica that has room by its view, as an entry
// instance does.
func (sim *simulation) dispatch(d *simDaemon) {
	view := d.core.View(sim.now)
	if view.Mode == freshness.ModeIsolated || !sim.now.Before(view.FreshUntil) || view.Leaving {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(view.Replicas)) {
		for _, r := range view.Replicas[name] {
			key := r.Head.Name
			limit := admission.Limit(admission.Replica{Warm: r.Warm, Directed: r.Directed, Slots: r.Slots, ColdLimit: r.ColdLimit})
			count := d.inFlight[key]
			if !r.Warm {
				count = max(count, r.Running)
			}
			if !sim.now.Before(r.ValidUntil) || count >= limit {
				continue
			}
			sim.sendRequest(d, r, key)
		}
	}
}

// sendRequest sends one request to r and checks the invariants against the actual state of the
// simulation.
func (sim *simulation) sendRequest(d *simDaemon, r control.Replica, key string) {
	sim.dispatched++
	if since, out := sim.outSince[r.FailureDomain]; out {
		sim.monitor.Check(sim.now.Sub(since) < effectTimeout, invariant.DomainOut, "%s sends work to %s, out of service for %s", d.name, r.Name, sim.now.Sub(since))
	}
	for _, member := range r.Members {
		e := sim.engines[member]
		missing := !e.up || e.member.Report.Assignment.Generation != r.Generation
		sim.monitor.Check(!e.member.Report.Leaving || sim.now.Sub(e.leftAt) < effectTimeout, invariant.LeavingServer,
			"%s sends work to %s, whose member %s has been leaving for %s", d.name, r.Name, member, sim.now.Sub(e.leftAt))
		sim.monitor.Check(!missing || sim.now.Sub(e.lostAt) < effectTimeout, invariant.CompleteReplica,
			"%s sends work to %s, whose member %s has been missing for %s", d.name, r.Name, member, sim.now.Sub(e.lostAt))
	}
	life := d.incarnation
	d.inFlight[key]++
	sim.after(sim.delay(), func() { sim.startRequest(d, life, r, key) })
}

// startRequest lets the head of r accept or refuse a request.
func (sim *simulation) startRequest(d *simDaemon, life int, r control.Replica, key string) {
	head := sim.engines[r.Head.Name]
	done := func() {
		if d.incarnation == life {
			d.inFlight[key]--
		}
	}
	if sim.partitioned(d.name, head.instance.Name) || !head.up || sim.now.Before(head.paused) || head.member.Report.Assignment.Generation != r.Generation ||
		head.member.Report.Phase != fleet.PhaseReady || sim.incomplete(r) {
		done()
		return
	}
	head.running++
	head.member.Report.Running = head.running
	cold := !head.member.Report.Warm
	sim.monitor.Check(!cold || head.running <= coldLimit, invariant.ColdLimit, "%s runs %d requests while cold, the last from %s", head.instance.Name, head.running, d.name)
	boot := head.member.Report.Incarnation
	sim.after(sim.delay()*3, func() {
		done()
		if head.up && head.member.Report.Incarnation == boot {
			head.running--
			head.member.Report.Running = head.running
			sim.completed++
			if head.served++; head.served >= warmAfter {
				head.member.Report.Warm = true
			}
		}
	})
}

// incomplete returns whether a member of r is down or has another generation.
func (sim *simulation) incomplete(r control.Replica) bool {
	return slices.ContainsFunc(r.Members, func(name string) bool {
		e := sim.engines[name]
		return !e.up || e.member.Report.Assignment.Generation != r.Generation
	})
}

// partitioned returns whether a network partition separates a and b.
func (sim *simulation) partitioned(a, b string) bool {
	return sim.partitions[[2]string{a, b}] || sim.partitions[[2]string{b, a}]
}

// tracef adds a line to the trace.
func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, sim.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// carryOut lets an engine carry out an order, and checks that it refuses orders of earlier terms.
func (sim *simulation) carryOut(name string, o fleet.Order) (fleet.OrderResult, bool) {
	e := sim.engines[name]
	if !e.up || sim.now.Before(e.paused) {
		return fleet.OrderResult{}, false
	}
	before, stale := e.member.Report.Assignment.Generation, e.member.Stale
	result, ready := e.member.Obey(sim.now, o, loadTime)
	sim.monitor.Check(e.member.Stale == stale, invariant.OneDirector, "%s carried out order %s of an earlier term from %s", name, o.ID, o.Director)
	if e.member.Report.Assignment.Generation != before {
		e.lostAt = sim.now
		sim.tracef("%s carried out order %s of %s", name, o.ID, o.Director)
	}
	if !ready.IsZero() {
		boot, generation := e.member.Report.Incarnation, o.Assignment.Generation
		e.served = 0
		sim.after(ready.Sub(sim.now), func() {
			r := &e.member.Report
			if e.up && r.Incarnation == boot && r.Assignment.Generation == generation && r.Phase == fleet.PhaseLoading {
				r.Phase = fleet.PhaseReady
			}
		})
	}
	return result, true
}

// run runs the simulation until its clock has advanced by d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e, ok := heap.Pop(&sim.events).(*event)
		if !ok {
			return
		}
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// start starts a daemon, which has no state but its settings.
func (sim *simulation) start(d *simDaemon) {
	d.incarnation++
	d.up, d.paused, d.offset = true, time.Time{}, 0
	d.nextOffset = map[control.Stream]uint64{control.StreamConfiguration: 1, control.StreamSystem: 1}
	d.inFlight = make(map[string]int)
	self := control.Identity{Daemon: d.name, Incarnation: fmt.Sprintf("%s-%d", d.name, d.incarnation), FailureDomain: d.domain, CallerAddress: d.name, Weight: 1}
	d.core = control.New(self, bounds())
	sim.every(d, tickInterval, func() { sim.step(d, control.Tick{}) })
	sim.every(d, readInterval, func() { sim.read(d, control.StreamConfiguration) })
	sim.every(d, readInterval, func() { sim.read(d, control.StreamSystem) })
	sim.every(d, listInterval, func() { sim.list(d) })
	sim.every(d, requestInterval, func() { sim.dispatch(d) })
	for _, domain := range []string{"domain-0", "domain-1"} {
		sim.every(d, pollInterval, func() { sim.poll(d, domain) })
	}
}

// step applies e at d, carries out the commands, and checks that the configuration offset never
// decreases.
func (sim *simulation) step(d *simDaemon, e control.Event) {
	life := d.incarnation
	for _, command := range d.core.Step(sim.now, e) {
		switch c := command.(type) {
		case control.Append:
			sim.after(sim.delay(), func() { sim.append(d, life, c) })
		case control.Send:
			sim.send(d, life, c)
		case control.Broadcast:
			for _, other := range sim.daemons {
				if other != d {
					sim.heartbeat(d, other, c.Heartbeat)
				}
			}
		}
	}
	config := d.core.Configuration()
	sim.monitor.Check(config.Offset >= d.offset, invariant.ConfigurationOffset, "%s went from offset %d to %d", d.name, d.offset, config.Offset)
	if config.Offset > d.offset {
		sim.checkVerdicts(d, config)
	}
	d.offset = config.Offset
	sim.confirmDomainsOut()
}

// A domainOutRequest is an operator's record that takes a failure domain out of service.
type domainOutRequest struct {
	domain string
	offset uint64
	at     time.Time
}

// confirmDomainsOut decides from when a requested domain counts as out. Normally that is when the
// record was appended. If the log was unavailable, or cut off from most daemons, before most of
// them had read the record, the operator's command does not report it as in force; then it
// counts as out from when most daemons have read it.
func (sim *simulation) confirmDomainsOut() {
	sim.outRequests = slices.DeleteFunc(sim.outRequests, func(a domainOutRequest) bool {
		applied, undisrupted := 0, 0
		for _, d := range sim.daemons {
			if d.offset >= a.offset {
				applied++
			}
			if d.disruptedUntil.Before(a.at) {
				undisrupted++
			}
		}
		majority := 2*applied > len(sim.daemons)
		available := 2*undisrupted > len(sim.daemons) && !sim.outageAt.After(a.at) && !sim.log.down
		switch {
		case !majority && (!available || sim.now.Sub(a.at) < effectTimeout):
			return false
		case available:
			sim.outSince[a.domain] = a.at
		default:
			sim.outSince[a.domain] = sim.now
		}
		return true
	})
}

// checkVerdicts checks that all daemons reach the same verdicts.
func (sim *simulation) checkVerdicts(d *simDaemon, config configuration.State) {
	for _, v := range config.Verdicts {
		first, ok := sim.verdicts[v.ID]
		if !ok {
			sim.verdicts[v.ID] = v
			continue
		}
		sim.monitor.Check(first.Accepted == v.Accepted && first.Offset == v.Offset, invariant.ConfigurationOffset,
			"%s has verdict on %s: accepted %v at offset %d, another daemon has %v at offset %d", d.name, v.ID, v.Accepted, v.Offset, first.Accepted, first.Offset)
	}
}
