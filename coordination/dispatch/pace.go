package dispatch

import (
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// paceWeight is the weight of one pause in a pace: a slow replica shows within
	// about a dozen events, one pause that the network made does not convict.
	paceWeight = 0.15
	// fewestPauses is the number of pauses before which a pace says nothing.
	fewestPauses = 8
	// longestRatio bounds what one pause counts for: a stall is not a pace.
	longestRatio = 8
	// paceAge is how long a pace counts after its last pause. A replica that nobody
	// uses for being slow is tried again then.
	paceAge = 4 * time.Second
	// unevenness is how much slower than the others a replica may be without being
	// held for slow: context and prompts, which the estimate leaves out, and the
	// network.
	unevenness = 1.6
)

// A Pace is how fast a replica writes against the published figures of its engine.
// The zero Pace has seen nothing.
type Pace struct {
	ratio  float64
	pauses int
	at     time.Time
}

// Observe takes the pause between two events of one stream, seen at now while the
// replica had load.
func (p *Pace) Observe(e *site.Engine, m site.Model, load Load, pause time.Duration, now time.Time) {
	usual := time.Duration(float64(pass(e, max(load.Writing, 1))) * m.Pace)
	if load.Waiting > 0 {
		usual += time.Duration(float64(min(load.Tokens, e.Chunk)) / max(e.ReadPerSecond, 1) * m.Pace * float64(time.Second))
	}
	if usual <= 0 {
		return
	}
	if now.Sub(p.at) > paceAge {
		*p = Pace{}
	}
	ratio := min(float64(pause)/float64(usual), longestRatio)
	if p.pauses == 0 {
		p.ratio = ratio
	}
	p.ratio += paceWeight * (ratio - p.ratio)
	p.pauses++
	p.at = now
}

// known returns whether p says anything at now.
func (p Pace) known(now time.Time) bool {
	return p.pauses >= fewestPauses && now.Sub(p.at) <= paceAge
}

// Slowdowns returns how much slower each of paces is than the others, 1 if it is not
// or if nothing is known. What slows all alike, such as this daemon's own processor,
// makes none of them slow.
func Slowdowns(paces []Pace, now time.Time) []float64 {
	var ratios []float64
	for _, p := range paces {
		if p.known(now) {
			ratios = append(ratios, p.ratio)
		}
	}
	out := make([]float64, len(paces))
	slices.Sort(ratios)
	for i, p := range paces {
		out[i] = 1
		if !p.known(now) {
			continue
		}
		if usual := ratios[(len(ratios)-1)/2]; usual > 0 && p.ratio > unevenness*usual {
			out[i] = p.ratio / usual
		}
	}
	return out
}
