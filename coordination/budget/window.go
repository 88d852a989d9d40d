// Package budget bounds what all daemons together may do, by a share for each that needs no
// messages between them.
package budget

import "time"

// windowSlots is the number of slots into which a Window divides its span.
const windowSlots = 10

// A Window counts events in a sliding span of time. The zero Window with a Span is ready to use;
// it is not safe for concurrent use.
type Window struct {
	Span time.Duration

	counts  [windowSlots]float64
	current int64
}

// Add counts n events at now.
func (w *Window) Add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.current%windowSlots] += n
}

// Sum returns the events of the last span, including the current slot.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	sum := 0.0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// advance clears the slots that have left the span.
func (w *Window) advance(now time.Duration) {
	at := int64(now / max(w.Span/windowSlots, 1))
	if at-w.current >= windowSlots {
		w.counts = [windowSlots]float64{}
		w.current = at
	}
	for w.current < at {
		w.current++
		w.counts[w.current%windowSlots] = 0
	}
}
