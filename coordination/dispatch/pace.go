package dispatch

import (
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// smoothingFactor is the weight of one gap in the moving average: a slow replica is detected
	// within about a dozen events, while one gap caused by the network is not enough.
	smoothingFactor = 0.15
	// minSamples is the number of gaps that a Pace needs to be valid.
	minSamples = 8
	// maxRatio bounds the weight of one gap: a stall does not measure the pace.
	maxRatio = 8
	// paceTTL is how long a Pace is valid after its last gap. A replica that no daemon uses
	// because it was slow is tried again after that.
	paceTTL = 4 * time.Second
	// slowThreshold is the ratio to the median up to which a replica is not considered slow. It
	// leaves room for context length and prompts, which the estimate does not model, and for the
	// network.
	slowThreshold = 1.6
)

// A Pace measures the speed at which a replica generates, relative to the published figures of
// its engine. The zero Pace has no samples.
type Pace struct {
	ratio     float64
	samples   int
	updatedAt time.Time
}

// Observe records the gap between two events of one stream, seen at now while the replica had the
// given load.
func (p *Pace) Observe(e *site.Engine, m site.Model, load Load, gap time.Duration, now time.Time) {
	expected := time.Duration(float64(strideTime(e, max(load.Writing, 1))) * m.Pace)
	if load.Waiting > 0 {
		expected += time.Duration(float64(min(load.Tokens, e.Chunk)) / max(e.ReadPerSecond, 1) * m.Pace * float64(time.Second))
	}
	if expected <= 0 {
		return
	}
	if now.Sub(p.updatedAt) > paceTTL {
		*p = Pace{}
	}
	ratio := min(float64(gap)/float64(expected), maxRatio)
	if p.samples == 0 {
		p.ratio = ratio
	}
	p.ratio += smoothingFactor * (ratio - p.ratio)
	p.samples++
	p.updatedAt = now
}

// valid returns whether p has enough recent samples at now.
func (p Pace) valid(now time.Time) bool {
	return p.samples >= minSamples && now.Sub(p.updatedAt) <= paceTTL
}

// Slow returns the ratio of p, and whether it is that of a slow replica at now.
func (p Pace) Slow(now time.Time) (ratio float64, slow bool) {
	return p.ratio, p.valid(now) && p.ratio > slowThreshold
}

// Slowdowns returns the factor by which each of paces is slower than the median, 1 if it is not
// or if it is not valid. What slows all of them alike, such as this daemon's own processor, does
// not make any of them slow.
func Slowdowns(paces []Pace, now time.Time) []float64 {
	var ratios []float64
	for _, p := range paces {
		if p.valid(now) {
			ratios = append(ratios, p.ratio)
		}
	}
	slowdowns := make([]float64, len(paces))
	slices.Sort(ratios)
	for i, p := range paces {
		slowdowns[i] = 1
		if !p.valid(now) {
			continue
		}
		if median := ratios[(len(ratios)-1)/2]; median > 0 && p.ratio > slowThreshold*median {
			slowdowns[i] = p.ratio / median
		}
	}
	return slowdowns
}
