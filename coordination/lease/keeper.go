package lease

import (
	"fmt"
	"time"
)

// Timing are the times that all daemons of one system agree on. Duration is how
// long a record holds the lease. Guard is how much earlier the holder stops, for
// clock drift. LongestOrder is how long an order may be in flight.
type Timing struct {
	Duration     time.Duration
	Guard        time.Duration
	LongestOrder time.Duration
}

// A Manager follows the leases for one daemon and decides when to claim. It is
// not safe for concurrent use.
type Manager struct {
	Self   string
	Timing Timing

	table    Table
	horizon  uint64
	sequence uint64
	observed map[string]time.Time
	pending  map[string]pendingClaim
	valid    map[string]time.Time
}

// A pendingClaim is a claim of this daemon that it has not yet read back.
type pendingClaim struct {
	id   string
	sent time.Time
}

// CancelClaim forgets the claim in flight of scope, after its append failed.
func (k *Manager) CancelClaim(scope string) { delete(k.pending, scope) }

// Holds returns the term under which this daemon may order within scope at now.
func (k *Manager) Holds(now time.Time, scope string) (uint64, bool) {
	lease := k.table.Get(scope)
	if lease.Holder != k.Self || !now.Before(k.valid[scope]) {
		return 0, false
	}
	return lease.Term, true
}

// Lease returns the standing of scope as this daemon has read it.
func (k *Manager) Lease(scope string) Lease { return k.table.Get(scope) }

// Observe folds the claim read at offset. horizon is the oldest offset that the
// log held at the read.
func (k *Manager) Observe(now time.Time, offset, horizon uint64, claim Claim) {
	k.init()
	k.horizon = max(k.horizon, horizon)
	if !k.table.Apply(offset, claim) {
		k.settle(claim)
		return
	}
	k.observed[claim.Scope] = now
	if p, ok := k.pending[claim.Scope]; ok && p.id == claim.ID {
		k.valid[claim.Scope] = p.sent.Add(k.Timing.Duration - k.Timing.Guard)
	}
	k.settle(claim)
}

// ValidUntil returns when this daemon stops ordering within scope unless it
// renews.
func (k *Manager) ValidUntil(scope string) time.Time { return k.valid[scope] }

// NextClaim returns the claim to append for scope at now, if any: a renewal after
// half the duration, or a takeover of a lease that has lapsed.
func (k *Manager) NextClaim(now time.Time, scope string) (Claim, bool) {
	k.init()
	if p, ok := k.pending[scope]; ok && now.Sub(p.sent) < k.Timing.Duration {
		return Claim{}, false
	}
	lease := k.table.Get(scope)
	if lease.Holder == k.Self {
		renewAt := k.valid[scope].Add(k.Timing.Guard - k.Timing.Duration/2)
		return k.claim(scope, lease), !now.Before(renewAt)
	}
	if lease.Last != 0 && now.Before(k.lapse(scope)) {
		return Claim{}, false
	}
	return k.claim(scope, lease), true
}

// ClaimSent records that claim is about to be appended at now.
func (k *Manager) ClaimSent(now time.Time, claim Claim) {
	k.init()
	k.pending[claim.Scope] = pendingClaim{id: claim.ID, sent: now}
}

// claim returns the claim that follows lease.
func (k *Manager) claim(scope string, lease Lease) Claim {
	k.sequence++
	return Claim{
		ID:       fmt.Sprintf("%s/%s/%d", k.Self, scope, k.sequence),
		Scope:    scope,
		Holder:   k.Self,
		Previous: lease.Last,
		Horizon:  k.horizon,
	}
}

// init makes the maps of a zero Manager.
func (k *Manager) init() {
	if k.observed == nil {
		k.observed = make(map[string]time.Time)
		k.pending = make(map[string]pendingClaim)
		k.valid = make(map[string]time.Time)
	}
}

// lapse returns the first instant at which scope may be taken over: the holder
// has stopped by then, and the longest order that it sent has ended.
func (k *Manager) lapse(scope string) time.Time {
	return k.observed[scope].Add(k.Timing.Duration + k.Timing.Guard + k.Timing.LongestOrder)
}

// settle forgets the pending claim that claim answers.
func (k *Manager) settle(claim Claim) {
	if p, ok := k.pending[claim.Scope]; ok && p.id == claim.ID {
		delete(k.pending, claim.Scope)
	}
}
