package claim

import "time"

// A Resolution is what became of a claim that was read back. Won means that the
// request may be sent; Standing is the record that stands for the key.
type Resolution struct {
	ID      ID
	Won     bool
	Current Record
}

// A Claimant decides for one daemon which of its claims have won. Ready is set
// after the first read of the log, before which nothing can be claimed. SendWithin
// is how long after its claim a request may still be sent; it must be far shorter
// than the window of the table. It is not safe for concurrent use.
type Claimant struct {
	Daemon     string
	SendWithin time.Duration
	Table      Table
	Ready      bool

	pending map[ID]time.Time
}

// Claim returns the record to append for a claim of key at now, or the record
// that stands for the key already.
func (c *Claimant) Claim(now time.Time, id ID, key Key) (own Record, standing Record, taken bool) {
	if standing, taken = c.Table.Get(key); taken {
		return Record{}, standing, true
	}
	if c.pending == nil {
		c.pending = make(map[ID]time.Time)
	}
	c.pending[id] = now
	return Record{ID: id, Key: key, Daemon: c.Daemon, Status: StatusClaimed}, Record{}, false
}

// Cancel returns whether the claim was still waiting to be read back. It must then
// be abandoned on the log, after the claim itself.
func (c *Claimant) Cancel(id ID) bool {
	_, waiting := c.pending[id]
	delete(c.pending, id)
	return waiting
}

// Apply folds the records that the log took at the given time and returns what
// became of this daemon's claims. A claim that is read back too late to send is
// not won.
func (c *Claimant) Apply(now, at time.Time, records []Record) []Resolution {
	var out []Resolution
	c.Ready = true
	for _, r := range records {
		took := c.Table.Apply(at, r)
		claimed, mine := c.pending[r.ID]
		if !mine || r.Status != StatusClaimed {
			continue
		}
		delete(c.pending, r.ID)
		standing, _ := c.Table.Get(r.Key)
		out = append(out, Resolution{ID: r.ID, Won: took && now.Sub(claimed) < c.SendWithin, Current: standing})
	}
	return out
}
