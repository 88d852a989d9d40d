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
	// tickInterval, readInterval, pollInterval and listInterval are the rhythms of a daemon.
	tickInterval = 200 * time.Millisecond
	readInterval = 250 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	listInterval = 500 * time.Millisecond
	// requestInterval is the time between requests that reach a daemon.
	requestInterval = 200 * time.Millisecond
	// loadTime is how long an engine loads weights.
	loadTime = 400 * time.Millisecond
	// maxDelay bounds the delay of one message.
	maxDelay = 300 * time.Millisecond
	// effectTimeout is how soon a decision must be in force.
	effectTimeout = 4 * time.Second
	// coldLimit and warmAfter are traits of the engines.
	coldLimit = 2
	warmAfter = 5
)

// bounds returns the bounds that all daemons of a world share.
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

// A simEngine is one engine of a world, with what it ran.
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

// A simDaemon is one daemon of a world.
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

// A simulation is several daemons, a log and engines, on a simulated clock.
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

// An event is something that happens in a world at a time.
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

// newSimulation returns a world of daemons in two failure domains with engines each.
func newSimulation(seed uint64, daemons, engines int, fenced bool) *simulation {
	w := &simulation{
		now:     time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[string]*simEngine), partitions: make(map[[2]string]bool),
		verdicts: make(map[string]configuration.Verdict), outSince: make(map[string]time.Time), fenced: fenced,
		log: simLog{streams: make(map[control.Stream][]record), next: map[control.Stream]uint64{
			control.StreamConfiguration: 1, control.StreamSystem: 1,
		}},
	}
	w.monitor.OnViolation = func(p invariant.Name, message string) {
		w.violations = append(w.violations, fmt.Sprintf("%s: %s", p, message))
		w.tracef("BROKEN %s: %s", p, message)
	}
	for i := range 2 * engines {
		domain := fmt.Sprintf("domain-%d", i%2)
		name := fmt.Sprintf("%s-engine-%d", domain, i/2)
		e := &simEngine{instance: fleet.Instance{
			Name: name, Address: name, Kind: fleet.KindEngine, FailureDomain: domain, FabricDomain: domain + "-fabric",
		}}
		w.engines[name] = e
		w.names = append(w.names, name)
		w.boot(e)
	}
	for i := range daemons {
		d := &simDaemon{name: fmt.Sprintf("daemon-%d", i), domain: fmt.Sprintf("domain-%d", i%2)}
		w.daemons = append(w.daemons, d)
		w.start(d)
	}
	return w
}

// after schedules f.
func (w *simulation) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.events, &event{at: w.now.Add(d), order: w.order, run: f})
}

// boot puts e in the state of a process that has just started.
func (w *simulation) boot(e *simEngine) {
	stale, orders := e.member.Stale, e.member.Orders
	e.member = standin.Member{ChecksFencing: w.fenced, Stale: stale, Orders: orders}
	e.member.Report = fleet.Report{
		Instance: e.instance.Name, Incarnation: uint64(w.now.UnixNano()), Phase: fleet.PhaseIdle, Slots: 16, ColdLimit: coldLimit,
	}
	e.up, e.running, e.served = true, 0, 0
}

// crashEngine ends e until it boots again.
func (w *simulation) crashEngine(name string, down time.Duration) {
	e := w.engines[name]
	if !e.up {
		return
	}
	w.tracef("engine %s down for %s", name, down)
	e.up, e.running, e.lostAt = false, 0, w.now
	w.after(down, func() {
		if !e.up && !e.gone {
			w.boot(e)
		}
	})
}

// disrupt notes that d may not read the log for a time.
func (w *simulation) disrupt(d *simDaemon, length time.Duration) {
	if until := w.now.Add(length); until.After(d.disruptedUntil) {
		d.disruptedUntil = until
	}
}

// delay returns how long a message takes.
func (w *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(maxDelay)))/time.Duration(1+w.random.IntN(20))
}

// deliver runs f at d, now or when d resumes; never if d has died meanwhile.
func (w *simulation) deliver(d *simDaemon, life int, f func()) {
	if !d.up || d.incarnation != life {
		return
	}
	if w.now.Before(d.paused) {
		w.after(d.paused.Sub(w.now), func() { w.deliver(d, life, f) })
		return
	}
	f()
}

