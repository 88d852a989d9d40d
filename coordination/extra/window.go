package extra

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSpan is the time over which attempts count.
	windowSpan = 60 * time.Second
	// windowSlots is the number of parts in which a window slides.
	windowSlots = 6
	// quantileAge is how long a quantile is used before it is computed again.
	quantileAge = 500 * time.Millisecond
	// maxTook is the longest time that a window distinguishes, as in the histograms of a daemon.
	maxTook = time.Minute
	// significantFigures is the precision of a window in decimal digits.
	significantFigures = 1
	// timeUnit is the smallest difference of two times that a window distinguishes.
	timeUnit = time.Millisecond
)

// A slot holds the attempts that ended in one part of a window: those that were answered, and those that
// were not, which would have taken longer.
type slot struct {
	number           int64
	answered, longer *hdrhistogram.Histogram
}

// A window holds how long the recent attempts of a route took. The zero window is empty.
type window struct {
	slots [windowSlots]slot
	// computed holds the quantiles that were computed since computedAt.
	computed   map[float64]estimate
	computedAt time.Duration
}

// An estimate is a quantile, if there are enough attempts to tell.
type estimate struct {
	took time.Duration
	ok   bool
}

// newHistogram returns an empty histogram of times.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTook/timeUnit), significantFigures)
}

// add records an attempt that took a time, or would have taken longer.
func (w *window) add(now, took time.Duration, longer bool) {
	number := int64(now / (windowSpan / windowSlots))
	s := &w.slots[number%windowSlots]
	if s.answered == nil {
		s.answered, s.longer = newHistogram(), newHistogram()
	}
	if s.number != number {
		s.answered.Reset()
		s.longer.Reset()
		s.number = number
	}
	h := s.answered
	if longer {
		h = s.longer
	}
	// Times outside of the range are recorded as its limits.
	_ = h.RecordValue(int64(max(min(took, maxTook), 0) / timeUnit))
}

// quantile returns the time within which the fraction q of the attempts were answered, by the estimator of
// Kaplan and Meier: an attempt without an answer counts among the slower ones of those that took as long. It
// returns false if fewer were answered than must be for one to be beyond q, or if too many were not answered for
// the time to be known.
func (w *window) quantile(now time.Duration, q float64) (time.Duration, bool) {
	if w.computed == nil || now-w.computedAt >= quantileAge {
		w.computed, w.computedAt = make(map[float64]estimate), now
	}
	e, ok := w.computed[q]
	if !ok {
		e.took, e.ok = w.compute(now, q)
		w.computed[q] = e
	}
	return e.took, e.ok
}

// compute computes a quantile.
func (w *window) compute(now time.Duration, q float64) (time.Duration, bool) {
	current := int64(now / (windowSpan / windowSlots))
	answered, longer := newHistogram(), newHistogram()
	for _, s := range w.slots {
		if s.answered != nil && current-s.number < windowSlots {
			answered.Merge(s.answered)
			longer.Merge(s.longer)
		}
	}
	atRisk := answered.TotalCount() + longer.TotalCount()
	if float64(answered.TotalCount())*(1-q) < 1-creditError {
		return 0, false
	}
	slower, at := 1.0, time.Duration(0)
	// Both have the same bars, up to the last that counts anything.
	cancelled := longer.Distribution()
	for i, bar := range answered.Distribution() {
		if bar.Count > 0 {
			slower *= 1 - float64(bar.Count)/float64(atRisk)
			at = time.Duration(bar.To) * timeUnit
		}
		if slower <= 1-q+creditError {
			return at, true
		}
		if atRisk -= bar.Count; i < len(cancelled) {
			atRisk -= cancelled[i].Count
		}
	}
	return 0, false
}
