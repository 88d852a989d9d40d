package lease

import (
	"fmt"
	"time"
)

// Timing holds the durations that all daemons of one system must share. Duration is how long a
// record keeps the lease. Guard is how much earlier the holder stops, to allow for clock drift.
// LongestOrder is how long an order may be in flight.
type Timing struct {
	Duration     time.Duration
	Guard        time.Duration
	LongestOrder time.Duration
}

// A Manager tracks the leases for one daemon and decides when to claim one. It is not safe for
// concurrent use.
type Manager struct {
	Self   string
	Timing Timing

	table        Table
	horizon      uint64
	sequence     uint64
	lastRecordAt map[string]time.Time
	pending      map[string]pendingClaim
	validUntil   map[string]time.Time
}

// A pendingClaim is a claim of this daemon that it has not yet read back from the log.
type pendingClaim struct {
	id   string
	sent time.Time
}

// CancelClaim removes the pending claim of scope after its append failed.
func (m *Manager) CancelClaim(scope string) { delete(m.pending, scope) }

// Holds returns the term under which this daemon may send orders within scope at now, and
// whether it may.
func (m *Manager) Holds(now time.Time, scope string) (uint64, bool) {
	lease := m.table.Get(scope)
	if lease.Holder != m.Self || !now.Before(m.validUntil[scope]) {
		return 0, false
	}
	return lease.Term, true
}

// Lease returns the lease of scope as this daemon has read it.
func (m *Manager) Lease(scope string) Lease { return m.table.Get(scope) }

// Observe applies the claim read at offset. horizon is the oldest offset that the log retained
// at the read. The lease of this daemon's own claim is valid from when the claim was sent, not
// from when it was read back.
func (m *Manager) Observe(now time.Time, offset, horizon uint64, claim Claim) {
	m.init()
	m.horizon = max(m.horizon, horizon)
	if !m.table.Apply(offset, claim) {
		m.clearPending(claim)
		return
	}
	m.lastRecordAt[claim.Scope] = now
	if p, ok := m.pending[claim.Scope]; ok && p.id == claim.ID {
		m.validUntil[claim.Scope] = p.sent.Add(m.Timing.Duration - m.Timing.Guard)
	}
	m.clearPending(claim)
}

// ValidUntil returns when this daemon must stop sending orders within scope unless it renews the
// lease.
func (m *Manager) ValidUntil(scope string) time.Time { return m.validUntil[scope] }

// NextClaim returns the claim to append for scope at now, if any: a renewal after half the
// duration, or a takeover of a lease that has expired.
func (m *Manager) NextClaim(now time.Time, scope string) (Claim, bool) {
	m.init()
	if p, ok := m.pending[scope]; ok && now.Sub(p.sent) < m.Timing.Duration {
		return Claim{}, false
	}
	lease := m.table.Get(scope)
	if lease.Holder == m.Self {
		renewAt := m.validUntil[scope].Add(m.Timing.Guard - m.Timing.Duration/2)
		return m.newClaim(scope, lease), !now.Before(renewAt)
	}
	if lease.Last != 0 && now.Before(m.takeoverAt(scope)) {
		return Claim{}, false
	}
	return m.newClaim(scope, lease), true
}

// ClaimSent records that claim is about to be appended at now. Call it before the append, so
// that the lease never lasts longer here than for the other daemons.
func (m *Manager) ClaimSent(now time.Time, claim Claim) {
	m.init()
	m.pending[claim.Scope] = pendingClaim{id: claim.ID, sent: now}
}

// newClaim returns the claim that follows the last record of lease.
func (m *Manager) newClaim(scope string, lease Lease) Claim {
	m.sequence++
	return Claim{
		ID:       fmt.Sprintf("%s/%s/%d", m.Self, scope, m.sequence),
		Scope:    scope,
		Holder:   m.Self,
		Previous: lease.Last,
		Horizon:  m.horizon,
	}
}

// init allocates the maps of a zero Manager.
func (m *Manager) init() {
	if m.lastRecordAt == nil {
		m.lastRecordAt = make(map[string]time.Time)
		m.pending = make(map[string]pendingClaim)
		m.validUntil = make(map[string]time.Time)
	}
}

// takeoverAt returns the first instant at which scope may be taken over. By then the holder has
// stopped, and the longest order that it sent has ended.
func (m *Manager) takeoverAt(scope string) time.Time {
	return m.lastRecordAt[scope].Add(m.Timing.Duration + m.Timing.Guard + m.Timing.LongestOrder)
}

// clearPending removes the pending claim if it is the one that was read back.
func (m *Manager) clearPending(claim Claim) {
	if p, ok := m.pending[claim.Scope]; ok && p.id == claim.ID {
		delete(m.pending, claim.Scope)
	}
}
