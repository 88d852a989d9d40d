// Package notice keeps what backend servers say of themselves in their answers: that they
// are leaving, and that they want no requests for a while. It is known before the list of
// servers shows it, and also while nobody can read that list.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A Life is one life of a backend server. Born is in Unix milliseconds.
type Incarnation struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
}

// A Notice is what an answer of a backend server says of the server itself.
type Notice struct {
	// Leaving means that the server is about to end.
	Leaving bool
	// Rest is how long the server wants no requests; zero if it did not say.
	Backoff time.Duration
}

const (
	// MaxRest bounds the rest that a server may ask for: longer than any request waits. A
	// larger value is taken for a mistake of the server and cut to this.
	MaxBackoff = 30 * time.Second
	// toldFor is how long a daemon tells others of a server that leaves: several statuses,
	// and long enough for a daemon that was cut off for a few seconds.
	announceDuration = 10 * time.Second
	// maxTold bounds the servers that one status tells of.
	maxAnnounced = 64
	// keptFor is how long a server that leaves is remembered once it is not listed: longer
	// than an entry that lapsed takes to come back after an outage of the store.
	retention = time.Minute
)

// A Register keeps notices. The zero Register has none. It is not safe for concurrent use.
type Register struct {
	leaving  map[Incarnation]time.Duration
	backoffs map[string]time.Duration
}

// Take takes a notice of a server, and returns whether it is the first one that says that
// this life of it leaves.
func (r *Register) Record(now time.Duration, l Incarnation, n Notice) bool {
	if n.Backoff > 0 {
		if r.backoffs == nil {
			r.backoffs = make(map[string]time.Duration)
		}
		r.backoffs[l.Server] = max(r.backoffs[l.Server], now+min(n.Backoff, MaxBackoff))
	}
	return n.Leaving && r.recordLeaving(now, l)
}

// Hear takes that servers leave from another daemon, and returns those that are news.
func (r *Register) Merge(now time.Duration, incarnations []Incarnation) []Incarnation {
	return slices.DeleteFunc(slices.Clone(incarnations), func(l Incarnation) bool { return !r.recordLeaving(now, l) })
}

// leave notes that l leaves and returns whether that is news.
func (r *Register) recordLeaving(now time.Duration, l Incarnation) bool {
	if _, recorded := r.leaving[l]; recorded {
		return false
	}
	if r.leaving == nil {
		r.leaving = make(map[Incarnation]time.Duration)
	}
	r.leaving[l] = now
	return true
}

// Leaving returns whether a life of a server leaves.
func (r *Register) Leaving(l Incarnation) bool {
	_, leaving := r.leaving[l]
	return leaving
}

// Rest returns how much longer a server wants no requests, zero if it takes them.
func (r *Register) Backoff(now time.Duration, server string) time.Duration {
	return max(r.backoffs[server]-now, 0)
}

// Told returns the servers of which other daemons are told that they leave, the latest
// first.
func (r *Register) Announcements(now time.Duration) []Incarnation {
	var out []Incarnation
	for l, at := range r.leaving {
		if now-at <= announceDuration {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(r.leaving[b], r.leaving[a]), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxAnnounced)]
}

// Forget drops the rests that are over, and servers that left a while ago and are not
// listed any more.
func (r *Register) Expire(now time.Duration, listed func(Incarnation) bool) {
	maps.DeleteFunc(r.backoffs, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(r.leaving, func(l Incarnation, at time.Duration) bool { return now-at > retention && !listed(l) })
}
