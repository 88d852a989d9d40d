package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// shortestStall and longestStall bound how long a replica that writes may be
	// without any event to any daemon before it counts as stalled: three passes of an
	// engine at full load, and less than callers wait. In between stallPauses times
	// its usual pause decides.
	shortestStall = 300 * time.Millisecond
	longestStall  = 900 * time.Millisecond
	stallPauses   = 4
	// readingStall is the same for one that reads only prompts of this daemon: what
	// others tell of their events is a few statuses old.
	readingStall = 700 * time.Millisecond
	// usualWeight is the weight of one pause in the usual one.
	usualWeight = 0.1
	// eventTimeout is how long one stream may be silent beside others that are not,
	// below the shortest time after which callers give up.
	eventTimeout = 1700 * time.Millisecond
	// suspectFor is how long a stalled or broken replica gets no new work unless it
	// shows life: the list of servers tells the rest by then.
	suspectFor = 5 * time.Second
	// watchInterval is the time between looks at the attempts in flight.
	watchInterval = 100 * time.Millisecond
)

// errStalled is the cause of the end of an attempt whose replica stalled.
var errStalled = errors.New("replica stalled")

// An attempt is one request on its way at a server.
type attempt struct {
	target string
	// epoch names the replica to peers; zero for servers of plain services.
	epoch int64
	work  dispatch.RequestSize
	// engine and model tell how fast a replica writes; nil for servers of plain services.
	engine      *site.Engine
	model       site.Model
	fingerprint quarantine.Fingerprint
	sentAt      time.Time
	lastEvent   time.Time
	started     bool
	// resent means that another server crashed under the request before.
	resent bool
	cancel context.CancelCauseFunc
}

// A seat is what is known first-hand of one replica or plain server.
type seat struct {
	epoch     int64
	attempts  map[*attempt]struct{}
	lastEvent time.Time
	// usual is the mean pause between events of one stream.
	usual        time.Duration
	pace         dispatch.Pace
	suspectUntil time.Time
	cold         budget.Bucket
}

// A board counts the requests that this daemon has at each server. The zero board
// is ready to use.
type board struct {
	mu      sync.Mutex
	seats   map[string]*seat
	all     int
	hadWork bool
	// others is the work of all other daemons, as of othersAt.
	others   relay.Summary
	othersAt time.Time
	// far is their work at replicas of other failure domains, as of farAt, where a hub tells
	// of it now and then only.
	far   map[int64]relay.ReplicaLoad
	farAt time.Time
	// asked is the work that callers asked of each model, in seconds of a replica.
	asked   map[string]*budget.Window
	notices notice.Register
}

// seat returns the seat of target. The caller holds the lock.
func (b *board) seat(target string) *seat {
	if b.seats == nil {
		b.seats = make(map[string]*seat)
	}
	s, ok := b.seats[target]
	if !ok {
		s = &seat{attempts: make(map[*attempt]struct{})}
		b.seats[target] = s
	}
	return s
}

// load returns the work of this daemon at s. The caller holds the lock.
func (s *seat) load() dispatch.Load {
	var l dispatch.Load
	for a := range s.attempts {
		if a.started {
			l.Writing++
			continue
		}
		l.Waiting++
		l.Tokens += a.work.Prompt
	}
	return l
}

// add counts a.
func (b *board) add(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seat(a.target)
	if len(s.attempts) == 0 {
		s.lastEvent = a.sentAt
	}
	s.attempts[a] = struct{}{}
	s.epoch = a.epoch
	b.hadWork = true
}

// remove ends the count of a.
func (b *board) remove(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.seat(a.target).attempts, a)
}

// event notes that a was answered with an event at now, and returns the pause
// before it.
func (b *board) event(a *attempt, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := now.Sub(a.lastEvent)
	s := b.seat(a.target)
	if a.started {
		s.usual += time.Duration(usualWeight * float64(pause-s.usual))
		if a.engine != nil {
			s.pace.Observe(a.engine, a.model, s.load().Add(b.elsewhere(s.epoch, now).Load), pause, now)
		}
	}
	s.lastEvent, a.lastEvent, a.started = now, now, true
	s.suspectUntil = time.Time{}
	return pause
}

// broke keeps new work from the target of a for a while after a connection to it
// broke.
func (b *board) broke(a *attempt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seat(a.target)
	s.suspectUntil = now.Add(suspectFor)
}

// answers takes back that new work is kept from target.
func (b *board) answers(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seat(target).suspectUntil = time.Time{}
}

// enter counts a request of a caller.
func (b *board) enter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all++
}

// leave ends the count of a request of a caller.
func (b *board) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all--
}

// total returns the requests of callers in flight.
func (b *board) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all
}

