package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/coordination/room"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// minStallTimeout and maxStallTimeout bound how long a generating replica may send no event to
	// any daemon before it counts as stalled: three passes of an engine at full load, and less than
	// callers wait. In between, the limit is stallPauseFactor times its mean pause.
	minStallTimeout  = 300 * time.Millisecond
	maxStallTimeout  = 900 * time.Millisecond
	stallPauseFactor = 4
	// prefillStallTimeout is the same for a replica that only processes prompts of this daemon:
	// what others report of its events is a few statuses old.
	prefillStallTimeout = 700 * time.Millisecond
	// meanPauseWeight is the weight of one pause in the mean.
	meanPauseWeight = 0.1
	// eventTimeout is how long one stream may be silent while others of the replica are not. It is
	// below the shortest time after which callers give up.
	eventTimeout = 1700 * time.Millisecond
	// suspectDuration is how long a stalled or broken replica gets no new work unless it sends an
	// event: by then the list of servers shows its state.
	suspectDuration = 5 * time.Second
	// stallCheckInterval is the time between checks of the attempts in flight.
	stallCheckInterval = 100 * time.Millisecond
)

// errStalled means that a replica sends nothing, so that its requests are tried elsewhere as well.
var errStalled = errors.New("replica stalled")

// An attempt is one request in flight at a server.
type attempt struct {
	target string
	// address is that of the server.
	address string
	// epoch identifies the replica in messages to peers; zero for servers of plain services.
	epoch int64
	work  dispatch.RequestSize
	// engine and model determine how fast a replica generates; unset for servers of plain services.
	engine *site.Engine
	model  site.Model
	// firstEventTarget is the target of the route for the first event.
	firstEventTarget time.Duration
	fingerprint      quarantine.Fingerprint
	// parts are the shared parts of the prompt; none if an earlier attempt was answered in part.
	parts       []quarantine.Part
	sentAt      time.Time
	lastEventAt time.Time
	started     bool
	// isSilent means that it was found to be silent for too long since its last event. writing means that the
	// caller is being sent the last events, so that more may have arrived.
	isSilent, writing bool
	// startedAt is when the first event arrived. acquitted means that it was recorded that the
	// parts do not crash servers.
	startedAt time.Time
	acquitted bool
	// resentAfterCrash means that another server crashed under the request before.
	resentAfterCrash bool
	// around means that the attempt goes through another daemon, helper is the one that was asked last.
	around atomic.Bool
	helper string
	cancel context.CancelCauseFunc
	// silent, if set, is called repeatedly while the target sends nothing, with the time of the last event.
	silent func(since time.Time, why error)
	// blocked, if set, is called repeatedly while the caller does not read the last events.
	blocked func()
}

// attemptKey is the key of an attempt in the context of its request.
type attemptKey struct{}

// withAttempt returns a context of the request that a sends.
func withAttempt(ctx context.Context, a *attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}

// attemptOf returns the attempt whose request has the context ctx, nil for orders and probes.
func attemptOf(ctx context.Context) *attempt {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	return a
}

// A targetState is what this daemon observes of one replica or plain server.
type targetState struct {
	epoch       int64
	address     string
	attempts    map[*attempt]struct{}
	lastEventAt time.Time
	// meanPause is the mean pause between events of one stream.
	meanPause    time.Duration
	pace         dispatch.Pace
	suspectUntil time.Time
	// checking means that it is being found out whether the target or only this daemon's path to it
	// has failed.
	checking bool
	// overtaken is the number of attempts that extra ones have overtaken since the last event, overtakenSince when
	// the first of them was sent.
	overtaken      int
	overtakenSince time.Time
}

