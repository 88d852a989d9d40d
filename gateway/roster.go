package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// storeOutageThreshold is how long reads must have failed to count as an outage of the store.
	storeOutageThreshold = 2500 * time.Millisecond
	// lapsedEntryGrace is how long servers have to renew entries that lapsed during an outage of
	// the store, as the platform documents it.
	lapsedEntryGrace = 2500 * time.Millisecond
	// missedHeartbeats is how many heartbeats of a server must be missing when its entry is removed
	// for it to count as cut off from the store, not as leaving: an entry lapses after three, and
	// the list lags by less than one.
	missedHeartbeats = 2
	// reportTTL is how long the list may lag behind a server's own report: the lag that the
	// platform documents, a read, and the way through two hubs.
	reportTTL = 1500 * time.Millisecond
	// cutOffTTL bounds how long a replica member may be cut off from the store.
	cutOffTTL = 10 * time.Second
	// overwrittenTTL is how long a server stays listed after another writer has overwritten its entry:
	// well beyond the three heartbeats after which an entry lapses.
	overwrittenTTL = 10 * time.Second
	// olderEntryWait is how long an entry that seems older than the one before must stay the last one of
	// its key to count: longer than the three heartbeats after which the entry of a silent server lapses.
	olderEntryWait = 5 * time.Second
)

// A serverEntry is one server of the list. coldUntil is on the boot clock.
type serverEntry struct {
	server    site.Server
	offset    int64
	coldUntil time.Duration
	// lastModel is the model of the last replica that this incarnation was a member of.
	lastModel string
	// expiresAt is when an entry is dropped that lapsed during an outage of the store, whose server is
	// cut off from the store, or that another writer has overwritten; zero while the entry is listed.
	expiresAt time.Duration
	// reportedAt is when the membership was last reported first-hand, ahead of the list.
	reportedAt time.Duration
	// pace is the pace that the server last reported, at pacedAt.
	pace    float64
	pacedAt time.Duration
	// cutOff means that the server is a replica member and seems to be cut off from the store: its
	// entry lapsed although it was not leaving.
	cutOff bool
	// claimedAt is when the server was first seen in its place in its replica, and refused means that this
	// place belongs to another server or to none.
	claimedAt time.Duration
	refused   bool
	// older is a later entry that seems older than this one, nil if there is none.
	older *olderEntry
	// lost means that the entry was lost since the server wrote it: another writer has overwritten it, or the store
	// came back from a copy without it.
	lost bool
}

// An olderEntry is an entry of an earlier start or with a lower sequence number than the one before. It was
// delayed, or the one before came from another writer. In the first case the server soon writes again.
type olderEntry struct {
	server site.Server
	offset int64
	seenAt time.Duration
}

// A removedEntry is the last entry of a server that was removed, and the offset of the removal.
type removedEntry struct {
	offset   int64
	born     int64
	sequence int64
}

// isUsable returns whether the server may be a member of a replica: it is listed, cut off from the store,
// or its entry was lost.
func (e serverEntry) isUsable() bool { return e.expiresAt == 0 || e.cutOff || e.lost }

// A roster is this daemon's copy of the list of servers. The zero roster is empty.
type roster struct {
	entries    map[string]serverEntry
	removed    map[string]removedEntry
	graceUntil time.Duration
	// claimsChanged means that a server was seen in another place in a replica than before.
	claimsChanged bool
}

// startGrace keeps entries whose removals arrive from now on until their servers have had time to
// renew them, as the entries may have lapsed during an outage of the store.
func (r *roster) startGrace(now time.Duration) { r.graceUntil = now + lapsedEntryGrace }

// put applies the entry of s and returns whether anything but its sequence number changed. An
// incarnation that is seen for the first time is cold for coldFor.
func (r *roster) put(now time.Duration, offset int64, s site.Server, coldFor time.Duration) bool {
	if r.entries == nil {
		r.entries = make(map[string]serverEntry)
		r.removed = make(map[string]removedEntry)
	}
	old, known := r.entries[s.ID]
	if known && offset <= old.offset || offset < r.removed[s.ID].offset {
		return false
	}
	if known && (s.Born < old.server.Born || s.Born == old.server.Born && s.Sequence < old.server.Sequence) {
		seenAt := now
		if old.older != nil {
			seenAt = old.older.seenAt
		}
		old.older = &olderEntry{server: s, offset: offset, seenAt: seenAt}
		r.entries[s.ID] = old
		return false
	}
	e := serverEntry{server: s, offset: offset, coldUntil: old.coldUntil}
	if !known || old.server.Born != s.Born {
		e.coldUntil = now + coldFor
	} else {
		e.lastModel, e.pace, e.pacedAt = old.lastModel, old.pace, old.pacedAt
		if old.reportedAt != 0 && now-old.reportedAt < reportTTL && supersedes(old.server.Member, s.Member) {
			// The list lags behind the server's own report.
			e.reportedAt, e.server.Member = old.reportedAt, old.server.Member
			s.Member = e.server.Member
		}
	}
	if s.Member.State != site.Unassigned {
		e.lastModel = formation.ModelOf(s.Member.Group)
	}
	r.keepClaim(now, &e, old)
	if s.ColdFor > 0 {
		e.coldUntil = max(e.coldUntil, now+s.ColdFor)
	}
	r.entries[s.ID] = e
	return !known || old.expiresAt != 0 || !sameServer(old.server, s) || e.coldUntil != old.coldUntil
}

