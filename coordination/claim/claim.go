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
type Status string

// The statuses of a claim.
const (
	StatusClaimed   Status = "claimed"
	StatusEnded     Status = "ended"
	StatusAbandoned Status = "abandoned"
)

// A Record is one step of a request on the log. Key is a hash of organisation,
// deployment and idempotency key; ID names one claim of one daemon. Outcome and
// HTTPStatus are set when Status is StatusEnded.
type Record struct {
	ID         string          `cbor:"id"                    json:"id"`
	Key        string          `cbor:"key"                   json:"key"`
	Daemon     string          `cbor:"daemon"                json:"daemon"`
	Status     Status          `cbor:"status"                json:"status"`
	Outcome    outcome.Outcome `cbor:"outcome,omitempty"     json:"outcome,omitempty"`
	HTTPStatus int             `cbor:"http_status,omitempty" json:"http_status,omitempty"`
}

// An entry is the standing of one key.
type entry struct {
	record Record
	at     time.Time
}

// A Table is the fold of all claim records of the last Window. The zero Table
// with a Window is empty and ready.
type Table struct {
	Window time.Duration

	entries map[string]entry
	order   []aged
	latest  time.Time
}

// An aged key is one that may be forgotten when its window has passed.
type aged struct {
	key string
	at  time.Time
}

// Apply folds record, which the log took at the given time. It returns whether
// the record took effect.
func (t *Table) Apply(at time.Time, record Record) bool {
	if t.entries == nil {
		t.entries = make(map[string]entry)
	}
	if at.After(t.latest) {
		t.latest = at
	}
	t.expire()
	held, ok := t.entries[record.Key]
	switch record.Status {
	case StatusClaimed:
		if ok {
			return false
		}
		t.entries[record.Key] = entry{record: record, at: at}
		t.order = append(t.order, aged{key: record.Key, at: at})
		return true
	case StatusEnded:
		if ok && held.record.ID == record.ID {
			t.entries[record.Key] = entry{record: record, at: held.at}
			return true
		}
	case StatusAbandoned:
		if ok && held.record.ID == record.ID && held.record.Status == StatusClaimed {
			delete(t.entries, record.Key)
			return true
		}
	}
	return false
}

// Get returns the record that stands for key.
func (t *Table) Get(key string) (Record, bool) {
	e, ok := t.entries[key]
	return e.record, ok
}

// Len returns how many keys the table holds.
func (t *Table) Len() int { return len(t.entries) }

// expire forgets the keys whose window has passed by the log's clock.
func (t *Table) expire() {
	for len(t.order) > 0 && t.latest.Sub(t.order[0].at) > t.Window {
		first := t.order[0]
		t.order = t.order[1:]
		if e, ok := t.entries[first.key]; ok && e.at.Equal(first.at) {
			delete(t.entries, first.key)
		}
	}
}
