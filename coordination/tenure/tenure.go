// Package tenure decides which daemon leads. A term is the offset of a record
// that a daemon appended under the condition that it knew the end of the topic, so
// that each term has one holder and terms rise for ever. A holder proves by its
// heartbeats that it lives; it stops by its own clock before another may follow.
package tenure

import "time"

// Timeouts are the times that all daemons agree on. Hold is how long a heartbeat of
// the holder lets it lead, counted from before it was sent. ElectionTimeout is how long a
// daemon waits after what it last saw of the holder; it is longer than LeaseDuration by
// what clocks may drift and orders may be on their way.
type Timeouts struct {
	LeaseDuration   time.Duration
	ElectionTimeout time.Duration
}

// A Candidate follows the terms for one daemon. The zero Candidate with Timeouts
// knows nothing yet. It is not safe for concurrent use.
type Candidate struct {
	Timeouts Timeouts

	known  bool
	end    int64
	term   int64
	seenAt time.Duration
	free   bool
	until  time.Duration
}

// ObserveEnd takes the end of the topic of terms, read at now.
func (c *Candidate) ObserveEnd(now time.Duration, end int64) {
	if c.known && end <= c.end {
		return
	}
	// A term that begins or is first heard of may just have been taken.
	c.known, c.end, c.seenAt, c.term, c.free = true, end, now, 0, end == 0
}

// ObserveHeartbeat takes a heartbeat of the holder of term, seen at now. A holder that
// resigns lets others follow at once.
func (c *Candidate) ObserveHeartbeat(now time.Duration, term int64, resigned bool) {
	if term < c.end || term == 0 {
		return
	}
	c.ObserveEnd(now, term)
	c.seenAt, c.free = now, resigned
}

// ClaimRejected takes that the append of a claim failed because the topic had another end.
func (c *Candidate) ClaimRejected(now time.Duration, end int64) { c.ObserveEnd(now, max(end, c.end+1)) }

// ClaimAccepted takes that the claim at the end, sent at sent, was accepted.
func (c *Candidate) ClaimAccepted(sent time.Duration) {
	c.end++
	c.term, c.free, c.until = c.end, false, sent+c.Timeouts.LeaseDuration
	c.seenAt = sent
}

// Renew takes that a heartbeat of this daemon's own, sent at sent with term, was
// taken by the store. It must be known at now, before the hold ends: one that is
// taken later may have been missed by a daemon that claimed meanwhile.
func (c *Candidate) Renew(now, sent time.Duration, term int64) {
	if term != 0 && term == c.term && now < c.until {
		c.until = max(c.until, sent+c.Timeouts.LeaseDuration)
	}
}

// Superseded takes that a server refused an order at now because it had one of a later
// holder. The term is over here, and whoever holds the later one is given time to be
// heard.
func (c *Candidate) Superseded(now time.Duration) {
	c.until, c.term, c.free, c.seenAt = 0, 0, false, now
}

// Resign gives up the lead.
func (c *Candidate) Resign() { c.until = 0 }

// Leads returns the term under which this daemon leads at now.
func (c *Candidate) Leads(now time.Duration) (int64, bool) {
	return c.term, c.term != 0 && now < c.until
}

// LeaseExpiry returns when this daemon stops to lead unless a heartbeat is taken.
func (c *Candidate) LeaseExpiry() time.Duration { return c.until }

// LeaderSeenAt returns when a sign of the holder was last seen.
func (c *Candidate) LeaderSeenAt() time.Duration { return c.seenAt }

// ClaimableOffset returns the end of the topic at which this daemon may claim a term at now:
// nobody holds one, the holder resigned, was silent for too long, or was this
// daemon itself. Heartbeats are known up to read, which is when the last read of
// them was sent that brought an answer.
func (c *Candidate) ClaimableOffset(now, read time.Duration) (int64, bool) {
	if !c.known {
		return 0, false
	}
	if _, leads := c.Leads(now); leads {
		return 0, false
	}
	return c.end, c.free || c.term != 0 || read-c.seenAt > c.Timeouts.ElectionTimeout
}
