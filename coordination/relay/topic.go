package relay

import "time"

// maxTail is the number of latest records of a topic that are kept for incremental updates:
// several seconds of a busy list of servers.
const maxTail = 2048

// A Record is one record of a keyed topic. A record without a value deletes its key; Idle is then
// the time since the key's previous record, zero if unknown.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset int64
	Idle   time.Duration
}

// An Update is the change of a topic from the offset From on. A whole update (Whole) is a
// snapshot: it holds the newest record of every key. End is the offset after the last record, and
// ReadAt the time at which the read of the latest record was sent.
type Update struct {
	Records []Record
	Whole   bool
	From    int64
	End     int64
	ReadAt  time.Duration
}

// A Topic is a daemon's copy of one topic. The zero Topic is empty. It is not safe for concurrent
// use.
type Topic struct {
	// Equal returns whether two values of a key are equivalent, so that the later one need not be
	// distributed. Nil means never.
	Equal func(key string, a, b []byte) bool

	newest map[string]Record
	// changedOffset is the offset of the last record of each key that was not equivalent to the
	// one before, and lastRead the time at which its last record was read.
	changedOffset map[string]int64
	lastRead      map[string]time.Duration
	tail          []Record
	tailStart     int64
	end           int64
	readAt        time.Duration
	initialised   bool
}

// Apply applies an update to the copy.
func (t *Topic) Apply(u Update) {
	if u.Whole || t.newest == nil {
		t.newest, t.changedOffset, t.lastRead = make(map[string]Record), make(map[string]int64), make(map[string]time.Duration)
		t.tail, t.tailStart = nil, u.End
	}
	for _, r := range u.Records {
		t.applyRecord(r, u.ReadAt, !u.Whole)
	}
	t.initialised = t.initialised || u.Whole
	t.end = max(t.end, u.End)
	t.readAt = max(t.readAt, u.ReadAt)
}

// applyRecord applies one record that was read at the given time; appendTail means that it
// follows the records of the tail.
func (t *Topic) applyRecord(r Record, at time.Duration, appendTail bool) {
	if old, ok := t.newest[r.Key]; !ok || r.Offset >= old.Offset {
		if !ok || t.Equal == nil || !t.Equal(r.Key, old.Value, r.Value) {
			t.changedOffset[r.Key] = r.Offset
		}
		t.lastRead[r.Key] = at
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			delete(t.changedOffset, r.Key)
			delete(t.lastRead, r.Key)
		} else {
			t.newest[r.Key] = r
		}
	}
	if !appendTail || r.Offset < t.end {
		return
	}
	t.tail = append(t.tail, r)
	t.end = r.Offset + 1
	if len(t.tail) > maxTail {
		t.tailStart = t.tail[len(t.tail)-maxTail/2-1].Offset + 1
		t.tail = append([]Record(nil), t.tail[len(t.tail)-maxTail/2:]...)
	}
}

// End returns the offset from which the next update is needed, -1 before the first snapshot.
func (t *Topic) End() int64 {
	if !t.initialised {
		return -1
	}
	return t.end
}

// ReadAt returns when the read was sent that returned the latest records.
func (t *Topic) ReadAt() time.Duration { return t.readAt }

// Unseen returns the part of u that t has not applied yet, and whether u is newer than t.
func (t *Topic) Unseen(u Update) (Update, bool) {
	switch {
	case u.Whole && t.initialised && u.End < t.end:
		return u, false
	case u.Whole:
		return u, true
	case !t.initialised || u.From > t.end:
		// The records between t and this update are missing.
		return u, false
	}
	out := Update{End: u.End, ReadAt: u.ReadAt}
	written := make(map[string]bool)
	for _, r := range u.Records {
		if r.Offset < t.end {
			continue
		}
		if at, ok := t.lastRead[r.Key]; ok && len(r.Value) == 0 && r.Idle == 0 {
			// A key that is written and deleted within one page was not idle.
			if r.Idle = time.Nanosecond; !written[r.Key] {
				r.Idle = max(u.ReadAt-at, time.Nanosecond)
			}
		}
		written[r.Key] = true
		out.Records = append(out.Records, r)
	}
	return out, u.ReadAt > t.readAt || u.End > t.end
}

// Since returns the update from offset on: a snapshot if the records from there on are not kept.
// It returns false before the first snapshot.
func (t *Topic) Since(offset int64) (Update, bool) {
	u := Update{From: offset, End: t.end, ReadAt: t.readAt}
	if !t.initialised {
		return u, false
	}
	if offset < t.tailStart || offset > t.end {
		u.Whole = true
		for _, r := range t.newest {
			u.Records = append(u.Records, r)
		}
		return u, true
	}
	for _, r := range t.tail {
		// Skips records that a later one of their key has replaced, and those that are equivalent
		// to what the key held before offset.
		newest, ok := t.newest[r.Key]
		current := !ok && len(r.Value) == 0 || ok && newest.Offset == r.Offset && t.changedOffset[r.Key] >= offset
		if r.Offset >= offset && current {
			u.Records = append(u.Records, r)
		}
	}
	return u, true
}
