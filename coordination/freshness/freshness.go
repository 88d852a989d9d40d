// Package freshness decides whether a daemon's view is recent enough to send new work. A view is
// fresh while the log, or a peer that has read the log, has confirmed it recently. While no live
// daemon can read the log no change can be accepted, so a daemon that receives heartbeats from
// most of the others keeps serving on the view that it has.
package freshness

import "time"

// Bounds are the limits of freshness. MaxAge is how old the last confirmation of the view may be.
// PeerTimeout is how long a silent peer counts as alive.
type Bounds struct {
	MaxAge      time.Duration
	PeerTimeout time.Duration
}

// A Mode is the reason why a daemon may send new work, or why it may not.
type Mode string

// The modes of a daemon. It sends new work in ModeFresh and in ModeOutage, and none in
// ModeIsolated.
const (
	ModeFresh    Mode = "fresh"
	ModeOutage   Mode = "log_outage"
	ModeIsolated Mode = "isolated"
)

// A Peer is the state of another daemon by its last heartbeat. LastSeen and ConfirmedAt are on the
// clock of the receiver; ConfirmedAt is when the peer's view was last confirmed. LogDown means
// that the peer cannot read the log.
type Peer struct {
	LastSeen    time.Time
	ConfirmedAt time.Time
	Offset      uint64
	LogDown     bool
}

// A State is what one daemon has received from the log and its peers. Offset is the configuration
// offset that it has applied, and ConfirmedAt when it last read the log to the end.
type State struct {
	Offset      uint64
	ConfirmedAt time.Time
	LogDown     bool
	Peers       map[string]Peer
}

// LastConfirmed returns the latest instant at which the view at s.Offset was confirmed to be
// complete, by the log or by a peer whose offset is not higher.
func (s State) LastConfirmed() time.Time {
	latest := s.ConfirmedAt
	for _, p := range s.Peers {
		if p.Offset <= s.Offset && p.ConfirmedAt.After(latest) {
			latest = p.ConfirmedAt
		}
	}
	return latest
}

// Until returns the mode at now and the instant until which new work may be sent unless the state
// changes. The instant is not after now in ModeIsolated.
func (s State) Until(now time.Time, b Bounds) (Mode, time.Time) {
	fresh := s.LastConfirmed().Add(b.MaxAge)
	if now.Before(fresh) {
		return ModeFresh, fresh
	}
	if until, ok := s.outage(now, b); ok {
		return ModeOutage, until
	}
	return ModeIsolated, fresh
}

// outage returns whether this is a log outage, and until when that is known. In a log outage
// neither this daemon nor any live peer can read the log, no live peer has a higher offset, and
// the live daemons are a majority of all. A daemon without peers, or whose view was never
// confirmed, does not count any state as an outage.
func (s State) outage(now time.Time, b Bounds) (time.Time, bool) {
	if !s.LogDown || len(s.Peers) == 0 || s.LastConfirmed().IsZero() {
		return time.Time{}, false
	}
	live := 1
	until := now.Add(b.PeerTimeout)
	for _, p := range s.Peers {
		expiry := p.LastSeen.Add(b.PeerTimeout)
		if !now.Before(expiry) {
			continue
		}
		if !p.LogDown || p.Offset > s.Offset {
			return time.Time{}, false
		}
		live++
		if expiry.Before(until) {
			until = expiry
		}
	}
	return until, 2*live > len(s.Peers)+1
}
