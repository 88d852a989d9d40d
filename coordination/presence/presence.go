// Package presence decides from heartbeats which daemons count as alive, and for how long.
//
// The store keeps the newest heartbeat of each daemon, also of those that ended long ago, and heartbeats have no time that
// two daemons could compare. How many others were written since does not tell the time either: with hundreds of daemons,
// each writes one a minute. What bounds the age of a heartbeat is an earlier read: a heartbeat below the end of that read
// was known then, and one above it has been written since that read was sent.
package presence

import "time"

// A Read is an update of a copy of all daemons' heartbeats.
type Read struct {
	// Listing means that the update holds the newest heartbeat of each daemon, not those that follow the copy.
	Listing bool
	// Comparable means that there was a copy with offsets of the same era of the store. EndBefore is the end of that copy,
	// and PreviousAt is when the read was sent that returned its latest heartbeats.
	Comparable bool
	EndBefore  int64
	PreviousAt time.Duration
	// End is the offset after the last heartbeat, and Round the number of heartbeats that all daemons write in the
	// interval of one.
	End   int64
	Round int64
}

// A Sign is what a heartbeat shows of its daemon.
type Sign int

const (
	// Undated is a heartbeat of unknown age: its daemon may be alive.
	Undated Sign = iota
	// New is a heartbeat that was written since the read before.
	New
	// Repeated is a heartbeat that the copy held before, or a later one of its daemon. It shows nothing.
	Repeated
	// Outdated is a heartbeat of a daemon that has missed several.
	Outdated
)

// maxMissedRounds is the number of rounds of heartbeats that a listed daemon may have missed.
const maxMissedRounds = 3

// Sign returns what the heartbeat at an offset shows.
func (r Read) Sign(offset int64) Sign {
	switch {
	case !r.Listing:
		return New
	case r.Comparable && offset < r.EndBefore:
		return Repeated
	case r.Comparable:
		return New
	case r.End-offset > maxMissedRounds*r.Round:
		return Outdated
	}
	return Undated
}

// Timeouts are the times that a daemon counts as alive.
type Timeouts struct {
	// Alive is how long a daemon counts as alive after it was last seen, and Undated how long it does so by a sign of
	// unknown age.
	Alive   time.Duration
	Undated time.Duration
	// Lag is how long a heartbeat may take until it is read without counting as older than its arrival. A daemon that has
	// ended counts as alive for at most Alive and Lag, unless heartbeats cannot be read for longer than both less Outage.
	Lag time.Duration
	// Outage is how long a daemon counts as alive after heartbeats could not be read for a while, unless a sign follows.
	Outage time.Duration
}

// SeenAt returns when a daemon counts as last seen by a new heartbeat that r returned at now.
func (t Timeouts) SeenAt(now time.Duration, r Read) time.Duration {
	return min(now, t.SeenAfterOutage(now, r.PreviousAt+t.Lag))
}

// SeenAtUndated returns when a daemon counts as last seen by a sign of unknown age at now.
func (t Timeouts) SeenAtUndated(now time.Duration) time.Duration { return now - t.Alive + t.Undated }

// SeenAfterOutage returns when a daemon that was last seen at seenAt counts as last seen if an outage ends at now.
func (t Timeouts) SeenAfterOutage(now, seenAt time.Duration) time.Duration {
	return max(seenAt, now-t.Alive+t.Outage)
}

// Expired returns whether a daemon that was last seen at seenAt no longer counts as alive at now.
func (t Timeouts) Expired(now, seenAt time.Duration) bool { return now-seenAt > t.Alive }
