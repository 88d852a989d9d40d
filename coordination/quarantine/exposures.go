package quarantine

import (
	"slices"
	"time"
)

const (
	// exposureTTL is how long requests that a server did not answer can become suspects if the
	// server turns out to have ended: its entry in the list expires after three heartbeats, and
	// may be kept for ten seconds more if the server seems to be cut off.
	exposureTTL = 15 * time.Second
	// maxExposures bounds the requests that an Exposures keeps.
	maxExposures = 1024
)

// Exposures are requests that servers did not answer, where it is unknown whether the server has
// ended. They are kept by the server's incarnation L, so that they become suspects if that
// incarnation turns out to have ended. The zero value is empty.
type Exposures[L comparable] struct {
	all []exposure[L]
}

// An exposure is one request that a server did not answer.
type exposure[L comparable] struct {
	incarnation L
	fingerprint Fingerprint
	at          time.Time
}

// Add records that an incarnation of a server did not answer a request.
func (e *Exposures[L]) Add(now time.Time, incarnation L, f Fingerprint) {
	e.expire(now)
	if len(e.all) >= maxExposures {
		e.all = e.all[1:]
	}
	e.all = append(e.all, exposure[L]{incarnation: incarnation, fingerprint: f, at: now})
}

// Acquit removes a request that another server completed.
func (e *Exposures[L]) Acquit(f Fingerprint) {
	e.all = slices.DeleteFunc(e.all, func(x exposure[L]) bool { return x.fingerprint == f })
}

// Incarnations returns the number of server incarnations that did not answer a request.
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

// Ended removes and returns the requests of the incarnations that have ended.
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

// expire removes the exposures that are older than exposureTTL.
func (e *Exposures[L]) expire(now time.Time) {
	e.all = slices.DeleteFunc(e.all, func(x exposure[L]) bool { return now.Sub(x.at) > exposureTTL })
}
