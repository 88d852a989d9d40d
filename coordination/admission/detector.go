package admission

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of first-token times that a Detector keeps.
	maxSamples = 32
	// minSamples is the number of first-token times needed before any of them counts as slow.
	minSamples = 8
	// coldAfterSlow is the number of consecutive slow times that show a cold server.
	coldAfterSlow = 2
)

// A Detector detects by first-token times that a warm server has become cold. A time counts as
// slow above Factor times the median. The zero Detector with a Factor is ready to use.
type Detector struct {
	Factor float64

	recent []time.Duration
	slow   int
}

// Observe records the first-token time of one request and returns whether the server has become
// cold.
func (d *Detector) Observe(firstToken time.Duration) bool {
	if len(d.recent) >= minSamples && float64(firstToken) > d.Factor*float64(d.median()) {
		d.slow++
		return d.slow >= coldAfterSlow
	}
	d.slow = 0
	d.recent = append(d.recent, firstToken)
	if len(d.recent) > maxSamples {
		d.recent = d.recent[1:]
	}
	return false
}

// median returns the median of the recorded times.
func (d *Detector) median() time.Duration {
	sorted := slices.Sorted(slices.Values(d.recent))
	return sorted[len(sorted)/2]
}
