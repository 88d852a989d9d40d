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
// ReadAt the time at which the read of the latest record was sent. Offsets are those of an era of the store, which
// begins when the store comes back from a copy: it then gives the offsets after the copy out again. An update of a
// daemon that knows no eras has none (0).
type Update struct {
	Records []Record
	Whole   bool
	From    int64
	End     int64
	ReadAt  time.Duration
	Era     int64 `cbor:",omitempty"`
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
	// era is that of the offsets, and eraRose means that the copy has followed the store into a later era.
	era     int64
	eraRose bool
}

// Apply applies an update to the copy.
func (t *Topic) Apply(u Update) {
	if u.Whole || t.newest == nil {
		t.newest, t.changedOffset, t.lastRead = make(map[string]Record), make(map[string]int64), make(map[string]time.Duration)
		t.tail, t.tailStart = nil, u.End
	}
	if u.Era > t.era {
		t.eraRose = t.eraRose || t.initialised && t.era != 0
		if t.era = u.Era; u.Whole {
			t.end = u.End
		}
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

// Era returns the era of the offsets of the copy.
func (t *Topic) Era() int64 { return t.era }

// Unseen returns the part of u that t has not applied yet, and whether u is newer than t. Only a snapshot leads to a later
// era. An update without an era counts as one of the era of t, unless t has been in an earlier one: its sender may still
// be there.
func (t *Topic) Unseen(u Update) (Update, bool) {
	if u.Era == 0 && !t.eraRose {
		u.Era = t.era
	}
	switch {
	case u.Era < t.era:
		return u, false
	case u.Whole && u.Era > t.era:
		return u, true
	case u.Era > t.era && t.era != 0:
		return u, false
	case u.Whole && t.initialised && u.End < t.end:
		return u, false
	case u.Whole:
		return u, true
	case !t.initialised || u.From > t.end:
		// The records between t and this update are missing.
		return u, false
	}
	out := Update{End: u.End, ReadAt: u.ReadAt, Era: u.Era}
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

// Since returns the update from an offset of an era on: a snapshot if the records from there on are not kept or the era
// is another one. An era of 0 is that of a follower that knows no eras. Since returns false before the first snapshot.
func (t *Topic) Since(era, offset int64) (Update, bool) {
	u := Update{From: offset, End: t.end, ReadAt: t.readAt, Era: t.era}
	if !t.initialised {
		return u, false
	}
	if offset < t.tailStart || offset > t.end || era != 0 && era != t.era {
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
