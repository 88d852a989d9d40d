// Package claim decides which daemon may run a non-idempotent request. The first claim of a key
// in log order wins. Every daemon applies the same records and so reaches the same result. A
// daemon sends a request only after it has read back its own claim as the winner.
package claim

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
)

// A Status is the progress of a claimed request.
type Status uint8

// The statuses of a claim.
const (
	StatusClaimed Status = iota + 1
	StatusEnded
	StatusAbandoned
)

// An ID identifies one claim of one daemon.
type ID [16]byte

// A Key is 16 bytes of a hash of organisation, deployment and idempotency key.
type Key [16]byte

// A Record is one step of a request on the log. Outcome and HTTPStatus are set
// when Status is StatusEnded.
type Record struct {
	ID         ID              `cbor:"id"                    json:"id"`
	Key        Key             `cbor:"key"                   json:"key"`
	Daemon     string          `cbor:"daemon"                json:"daemon"`
	Status     Status          `cbor:"status"                json:"status"`
	Outcome    outcome.Outcome `cbor:"outcome,omitempty"     json:"outcome,omitempty"`
	HTTPStatus int             `cbor:"http_status,omitempty" json:"http_status,omitempty"`
}

// A tableEntry is the current record of one key in a compact form, as a table has one for each
// key of the window. Names of daemons and outcomes are shared pointers.
type tableEntry struct {
	id      ID
	unixMS  int64
	daemon  *string
	status  Status
	outcome *outcome.Outcome
	http    int16
}

// A Table holds the current record of each key that was claimed within the last Window. A zero
// Table with Window set is ready to use.
type Table struct {
	Window time.Duration

	entries     map[Key]tableEntry
	expiryQueue []expiringKey
	latest      int64
	daemons     map[string]*string
	outcomes    map[outcome.Outcome]*outcome.Outcome
}

// An expiringKey is a key that is removed when the window has passed since unixMS.
type expiringKey struct {
	key    Key
	unixMS int64
}

// Apply applies record, which was appended to the log at the given time, and returns whether it
// took effect.
func (t *Table) Apply(at time.Time, record Record) bool {
	t.init()
	unixMS := at.UnixMilli()
	t.latest = max(t.latest, unixMS)
	t.expire()
	current, ok := t.entries[record.Key]
	switch record.Status {
	case StatusClaimed:
		if ok {
			return false
		}
		t.entries[record.Key] = t.newEntry(unixMS, record)
		t.expiryQueue = append(t.expiryQueue, expiringKey{key: record.Key, unixMS: unixMS})
		return true
	case StatusEnded:
		if ok && current.id == record.ID {
			t.entries[record.Key] = t.newEntry(current.unixMS, record)
			return true
		}
	case StatusAbandoned:
		if ok && current.id == record.ID && current.status == StatusClaimed {
			delete(t.entries, record.Key)
			return true
		}
	}
	return false
}

// Get returns the current record of key.
func (t *Table) Get(key Key) (Record, bool) {
	e, ok := t.entries[key]
	if !ok {
		return Record{}, false
	}
	return Record{ID: e.id, Key: key, Daemon: *e.daemon, Status: e.status, Outcome: *e.outcome, HTTPStatus: int(e.http)}, true
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// newEntry returns the compact form of record, for a key claimed at unixMS.
func (t *Table) newEntry(unixMS int64, record Record) tableEntry {
	return tableEntry{
		id: record.ID, unixMS: unixMS, daemon: intern(t.daemons, record.Daemon), status: record.Status,
		outcome: intern(t.outcomes, record.Outcome), http: int16(record.HTTPStatus),
	}
}

// expire removes the keys whose window has passed by the log's clock.
func (t *Table) expire() {
	for len(t.expiryQueue) > 0 && t.latest-t.expiryQueue[0].unixMS > t.Window.Milliseconds() {
		first := t.expiryQueue[0]
		t.expiryQueue = t.expiryQueue[1:]
		if e, ok := t.entries[first.key]; ok && e.unixMS == first.unixMS {
			delete(t.entries, first.key)
		}
	}
}

// init allocates the maps of a zero Table.
func (t *Table) init() {
	if t.entries == nil {
		t.entries = make(map[Key]tableEntry)
		t.daemons = make(map[string]*string)
		t.outcomes = make(map[outcome.Outcome]*outcome.Outcome)
	}
}

// intern returns a shared pointer to value, which it adds to known if necessary.
func intern[T comparable](known map[T]*T, value T) *T {
	p, ok := known[value]
	if !ok {
		p = &value
		known[value] = p
	}
	return p
}