// An attemptTracker tracks the requests that this daemon has in flight at each server. The zero
// value is ready to use.
type attemptTracker struct {
	mu         sync.Mutex
	targets    map[string]*targetState
	inFlight   int
	hadAttempt bool
	// peerSummary is the work of all other daemons, as of peerSummaryAt.
	peerSummary   relay.Summary
	peerSummaryAt time.Time
	// otherDomainLoads is their work at replicas of other failure domains, as of
	// otherDomainLoadsAt, for followers of a hub, which sends it less often.
	otherDomainLoads   map[int64]relay.ReplicaLoad
	otherDomainLoadsAt time.Time
	// demand is the work that callers requested of each model, in seconds of a replica.
	demand map[string]*budget.Window
	// backlogs are what was refused and accepted of the requests of callers, by model.
	backlogs map[string]*room.Backlog
	// arrivals are the requests of callers at this daemon by model and rank.
	arrivals map[rankKey]*arrivalsMeter
	notices  notice.Register
	// slow holds the replicas that this daemon and others have found to be slow.
	slow dispatch.SlowReplicas
	// limits holds what servers say that they take, accounts what this daemon has sent to each.
	limits   notice.Limits
	accounts map[notice.Incarnation]*budget.Account
	// brokenLimits are servers whose answers named limits that are none.
	brokenLimits map[notice.Incarnation]bool
	usage        usageState
}

// target returns the state of a target. The caller holds the lock.
func (b *attemptTracker) target(target string) *targetState {
	if b.targets == nil {
		b.targets = make(map[string]*targetState)
	}
	s, ok := b.targets[target]
	if !ok {
		s = &targetState{attempts: make(map[*attempt]struct{})}
		b.targets[target] = s
	}
	return s
}

// load returns the work of this daemon at s, without attempts that have fallen silent. The caller holds
// the lock.
func (s *targetState) load() dispatch.Load {
	var l dispatch.Load
	for a := range s.attempts {
		if a.isSilent {
			continue
		}
		if a.started {
			l.Writing++
			continue
		}
		l.Waiting++
		l.Tokens += a.work.Prompt
	}
	return l
}

// add starts to track a.
func (b *attemptTracker) add(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.target(a.target)
	if s.load() == (dispatch.Load{}) {
		s.lastEventAt = a.sentAt
	}
	s.attempts[a] = struct{}{}
	s.epoch, s.address = a.epoch, a.address
	b.hadAttempt = true
}

// remove stops tracking a.
func (b *attemptTracker) remove(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.target(a.target).attempts, a)
}

// recordEvent records that an event of the answer to a arrived at now, and returns the pause before
// it.
func (b *attemptTracker) recordEvent(a *attempt, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := now.Sub(a.lastEventAt)
	s := b.target(a.target)
	if !a.started {
		a.startedAt = now
	} else {
		s.meanPause += time.Duration(meanPauseWeight * float64(pause-s.meanPause))
		if a.engine != nil {
			s.pace.Observe(a.engine, a.model, s.load().Add(b.workAtPeers(s.epoch, now).Load), pause, now)
			if ratio, slow := s.pace.Slow(now); slow {
				b.slow.Record(clock.Boot(), s.epoch, ratio)
			}
		}
	}
	s.lastEventAt, a.lastEventAt, a.started, a.isSilent = now, now, true, false
	s.suspectUntil, s.overtaken = time.Time{}, 0
	return pause
}

// recordWriting records that events of the answer to a arrived at now and are written to the caller next. It
// returns the pause before them.
func (b *attemptTracker) recordWriting(a *attempt, now time.Time) time.Duration {
	pause := b.recordEvent(a, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	a.writing = true
	return pause
}

// recordWritten records that the events of a that arrived last were written to the caller by now.
func (b *attemptTracker) recordWritten(a *attempt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.lastEventAt, a.writing = now, false
	s := b.target(a.target)
	s.lastEventAt = now
}

// markSuspect keeps new work from the target of a for suspectDuration after a connection to it
// broke.
func (b *attemptTracker) markSuspect(a *attempt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.target(a.target)
	s.suspectUntil = now.Add(suspectDuration)
}

// clearSuspect allows new work for target again.
func (b *attemptTracker) clearSuspect(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target(target).suspectUntil = time.Time{}
}

// clearSuspectAt allows new work for the target at address again.
func (b *attemptTracker) clearSuspectAt(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.targets {
		if s.address == address {
			s.suspectUntil = time.Time{}
		}
	}
}

// endCheck records that the path to the target at address was checked.
func (b *attemptTracker) endCheck(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.targets {
		if s.address == address {
			s.checking = false
		}
	}
}

// requestStarted counts a request of a caller as in flight.
func (b *attemptTracker) requestStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
}