// update applies the membership of one incarnation of a server as reported first-hand, and returns
// whether it is new.
func (r *roster) update(now time.Duration, id string, born int64, m site.Membership) bool {
	e, ok := r.entries[id]
	if !ok || e.server.Born != born || !supersedes(m, e.server.Member) {
		// The report was requested before the list showed a later state.
		return false
	}
	old := e
	e.server.Member, e.reportedAt = m, now
	r.keepClaim(now, &e, old)
	if m.State != site.Unassigned {
		e.lastModel = formation.ModelOf(m.Group)
	}
	r.entries[id] = e
	return true
}

// slowPace is the pace from which a server counts as slow: well above the spread of sound servers.
const slowPace = 1.5

// recordPace records the pace that an incarnation of a server reported, and returns whether it became slow or
// ceased to be.
func (r *roster) recordPace(now time.Duration, s site.Server) bool {
	e, ok := r.entries[s.ID]
	if !ok || e.server.Born != s.Born {
		return false
	}
	was := e.pace >= slowPace
	e.pace, e.pacedAt = s.Pace, now
	r.entries[s.ID] = e
	return was != (e.pace >= slowPace)
}

// keepClaim keeps in e what is known of the place of its server in a replica, unless its entry before, old,
// was of another place or incarnation.
func (r *roster) keepClaim(now time.Duration, e *serverEntry, old serverEntry) {
	if a, b := e.server.Member, old.server.Member; e.server.Born == old.server.Born && a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank {
		e.claimedAt, e.refused = old.claimedAt, old.refused
		return
	}
	e.claimedAt, e.refused, r.claimsChanged = now, false, true
}

// reconsiderClaims forgets which entries were refused, since the sizes of replicas may have changed.
func (r *roster) reconsiderClaims() {
	for id, e := range r.entries {
		e.refused = false
		r.entries[id] = e
	}
	r.claimsChanged = true
}

// supersedes returns whether membership a is later than b, as far as that can be determined.
func supersedes(a, b site.Membership) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.State > b.State
}

// markDraining marks one incarnation of a server as draining before the list shows it, and returns
// whether that is new.
func (r *roster) markDraining(id string, born int64) bool {
	e, ok := r.entries[id]
	if !ok || e.server.Born != born || e.server.Draining {
		return false
	}
	e.server.Draining = true
	r.entries[id] = e
	return true
}

// isReturning returns whether s is a server whose entry had lapsed or was removed.
func (r *roster) isReturning(s site.Server) bool {
	e, known := r.entries[s.ID]
	_, removed := r.removed[s.ID]
	return known && e.expiresAt != 0 && !e.lost || !known && removed
}

// overwrite records that another writer has overwritten the entry of a server. The server stays listed as
// it last described itself, until its next entry or for overwrittenTTL.
func (r *roster) overwrite(now time.Duration, record relay.Record) {
	e, ok := r.entries[record.Key]
	if !ok || record.Offset <= e.offset {
		return
	}
	if e.expiresAt == 0 {
		e.expiresAt, e.lost = now+overwrittenTTL, true
	}
	e.offset = record.Offset
	r.entries[record.Key] = e
}

// sameServer returns whether two entries are equal but for their sequence numbers.
func sameServer(a, b site.Server) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Draining == b.Draining && a.Born == b.Born && a.Member == b.Member &&
		a.FailureDomain == b.FailureDomain && a.FabricDomain == b.FabricDomain && a.ColdFor == b.ColdFor &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged)
}

