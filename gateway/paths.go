package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// pathTestInterval is the time between checks for lost paths that are due to be tested.
	pathTestInterval = 100 * time.Millisecond
	// maxPathTests bounds the tests of lost paths that are begun at once.
	maxPathTests = 16
	// pathCheckPause is the minimum time between two checks of the path to one server.
	pathCheckPause = time.Second
	// ownLinksSample is the number of other servers that are dialled to find out the same, the first one
	// alone.
	ownLinksSample = 4
	// manyLostPaths is the number of lost paths from which a daemon reports that its links are lost.
	manyLostPaths = 3
)

// errPathLost means that this daemon no longer reaches the server of a silent attempt.
var errPathLost = errors.New("path to the server lost")

// pathState is what a daemon knows of its paths to servers and of the daemons that reach them. The
// zero value is ready to use.
type pathState struct {
	mu      sync.Mutex
	paths   detour.Paths
	helpers detour.Helpers
	// checkedAt holds when the path to each server was last checked.
	checkedAt map[string]time.Duration
	// manyLost means that it was reported that this daemon has lost its links.
	manyLost bool
}

// destination returns the server at address as a destination. A server that is not listed has no
// failure domain.
func (v *View) destination(address string) detour.Server {
	return detour.Server{Address: address, FailureDomain: v.Servers[address].FailureDomain}
}

// route returns the way to s, which is used now.
func (g *Gateway) route(s detour.Server) detour.Route {
	g.paths.mu.Lock()
	defer g.paths.mu.Unlock()
	return g.paths.paths.Use(clock.Boot(), s)
}

// peekRoute returns the way to s, which may not be used.
func (g *Gateway) peekRoute(s detour.Server) detour.Route {
	g.paths.mu.Lock()
	defer g.paths.mu.Unlock()
	return g.paths.paths.Route(clock.Boot(), s)
}

// linksLost returns whether this daemon has lost its paths to several servers.
func (ps *pathState) linksLost() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.manyLost
}

// reachedAround returns whether only this daemon's path to the server at address is lost.
func (ps *pathState) reachedAround(address string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.paths.ReachedAround(address)
}

// isLost returns whether the path to the server at address is lost.
func (ps *pathState) isLost(address string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.paths.IsLost(address)
}

// dialServer connects to a backend server for a request of a caller, and records whether that succeeded.
func (g *Gateway) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	return g.dialWithin(ctx, serverDialTimeout, network, address)
}

// dialForOrder is dialServer for an order or a report.
func (g *Gateway) dialForOrder(ctx context.Context, network, address string) (net.Conn, error) {
	return g.dialWithin(ctx, dialTimeout, network, address)
}