// requestEnded counts a request of a caller as no longer in flight.
func (b *attemptTracker) requestEnded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// requestsInFlight returns the number of callers' requests in flight.
func (b *attemptTracker) requestsInFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight
}

// hadTraffic returns whether this daemon has ever sent work to a server.
func (b *attemptTracker) hadTraffic() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hadAttempt
}

// demandWindow is the time over which demand is measured: a burst shows within a second, the noise
// of single requests does not.
const demandWindow = 3 * time.Second

// addDemand counts work that a caller requested of a model, in seconds of a replica. The caller
// holds the lock.
func (b *attemptTracker) addDemand(now time.Duration, model string, work time.Duration) {
	if b.demand == nil {
		b.demand = make(map[string]*budget.Window)
	}
	if b.demand[model] == nil {
		b.demand[model] = &budget.Window{Span: demandWindow}
	}
	b.demand[model].Add(now, work.Seconds())
}

// currentDemand returns the work that callers request of each model, in replicas kept busy.
func (b *attemptTracker) currentDemand(now time.Duration) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.demand))
	for model, w := range b.demand {
		out[model] = w.Sum(now) / demandWindow.Seconds()
	}
	return out
}

// suspectTargets returns the targets that have stalled or broken recently.
func (b *attemptTracker) suspectTargets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var out []string
	for target, s := range b.targets {
		if now.Before(s.suspectUntil) {
			out = append(out, target)
		}
	}
	slices.Sort(out)
	return out
}

// dropIdleTargets drops the state of targets that have had no work for a minute.
func (b *attemptTracker) dropIdleTargets(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, s := range b.targets {
		if len(s.attempts) == 0 && now.Sub(s.lastEventAt) > time.Minute && !now.Before(s.suspectUntil) {
			delete(b.targets, target)
		}
	}
}

// summary returns the work of this daemon in the form that other daemons are sent.
func (b *attemptTracker) summary(incarnation string, now time.Time) relay.Summary {
	demand := b.currentDemand(clock.Boot())
	b.mu.Lock()
	defer b.mu.Unlock()
	s := relay.Summary{Loads: make(map[int64]relay.ReplicaLoad), Demand: demand, Daemons: []uint64{daemonID(incarnation)}, Traffic: b.hadAttempt}
	for _, target := range b.targets {
		stalled := now.Before(target.suspectUntil) && !target.checking
		if target.epoch == 0 || len(target.attempts) == 0 && !stalled {
			continue
		}
		w := relay.ReplicaLoad{Load: target.load(), SinceEvent: now.Sub(target.lastEventAt)}
		if stalled {
			w.Stalled = 1
		}
		s.Loads[target.epoch] = w
	}
	return s
}

// setPeerSummary sets the work of all other daemons. otherDomains is their work at replicas of
// other failure domains; nil if it was not sent this time.
func (b *attemptTracker) setPeerSummary(s relay.Summary, otherDomains map[int64]relay.ReplicaLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerSummary, b.peerSummaryAt = s, now
	if otherDomains != nil {
		b.otherDomainLoads, b.otherDomainLoadsAt = otherDomains, now
	}
}

// noEvent stands for the time since the last event where there was none, or none is due.
const noEvent = time.Hour

// workAtPeers returns the work of other daemons at the replica with the given epoch. The caller
// holds the lock.
func (b *attemptTracker) workAtPeers(epoch int64, now time.Time) relay.ReplicaLoad {
	w, ok := b.peerSummary.Loads[epoch]
	age := now.Sub(b.peerSummaryAt)
	if other, known := b.otherDomainLoads[epoch]; !ok && known && now.Sub(b.otherDomainLoadsAt) <= membershipTTL {
		// It is sent too seldom for its age to show that the replica is silent.
		w, age = other, 0
	}
	if age > maxStatusAge {
		w = relay.ReplicaLoad{}
	}
	if w.SinceEvent += age; w.Load.Writing == 0 {
		w.SinceEvent = noEvent
	}
	return w
}

