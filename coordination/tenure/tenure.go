// Package tenure decides which daemon leads. A term is the number of a record that a daemon
// appended to the topic of terms on condition that the end of the topic was still the one it had
// read. So each term has one holder, and terms only increase. A holder renews its lease by
// heartbeats; by its own clock it stops leading before another daemon may follow.
//
// When the store comes back from a copy, a new era begins: the newest records of the topic may be
// gone, and their offsets are given out again. The terms of an era are above those of all earlier
// ones.
package tenure

import "time"

// Timeouts are the durations that all daemons must agree on. LeaseDuration is how long a heartbeat
// lets its sender lead, counted from before it was sent. ElectionTimeout is how long a daemon waits
// after the last sign of the holder before it claims the next term. It exceeds LeaseDuration by an
// allowance for clock drift and for orders in transit.
type Timeouts struct {
	LeaseDuration   time.Duration
	ElectionTimeout time.Duration
}

// A Candidate tracks the terms on behalf of one daemon. A zero Candidate with its Timeouts set has
// observed nothing yet. It is not safe for concurrent use.
type Candidate struct {
	Timeouts Timeouts

	known bool
	// era is that of the store, and end the end of the topic in it, as the term of its last record.
	era         int64
	end         int64
	term        int64
	seenAt      time.Duration
	claimable   bool
	leaseExpiry time.Duration
}

// termsPerEra is the number of terms that an era of the store may have: at one a second, for weeks. Terms stay below 2^33
// for 2,000 eras.
const termsPerEra = 1 << 22

// firstEra is the era of a store that has never come back from a copy, as the platform counts them.
const firstEra = 2

// eraBase returns the term below the first one of an era. The first era and stores that name none have the plain numbers
// of records as terms, as builds that know no eras do.
func eraBase(era int64) int64 { return max(era-firstEra, 0) * termsPerEra }

// termBase returns the term below the first one of the era of term.
func termBase(term int64) int64 { return term / termsPerEra * termsPerEra }

// ObserveEra records the era of the store, 0 if it is unknown. The end of the topic in a later era is unknown until it has
// been read there. A lease that this daemon holds then ends, unless it claims a term of the new era in time.
func (c *Candidate) ObserveEra(era int64) {
	if era <= c.era {
		return
	}
	if c.era != 0 {
		c.known, c.claimable = false, false
	}
	c.era = era
}

// ObserveEnd records the end of the topic of terms, read at now in the era that was last observed.
func (c *Candidate) ObserveEnd(now time.Duration, end int64) {
	// Nobody else may claim a term of the new era while a lease of an earlier one runs.
	term, keep := c.term, !c.known && c.outdated() && now < c.leaseExpiry
	if c.observeTerm(now, eraBase(c.era)+end); keep {
		c.term = term
	}
}

// observeTerm records that the newest term is at least end.
func (c *Candidate) observeTerm(now time.Duration, end int64) {
	if c.known && end <= c.end {
		return
	}
	// A term observed for the first time may only just have been claimed.
	c.known, c.end, c.seenAt, c.term, c.claimable = true, end, now, 0, end == 0
}

// ObserveHeartbeat records a heartbeat of the holder of term, seen at now. When a holder has
// resigned, others may claim the next term at once. The holder of a term of an earlier era may still lead.
func (c *Candidate) ObserveHeartbeat(now time.Duration, term int64, resigned bool) {
	if term < c.end || term == 0 {
		if term != 0 && !resigned && termBase(term) < termBase(c.end) {
			c.seenAt = now
		}
		return
	}
	if termBase(term) > eraBase(c.era) {
		c.ObserveEra(term/termsPerEra + firstEra)
	}
	c.observeTerm(now, term)
	c.seenAt, c.claimable = now, resigned
}

// ClaimRejected records that the append of a claim failed because the topic had another end.
func (c *Candidate) ClaimRejected(now time.Duration, end int64) {
	c.observeTerm(now, max(eraBase(c.era)+end, c.end+1))
}

// ClaimAccepted records that the claim at the end of the topic, sent at sentAt, was accepted.
func (c *Candidate) ClaimAccepted(sentAt time.Duration) {
	c.end++
	c.term, c.claimable, c.leaseExpiry = c.end, false, sentAt+c.Timeouts.LeaseDuration
	c.seenAt = sentAt
}

// Renew records that the store accepted this daemon's heartbeat for term, sent at sentAt. The lease
// is only extended if that is known at now, before it ends: a daemon that claimed the next term
// meanwhile may not have seen a heartbeat that was accepted later.
func (c *Candidate) Renew(now, sentAt time.Duration, term int64) {
	if term != 0 && term == c.term && now < c.leaseExpiry {
		c.leaseExpiry = max(c.leaseExpiry, sentAt+c.Timeouts.LeaseDuration)
	}
}

// Superseded records that a server refused an order at now because it had received one of a later
// holder. It ends this daemon's term, and waits an election timeout for a heartbeat of the later
// holder.
func (c *Candidate) Superseded(now time.Duration) {
	c.leaseExpiry, c.term, c.claimable, c.seenAt = 0, 0, false, now
}

// Resign ends this daemon's lease.
func (c *Candidate) Resign() { c.leaseExpiry = 0 }

// Leads returns the term that this daemon holds, and whether it leads at now.
func (c *Candidate) Leads(now time.Duration) (int64, bool) {
	return c.term, c.term != 0 && now < c.leaseExpiry
}

// LeaseExpiry returns when this daemon stops leading unless a heartbeat is accepted before.
func (c *Candidate) LeaseExpiry() time.Duration { return c.leaseExpiry }

// LeaderSeenAt returns when the last sign of the holder was seen.
func (c *Candidate) LeaderSeenAt() time.Duration { return c.seenAt }

// outdated returns whether this daemon's term is of an earlier era.
func (c *Candidate) outdated() bool { return termBase(c.term) < eraBase(c.era) }

// ClaimableOffset returns the end of the topic, and whether this daemon may claim a term there at
// now: because nobody holds one, or the holder has resigned, has not been seen for longer than the
// election timeout, or was this daemon itself. All heartbeats up to readAt have been observed: it
// is when the last successful read of them was sent.
func (c *Candidate) ClaimableOffset(now, readAt time.Duration) (int64, bool) {
	if !c.known {
		return 0, false
	}
	offset := c.end - eraBase(c.era)
	if _, leads := c.Leads(now); leads {
		// No other daemon may lead while the lease of the earlier era runs.
		return offset, c.outdated()
	}
	return offset, c.claimable || c.term != 0 || readAt-c.seenAt > c.Timeouts.ElectionTimeout
}