// dialWithin connects to a backend server within timeout, and records whether that succeeded.
func (g *Gateway) dialWithin(ctx context.Context, timeout time.Duration, network, address string) (net.Conn, error) {
	var (
		conn net.Conn
		err  error
	)
	dial := dialer().DialContext
	if g.DialServer != nil {
		dial = g.DialServer
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := clock.Boot()
	if conn, err = dial(dialCtx, network, address); err == nil {
		g.recordConnected(began, address)
		return conn, nil
	}
	if ctx.Err() == nil {
		g.recordPathLost(address, err)
	}
	return nil, err
}

// recordConnected records that a connection to the server at address was opened by a dial that began at a
// time: links that have failed since then may have carried it.
func (g *Gateway) recordConnected(began time.Duration, address string) {
	s := g.view.Load().destination(address)
	ps := &g.paths
	ps.mu.Lock()
	regained := ps.paths.Connected(began, s)
	lost := ps.paths.LostPaths()
	allRegained := ps.manyLost && lost == 0
	ps.manyLost = ps.manyLost && !allRegained
	ps.mu.Unlock()
	if !regained {
		return
	}
	g.tracker.clearSuspectAt(address)
	g.metrics.events.Add("paths_regained", 1)
	g.logger.Info().Str("event", "path_regained").Str("address", address).Str("failure_domain", s.FailureDomain).Int("lost", lost).
		Msg("connected to server again")
	if allRegained {
		g.logger.Info().Str("event", "links_regained").Msg("all paths to servers work again")
	}
}

// recordPathLost records that a connection to the server at address could not be opened.
func (g *Gateway) recordPathLost(address string, err error) {
	s := g.view.Load().destination(address)
	ps := &g.paths
	ps.mu.Lock()
	isNew := ps.paths.Lost(clock.Boot(), s)
	lost := ps.paths.LostPaths()
	many := lost >= manyLostPaths && !ps.manyLost
	ps.manyLost = ps.manyLost || many
	ps.mu.Unlock()
	if !isNew {
		return
	}
	g.metrics.events.Add("paths_lost", 1)
	g.logger.Warn().Str("event", "path_lost").Str("address", address).Str("failure_domain", s.FailureDomain).Int("lost", lost).Err(err).
		Msg("cannot connect to server")
	if many {
		g.logger.Warn().Str("event", "links_lost").Int("lost", lost).Msg("paths to several servers are lost")
	}
}

// recordReached records that the daemon named helper reaches the server at address.
func (g *Gateway) recordReached(address, helper string) {
	s := g.view.Load().destination(address)
	ps := &g.paths
	ps.mu.Lock()
	first := ps.paths.Reached(clock.Boot(), s)
	ps.mu.Unlock()
	g.tracker.clearSuspectAt(address)
	if first {
		g.logger.Info().Str("event", "detour").Str("address", address).Str("helper", helper).
			Msg("another daemon reaches the server; only this daemon's path is lost")
	}
}

// checkPath finds out, on a goroutine of its own, whether this daemon or another one reaches the server
// at address, unless that was done a moment ago.
func (g *Gateway) checkPath(address string) {
	now := clock.Boot()
	ps := &g.paths
	ps.mu.Lock()
	if ps.checkedAt == nil {
		ps.checkedAt = make(map[string]time.Duration)
	}
	last, checked := ps.checkedAt[address]
	due := !checked || now-last >= pathCheckPause
	if due {
		ps.checkedAt[address] = now
	}
	ps.mu.Unlock()
	if !due {
		return
	}
	g.work.Go(context.Background(), "path check", func(ctx context.Context) error {
		defer g.tracker.endCheck(address)
		if g.testPath(ctx, address) {
			return nil
		}
		g.testAround(ctx, address)
		return nil
	})
}

// testPath returns whether this daemon connects to the server at address.
func (g *Gateway) testPath(ctx context.Context, address string) bool {
	conn, err := g.dialServer(ctx, "tcp", address)
	if err != nil {
		return false
	}
	g.metrics.events.Add("connections", 1)
	// Nothing was sent, so an error does not matter.
	_ = conn.Close()
	return true
}

// runPathTests tests lost paths until ctx ends.
func (g *Gateway) runPathTests(ctx context.Context) error {
	spread := func(d time.Duration) time.Duration { return rand.N(d) }
	for ctx.Err() == nil {
		for _, s := range g.dueTests(spread) {
			g.work.Go(ctx, "path test", func(ctx context.Context) error {
				g.testPath(ctx, s.Address)
				return nil
			})
		}
		clock.Sleep(ctx, pathTestInterval)
	}
	return nil
}

// dueTests returns the servers whose paths are to be tested now.
func (g *Gateway) dueTests(spread func(time.Duration) time.Duration) []detour.Server {
	listed := g.view.Load().Servers
	g.paths.mu.Lock()
	defer g.paths.mu.Unlock()
	due := slices.DeleteFunc(g.paths.paths.DueTests(clock.Boot(), spread), func(s detour.Server) bool {
		_, ok := listed[s.Address]
		if !ok {
			g.paths.paths.Forget(s.Address)
		}
		return !ok
	})
	return due[:min(len(due), maxPathTests)]
}

// ownLinksWork returns whether this daemon has connected to a server since it tried the one at address in
// vain, at since, or does so now. If not, what it does not reach says nothing about that server.
func (g *Gateway) ownLinksWork(ctx context.Context, address string, since time.Duration) bool {
	g.paths.mu.Lock()
	connected := g.paths.paths.ConnectedSince(since)
	g.paths.mu.Unlock()
	if connected {
		return true
	}
	var others []string
	for other := range g.view.Load().Servers {
		if other != address {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		return true
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if g.testPath(ctx, others[0]) {
		return true
	}
	others = others[1:min(len(others), ownLinksSample)]
	results := make(chan bool, len(others))
	for _, other := range others {
		g.work.Go(ctx, "links test", func(ctx context.Context) error {
			results <- g.testPath(ctx, other)
			return nil
		})
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// isRefused returns whether err shows that nothing listens at the address that was dialled, or that
// something in between refuses connections to it.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isDialError returns whether err means that no connection was opened, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isUnreached returns whether err means that a server was not reached. Such a server gets no requests for
// a while by what is known of the paths to it.
func isUnreached(err error) bool { return errors.Is(err, errNoPath) || isDialError(err) }

// helperCandidates returns the other daemons of view that may reach servers and pass requests on.
func (g *Gateway) helperCandidates(view *View, except []string) []detour.Helper {
	var out []detour.Helper
	for front, incarnation := range view.IncarnationByFront {
		h := view.Peers[incarnation]
		if (h.Ready || h.Leaving) && h.Peer != "" && h.Region == g.settings.Region && h.level() >= level.Detours && !slices.Contains(except, front) {
			out = append(out, detour.Helper{Name: front, FailureDomain: h.FailureDomain, Leaving: h.Leaving})
		}
	}
	return out
}