// mergeSlow records the replicas that another daemon found to be slow.
func (b *attemptTracker) mergeSlow(findings []dispatch.SlowReplica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow.Merge(clock.Boot(), findings)
}

// slowReplicas returns the replicas that were found to be slow lately.
func (b *attemptTracker) slowReplicas() []dispatch.SlowReplica {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slow.Recent(clock.Boot())
}

// slowestRatio returns the factor by which the slowest replica is slower than published, 1 if none was found to be slow
// lately.
func (b *attemptTracker) slowestRatio() float64 {
	slowest := 1.0
	for _, r := range b.slowReplicas() {
		slowest = max(slowest, r.Ratio)
	}
	return slowest
}

// isSilentSince returns whether a has had no event since a time.
func (b *attemptTracker) isSilentSince(a *attempt, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.lastEventAt.Equal(since)
}

// fellSilent returns whether the last that is known of a, an attempt at a stream, is that it is silent.
func (b *attemptTracker) fellSilent(a *attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.isSilent && a.engine != nil
}

// runStallChecks reports attempts whose replica has stalled, so that they are tried elsewhere as well.
func (g *Gateway) runStallChecks(ctx context.Context) error {
	for ctx.Err() == nil {
		stalled, silent := g.tracker.checkStalls(time.Now(), g.paths.isLost)
		for _, target := range stalled {
			g.metrics.events.Add("stalls", 1)
			g.logger.Warn().Str("event", "replica_stalled").Str("group", target).Msg("replica stalled; its requests are tried elsewhere as well")
		}
		for _, address := range silent {
			g.checkPath(address)
		}
		g.relieveMemory()
		clock.Sleep(ctx, stallCheckInterval)
	}
	return nil
}

// stallTimeout returns how long s may be silent before it counts as stalled.
func (s *targetState) stallTimeout() time.Duration {
	if s.load().Writing == 0 {
		return prefillStallTimeout
	}
	return min(max(stallPauseFactor*s.meanPause, minStallTimeout), maxStallTimeout)
}

// checkStalls reports the attempts that have been silent for too long. It returns the targets that are
// newly stalled: those that are silent to all daemons with work there. It also returns the addresses of
// those that are silent to this daemon, as it may have lost its paths to them, which isLost tells.
func (b *attemptTracker) checkStalls(now time.Time, isLost func(address string) bool) (stalled, silent []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, s := range b.targets {
		if len(s.attempts) == 0 {
			continue
		}
		limit, lost := s.stallTimeout(), isLost(s.address)
		own := now.Sub(s.lastEventAt)
		all := min(own, b.workAtPeers(s.epoch, now).SinceEvent) > limit
		if own > limit && s.address != "" {
			silent = append(silent, s.address)
		}
		newlySilent := s.reportSilent(now, limit, all, lost)
		if !all || lost || !newlySilent {
			// What has been silent before says nothing new: it may have been answered on another path since.
			continue
		}
		if !now.Before(s.suspectUntil) {
			stalled = append(stalled, target)
			s.checking = s.address != ""
		}
		s.suspectUntil = now.Add(suspectDuration)
	}
	return stalled, silent
}

// reportSilent reports the attempts of s whose caller does not read, and those that have been silent for longer than limit, if the target is
// silent to all daemons or the path to it is lost, and those that have been silent for longer than any
// caller waits. It returns whether there is one that was not silent before.
func (s *targetState) reportSilent(now time.Time, limit time.Duration, all, lost bool) (newlySilent bool) {
	for a := range s.attempts {
		if a.writing {
			if a.blocked != nil && now.Sub(a.lastEventAt) >= stallCheckInterval {
				a.blocked()
			}
			continue
		}
		why := error(nil)
		switch pause := now.Sub(a.lastEventAt); {
		case lost && !a.around.Load() && pause > limit:
			why = errPathLost
		case all && pause > limit, pause > eventTimeout:
			why = errStalled
		}
		if why == nil {
			continue
		}
		newlySilent = newlySilent || !a.isSilent
		a.isSilent = true
		if a.silent != nil {
			a.silent(a.lastEventAt, why)
		}
	}
	return newlySilent
}
