// Package claim decides which daemon may run a non-idempotent request. The first
// claim of a key in log order wins; every daemon folds the same records, so that
// all agree, and a request is sent only after its own claim has been read back as
// the winner.
package claim

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
)

// A Status is how far a claimed request has come.
type Status uint8

// The statuses of a claim.
const (
	StatusClaimed Status = iota + 1
	StatusEnded
	StatusAbandoned
)

// An ID is 16 bytes that name one claim of one daemon.
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

// An entry is the standing of one key, in the form that takes least memory: there
// is one for each key of the window.
type entry struct {
	id      ID
	unixMS  int64
	daemon  *string
	status  Status
	outcome *outcome.Outcome
	http    int16
}

// A Table is the fold of all claim records of the last Window. The zero Table
// with a Window is empty and ready.
type Table struct {
	Window time.Duration

	entries map[Key]entry
	order   []aged
	latest  int64
	names   map[string]*string
	ends    map[outcome.Outcome]*outcome.Outcome
}

// An aged key is one that may be forgotten when its window has passed.
type aged struct {
	key    Key
	unixMS int64
}

// Apply folds record, which the log took at the given time. It returns whether
// the record took effect.
func (t *Table) Apply(at time.Time, record Record) bool {
	t.init()
	unixMS := at.UnixMilli()
	t.latest = max(t.latest, unixMS)
	t.expire()
	held, ok := t.entries[record.Key]
	switch record.Status {
	case StatusClaimed:
		if ok {
			return false
		}
		t.entries[record.Key] = t.entry(unixMS, record)
		t.order = append(t.order, aged{key: record.Key, unixMS: unixMS})
		return true
	case StatusEnded:
		if ok && held.id == record.ID {
			t.entries[record.Key] = t.entry(held.unixMS, record)
			return true
		}
	case StatusAbandoned:
		if ok && held.id == record.ID && held.status == StatusClaimed {
			delete(t.entries, record.Key)
			return true
		}
	}
	return false
}

// Get returns the record that stands for key.
func (t *Table) Get(key Key) (Record, bool) {
	e, ok := t.entries[key]
	if !ok {
		return Record{}, false
	}
	return Record{ID: e.id, Key: key, Daemon: *e.daemon, Status: e.status, Outcome: *e.outcome, HTTPStatus: int(e.http)}, true
}

// Len returns how many keys the table holds.
func (t *Table) Len() int { return len(t.entries) }

// entry returns the standing that record gives its key.
func (t *Table) entry(unixMS int64, record Record) entry {
	return entry{
		id: record.ID, unixMS: unixMS, daemon: intern(t.names, record.Daemon), status: record.Status,
		outcome: intern(t.ends, record.Outcome), http: int16(record.HTTPStatus),
	}
}

// expire forgets the keys whose window has passed by the log's clock.
func (t *Table) expire() {
	for len(t.order) > 0 && t.latest-t.order[0].unixMS > t.Window.Milliseconds() {
		first := t.order[0]
		t.order = t.order[1:]
		if e, ok := t.entries[first.key]; ok && e.unixMS == first.unixMS {
			delete(t.entries, first.key)
		}
	}
}

// init makes the maps of a zero Table.
func (t *Table) init() {
	if t.entries == nil {
		t.entries = make(map[Key]entry)
		t.names = make(map[string]*string)
		t.ends = make(map[outcome.Outcome]*outcome.Outcome)
	}
}

// intern returns the one pointer that known has for value.
func intern[T comparable](known map[T]*T, value T) *T {
	p, ok := known[value]
	if !ok {
		p = &value
		known[value] = p
	}
	return p
}
