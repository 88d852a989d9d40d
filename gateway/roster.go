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
	// storeOutageThreshold is how long reads must have failed for the store to count as having
	// been away.
	storeOutageThreshold = 2500 * time.Millisecond
	// lapsedEntryGrace is how long entries that lapsed while the store was away have to
	// come back, by the platform's pages.
	lapsedEntryGrace = 2500 * time.Millisecond
	// missedHeartbeats is how many heartbeats of a server must be missing when its entry
	// is removed for it to count as cut off from the store, not as leaving: an entry
	// lapses after three, and the list lags by less than one.
	missedHeartbeats = 2
	// reportTTL is how long the list may lag behind what a server said itself: the lag by
	// the platform's pages, a read, and the way through two hubs.
	reportTTL = 1500 * time.Millisecond
	// cutOffTTL bounds how long a member of a replica may be cut off from the store.
	cutOffTTL = 10 * time.Second
)

// An serverEntry is one server as it is listed. ColdUntil is on the boot clock.
type serverEntry struct {
	server    site.Server
	offset    int64
	coldUntil time.Duration
	// lastModel is the model of the lastModel replica of its life.
	lastModel string
	// expiresAt is when an entry ends that lapsed while the store was away or its server
	// was cut off from it; zero if it is listed.
	expiresAt time.Duration
	// reportedAt is when the membership was last learned first-hand, before the list showed it.
	reportedAt time.Duration
	// cutOff means that the server is a member of a replica and seems to be cut off from
	// the store: its entry lapsed although it did not leave.
	cutOff bool
}

// A roster is the list of servers as this daemon has read it. The zero roster is
// empty.
type roster struct {
	entries        map[string]serverEntry
	removedOffsets map[string]int64
	graceUntil     time.Duration
}

// startGrace lets entries that lapsed meanwhile come back.
func (r *roster) startGrace(now time.Duration) { r.graceUntil = now + lapsedEntryGrace }

// put takes the entry of s and returns whether anything but its sequence changed.
// A life that is first seen is cold for coldFor.
func (r *roster) put(now time.Duration, offset int64, s site.Server, coldFor time.Duration) bool {
	if r.entries == nil {
		r.entries = make(map[string]serverEntry)
		r.removedOffsets = make(map[string]int64)
	}
	old, known := r.entries[s.ID]
	if known && offset <= old.offset || offset < r.removedOffsets[s.ID] {
		return false
	}
	if known && (s.Born < old.server.Born || s.Born == old.server.Born && s.Sequence < old.server.Sequence) {
		// An entry that was held up on its way.
		return false
	}
	e := serverEntry{server: s, offset: offset, coldUntil: old.coldUntil}
	if !known || old.server.Born != s.Born {
		e.coldUntil = now + coldFor
	} else {
		e.lastModel = old.lastModel
		if old.reportedAt != 0 && now-old.reportedAt < reportTTL && supersedes(old.server.Member, s.Member) {
			// The list lags behind what the server said itself.
			e.reportedAt, e.server.Member = old.reportedAt, old.server.Member
			s.Member = e.server.Member
		}
	}
	if s.Member.State != site.Unassigned {
		e.lastModel = formation.ModelOf(s.Member.Group)
	}
	if s.ColdFor > 0 {
		e.coldUntil = max(e.coldUntil, now+s.ColdFor)
	}
	r.entries[s.ID] = e
	return !known || old.expiresAt != 0 || !sameServer(old.server, s) || e.coldUntil != old.coldUntil
}

// update takes the membership of a life of a server as it is known first-hand, and returns
// whether that is news.
func (r *roster) update(now time.Duration, id string, born int64, m site.Membership) bool {
	e, ok := r.entries[id]
	if !ok || e.server.Born != born || !supersedes(m, e.server.Member) {
		// What was asked for before the list showed more is not news.
		return false
	}
	e.server.Member, e.reportedAt = m, now
	if m.State != site.Unassigned {
		e.lastModel = formation.ModelOf(m.Group)
	}
	r.entries[id] = e
	return true
}

// supersedes returns whether a server was in b before it was in a, as far as that can be told.
func supersedes(a, b site.Membership) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.State > b.State
}

// markDraining notes that a life of a server leaves although the list does not show it yet, and
// returns whether that is news.
func (r *roster) markDraining(id string, born int64) bool {
	e, ok := r.entries[id]
	if !ok || e.server.Born != born || e.server.Draining {
		return false
	}
	e.server.Draining = true
	r.entries[id] = e
	return true
}

// isReturning isReturning whether s is a server whose entry had lapsed or was removed.
func (r *roster) isReturning(s site.Server) bool {
	e, known := r.entries[s.ID]
	_, removed := r.removedOffsets[s.ID]
	return known && e.expiresAt != 0 || !known && removed
}

// sameServer returns whether two entries say the sameServer but for their sequence.
func sameServer(a, b site.Server) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Draining == b.Draining && a.Born == b.Born && a.Member == b.Member &&
		a.FailureDomain == b.FailureDomain && a.FabricDomain == b.FabricDomain && a.ColdFor == b.ColdFor &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged)
}

// remove takes the removal of an entry and returns whether that changed the list.
// heartbeat is the time between two entries of a server, zero if it is not known.
func (r *roster) remove(now time.Duration, record relay.Record, heartbeat time.Duration) bool {
	e, ok := r.entries[record.Key]
	if r.removedOffsets != nil {
		r.removedOffsets[record.Key] = record.Offset
	}
	if !ok || record.Offset <= e.offset || e.cutOff {
		return false
	}
	if now < r.graceUntil && !e.server.Draining {
		e.expiresAt = r.graceUntil
		r.entries[record.Key] = e
		return false
	}
	if e.lapsedWhileServing(record.Idle, heartbeat) {
		e.expiresAt, e.cutOff, e.offset = now+cutOffTTL, true, record.Offset
		r.entries[record.Key] = e
		return true
	}
	delete(r.entries, record.Key)
	return true
}

// lapsedWhileServing returns whether the entry of a member of a replica, removed after it was idle
// for a time, lapsed because its server is cut off from the store. One that leaves, also
// without a word, has written lately.
func (e serverEntry) lapsedWhileServing(idle, heartbeat time.Duration) bool {
	member := e.server.Member.State >= site.Ready && e.server.Member.State != site.Broken
	return member && !e.server.Draining && heartbeat > 0 && idle >= missedHeartbeats*heartbeat
}

// dropCutOff drops the entry of a server that is cut off from the store and does not
// answer, and returns whether there was one.
func (r *roster) dropCutOff(id string) bool {
	e, ok := r.entries[id]
	if ok && e.cutOff {
		delete(r.entries, id)
	}
	return ok && e.cutOff
}

// retainListed drops the entries that news of all newest records do not hold.
func (r *roster) retainListed(now time.Duration, news relay.News) {
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
	maps.DeleteFunc(r.entries, func(_ string, e serverEntry) bool { return e.expiresAt != 0 && now >= e.expiresAt })
	return len(r.entries) != n
}

// all returns the entries in the order of their ids.
func (r *roster) all() []serverEntry {
	out := make([]serverEntry, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		out = append(out, r.entries[id])
	}
	return out
}
