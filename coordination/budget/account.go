package budget

import (
	"math"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

const (
	// limitUse is the share of its limit that a server is sent, so that daemons which see the fleet differently for
	// a moment stay within it.
	limitUse = 0.9
	// sendersPerLimit is the number of daemons that share the limit of a server for each request a second of it. Each may
	// send one request at once after a pause, so that these are less than the requests of two seconds.
	sendersPerLimit = 2
	// minLimitRate is the least rate of requests to a limited server, in requests a second: one at a time shows whether
	// the limit still holds.
	minLimitRate = 0.25
)

// Terms are the bounds that apply to a server at a moment. The zero value has none.
type Terms struct {
	// ColdPerSecond is what all daemons together may send in any second to a server that is cold, zero to one that is not.
	ColdPerSecond float64
	// Limited means that the server named Limit, the requests a second that it takes from all daemons together.
	Limited bool
	Limit   float64
}

// A Sender is one of the daemons that may send to a server. Members are all of them, and Daemons is how many may be
// sending, with those that are not known by name.
type Sender struct {
	Name    string
	Members []string
	Daemons int
}

// An Account is what one daemon may send to one server, and has sent there. The zero value is that of a server
// without bounds. It is not safe for concurrent use.
type Account struct {
	cold, limit Bucket
	limited     bool
	// shares is whether the daemon shares the limit, for the members and the number of senders that it was found for.
	shares  bool
	members *string
	count   int
	senders int
}

// Admits returns whether s may send one more request to server on the terms t at now. If it may not, the duration is
// the time until it or another daemon may, zero if that is not known.
func (a *Account) Admits(now time.Duration, server string, t Terms, s Sender) (time.Duration, bool) {
	if t.ColdPerSecond > 0 {
		if !MaySendToCold(s.Name, server, s.Members) {
			return 0, false
		}
		a.cold.Rate, a.cold.Burst = ColdShare(t.ColdPerSecond, s.Daemons)
		if trial := a.cold; !trial.Allow(now) {
			return 0, false
		}
	}
	a.applyLimit(now, server, t, s)
	if !t.Limited {
		return 0, true
	}
	if !a.sharesLimit(server, t, s) {
		return time.Duration(float64(time.Second) / max(t.Limit, minLimitRate)), false
	}
	wait := a.limit.Wait(now)
	return wait, wait == 0
}

// Charge counts a request of s to server, whatever it is for, also one that Admits would not allow.
func (a *Account) Charge(now time.Duration, server string, t Terms, s Sender) {
	a.applyLimit(now, server, t, s)
	if t.ColdPerSecond > 0 {
		a.cold.Rate, a.cold.Burst = ColdShare(t.ColdPerSecond, s.Daemons)
		a.cold.Take(now)
	}
	if t.Limited {
		a.limit.Take(now)
	}
}

// applyLimit sets the rate of the bucket of the limit. It begins with part of a request, a different one at each daemon,
// so that they do not all send one at the same time.
func (a *Account) applyLimit(now time.Duration, server string, t Terms, s Sender) {
	if !t.Limited {
		a.limited = false
		return
	}
	a.limit.Rate, a.limit.Burst = LimitShare(t.Limit, len(s.Members)), 1
	if !a.limited {
		a.limited = true
		a.limit.used, a.limit.at = float64(rendezvous.Weight(s.Name, server))/math.MaxUint64, now
	}
}

// sharesLimit returns whether s is one of the daemons that share the limit of server. Members is not changed in place.
func (a *Account) sharesLimit(server string, t Terms, s Sender) bool {
	senders := LimitSenders(t.Limit, len(s.Members))
	if len(s.Members) == 0 {
		return true
	}
	if first := &s.Members[0]; a.members != first || a.count != len(s.Members) || a.senders != senders {
		a.members, a.count, a.senders = first, len(s.Members), senders
		a.shares = rendezvous.Among(s.Name, server, s.Members, senders)
	}
	return a.shares
}

// LimitSenders returns how many of members daemons share the limit of a server, in requests a second.
func LimitSenders(limit float64, members int) int {
	return int(min(max(math.Ceil(sendersPerLimit*limit), 1), float64(max(members, 1))))
}

// LimitShare returns the rate at which each of the daemons that share a limit may send to the server.
func LimitShare(limit float64, members int) float64 {
	return max(limitUse*limit, minLimitRate) / float64(LimitSenders(limit, members))
}
