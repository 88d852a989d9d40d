package gateway

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
)

// A rankKey is a rank of the requests for a model.
type rankKey struct {
	model string
	rank  int
}

// An arrivalsMeter measures the requests of callers for one model that have one rank.
type arrivalsMeter struct {
	// prompt counts tokens and target seconds.
	requests, prompt, target budget.Window
}

// mean returns the mean size and target of the requests of the last demandWindow, and whether there were any.
func (m *arrivalsMeter) mean(now time.Duration) (size dispatch.RequestSize, target time.Duration, ok bool) {
	n := m.requests.Sum(now)
	if n <= 0 {
		return size, 0, false
	}
	size.Prompt = int(m.prompt.Sum(now) / n)
	return size, time.Duration(m.target.Sum(now) / n * float64(time.Second)), true
}

// lowestRank is the rank of the least urgent requests: engines know no lower one.
const lowestRank = 9

// rank returns the rank of c, 0 for the most urgent: that of its organisation goes before that of its route.
func (c *call) rank() int {
	rank := c.route.Priority
	if c.organisation.HasPriority {
		rank = c.organisation.Priority
	}
	return min(max(rank, 0), lowestRank)
}

// routeRank returns the rank of the route of c, which tells what room is kept for: a deployment whose routes have one
// rank keeps none.
func (c *call) routeRank() int { return min(max(c.route.Priority, 0), lowestRank) }

// addArrival counts c among the requests for its model. The caller holds the lock.
func (b *attemptTracker) addArrival(now time.Duration, c *call) {
	if b.arrivals == nil {
		b.arrivals = make(map[rankKey]*arrivalsMeter)
	}
	key := rankKey{model: c.request.Size.Model, rank: c.routeRank()}
	m := b.arrivals[key]
	if m == nil {
		window := budget.Window{Span: demandWindow}
		m = &arrivalsMeter{requests: window, prompt: window, target: window}
		b.arrivals[key] = m
	}
	m.requests.Add(now, 1)
	m.prompt.Add(now, float64(c.request.Size.Prompt))
	m.target.Add(now, c.route.Target.Seconds())
}
