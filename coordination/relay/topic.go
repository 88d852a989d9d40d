package relay

import "time"

// kept is the number of latest records of a topic that are kept to be passed on one
// by one: several seconds of a busy list of servers.
const kept = 2048

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
	// changed is the offset of the last record of each key that said something new, and
	// writtenAt when the last one was read.
	changed   map[string]int64
	writtenAt map[string]time.Duration
	tail      []Record
	first     int64
	end       int64
	readAt    time.Duration
	known     bool
}

// Apply takes records that a read sent at readAt brought.
func (t *Topic) Apply(n Update) {
	if n.Whole || t.newest == nil {
		t.newest, t.changed, t.writtenAt = make(map[string]Record), make(map[string]int64), make(map[string]time.Duration)
		t.tail, t.first = nil, n.End
	}
	for _, r := range n.Records {
		t.put(r, n.ReadAt, !n.Whole)
	}
	t.known = t.known || n.Whole
	t.end = max(t.end, n.End)
	t.readAt = max(t.readAt, n.ReadAt)
}

// put takes one record, read at a time; tail means that it follows those before.
func (t *Topic) put(r Record, at time.Duration, tail bool) {
	if old, ok := t.newest[r.Key]; !ok || r.Offset >= old.Offset {
		if !ok || t.Equal == nil || !t.Equal(r.Key, old.Value, r.Value) {
			t.changed[r.Key] = r.Offset
		}
		t.writtenAt[r.Key] = at
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			delete(t.changed, r.Key)
			delete(t.writtenAt, r.Key)
		} else {
			t.newest[r.Key] = r
		}
	}
	if !tail || r.Offset < t.end {
		return
	}
	t.tail = append(t.tail, r)
	t.end = r.Offset + 1
	if len(t.tail) > kept {
		t.first = t.tail[len(t.tail)-kept/2-1].Offset + 1
		t.tail = append([]Record(nil), t.tail[len(t.tail)-kept/2:]...)
	}
}

// End returns the offset from which on news are wanted, -1 while nothing is known.
func (t *Topic) End() int64 {
	if !t.known {
		return -1
	}
	return t.end
}

// ReadAt returns when the read was sent that brought the latest news.
func (t *Topic) ReadAt() time.Duration { return t.readAt }

// Unseen returns the part of n that t does not know yet, and whether n is newer in
// anything than t.
func (t *Topic) Unseen(n Update) (Update, bool) {
	switch {
	case n.Whole && t.known && n.End < t.end:
		return n, false
	case n.Whole:
		return n, true
	case !t.known || n.From > t.end:
		// News from before these are missing.
		return n, false
	}
	out := Update{End: n.End, ReadAt: n.ReadAt}
	written := make(map[string]bool)
	for _, r := range n.Records {
		if r.Offset < t.end {
			continue
		}
		if at, ok := t.writtenAt[r.Key]; ok && len(r.Value) == 0 && r.Idle == 0 {
			// One that is written and dropped within a page was not idle.
			if r.Idle = time.Nanosecond; !written[r.Key] {
				r.Idle = max(n.ReadAt-at, time.Nanosecond)
			}
		}
		written[r.Key] = true
		out.Records = append(out.Records, r)
	}
	return out, n.ReadAt > t.readAt || n.End > t.end
}

// Since returns the news since offset: all that is newest if the records from there
// on are not kept. It returns false while nothing is known.
func (t *Topic) Since(offset int64) (Update, bool) {
	n := Update{From: offset, End: t.end, ReadAt: t.readAt}
	if !t.known {
		return n, false
	}
	if offset < t.first || offset > t.end {
		n.Whole = true
		for _, r := range t.newest {
			n.Records = append(n.Records, r)
		}
		return n, true
	}
	for _, r := range t.tail {
		// A record that a later one of its key has replaced is not news any more, nor one
		// that says what was said before offset.
		newest, ok := t.newest[r.Key]
		news := !ok && len(r.Value) == 0 || ok && newest.Offset == r.Offset && t.changed[r.Key] >= offset
		if r.Offset >= offset && news {
			n.Records = append(n.Records, r)
		}
	}
	return n, true
}