// every runs f at d at an interval while d lives.
func (w *simulation) every(d *simDaemon, interval time.Duration, f func()) {
	life := d.incarnation
	var again func()
	again = func() {
		w.deliver(d, life, func() {
			f()
			w.after(interval, again)
		})
	}
	w.after(time.Duration(w.random.Int64N(int64(interval))), again)
}

// dispatch lets d dispatch one request to a replica, as an entry instance does, and
// checks against the truth what must hold for it.
func (w *simulation) dispatch(d *simDaemon) {
	view := d.core.View(w.now)
	if view.Mode == freshness.ModeIsolated || !w.now.Before(view.FreshUntil) || view.Leaving {
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
			if !w.now.Before(r.ValidUntil) || count >= limit {
				continue
			}
			w.sendRequest(d, r, key)
		}
	}
}

// sendRequest gives one request to r.
func (w *simulation) sendRequest(d *simDaemon, r control.Replica, key string) {
	w.dispatched++
	if since, out := w.outSince[r.FailureDomain]; out {
		w.monitor.Check(w.now.Sub(since) < effectTimeout, invariant.DomainOut, "%s gives work to %s, out for %s", d.name, r.Name, w.now.Sub(since))
	}
	for _, member := range r.Members {
		e := w.engines[member]
		missing := !e.up || e.member.Report.Assignment.Generation != r.Generation
		w.monitor.Check(!e.member.Report.Leaving || w.now.Sub(e.leftAt) < effectTimeout, invariant.LeavingServer,
			"%s gives work to %s, whose %s leaves since %s", d.name, r.Name, member, w.now.Sub(e.leftAt))
		w.monitor.Check(!missing || w.now.Sub(e.lostAt) < effectTimeout, invariant.CompleteReplica,
			"%s gives work to %s, whose %s is missing for %s", d.name, r.Name, member, w.now.Sub(e.lostAt))
	}
	life := d.incarnation
	d.inFlight[key]++
	w.after(w.delay(), func() { w.startRequest(d, life, r, key) })
}

// startRequest lets the head of r take or refuse a request.
func (w *simulation) startRequest(d *simDaemon, life int, r control.Replica, key string) {
	head := w.engines[r.Head.Name]
	done := func() {
		if d.incarnation == life {
			d.inFlight[key]--
		}
	}
	if w.partitioned(d.name, head.instance.Name) || !head.up || w.now.Before(head.paused) || head.member.Report.Assignment.Generation != r.Generation ||
		head.member.Report.Phase != fleet.PhaseReady || w.incomplete(r) {
		done()
		return
	}
	head.running++
	head.member.Report.Running = head.running
	cold := !head.member.Report.Warm
	w.monitor.Check(!cold || head.running <= coldLimit, invariant.ColdLimit, "%s runs %d cold, the last from %s", head.instance.Name, head.running, d.name)
	boot := head.member.Report.Incarnation
	w.after(w.delay()*3, func() {
		done()
		if head.up && head.member.Report.Incarnation == boot {
			head.running--
			head.member.Report.Running = head.running
			w.completed++
			if head.served++; head.served >= warmAfter {
				head.member.Report.Warm = true
			}
		}
	})
}

// incomplete returns whether a member of r is not in its generation now.
func (w *simulation) incomplete(r control.Replica) bool {
	return slices.ContainsFunc(r.Members, func(name string) bool {
		e := w.engines[name]
		return !e.up || e.member.Report.Assignment.Generation != r.Generation
	})
}

// partitioned returns whether a and b cannot reach each other.
func (w *simulation) partitioned(a, b string) bool {
	return w.partitions[[2]string{a, b}] || w.partitions[[2]string{b, a}]
}

// tracef adds a line to the trace.
func (w *simulation) tracef(format string, args ...any) {
	w.trace = append(w.trace, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// carryOut lets an engine carry out an order that has arrived.
func (w *simulation) carryOut(name string, o fleet.Order) (fleet.OrderResult, bool) {
	e := w.engines[name]
	if !e.up || w.now.Before(e.paused) {
		return fleet.OrderResult{}, false
	}
	before, stale := e.member.Report.Assignment.Generation, e.member.Stale
	result, ready := e.member.Obey(w.now, o, loadTime)
	w.monitor.Check(e.member.Stale == stale, invariant.OneDirector, "%s took order %s of an earlier term from %s", name, o.ID, o.Director)
	if e.member.Report.Assignment.Generation != before {
		e.lostAt = w.now
		w.tracef("%s obeys %s of %s", name, o.ID, o.Director)
	}
	if !ready.IsZero() {
		boot, generation := e.member.Report.Incarnation, o.Assignment.Generation
		e.served = 0
		w.after(ready.Sub(w.now), func() {
			r := &e.member.Report
			if e.up && r.Incarnation == boot && r.Assignment.Generation == generation && r.Phase == fleet.PhaseLoading {
				r.Phase = fleet.PhaseReady
			}
		})
	}
	return result, true
}

// run runs the world until its clock has advanced by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e, ok := heap.Pop(&w.events).(*event)
		if !ok {
			return
		}
		w.now = e.at
		e.run()
	}
	w.now = end
}

