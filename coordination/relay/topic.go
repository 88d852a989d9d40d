package relay

import "time"

// maxTail is the number of latest records of a topic that are maxTail to be passed on one
// by one: several seconds of a busy list of servers.
const maxTail = 2048

// A Record is one record of a keyed topic. One without a value drops its key; Idle is
// the time since the record before it then, zero if that is not known.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset int64
	Idle   time.Duration
}

// A Update is what is new of a topic from the offset From on. Whole news hold the
// newest record of every key. End is the offset after the last record, and ReadAt when the
// read was sent that brought the latest of it.
type Update struct {
	Records []Record
	Whole   bool
	From    int64
	End     int64
	ReadAt  time.Duration
}

// A Topic keeps what a daemon has read of one topic. The zero Topic has read
// nothing. It is not safe for concurrent use.
type Topic struct {
	// Equal returns whether two values of a key say the same, so that the later one need
	// not be passed on. Nil means never.
	Equal func(key string, a, b []byte) bool

	newest map[string]Record
	// changedOffset is the offset of the last record of each key that said something new, and
	// writtenAt when the last one was read.
	changedOffset map[string]int64
	lastRead      map[string]time.Duration
	tail          []Record
	tailStart     int64
	end           int64
	readAt        time.Duration
	initialised   bool
}

// Apply takes records that a read sent at readAt brought.
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

// applyRecord takes one record, read at a time; tail means that it follows those before.
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

// End returns the offset from which on news are wanted, -1 while nothing is known.
func (t *Topic) End() int64 {
	if !t.initialised {
		return -1
	}
	return t.end
}

// ReadAt returns when the read was sent that brought the latest news.
func (t *Topic) ReadAt() time.Duration { return t.readAt }

// Unseen returns the part of n that t does not know yet, and whether n is newer in
// anything than t.
func (t *Topic) Unseen(u Update) (Update, bool) {
	switch {
	case u.Whole && t.initialised && u.End < t.end:
		return u, false
	case u.Whole:
		return u, true
	case !t.initialised || u.From > t.end:
		// News from before these are missing.
		return u, false
	}
	out := Update{End: u.End, ReadAt: u.ReadAt}
	written := make(map[string]bool)
	for _, r := range u.Records {
		if r.Offset < t.end {
			continue
		}
		if at, ok := t.lastRead[r.Key]; ok && len(r.Value) == 0 && r.Idle == 0 {
			// One that is written and dropped within a page was not idle.
			if r.Idle = time.Nanosecond; !written[r.Key] {
				r.Idle = max(u.ReadAt-at, time.Nanosecond)
			}
		}
		written[r.Key] = true
		out.Records = append(out.Records, r)
	}
	return out, u.ReadAt > t.readAt || u.End > t.end
}

// Since returns the news since offset: all that is newest if the records from there
// on are not kept. It returns false while nothing is known.
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
		// A record that a later one of its key has replaced is not news any more, nor one
		// that says what was said before offset.
		newest, ok := t.newest[r.Key]
		current := !ok && len(r.Value) == 0 || ok && newest.Offset == r.Offset && t.changedOffset[r.Key] >= offset
		if r.Offset >= offset && current {
			u.Records = append(u.Records, r)
		}
	}
	return u, true
}
