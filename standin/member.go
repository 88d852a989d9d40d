package standin

import (
	"time"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Member is the part of an engine that obeys orders, without I/O, so that
// tests of the control state use the same rules as the engine stand-in. Stale
// counts the orders of an earlier term that it took, which must never happen.
type Member struct {
	Report        fleet.Report
	ChecksFencing bool
	Orders        []fleet.Order
	Stale         int

	results map[string]fleet.OrderResult
}

// Obey carries out order at now. load is how long weights take to load; the
// instant at which they are ready is returned, and is zero if nothing loads.
func (m *Member) Obey(now time.Time, order fleet.Order, load time.Duration) (fleet.OrderResult, time.Time) {
	if r, ok := m.results[order.ID]; ok {
		r.Report = m.Report
		return r, time.Time{}
	}
	if reason := m.refuse(now, order); reason != "" {
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

// apply changes the assignment as order says. Weights that are already loaded
// stay.
func (m *Member) apply(now time.Time, order fleet.Order, load time.Duration) time.Time {
	before := m.Report.Assignment
	if order.Action == fleet.ActionLeave {
		m.Report.Assignment = fleet.Assignment{}
		m.Report.Phase, m.Report.Warm = fleet.PhaseIdle, false
		return time.Time{}
	}
	m.Report.Assignment = order.Assignment
	if !before.Free() && sameContents(before, order.Assignment) && m.Report.Phase == fleet.PhaseReady {
		return time.Time{}
	}
	m.Report.Phase, m.Report.Warm = fleet.PhaseLoading, false
	return now.Add(load)
}

// refuse returns why order is not carried out, or an empty string.
func (m *Member) refuse(now time.Time, order fleet.Order) string {
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

// interrupts returns whether order would end the requests that are running.
func (m *Member) interrupts(order fleet.Order) bool {
	return order.Action == fleet.ActionLeave || !sameContents(m.Report.Assignment, order.Assignment)
}

// sameContents returns whether a and b have the same weights.
func sameContents(a, b fleet.Assignment) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && a.Version == b.Version
}