// began returns whether this daemon ever gave a server work.
func (b *board) began() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hadWork
}

// askedWindow is the time over which demand is measured: a burst shows within a
// second, the noise of single requests does not.
const askedWindow = 3 * time.Second

// ask counts work that a caller asked of a model, in seconds of a replica. The
// caller holds the lock.
func (b *board) ask(now time.Duration, model string, work time.Duration) {
	if b.asked == nil {
		b.asked = make(map[string]*budget.Window)
	}
	if b.asked[model] == nil {
		b.asked[model] = &budget.Window{Span: askedWindow}
	}
	b.asked[model].Add(now, work.Seconds())
}

// askedNow returns the work that callers ask of each model, in replicas kept busy.
func (b *board) askedNow(now time.Duration) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.asked))
	for model, w := range b.asked {
		out[model] = w.Sum(now) / askedWindow.Seconds()
	}
	return out
}

// stalled returns the targets that do not answer.
func (b *board) stalled() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var out []string
	for target, s := range b.seats {
		if now.Before(s.suspectUntil) {
			out = append(out, target)
		}
	}
	slices.Sort(out)
	return out
}

// forget drops the seats that have had no work for a while.
func (b *board) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, s := range b.seats {
		if len(s.attempts) == 0 && now.Sub(s.lastEvent) > time.Minute && !now.Before(s.suspectUntil) {
			delete(b.seats, target)
		}
	}
}

// sum returns what this daemon tells others of its work.
func (b *board) sum(incarnation string, now time.Time) relay.Summary {
	asked := b.askedNow(clock.Boot())
	b.mu.Lock()
	defer b.mu.Unlock()
	s := relay.Summary{Loads: make(map[int64]relay.ReplicaLoad), Demand: asked, Daemons: []uint64{nameOf(incarnation)}, Traffic: b.hadWork}
	for _, seat := range b.seats {
		stalled := now.Before(seat.suspectUntil)
		if seat.epoch == 0 || len(seat.attempts) == 0 && !stalled {
			continue
		}
		w := relay.ReplicaLoad{Load: seat.load(), SinceEvent: now.Sub(seat.lastEvent)}
		if stalled {
			w.Stalled = 1
		}
		s.Loads[seat.epoch] = w
	}
	return s
}

// setElsewhere takes the work of all other daemons. far is that at replicas of other
// failure domains; nil if it is not told of now.
func (b *board) setElsewhere(s relay.Summary, far map[int64]relay.ReplicaLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.othersAt = s, now
	if far != nil {
		b.far, b.farAt = far, now
	}
}

// noEvent stands for the time since the last event where there was none.
const noEvent = time.Hour

// elsewhere returns the work that other daemons have at the replica of epoch. The
// caller holds the lock.
func (b *board) elsewhere(epoch int64, now time.Time) relay.ReplicaLoad {
	w, ok := b.others.Loads[epoch]
	age := now.Sub(b.othersAt)
	if distant, told := b.far[epoch]; !ok && told && now.Sub(b.farAt) <= namedAge {
		// It is told of too seldom for its age to show that the replica is silent.
		w, age = distant, 0
	}
	if age > statusAge {
		w = relay.ReplicaLoad{}
	}
	if w.SinceEvent += age; w.Load.Writing == 0 {
		w.SinceEvent = noEvent
	}
	return w
}

// runWatch ends attempts whose replica has stalled, so that they go on elsewhere.
func (g *Gateway) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, target := range g.board.watch(time.Now()) {
			g.metrics.events.Add("stalls", 1)
			g.logger.Warn().Str("event", "replica_stalled").Str("group", target).Msg("replica does not answer")
		}
		clock.Sleep(ctx, watchInterval)
	}
	return nil
}

// stallLimit returns how long s may be silent.
func (s *seat) stallLimit() time.Duration {
	if s.load().Writing == 0 {
		return readingStall
	}
	return min(max(stallPauses*s.usual, shortestStall), longestStall)
}

// watch ends the attempts that have been silent for too long, and returns the
// targets that it found stalled: those that were silent to all daemons that have
// work there.
func (b *board) watch(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled []string
	for target, s := range b.seats {
		if len(s.attempts) == 0 {
			continue
		}
		limit := s.stallLimit()
		silent := min(now.Sub(s.lastEvent), b.elsewhere(s.epoch, now).SinceEvent) > limit
		if silent && !now.Before(s.suspectUntil) {
			stalled = append(stalled, target)
		}
		for a := range s.attempts {
			if a.cancel == nil {
				continue
			}
			pause := now.Sub(a.lastEvent)
			if silent && pause > limit || pause > eventTimeout {
				a.cancel(errStalled)
			}
		}
		if silent {
			s.suspectUntil = now.Add(suspectFor)
		}
	}
	return stalled
}