// remove applies the removal of an entry and returns whether that changed the list. heartbeat is
// the time between two entries of a server, zero if it is not known.
func (r *roster) remove(now time.Duration, record relay.Record, heartbeat time.Duration) bool {
	e, ok := r.entries[record.Key]
	if r.removed != nil {
		gone := r.removed[record.Key]
		if gone.offset = record.Offset; ok {
			gone.born, gone.sequence = e.server.Born, e.server.Sequence
		}
		r.removed[record.Key] = gone
	}
	if !ok || record.Offset <= e.offset || e.cutOff {
		return false
	}
	if now < r.graceUntil && !e.server.Draining {
		e.expiresAt, e.lost = r.graceUntil, false
		r.entries[record.Key] = e
		return false
	}
	if e.lapsedWhileServing(record.Idle, heartbeat) {
		e.expiresAt, e.cutOff, e.lost, e.offset = now+cutOffTTL, true, false, record.Offset
		r.entries[record.Key] = e
		return true
	}
	delete(r.entries, record.Key)
	return true
}

// lapsedWhileServing returns whether the entry of a replica member, removed after it was idle for a
// time, lapsed because its server is cut off from the store. A server that leaves, even without
// draining, has written its entry recently.
func (e serverEntry) lapsedWhileServing(idle, heartbeat time.Duration) bool {
	member := e.server.Member.State >= site.Ready && e.server.Member.State != site.Broken
	return member && !e.server.Draining && heartbeat > 0 && idle >= missedHeartbeats*heartbeat
}

// dropCutOff drops the entry of a server that is cut off from the store and does not answer, and
// returns whether there was one.
func (r *roster) dropCutOff(id string) bool {
	e, ok := r.entries[id]
	if ok && e.cutOff {
		delete(r.entries, id)
	}
	return ok && e.cutOff
}

// startEra forgets the offsets of an earlier era of the store, which say nothing in the new one.
func (r *roster) startEra() {
	for id, e := range r.entries {
		e.offset = beforeAllOffsets
		if e.older != nil {
			older := *e.older
			older.offset = beforeAllOffsets
			e.older = &older
		}
		r.entries[id] = e
	}
	for id, gone := range r.removed {
		gone.offset = beforeAllOffsets
		r.removed[id] = gone
	}
}

// removedBefore returns whether s is an entry that was removed since it was written.
func (r *roster) removedBefore(s site.Server) bool {
	gone, ok := r.removed[s.ID]
	_, listed := r.entries[s.ID]
	return ok && !listed && s.Born == gone.born && s.Sequence <= gone.sequence
}

// retainListed drops the entries that a complete snapshot does not contain. If it is the first one after the store came
// back from a copy, the servers have time to write them again, and are listed until then.
func (r *roster) retainListed(now time.Duration, snapshot relay.Update, restored bool) {
	listed := make(map[string]bool, len(snapshot.Records))
	for _, record := range snapshot.Records {
		listed[record.Key] = true
	}
	for id, e := range r.entries {
		switch {
		case listed[id]:
		case restored && !e.server.Draining:
			if e.expiresAt == 0 {
				e.expiresAt, e.lost = now+lapsedEntryGrace, true
				r.entries[id] = e
			}
		default:
			r.remove(now, relay.Record{Key: id, Offset: max(snapshot.End, e.offset+1)}, 0)
		}
	}
}

// expire drops the entries that were not renewed in time, puts older ones in force that nothing followed,
// and returns whether there were any.
func (r *roster) expire(now time.Duration) bool {
	changed := false
	for id, e := range r.entries {
		switch {
		case e.older != nil && now-e.older.seenAt >= olderEntryWait:
			r.entries[id] = r.replaced(now, e)
			changed = true
		case e.expiresAt != 0 && now >= e.expiresAt:
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// replaced returns the entry e of a server as its older entry describes it.
func (r *roster) replaced(now time.Duration, e serverEntry) serverEntry {
	out := serverEntry{server: e.older.server, offset: e.older.offset, coldUntil: e.coldUntil, lastModel: e.lastModel}
	if m := out.server.Member; m.State != site.Unassigned {
		out.lastModel = formation.ModelOf(m.Group)
	}
	r.keepClaim(now, &out, e)
	return out
}

// contradicts returns an error if s cannot be the same run of a server as its listed entry: the address and
// the service of one run do not change.
func (r *roster) contradicts(s site.Server) error {
	old, known := r.entries[s.ID]
	if !known || s.Born == 0 || s.Born != old.server.Born || s.Address == old.server.Address && s.Service == old.server.Service {
		return nil
	}
	return fmt.Errorf("entry of server %q: address %q and service %q are not those of the same run, %q and %q",
		s.ID, s.Address, s.Service, old.server.Address, old.server.Service)
}

// all returns the entries in the order of their ids.
func (r *roster) all() []serverEntry {
	out := make([]serverEntry, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		out = append(out, r.entries[id])
	}
	return out
}
