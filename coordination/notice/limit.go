package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxLimits bounds the limits that are kept: those of all servers of a fleet of thousands.
	maxLimits = 4096
	// toldMargin is how much later than an own answer another daemon must have learned that a limit ended, as
	// messages take time.
	toldMargin = time.Second
)

// A Limit is how many requests a second an incarnation of a server takes from all daemons together, as a daemon
// learned Age ago. Ended means that the server no longer names a limit.
type Limit struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	PerSecond   float64
	Ended       bool
	Age         time.Duration
}

// A knownLimit is the latest that is known of the limit of a server, learned at a time.
type knownLimit struct {
	perSecond float64
	ended     bool
	at        time.Duration
	// version is that of the change that made it so.
	version int
}

// Limits holds the limits that servers name in their answers. The zero value is empty and ready to use. It is not safe
// for concurrent use.
type Limits struct {
	known   map[Incarnation]knownLimit
	version int
}

// Named records that an answer, which arrived at now to a request sent at sentAt, named a limit, and returns whether
// that is a change. Of answers that may have overtaken each other, the lower limit counts.
func (l *Limits) Named(now, sentAt time.Duration, server Incarnation, perSecond float64) bool {
	old, known := l.known[server]
	if known && !old.ended && sentAt < old.at {
		perSecond = min(perSecond, old.perSecond)
	}
	return l.set(server, knownLimit{perSecond: perSecond, at: now})
}

// NotNamed records that an answer, which arrived at now to a request sent at sentAt, named no limit, and returns
// whether that ends one. An answer to a request that was sent before the limit was named proves nothing.
func (l *Limits) NotNamed(now, sentAt time.Duration, server Incarnation) bool {
	old, known := l.known[server]
	if !known || old.ended || sentAt < old.at {
		return false
	}
	return l.set(server, knownLimit{ended: true, at: now})
}

// Merge records limits that another daemon learned, and returns whether any of them is new here. Those with numbers
// that no server names are ignored.
func (l *Limits) Merge(now time.Duration, limits []Limit) bool {
	changed := false
	for _, m := range limits {
		if !(m.PerSecond >= 0 && m.PerSecond <= MaxLimit) || m.Age < 0 {
			continue
		}
		old, known := l.known[m.Incarnation]
		at := now - m.Age
		if m.Ended {
			at -= toldMargin
		}
		if known && old.at >= at {
			continue
		}
		changed = l.set(m.Incarnation, knownLimit{perSecond: m.PerSecond, ended: m.Ended, at: now - m.Age}) || changed
	}
	return changed
}

// set records k as the latest that is known of a server, and returns whether it differs from what was known.
func (l *Limits) set(server Incarnation, k knownLimit) bool {
	old, known := l.known[server]
	if !known && (k.ended || len(l.known) >= maxLimits) {
		return false
	}
	if l.known == nil {
		l.known = make(map[Incarnation]knownLimit)
	}
	changed := !known || old.ended != k.ended || old.perSecond != k.perSecond
	k.version = old.version
	if changed {
		l.version++
		k.version = l.version
	}
	l.known[server] = k
	return changed
}

// Of returns the limit that an incarnation of a server names.
func (l *Limits) Of(server Incarnation) (perSecond float64, limited bool) {
	k, known := l.known[server]
	return k.perSecond, known && !k.ended
}

// Since returns what has changed after the given version, zero for all that is known, and the present version.
func (l *Limits) Since(now time.Duration, version int) ([]Limit, int) {
	var out []Limit
	for server, k := range l.known {
		if k.version > version {
			out = append(out, Limit{Incarnation: server, PerSecond: k.perSecond, Ended: k.ended, Age: max(now-k.at, 0)})
		}
	}
	slices.SortFunc(out, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Incarnation.Server, b.Incarnation.Server), cmp.Compare(a.Incarnation.Born, b.Incarnation.Born))
	})
	return out, l.version
}

// Expire drops the limits of incarnations that are no longer listed and of which nothing was learned for retention.
func (l *Limits) Expire(now time.Duration, listed func(Incarnation) bool) {
	maps.DeleteFunc(l.known, func(server Incarnation, k knownLimit) bool { return now-k.at > retention && !listed(server) })
}

// MaxLimit is far beyond the requests a second that any server takes.
const MaxLimit = 1e9
