package claim

import "time"

// A Resolution is the result of a claim that was read back. Won means that the request may be
// sent; Current is the current record of the key.
type Resolution struct {
	ID      ID
	Won     bool
	Current Record
}

// A Claimant tracks the pending claims of one daemon and decides which have won. Ready is set by
// the first read of the log; nothing may be claimed before it. SendWithin is how long after its
// claim a request may still be sent; it must be far shorter than the window of the table. A
// Claimant is not safe for concurrent use.
type Claimant struct {
	Daemon     string
	SendWithin time.Duration
	Table      Table
	Ready      bool

	pending map[ID]time.Time
}

// Claim returns the record to append for a claim of key at now, or the current record if the key
// is taken already.
func (c *Claimant) Claim(now time.Time, id ID, key Key) (own Record, current Record, taken bool) {
	if current, taken = c.Table.Get(key); taken {
		return Record{}, current, true
	}
	if c.pending == nil {
		c.pending = make(map[ID]time.Time)
	}
	c.pending[id] = now
	return Record{ID: id, Key: key, Daemon: c.Daemon, Status: StatusClaimed}, Record{}, false
}

// Cancel cancels a claim and returns whether it was still pending, that is, not yet read back.
// If it was, the caller must append an abandonment to the log, after the claim itself.
func (c *Claimant) Cancel(id ID) bool {
	_, pending := c.pending[id]
	delete(c.pending, id)
	return pending
}

// Apply applies the records that were appended to the log at the given time and returns the
// results of this daemon's claims. A claim that is read back later than SendWithin is not won.
func (c *Claimant) Apply(now, at time.Time, records []Record) []Resolution {
	var out []Resolution
	c.Ready = true
	for _, r := range records {
		applied := c.Table.Apply(at, r)
		claimedAt, own := c.pending[r.ID]
		if !own || r.Status != StatusClaimed {
			continue
		}
		delete(c.pending, r.ID)
		current, _ := c.Table.Get(r.Key)
		out = append(out, Resolution{ID: r.ID, Won: applied && now.Sub(claimedAt) < c.SendWithin, Current: current})
	}
	return out
}
