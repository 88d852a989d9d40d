package gateway

import (
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// account returns the account of a server. The caller holds the lock.
func (b *attemptTracker) account(server site.Server) *budget.Account {
	if b.accounts == nil {
		b.accounts = make(map[notice.Incarnation]*budget.Account)
	}
	l := incarnationOf(server)
	if b.accounts[l] == nil {
		b.accounts[l] = &budget.Account{}
	}
	return b.accounts[l]
}

// terms returns the bounds that apply to a server of view, which is cold until coldUntil on the boot clock. The caller
// holds the lock of the attempt tracker.
func (g *Gateway) terms(view *View, server site.Server, coldUntil time.Duration) budget.Terms {
	var t budget.Terms
	t.Limit, t.Limited = g.tracker.limits.Of(incarnationOf(server))
	if service := view.Services[server.Service]; service != nil && service.ColdPerSecond > 0 && clock.Boot() < coldUntil {
		bounds := g.bounds()
		t.ColdPerSecond = service.ColdPerSecond*bounds.ColdOverage + bounds.ColdSlack
	}
	return t
}

// sender returns this daemon as one of those of view that share the bounds of servers.
func (g *Gateway) sender(view *View) budget.Sender {
	return budget.Sender{Name: g.settings.Front, Members: view.Fronts, Daemons: view.Daemons}
}

// admits returns whether this daemon may send one more request to a server of view, which is cold until coldUntil on the
// boot clock. If it may not for now, wait is lowered to the time until it may. The caller holds the lock of the
// attempt tracker.
func (g *Gateway) admits(view *View, server site.Server, coldUntil time.Duration, wait *time.Duration) bool {
	t := g.terms(view, server, coldUntil)
	if t == (budget.Terms{}) {
		return true
	}
	left, ok := g.tracker.account(server).Admits(clock.Boot(), server.ID, t, g.sender(view))
	if !ok && left > 0 && (*wait == 0 || left < *wait) {
		*wait = left
	}
	return ok
}

// charge counts a request that is sent to a server of view. The caller holds the lock of the attempt tracker.
func (g *Gateway) charge(view *View, server site.Server, coldUntil time.Duration) {
	if t := g.terms(view, server, coldUntil); t != (budget.Terms{}) {
		g.tracker.account(server).Charge(clock.Boot(), server.ID, t, g.sender(view))
	}
}

// chargeOther counts a request to the server at address that no caller's attempt was charged for: an order, a probe,
// or one that is passed on for another daemon.
func (g *Gateway) chargeOther(address string) {
	view := g.view.Load()
	server, ok := view.Servers[address]
	if !ok {
		return
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	g.charge(view, server, 0)
}

// A limitAnswer is what an answer of a server, to a request that was sent at sentAt, says of the requests that the server
// takes: the limit that it names, or the error of one that is none.
type limitAnswer struct {
	sentAt    time.Duration
	perSecond float64
	named     bool
	err       error
	// call means that the request was one of a caller. Answers to orders and probes need not name a limit.
	call bool
}

// decodeLimit returns what an answer with the given headers says of the requests that its server takes.
func decodeLimit(sentAt time.Duration, h http.Header, call bool) limitAnswer {
	a := limitAnswer{sentAt: sentAt, call: call}
	a.perSecond, a.named, a.err = platform.DecodeLimit(h)
	return a
}

// recordLimit records what an answer of the server at address says, if that is the one with the given id or none is given.
func (g *Gateway) recordLimit(address, id string, a limitAnswer) {
	server, ok := g.view.Load().Servers[address]
	if !ok || id != "" && server.ID != id {
		return
	}
	now, incarnation := clock.Boot(), incarnationOf(server)
	b := &g.tracker
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	switch {
	case a.err != nil:
		g.logBrokenLimit(incarnation, a.err)
	case a.named:
		changed = b.limits.Named(now, a.sentAt, incarnation, a.perSecond)
	case a.call:
		changed = b.limits.NotNamed(now, a.sentAt, incarnation)
	}
	if !changed {
		return
	}
	g.metrics.events.Add("limits_changed", 1)
	g.logger.Info().Str("event", "server_limit").Str("server", server.ID).Int64("born", server.Born).Bool("limited", a.named).Float64("per_second", a.perSecond).
		Msg("server named the requests that it takes, or names them no longer")
	wake(g.statusNow)
}

// logBrokenLimit logs a limit that is none, once for each incarnation of a server. The caller holds the lock of the
// attempt tracker.
func (g *Gateway) logBrokenLimit(server notice.Incarnation, err error) {
	if g.tracker.brokenLimits[server] {
		return
	}
	if g.tracker.brokenLimits == nil {
		g.tracker.brokenLimits = make(map[notice.Incarnation]bool)
	}
	g.tracker.brokenLimits[server] = true
	g.metrics.events.Add("limits_broken", 1)
	g.logger.Warn().Str("event", "server_limit_broken").Str("server", server.Server).Err(err).Msg("server named a limit that is none; ignored")
}

// limitsInterval is the time between two messages to a daemon that list all limits; others list what has changed.
const limitsInterval = 5 * time.Second

// A limitsSent is what another daemon was sent of the limits of servers.
type limitsSent struct {
	version int
	allAt   time.Duration
}

// limitsFor returns the limits to tell a daemon. The caller holds the lock of the peers.
func (g *Gateway) limitsFor(incarnation string, now time.Duration) []notice.Limit {
	ps := &g.peers
	last, ok := ps.limitsSent[incarnation]
	if !ok || now-last.allAt >= limitsInterval {
		last = limitsSent{allAt: now}
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	var out []notice.Limit
	out, last.version = g.tracker.limits.Since(now, last.version)
	if ps.limitsSent == nil {
		ps.limitsSent = make(map[string]limitsSent)
	}
	ps.limitsSent[incarnation] = last
	return out
}

// applyPeerLimits records the limits that a message of a peer lists, and passes on those that are new.
func (g *Gateway) applyPeerLimits(m peerMessage) {
	if len(m.Limits) == 0 {
		return
	}
	g.tracker.mu.Lock()
	changed := g.tracker.limits.Merge(clock.Boot(), m.Limits)
	g.tracker.mu.Unlock()
	if changed {
		g.metrics.events.Add("limits_learned", 1)
		wake(g.statusNow)
	}
}

// expireAccounts drops the accounts and limits of servers that are no longer listed.
func (b *attemptTracker) expireAccounts(now time.Duration, listed func(notice.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Expire(now, listed)
	for l := range b.accounts {
		if !listed(l) {
			delete(b.accounts, l)
		}
	}
	for l := range b.brokenLimits {
		if !listed(l) {
			delete(b.brokenLimits, l)
		}
	}
}
