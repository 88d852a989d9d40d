// Package shares decides how organisations share what the servers of a service can do while that is short: by
// max-min fairness in work, over all daemons together.
package shares

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
)

const (
	// usageWindow is the time over which usage is measured: several times the age of the sums of all daemons.
	usageWindow = 2 * time.Second
	// recentWindow is the time within which an organisation that got no more than its share is within it, whatever
	// it got before: a few statuses of daemons.
	recentWindow = 400 * time.Millisecond
	// maxNamed is the number of organisations that a message names for each service, at 46 bytes each.
	maxNamed = 64
	// maxMetered is the number of organisations that a Meter measures at a time, at about 500 bytes each.
	maxMetered = 1024
	// reserve is the fraction of the accepted work that the largest organisations give up first, so that they are
	// over their shares before others are refused.
	reserve = 0.02
	// fittingWait and restWait are the parts of the longest accepted wait up to which requests of organisations over their
	// shares are accepted: those that fit the share wait no longer than a first token's target, and the others leave these
	// room.
	fittingWait = 1.0 / 2
	restWait    = 1.0 / 4
	// fullAge and maxAge are the ages of a sum up to which it counts in full, and from which it does not count. The
	// second is the age up to which daemons count each other's statuses.
	fullAge = 600 * time.Millisecond
	maxAge  = 1200 * time.Millisecond
)

// A Usage is the work that one organisation asked for and that was accepted of it, in seconds of a replica
// for each second, within usageWindow and within recentWindow.
type Usage struct {
	_              struct{} `cbor:",toarray"`
	Asked          float64
	Accepted       float64
	RecentAsked    float64
	RecentAccepted float64
}

// add returns the sum of u and other.
func (u Usage) add(other Usage) Usage {
	return Usage{
		Asked: u.Asked + other.Asked, Accepted: u.Accepted + other.Accepted,
		RecentAsked: u.RecentAsked + other.RecentAsked, RecentAccepted: u.RecentAccepted + other.RecentAccepted,
	}
}

// valid returns whether u can have been measured.
func (u Usage) valid() bool {
	sum := u.Asked + u.Accepted + u.RecentAsked + u.RecentAccepted
	return min(u.Asked, u.Accepted, u.RecentAsked, u.RecentAccepted) >= 0 && !math.IsInf(sum, 0)
}

// A Summary holds the usage of organisations, by a hash of their names.
type Summary map[uint64]Usage

// An organisationMeter measures the usage of one organisation.
type organisationMeter struct {
	asked, accepted             budget.Window
	recentAsked, recentAccepted budget.Window
}

// A Meter measures the usage of organisations at one daemon. The zero value is ready to use; it is not safe
// for concurrent use.
type Meter struct {
	organisations map[uint64]*organisationMeter
}

// Record counts a request of an organisation that asks for work, at now.
func (m *Meter) Record(now time.Duration, organisation string, work time.Duration, accepted bool) {
	key := Key(organisation)
	o, ok := m.organisations[key]
	if !ok {
		if m.organisations == nil {
			m.organisations = make(map[uint64]*organisationMeter)
		}
		if len(m.organisations) >= maxMetered {
			return
		}
		o = &organisationMeter{}
		o.asked.Span, o.accepted.Span = usageWindow, usageWindow
		o.recentAsked.Span, o.recentAccepted.Span = recentWindow, recentWindow
		m.organisations[key] = o
	}
	seconds := max(work, 0).Seconds()
	o.asked.Add(now, seconds)
	o.recentAsked.Add(now, seconds)
	if accepted {
		o.accepted.Add(now, seconds)
		o.recentAccepted.Add(now, seconds)
	}
}

// Summary returns the usage as of now, of the organisations that use most if there are many, and forgets those
// that are silent.
func (m *Meter) Summary(now time.Duration) Summary {
	s := make(Summary, len(m.organisations))
	for key, o := range m.organisations {
		u := Usage{
			Asked: o.asked.Sum(now) / usageWindow.Seconds(), Accepted: o.accepted.Sum(now) / usageWindow.Seconds(),
			RecentAsked: o.recentAsked.Sum(now) / recentWindow.Seconds(), RecentAccepted: o.recentAccepted.Sum(now) / recentWindow.Seconds(),
		}
		if u.Asked == 0 {
			delete(m.organisations, key)
			continue
		}
		s[key] = u
	}
	return s.Largest()
}

// Key returns the hash of the name of an organisation.
func Key(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// Add adds the usage of other daemons to s and returns it.
func (s Summary) Add(other Summary) Summary {
	if s == nil && len(other) > 0 {
		s = make(Summary, len(other))
	}
	for key, u := range other {
		s[key] = s[key].add(u)
	}
	return s
}

// Largest returns s with the organisations that a message names: those that ask for most. It may return s itself.
func (s Summary) Largest() Summary {
	if len(s) <= maxNamed {
		return s
	}
	keys := make([]uint64, 0, len(s))
	for key := range s {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Or(cmp.Compare(s[b].Asked, s[a].Asked), cmp.Compare(a, b)) })
	largest := make(Summary, maxNamed)
	for _, key := range keys[:maxNamed] {
		largest[key] = s[key]
	}
	return largest
}