// start starts a daemon with nothing but its settings.
func (w *simulation) start(d *simDaemon) {
	d.incarnation++
	d.up, d.paused, d.offset = true, time.Time{}, 0
	d.nextOffset = map[control.Stream]uint64{control.StreamConfiguration: 1, control.StreamSystem: 1}
	d.inFlight = make(map[string]int)
	self := control.Identity{Daemon: d.name, Incarnation: fmt.Sprintf("%s-%d", d.name, d.incarnation), FailureDomain: d.domain, CallerAddress: d.name, Weight: 1}
	d.core = control.New(self, bounds())
	w.every(d, tickInterval, func() { w.step(d, control.Tick{}) })
	w.every(d, readInterval, func() { w.read(d, control.StreamConfiguration) })
	w.every(d, readInterval, func() { w.read(d, control.StreamSystem) })
	w.every(d, listInterval, func() { w.list(d) })
	w.every(d, requestInterval, func() { w.dispatch(d) })
	for _, domain := range []string{"domain-0", "domain-1"} {
		w.every(d, pollInterval, func() { w.poll(d, domain) })
	}
}

// step gives e to d and carries out the commands.
func (w *simulation) step(d *simDaemon, e control.Event) {
	life := d.incarnation
	for _, command := range d.core.Step(w.now, e) {
		switch c := command.(type) {
		case control.Append:
			w.after(w.delay(), func() { w.append(d, life, c) })
		case control.Send:
			w.send(d, life, c)
		case control.Broadcast:
			for _, other := range w.daemons {
				if other != d {
					w.heartbeat(d, other, c.Heartbeat)
				}
			}
		}
	}
	config := d.core.Configuration()
	w.monitor.Check(config.Offset >= d.offset, invariant.ConfigurationOffset, "%s went from offset %d to %d", d.name, d.offset, config.Offset)
	if config.Offset > d.offset {
		w.checkVerdicts(d, config)
	}
	d.offset = config.Offset
	w.confirmDomainsOut()
}

// An domainOutRequest is a failure domain that an operator has taken out by a record.
type domainOutRequest struct {
	domain string
	offset uint64
	at     time.Time
}

// confirmDomainsOut counts a domain as out: from when the record was appended, unless the
// log went away, or most daemons were cut from it, before most had read it. Then
// the operator's command does not say that it is in force, and it counts from when
// most have it.
func (w *simulation) confirmDomainsOut() {
	w.outRequests = slices.DeleteFunc(w.outRequests, func(a domainOutRequest) bool {
		have, well := 0, 0
		for _, d := range w.daemons {
			if d.offset >= a.offset {
				have++
			}
			if d.disruptedUntil.Before(a.at) {
				well++
			}
		}
		most := 2*have > len(w.daemons)
		quiet := 2*well > len(w.daemons) && !w.outageAt.After(a.at) && !w.log.down
		switch {
		case !most && (!quiet || w.now.Sub(a.at) < effectTimeout):
			return false
		case quiet:
			w.outSince[a.domain] = a.at
		default:
			w.outSince[a.domain] = w.now
		}
		return true
	})
}

// checkVerdicts checks that all daemons reach the same verdicts.
func (w *simulation) checkVerdicts(d *simDaemon, config configuration.State) {
	for _, v := range config.Verdicts {
		known, ok := w.verdicts[v.ID]
		if !ok {
			w.verdicts[v.ID] = v
			continue
		}
		w.monitor.Check(known.Accepted == v.Accepted && known.Offset == v.Offset, invariant.ConfigurationOffset,
			"%s says of %s: %v at %d, another said %v at %d", d.name, v.ID, v.Accepted, v.Offset, known.Accepted, known.Offset)
	}
}
