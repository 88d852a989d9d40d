package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// storeAway is how long reads must have failed for the store to count as having
	// been away.
	storeAway = 2500 * time.Millisecond
	// lapsedGrace is how long entries that lapsed while the store was away have to
	// come back, by the platform's pages.
	lapsedGrace = 2500 * time.Millisecond
	// silentHeartbeats is how many heartbeats of a server must be missing when its entry
	// is removed for it to count as cut off from the store, not as leaving: an entry
	// lapses after three, and the list lags by less than one.
	silentHeartbeats = 2
	// reportHolds is how long the list may lag behind what a server said itself: the lag by
	// the platform's pages, a read, and the way through two hubs.
	reportHolds = 1500 * time.Millisecond
	// silentFor bounds how long a member of a replica may be cut off from the store.
	silentFor = 10 * time.Second
)

// An entry is one server as it is listed. ColdUntil is on the boot clock.
type entry struct {
	server    site.Server
	offset    int64
	coldUntil time.Duration
	// last is the model of the last replica of its life.
	last string
	// goneAt is when an entry ends that lapsed while the store was away or its server
	// was cut off from it; zero if it is listed.
	goneAt time.Duration
	// reportedAt is when the membership was last learned first-hand, before the list showed it.
	reportedAt time.Duration
	// silent means that the server is a member of a replica and seems to be cut off from
	// the store: its entry lapsed although it did not leave.
	silent bool
}

// A roster is the list of servers as this daemon has read it. The zero roster is
// empty.
type roster struct {
	entries    map[string]entry
	removed    map[string]int64
	graceUntil time.Duration
}

// storeReturned lets entries that lapsed meanwhile come back.
func (r *roster) storeReturned(now time.Duration) { r.graceUntil = now + lapsedGrace }

// put takes the entry of s and returns whether anything but its sequence changed.
// A life that is first seen is cold for coldFor.
func (r *roster) put(now time.Duration, offset int64, s site.Server, coldFor time.Duration) bool {
	if r.entries == nil {
		r.entries = make(map[string]entry)
		r.removed = make(map[string]int64)
	}
	old, known := r.entries[s.ID]
	if known && offset <= old.offset || offset < r.removed[s.ID] {
		return false
	}
	if known && (s.Born < old.server.Born || s.Born == old.server.Born && s.Sequence < old.server.Sequence) {
		// An entry that was held up on its way.
		return false
	}
	e := entry{server: s, offset: offset, coldUntil: old.coldUntil}
	if !known || old.server.Born != s.Born {
		e.coldUntil = now + coldFor
	} else {
		e.last = old.last
		if old.reportedAt != 0 && now-old.reportedAt < reportHolds && follows(old.server.Member, s.Member) {
			// The list lags behind what the server said itself.
			e.reportedAt, e.server.Member = old.reportedAt, old.server.Member
			s.Member = e.server.Member
		}
	}
	if s.Member.State != site.Unassigned {
		e.last = formation.ModelOf(s.Member.Group)
	}
	if s.ColdFor > 0 {
		e.coldUntil = max(e.coldUntil, now+s.ColdFor)
	}
	r.entries[s.ID] = e
	return !known || old.goneAt != 0 || !same(old.server, s) || e.coldUntil != old.coldUntil
}

// report takes the membership of a life of a server as it is known first-hand, and returns
// whether that is news.
func (r *roster) report(now time.Duration, id string, born int64, m site.Membership) bool {
	e, ok := r.entries[id]
	if !ok || e.server.Born != born || !follows(m, e.server.Member) {
		// What was asked for before the list showed more is not news.
		return false
	}
	e.server.Member, e.reportedAt = m, now
	if m.State != site.Unassigned {
		e.last = formation.ModelOf(m.Group)
	}
	r.entries[id] = e
	return true
}

// follows returns whether a server was in b before it was in a, as far as that can be told.
func follows(a, b site.Membership) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.State > b.State
}

// leave notes that a life of a server leaves although the list does not show it yet, and
// returns whether that is news.
func (r *roster) leave(id string, born int64) bool {
	e, ok := r.entries[id]
	if !ok || e.server.Born != born || e.server.Draining {
		return false
	}
	e.server.Draining = true
	r.entries[id] = e
	return true
}

// returns returns whether s is a server whose entry had lapsed or was removed.
func (r *roster) returns(s site.Server) bool {
	e, known := r.entries[s.ID]
	_, removed := r.removed[s.ID]
	return known && e.goneAt != 0 || !known && removed
}

// same returns whether two entries say the same but for their sequence.
func same(a, b site.Server) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Draining == b.Draining && a.Born == b.Born && a.Member == b.Member &&
		a.FailureDomain == b.FailureDomain && a.FabricDomain == b.FabricDomain && a.ColdFor == b.ColdFor &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged)
}

// remove takes the removal of an entry and returns whether that changed the list.
// heartbeat is the time between two entries of a server, zero if it is not known.
func (r *roster) remove(now time.Duration, record relay.Record, heartbeat time.Duration) bool {
	e, ok := r.entries[record.Key]
	if r.removed != nil {
		r.removed[record.Key] = record.Offset
	}
	if !ok || record.Offset <= e.offset || e.silent {
		return false
	}
	if now < r.graceUntil && !e.server.Draining {
		e.goneAt = r.graceUntil
		r.entries[record.Key] = e
		return false
	}
	if e.cutOff(record.Idle, heartbeat) {
		e.goneAt, e.silent, e.offset = now+silentFor, true, record.Offset
		r.entries[record.Key] = e
		return true
	}
	delete(r.entries, record.Key)
	return true
}

// cutOff returns whether the entry of a member of a replica, removed after it was idle
// for a time, lapsed because its server is cut off from the store. One that leaves, also
// without a word, has written lately.
func (e entry) cutOff(idle, heartbeat time.Duration) bool {
	member := e.server.Member.State >= site.Ready && e.server.Member.State != site.Broken
	return member && !e.server.Draining && heartbeat > 0 && idle >= silentHeartbeats*heartbeat
}

// forget drops the entry of a server that is cut off from the store and does not
// answer, and returns whether there was one.
func (r *roster) forget(id string) bool {
	e, ok := r.entries[id]
	if ok && e.silent {
		delete(r.entries, id)
	}
	return ok && e.silent
}

// reset drops the entries that news of all newest records do not hold.
func (r *roster) reset(now time.Duration, news relay.Update) {
	listed := make(map[string]bool, len(news.Records))
	for _, record := range news.Records {
		listed[record.Key] = true
	}
	for id, e := range r.entries {
		if !listed[id] {
			r.remove(now, relay.Record{Key: id, Offset: max(news.End, e.offset+1)}, 0)
		}
	}
}

// expire drops the entries that did not come back, and returns whether there were
// any.
func (r *roster) expire(now time.Duration) bool {
	n := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, e entry) bool { return e.goneAt != 0 && now >= e.goneAt })
	return len(r.entries) != n
}

// all returns the entries in the order of their ids.
func (r *roster) all() []entry {
	out := make([]entry, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		out = append(out, r.entries[id])
	}
	return out
}
