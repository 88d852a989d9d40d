package budget

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

// A Bucket lets Rate events a second pass, and Burst at once. It is not safe for
// concurrent use.
type Bucket struct {
	Rate  float64
	Burst float64

	used float64
	at   time.Duration
}

// Allow returns whether one event may pass at now, and counts it if so.
func (b *Bucket) Allow(now time.Duration) bool {
	b.used = max(0, b.used-b.Rate*(now-b.at).Seconds())
	b.at = now
	if b.used+1 > b.Burst {
		return false
	}
	b.used++
	return true
}

const (
	// maxColdSenders is the most daemons that send to one cold server. Where there are
	// more, each server has its own few, so that a share is worth something.
	maxColdSenders = 8
	// spareColdSenders is the number of daemons that may have come without being known.
	spareColdSenders = 2
)

// MaySendToCold returns whether self is one of the daemons of members that may send to
// a cold server.
func MaySendToCold(self, server string, members []string) bool {
	if len(members) <= maxColdSenders {
		return true
	}
	own, heavier := rendezvous.Weight(self, server), 0
	for _, m := range members {
		if m != self && rendezvous.Weight(m, server) > own {
			heavier++
		}
	}
	return heavier < maxColdSenders
}

// ColdShare returns the rate and burst of one of those that may send to a cold server
// where there are members daemons, so that all of them together send no more than
// perSecond in any second.
func ColdShare(perSecond float64, members int) (rate, burst float64) {
	share := perSecond / float64(min(max(members, 1), maxColdSenders)+spareColdSenders)
	if share < 2 {
		// One at once, and the rest of the share over time; below one there is no share.
		return max(share-1, 0), min(float64(int(share)), 1)
	}
	burst = float64(int(share / 2))
	return share - burst, burst
}
