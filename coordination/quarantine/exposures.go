package quarantine

import (
	"slices"
	"time"
)

const (
	// exposureTTL is how long the end of a server is held against the requests that it did
	// not answer: an entry of the list lapses after three heartbeats, and may be kept for
	// ten seconds more where the server seems to be cut off.
	exposureTTL = 15 * time.Second
	// maxExposures bounds the requests that an Exposures keeps.
	maxExposures = 1024
)

// Exposures are requests that servers did not answer, where nothing showed whether the server
// had ended. They are kept by the life of the server, so that they are suspects if it turns out
// to be over. The zero value has none.
type Exposures[L comparable] struct {
	all []exposure[L]
}

// An exposure is one request that a server did not answer.
type exposure[L comparable] struct {
	incarnation L
	fingerprint Fingerprint
	at          time.Time
}

// Add notes that a life of a server did not answer a request.
func (e *Exposures[L]) Add(now time.Time, incarnation L, f Fingerprint) {
	e.expire(now)
	if len(e.all) >= maxExposures {
		e.all = e.all[1:]
	}
	e.all = append(e.all, exposure[L]{incarnation: incarnation, fingerprint: f, at: now})
}

// Acquit drops a request that ran to its end elsewhere.
func (e *Exposures[L]) Acquit(f Fingerprint) {
	e.all = slices.DeleteFunc(e.all, func(x exposure[L]) bool { return x.fingerprint == f })
}

// Incarnations returns the number of lives of servers that did not answer a request.
func (e *Exposures[L]) Incarnations(now time.Time, f Fingerprint) int {
	e.expire(now)
	incarnations := make(map[L]bool)
	for _, x := range e.all {
		if x.fingerprint == f {
			incarnations[x.incarnation] = true
		}
	}
	return len(incarnations)
}

// Ended returns the requests of the lives that are over, and drops them.
func (e *Exposures[L]) Ended(now time.Time, hasEnded func(L) bool) map[L][]Fingerprint {
	e.expire(now)
	if len(e.all) == 0 {
		return nil
	}
	ended := make(map[L][]Fingerprint)
	e.all = slices.DeleteFunc(e.all, func(x exposure[L]) bool {
		if !hasEnded(x.incarnation) {
			return false
		}
		ended[x.incarnation] = append(ended[x.incarnation], x.fingerprint)
		return true
	})
	return ended
}

// expire drops what is too old to matter.
func (e *Exposures[L]) expire(now time.Time) {
	e.all = slices.DeleteFunc(e.all, func(x exposure[L]) bool { return now.Sub(x.at) > exposureTTL })
}
