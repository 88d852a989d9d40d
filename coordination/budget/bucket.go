package budget

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

// A Bucket is a token bucket that allows Rate events per second, and Burst at once. It is not
// safe for concurrent use.
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

// Take counts one event at now, whether or not it may pass.
func (b *Bucket) Take(now time.Duration) {
	b.used = max(0, b.used-b.Rate*(now-b.at).Seconds()) + 1
	b.at = now
}

// roundingError is the part of an event that the sum of many small parts may be off.
const roundingError = 1e-6

// Wait returns how long after now the next event may pass, zero if it may at once.
func (b *Bucket) Wait(now time.Duration) time.Duration {
	excess := max(0, b.used-b.Rate*(now-b.at).Seconds()) + 1 - b.Burst
	if excess <= roundingError {
		return 0
	}
	return max(time.Duration(excess/b.Rate*float64(time.Second)), 1)
}

const (
	// maxColdSenders bounds the daemons that send to one cold server. In larger deployments each
	// server has a subset of its own, so that the share of each sender is large enough to be of
	// use.
	maxColdSenders = 8
	// spareColdSenders is the number of shares reserved for new daemons that the others have not
	// counted yet.
	spareColdSenders = 2
)

// MaySendToCold returns whether self is one of the daemons of members that may send to a cold
// server.
func MaySendToCold(self, server string, members []string) bool {
	return rendezvous.Among(self, server, members, maxColdSenders)
}

// ColdShare returns the rate and burst of one sender to a cold server in a deployment of members
// daemons, so that all of them together send no more than perSecond in any second.
func ColdShare(perSecond float64, members int) (rate, burst float64) {
	share := perSecond / float64(min(max(members, 1), maxColdSenders)+spareColdSenders)
	if share < 2 {
		// A burst of one, and the rest of the share as rate; a share below one allows nothing.
		return max(share-1, 0), min(float64(int(share)), 1)
	}
	burst = float64(int(share / 2))
	return share - burst, burst
}
