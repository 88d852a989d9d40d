// Package freshness decides whether a daemon may give new work on the view that
// it has. A view is fresh while the log, or a peer that has read the log, has
// confirmed it lately. While no live daemon can read the log nobody can accept a
// change, and a daemon that hears from most of the others goes on.
package freshness

import "time"

// Bounds are the times that freshness is judged by. MaxAge is how old the last
// confirmation of the view may be. PeerTimeout is how long a silent peer counts
// as heard.
type Bounds struct {
	MaxAge      time.Duration
	PeerTimeout time.Duration
}

// A Mode tells on what ground a daemon gives new work, or why it does not.
type Mode string

// The modes of a daemon.
const (
	ModeFresh    Mode = "fresh"
	ModeOutage   Mode = "log_outage"
	ModeIsolated Mode = "isolated"
)

// A Peer is what a daemon last heard of another one. ConfirmedAt is the instant,
// on the clock of the receiver, at which the peer's view was last confirmed;
// LogDown means that the peer cannot read the log.
type Peer struct {
	LastSeen    time.Time
	ConfirmedAt time.Time
	Offset      uint64
	LogDown     bool
}

// A State is the evidence that one daemon has. Offset is the configuration
// offset up to which it has applied.
type State struct {
	Offset      uint64
	ConfirmedAt time.Time
	LogDown     bool
	Peers       map[string]Peer
}

// LastConfirmed returns the latest instant at which the view at s.Offset is
// known to have been complete, by the log or by a peer with the same offset.
func (s State) LastConfirmed() time.Time {
	latest := s.ConfirmedAt
	for _, p := range s.Peers {
		if p.Offset <= s.Offset && p.ConfirmedAt.After(latest) {
			latest = p.ConfirmedAt
		}
	}
	return latest
}

// Until returns the mode at now and the instant until which new work may be
// given without further evidence. The instant is not after now when isolated.
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

// outage returns until when most daemons are known to be without the log, with
// no peer known that reads it or is ahead.
func (s State) outage(now time.Time, b Bounds) (time.Time, bool) {
	if !s.LogDown || len(s.Peers) == 0 || s.LastConfirmed().IsZero() {
		return time.Time{}, false
	}
	heard := 1
	until := now.Add(b.PeerTimeout)
	for _, p := range s.Peers {
		expiry := p.LastSeen.Add(b.PeerTimeout)
		if !now.Before(expiry) {
			continue
		}
		if !p.LogDown || p.Offset > s.Offset {
			return time.Time{}, false
		}
		heard++
		if expiry.Before(until) {
			until = expiry
		}
	}
	return until, 2*heard > len(s.Peers)+1
}
