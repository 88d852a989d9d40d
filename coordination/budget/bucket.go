package budget

import "time"

// A Bucket lets Rate events a second pass, and Burst at once. It is not safe for
// concurrent use.
type Bucket struct {
	Rate  float64
	Burst float64

	spent float64
	at    time.Duration
}

// Take returns whether one event may pass at now, and counts it if so.
func (b *Bucket) Take(now time.Duration) bool {
	b.spent = max(0, b.spent-b.Rate*(now-b.at).Seconds())
	b.at = now
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// ColdShare returns the rate and burst of one of daemons daemons, so that all of
// them together send a cold server no more than perSecond in any second.
func ColdShare(perSecond float64, daemons int) (rate, burst float64) {
	share := perSecond / float64(max(daemons, 1))
	if share < 2 {
		return share / 2, min(1, share/2+0.5)
	}
	burst = float64(int(share / 2))
	return share - burst, burst
}
