package dispatch

import (
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// smoothingFactor is the weight of one pause in a pace: a slow replica shows within
	// about a dozen events, one pause that the network made does not convict.
	smoothingFactor = 0.15
	// minSamples is the number of pauses before which a pace says nothing.
	minSamples = 8
	// maxRatio bounds what one pause counts for: a stall is not a pace.
	maxRatio = 8
	// paceTTL is how long a pace counts after its last pause. A replica that nobody
	// uses for being slow is tried again then.
	paceTTL = 4 * time.Second
	// slowThreshold is how much slower than the others a replica may be without being
	// held for slow: context and prompts, which the estimate leaves out, and the
	// network.
	slowThreshold = 1.6
)

// A Pace is how fast a replica writes against the published figures of its engine.
// The zero Pace has seen nothing.
type Pace struct {
	ratio     float64
	samples   int
	updatedAt time.Time
}

// Observe takes the pause between two events of one stream, seen at now while the
// replica had load.
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

// valid returns whether p says anything at now.
func (p Pace) valid(now time.Time) bool {
	return p.samples >= minSamples && now.Sub(p.updatedAt) <= paceTTL
}

// Slowdowns returns how much slower each of paces is than the others, 1 if it is not
// or if nothing is known. What slows all alike, such as this daemon's own processor,
// makes none of them slow.
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
