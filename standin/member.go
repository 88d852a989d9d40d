package standin

import (
	"time"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Member is the part of an engine that carries out orders. It does no I/O, so
// that tests of the control state use the same rules as the stand-in engine. Orders
// lists the accepted orders. Stale counts the accepted orders of an earlier term; it
// must stay zero.
type Member struct {
	Report        fleet.Report
	ChecksFencing bool
	Orders        []fleet.Order
	Stale         int

	results map[string]fleet.OrderResult
}

// Obey carries out order at time now, and repeats the result of an order that it
// already accepted. load is how long weights take to load. The returned time is when
// they will be ready, zero if the order loads nothing.
func (m *Member) Obey(now time.Time, order fleet.Order, load time.Duration) (fleet.OrderResult, time.Time) {
	if r, ok := m.results[order.ID]; ok {
		r.Report = m.Report
		return r, time.Time{}
	}
	if reason := m.rejectReason(now, order); reason != "" {
		return fleet.OrderResult{Reason: reason, Report: m.Report}, time.Time{}
	}
	if order.Fence < m.Report.HighestFence {
		m.Stale++
	}
	m.Orders = append(m.Orders, order)
	m.Report.HighestFence = max(m.Report.HighestFence, order.Fence)
	ready := m.apply(now, order, load)
	result := fleet.OrderResult{Accepted: true, Report: m.Report}
	if m.results == nil {
		m.results = make(map[string]fleet.OrderResult)
	}
	m.results[order.ID] = result
	return result, ready
}

// apply changes the assignment to that of order, and returns when the weights will
// be ready. Weights that are already loaded aren't loaded again; the time is then zero.
func (m *Member) apply(now time.Time, order fleet.Order, load time.Duration) time.Time {
	before := m.Report.Assignment
	if order.Action == fleet.ActionLeave {
		m.Report.Assignment = fleet.Assignment{}
		m.Report.Phase, m.Report.Warm = fleet.PhaseIdle, false
		return time.Time{}
	}
	m.Report.Assignment = order.Assignment
	if !before.Free() && sameWeights(before, order.Assignment) && m.Report.Phase == fleet.PhaseReady {
		return time.Time{}
	}
	m.Report.Phase, m.Report.Warm = fleet.PhaseLoading, false
	return now.Add(load)
}

// rejectReason returns why order is rejected, or an empty string if it is accepted.
func (m *Member) rejectReason(now time.Time, order fleet.Order) string {
	switch {
	case m.ChecksFencing && order.Fence < m.Report.HighestFence:
		return "stale fencing number"
	case now.After(order.Deadline):
		return "past its deadline"
	case order.Expect != m.Report.Assignment.Generation:
		return "unexpected generation"
	case m.Report.Leaving && order.Action == fleet.ActionJoin:
		return "leaving"
	case m.Report.Running > 0 && m.interrupts(order):
		return "busy"
	}
	return ""
}

// interrupts returns whether order would abort requests in flight.
func (m *Member) interrupts(order fleet.Order) bool {
	return order.Action == fleet.ActionLeave || !sameWeights(m.Report.Assignment, order.Assignment)
}

// sameWeights returns whether a and b use the same model, adapter and version.
func sameWeights(a, b fleet.Assignment) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}
