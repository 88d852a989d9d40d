// Package notice keeps the notices that backend servers send about themselves in their answers:
// that they are leaving, or that they ask for a backoff. Notices arrive before the list of servers
// shows the change, and also while that list cannot be read.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An Incarnation is one run of a backend server, from start to stop. Born is its start time in
// Unix milliseconds.
type Incarnation struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
}

// A Notice is what a backend server reports about itself in an answer.
type Notice struct {
	// Leaving means that the server is about to stop.
	Leaving bool
	// Backoff is how long the server asks to get no requests; zero if it does not ask.
	Backoff time.Duration
}

const (
	// MaxBackoff is the limit for the backoff of a server, longer than any request waits. A larger
	// value is treated as a mistake of the server and reduced to this.
	MaxBackoff = 30 * time.Second
	// announceDuration is how long a daemon announces a leaving server to its peers: for several
	// statuses, and long enough to reach a daemon that was cut off for a few seconds.
	announceDuration = 10 * time.Second
	// maxAnnounced is the limit for the leaving servers in one status.
	maxAnnounced = 64
	// retention is how long a leaving server is kept after the notice if it is no longer listed:
	// longer than a lapsed entry takes to reappear after an outage of the store.
	retention = time.Minute
)

// A Register holds notices. The zero Register is empty and ready to use. It is not safe for
// concurrent use.
type Register struct {
	leaving  map[Incarnation]time.Duration
	backoffs map[string]time.Duration
}

// Record records a notice of a server, and returns whether it is the first one to report that
// this incarnation is leaving.
func (r *Register) Record(now time.Duration, l Incarnation, n Notice) bool {
	if n.Backoff > 0 {
		if r.backoffs == nil {
			r.backoffs = make(map[string]time.Duration)
		}
		r.backoffs[l.Server] = max(r.backoffs[l.Server], now+min(n.Backoff, MaxBackoff))
	}
	return n.Leaving && r.recordLeaving(now, l)
}

// Merge records the leaving servers that a peer announced, and returns those not recorded before.
func (r *Register) Merge(now time.Duration, incarnations []Incarnation) []Incarnation {
	return slices.DeleteFunc(slices.Clone(incarnations), func(l Incarnation) bool { return !r.recordLeaving(now, l) })
}

// recordLeaving records that l is leaving and returns whether this was not recorded before.
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

// Leaving returns whether an incarnation of a server is leaving.
func (r *Register) Leaving(l Incarnation) bool {
	_, leaving := r.leaving[l]
	return leaving
}

// Backoff returns the remaining backoff of a server, zero if it accepts requests.
func (r *Register) Backoff(now time.Duration, server string) time.Duration {
	return max(r.backoffs[server]-now, 0)
}

// Announcements returns the leaving servers to announce to peers, the most recently recorded
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

// Expire drops the backoffs that have ended, and the leaving servers that were recorded longer
// than retention ago and are no longer listed.
func (r *Register) Expire(now time.Duration, listed func(Incarnation) bool) {
	maps.DeleteFunc(r.backoffs, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(r.leaving, func(l Incarnation, at time.Duration) bool { return now-at > retention && !listed(l) })
}