// A Standing is how much organisations ask for beside their fair shares at one moment. The zero value is that of
// organisations of which nothing is known.
type Standing struct {
	// Level is the max-min fair share of an organisation with weight 1, in seconds of a replica for each second, zero
	// if nothing was accepted.
	Level float64
	// Ratios are what organisations ask for as multiples of their shares, by the hash of their names.
	Ratios map[uint64]float64
}

// Ratio returns the work that an organisation asks for as a multiple of its max-min fair share: one with at most 1 is
// within its share, and of what others ask for one part in Ratio fits. It is 0 for unknown organisations.
func (s Standing) Ratio(organisation string) float64 { return s.Ratios[Key(organisation)] }

// StandingOf returns the standing of the organisations of a summary over all daemons that is of the given age.
// Organisations have the given weights by name, 1 by default. One is over its share only if it is in both windows of
// time: the recent one tells what it asks for now, and the longer one averages single requests. One that asks for no
// more than an equal part of what was accepted is always within its share, and from maxAge on all are.
func StandingOf(s Summary, weights map[string]float64, age time.Duration) Standing {
	weightOf := make(map[uint64]float64, len(weights))
	for name, w := range weights {
		weightOf[Key(name)] = w
	}
	demands, recent := make([]demand, 0, len(s)), make([]demand, 0, len(s))
	for key, u := range s {
		if !u.valid() {
			continue
		}
		weight := 1.0
		if w, ok := weightOf[key]; ok && w > 0 {
			weight = w
		}
		// The recent work counts in the longer window again, so that this one falls sooner.
		demands = append(demands, demand{key: key, asked: (u.Asked + u.RecentAsked) / 2, accepted: (u.Accepted + u.RecentAccepted) / 2, weight: weight})
		recent = append(recent, demand{key: key, asked: u.RecentAsked, accepted: u.RecentAccepted, weight: weight})
	}
	standing, credit := Standing{Level: levelOf(demands), Ratios: make(map[uint64]float64, len(demands))}, creditAt(age)
	for _, d := range demands {
		standing.Ratios[d.key] = d.ratio(standing.Level)
	}
	recentLevel := levelOf(recent)
	for _, d := range recent {
		ratio := min(standing.Ratios[d.key], d.ratio(recentLevel))
		if ratio > 1 {
			ratio = 1 + (ratio-1)*credit
		}
		standing.Ratios[d.key] = ratio
	}
	return standing
}

// WaitLimit returns the expected wait up to which a request of an organisation with a ratio is accepted while room is
// short and those within their shares are accepted up to limit. draw is a random number from 0 up to 1: of an
// organisation over its share, the part that fits is accepted up to fittingWait of the limit, and the rest up to restWait,
// where nobody else takes the room.
func WaitLimit(ratio, draw float64, limit time.Duration) time.Duration {
	switch {
	case ratio <= 1:
		return limit
	case draw*ratio < 1:
		return time.Duration(fittingWait * float64(limit))
	default:
		return time.Duration(restWait * float64(limit))
	}
}

// creditAt returns the part of what is over a share that counts by a sum of the given age.
func creditAt(age time.Duration) float64 {
	return min(max(float64(maxAge-age)/float64(maxAge-fullAge), 0), 1)
}

// A demand is what one organisation with a weight asks for and what was accepted of it in a window of time.
type demand struct {
	key                     uint64
	asked, accepted, weight float64
}

// ratio returns what d asks for as a multiple of its share at a level, zero if there is none.
func (d demand) ratio(level float64) float64 {
	if level == 0 {
		return 0
	}
	return d.asked / (d.weight * level)
}

// levelOf returns the max-min fair share for each unit of weight: what is left of the accepted work without the reserve
// is divided by weight, and nobody is given more than was asked for. It is at least an equal part of all accepted
// work. It sorts demands.
func levelOf(demands []demand) float64 {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.asked/a.weight, b.asked/b.weight), cmp.Compare(a.key, b.key))
	})
	accepted, weight := 0.0, 0.0
	for _, d := range demands {
		accepted += d.accepted
		weight += d.weight
	}
	if accepted == 0 {
		return 0
	}
	equalPart := accepted / weight
	left := (1 - reserve) * accepted
	for _, d := range demands {
		if d.asked*weight >= left*d.weight {
			return max(left/weight, equalPart)
		}
		left -= d.asked
		weight -= d.weight
	}
	// Everybody is given all that was asked for, which only sums of daemons that measure otherwise can say.
	return max(demands[len(demands)-1].asked/demands[len(demands)-1].weight, equalPart)
}
