// Package detour decides when a daemon that has lost its own path to a backend server reaches the
// server through another daemon, which daemon that is, and when the own path is tried again.
package detour

import (
	"maps"
	"slices"
	"time"
)

const (
	// testInterval is the time between two tests of a lost path. It doubles with each relapse within
	// relapseWindow, up to maxTestInterval, so that an unsteady path is not used by turns.
	testInterval    = 500 * time.Millisecond
	maxTestInterval = 4 * time.Second
	relapseWindow   = 10 * time.Second
	// closedInterval is how long a server that neither this daemon nor another one reaches gets no
	// requests. It doubles each time, up to maxClosedInterval.
	closedInterval    = 600 * time.Millisecond
	maxClosedInterval = 2400 * time.Millisecond
	// minLostPaths is the number of lost paths in a failure domain from which the other paths there
	// are presumed lost as well, unless one has worked since.
	minLostPaths = 2
	// retention is how long an unused path is remembered.
	retention = 30 * time.Second
)

// A Route is the way to a server.
type Route int

// The routes to a server.
const (
	// Direct is a connection of the daemon itself.
	Direct Route = iota
	// Around goes through another daemon.
	Around
	// Closed means that there was no way a moment ago.
	Closed
)

// String returns the name of r in logs.
func (r Route) String() string {
	return [...]string{Direct: "direct", Around: "around", Closed: "closed"}[r]
}

// A Server is a backend server as a destination.
type Server struct {
	Address       string
	FailureDomain string
}

// A path is what is known of the daemon's own path to one server.
type path struct {
	failureDomain string
	usedAt        time.Duration
	lost          bool
	lostAt        time.Duration
	testAt        time.Duration
	interval      time.Duration
	// reachable means that another daemon has reached the server since the path was lost.
	reachable   bool
	closedUntil time.Duration
	closedFor   time.Duration
}

// Paths holds the state of the paths of one daemon. Times are on its boot clock. The zero value knows
// no path. It is not safe for concurrent use.
type Paths struct {
	paths map[string]*path
	// connectedAt is when a connection to a server of each failure domain was last opened, doubtedAt when a path there that
	// is only presumed lost was last to be tested.
	connectedAt map[string]time.Duration
	doubtedAt   map[string]time.Duration
}

// path returns the state of the path to s.
func (p *Paths) path(now time.Duration, s Server) *path {
	if p.paths == nil {
		p.paths, p.connectedAt, p.doubtedAt = make(map[string]*path), make(map[string]time.Duration), make(map[string]time.Duration)
	}
	state, ok := p.paths[s.Address]
	if !ok {
		state = &path{}
		p.paths[s.Address] = state
	}
	state.failureDomain, state.usedAt = s.FailureDomain, now
	return state
}

// Use returns the way to s and records that it is used, so that a lost path goes on being tested.
func (p *Paths) Use(now time.Duration, s Server) Route {
	p.path(now, s)
	return p.Route(now, s)
}

// Route returns the way to s.
func (p *Paths) Route(now time.Duration, s Server) Route {
	state, ok := p.paths[s.Address]
	switch {
	case ok && now < state.closedUntil:
		return Closed
	case ok && state.lost, p.presumedLost(s.FailureDomain):
		return Around
	}
	return Direct
}

// presumedLost returns whether all paths to a failure domain are presumed lost: several servers there
// are reached by other daemons only, and this daemon has connected to none there since.
func (p *Paths) presumedLost(failureDomain string) bool {
	lost := 0
	for _, state := range p.paths {
		if state.lost && state.reachable && state.failureDomain == failureDomain && state.lostAt >= p.connectedAt[failureDomain] {
			lost++
		}
	}
	return lost >= minLostPaths
}

// IsLost returns whether the path to the server at address is lost.
func (p *Paths) IsLost(address string) bool {
	state, ok := p.paths[address]
	return ok && state.lost
}

// ReachedAround returns whether only this daemon's path to the server at address is lost.
func (p *Paths) ReachedAround(address string) bool {
	state, ok := p.paths[address]
	return ok && state.lost && state.reachable
}

// Lost records that a connection to s could not be opened, and returns whether the path was not lost
// before.
func (p *Paths) Lost(now time.Duration, s Server) bool {
	state := p.path(now, s)
	if state.lost {
		return false
	}
	interval := testInterval
	if state.interval > 0 && now-state.lostAt < relapseWindow {
		interval = min(2*state.interval, maxTestInterval)
	}
	state.lost, state.lostAt, state.interval, state.reachable = true, now, interval, false
	state.testAt = now + interval
	return true
}

// Connected records that a connection to s was opened, and returns whether the path was lost before.
func (p *Paths) Connected(now time.Duration, s Server) bool {
	state := p.path(now, s)
	was := state.lost
	state.lost, state.closedUntil, state.closedFor = false, 0, 0
	p.connectedAt[s.FailureDomain] = now
	return was
}

// Reached records that another daemon reaches s, and returns whether that is the first time since the
// path was lost.
func (p *Paths) Reached(now time.Duration, s Server) bool {
	state := p.path(now, s)
	first := state.lost && !state.reachable
	state.reachable, state.closedUntil, state.closedFor = true, 0, 0
	return first
}

// Unreachable records that neither this daemon nor another one reaches s.
func (p *Paths) Unreachable(now time.Duration, s Server) {
	state := p.path(now, s)
	state.closedFor = min(max(2*state.closedFor, closedInterval), maxClosedInterval)
	state.closedUntil, state.reachable = now+state.closedFor, false
}

// DueTests returns the servers whose lost paths are due to be tested, with the next test of each
// scheduled, and forgets the paths that are no longer used. Of the paths to a failure domain that are
// only presumed lost one is due as well, and comes first: while all of them are avoided, nothing else would
// show that they work. spread returns a random share of a duration, so that the paths of a daemon do
// not come back at once.
func (p *Paths) DueTests(now time.Duration, spread func(time.Duration) time.Duration) []Server {
	var (
		doubted, due []Server
		presumed     = make(map[string]bool)
	)
	for _, address := range slices.Sorted(maps.Keys(p.paths)) {
		state := p.paths[address]
		switch {
		case now-state.usedAt > retention:
			delete(p.paths, address)
		case !state.lost && now-p.doubtedAt[state.failureDomain] >= testInterval:
			if _, known := presumed[state.failureDomain]; !known {
				presumed[state.failureDomain] = p.presumedLost(state.failureDomain)
			}
			if !presumed[state.failureDomain] {
				continue
			}
			p.doubtedAt[state.failureDomain] = now
			doubted = append(doubted, Server{Address: address, FailureDomain: state.failureDomain})
		case state.lost && now >= state.testAt:
			state.testAt = now + state.interval/2 + spread(state.interval)
			due = append(due, Server{Address: address, FailureDomain: state.failureDomain})
		}
	}
	return append(doubted, due...)
}

// Forget drops the state of the path to a server that is gone.
func (p *Paths) Forget(address string) { delete(p.paths, address) }

// LostPaths returns the number of lost paths.
func (p *Paths) LostPaths() int {
	n := 0
	for _, state := range p.paths {
		if state.lost {
			n++
		}
	}
	return n
}

// ConnectedSince returns whether a connection to any server was opened at or after at.
func (p *Paths) ConnectedSince(at time.Duration) bool {
	for _, connected := range p.connectedAt {
		if connected >= at {
			return true
		}
	}
	return false
}
