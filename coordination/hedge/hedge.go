// Package hedge decides which of several attempts at one answer are kept. An attempt whose server is
// silent may still go on, so it is given up only for another one that has delivered something.
package hedge

import (
	"maps"
	"slices"
)

// A Step is what to do next about an answer.
type Step int

// The steps.
const (
	// Wait means that an attempt is under way that has not fallen silent.
	Wait Step = iota
	// TryAnother means that another attempt is of use, if one may be made. If not, and an attempt is still
	// live, it may yet answer.
	TryAnother
)

// A Race is the attempts at one answer. The zero Race has none.
type Race struct {
	// silent holds the live attempts, and whether each has fallen silent.
	silent map[int]bool
	began  int
}

// Start adds an attempt and returns its number.
func (r *Race) Start() int {
	if r.silent == nil {
		r.silent = make(map[int]bool)
	}
	r.began++
	r.silent[r.began] = false
	return r.began
}

// Live returns whether the attempt with the given number is kept.
func (r *Race) Live(n int) bool {
	_, ok := r.silent[n]
	return ok
}

// Open returns the number of live attempts.
func (r *Race) Open() int { return len(r.silent) }

// Silent records that an attempt has fallen silent.
func (r *Race) Silent(n int) Step {
	if !r.Live(n) {
		return Wait
	}
	r.silent[n] = true
	return r.next()
}

// Delivered records that an attempt has delivered the next part of the answer. It returns the other
// attempts, which are of no more use.
func (r *Race) Delivered(n int) (overtaken []int) {
	if !r.Live(n) {
		return nil
	}
	for _, other := range slices.Sorted(maps.Keys(r.silent)) {
		if other != n {
			overtaken = append(overtaken, other)
			delete(r.silent, other)
		}
	}
	r.silent[n] = false
	return overtaken
}

// Ended records that an attempt has ended without the end of the answer.
func (r *Race) Ended(n int) Step {
	if !r.Live(n) {
		return Wait
	}
	delete(r.silent, n)
	return r.next()
}

// next returns Wait if an attempt is live and not silent.
func (r *Race) next() Step {
	for _, silent := range r.silent {
		if !silent {
			return Wait
		}
	}
	return TryAnother
}
