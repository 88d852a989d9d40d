package relay_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 500)
	m.Run()
}

func ExampleHubs() {
	var members []relay.Member
	for n := range 72 {
		members = append(members, relay.Member{Name: fmt.Sprintf("daemon-%d", n)})
	}
	fmt.Println(len(relay.Hubs(members)), len(relay.Hubs(members[:9])), len(relay.Hubs(members[:1])))
	// Output: 3 3 1
}

func TestHubsAreTheSameInAnyOrder(t *testing.T) {
	var members []relay.Member
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		members = append(members, relay.Member{Name: name, CPUShare: 0.4})
	}
	want := relay.Hubs(members)
	slices.Reverse(members)
	require.Equal(t, want, relay.Hubs(members))
	members[0].CPUShare = 0.8
	require.Equal(t, members[0].Name, relay.Hubs(members)[0], "the strongest reads for the others")
}

// TestStormOfOneKey guards against a hub that sends every version of a record: a large record is
// replaced several times a second, faster than links can carry every version.
func TestStormOfOneKey(t *testing.T) {
	var hub relay.Topic
	hub.Apply(relay.Update{Whole: true})
	for n := range int64(50) {
		hub.Apply(relay.Update{Records: []relay.Record{{Key: "config", Value: []byte{1}, Offset: n}}, End: n + 1})
	}
	update, ok := hub.Since(0, 10)
	require.True(t, ok)
	require.Len(t, update.Records, 1)
	require.Equal(t, int64(49), update.Records[0].Offset)
}

// TestRecordsThatSayTheSame guards against needless traffic: servers rewrite their entries all
// the time with nothing changed but a sequence number. A hub sends only the changes, and
// followers still have the same state as the hub.
func TestRecordsThatSayTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := relay.Topic{Equal: func(_ string, a, b []byte) bool { return bytes.Equal(a, b) }}
		hub.Apply(relay.Update{Whole: true})
		var (
			follower relay.Topic
			truth    = make(map[string]string)
			offset   int64
			have     = int64(-1)
		)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := relay.Update{From: offset}
			for range rapid.IntRange(0, 5).Draw(t, "records") {
				r := relay.Record{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Offset: offset}
				offset++
				if r.Value = []byte(rapid.SampledFrom([]string{"", "x", "x", "y"}).Draw(t, "value")); len(r.Value) == 0 {
					delete(truth, r.Key)
				} else {
					truth[r.Key] = string(r.Value)
				}
				n.Records = append(n.Records, r)
			}
			n.End = offset
			hub.Apply(n)
			if !rapid.Bool().Draw(t, "asked") {
				continue
			}
			update, ok := hub.Since(0, have)
			require.True(t, ok)
			if update, ok = follower.Unseen(update); ok && rapid.Bool().Draw(t, "arrived") {
				follower.Apply(update)
			}
			have = follower.End()
		}
		update, _ := hub.Since(0, follower.End())
		update, _ = follower.Unseen(update)
		follower.Apply(update)
		all, _ := follower.Since(0, -1)
		got := make(map[string]string)
		for _, r := range all.Records {
			got[r.Key] = string(r.Value)
		}
		require.Equal(t, truth, got)
	})
	hub := relay.Topic{Equal: func(_ string, a, b []byte) bool { return bytes.Equal(a, b) }}
	hub.Apply(relay.Update{Whole: true, Records: []relay.Record{{Key: "s", Value: []byte("x")}}, End: 1})
	for n := range int64(20) {
		hub.Apply(relay.Update{From: n + 1, Records: []relay.Record{{Key: "s", Value: []byte("x"), Offset: n + 1}}, End: n + 2})
	}
	update, _ := hub.Since(0, 1)
	require.Empty(t, update.Records, "nothing new is passed on")
	require.Equal(t, int64(21), update.End)
}

// TestIdleRecords distinguishes a record that is deleted after a long time without writes from
// one that was written recently, at the hub and at a follower, which receives only some of the
// records.
func TestIdleRecords(t *testing.T) {
	for _, tc := range []struct {
		name string
		last []relay.Record
		want time.Duration
	}{
		{"silent_for_long", nil, 4 * time.Second},
		{"written_lately", []relay.Record{{Key: "s", Value: []byte("x"), Offset: 1}}, time.Nanosecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			hub := relay.Topic{Equal: func(_ string, a, b []byte) bool { return bytes.Equal(a, b) }}
			hub.Apply(relay.Update{Whole: true, Records: []relay.Record{{Key: "s", Value: []byte("x")}}, End: 1, ReadAt: time.Second})
			var follower relay.Topic
			update, _ := hub.Since(0, -1)
			follower.Apply(update)
			update, ok := hub.Unseen(relay.Update{From: 1, Records: append(tc.last, relay.Record{Key: "s", Offset: 2}), End: 3, ReadAt: 5 * time.Second})
			require.True(t, ok)
			require.Equal(t, tc.want, update.Records[len(update.Records)-1].Idle)
			hub.Apply(update)
			update, _ = hub.Since(0, 1)
			update, ok = follower.Unseen(update)
			require.True(t, ok)
			require.Equal(t, tc.want, update.Records[0].Idle)
		})
	}
}

// TestHubsOfLargeDeployments has 295 daemons in five failure domains. Followers first use the
// hubs of their own failure domain, and three hubs read the store for all.
func TestHubsOfLargeDeployments(t *testing.T) {
	var members []relay.Member
	domain := make(map[string]string)
	for n := range 295 {
		m := relay.Member{Name: fmt.Sprint("daemon-", n), FailureDomain: fmt.Sprint("zone-", n%5), CPUShare: 0.192}
		if n%20 == 0 {
			m.CPUShare = 0.8
		}
		members, domain[m.Name] = append(members, m), m.FailureDomain
	}
	hubs := relay.Hubs(members)
	of := make(map[string]int)
	for _, hub := range hubs {
		of[domain[hub]]++
	}
	require.Equal(t, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2, "zone-3": 2, "zone-4": 2}, of)
	readers := relay.StoreReaders(hubs)
	require.Len(t, readers, 3)
	require.Len(t, map[string]bool{domain[readers[0]]: true, domain[readers[1]]: true, domain[readers[2]]: true}, 3, "a lost failure domain takes one of them")
	for _, m := range members {
		order := relay.HubOrder(m.Name, hubs, func(hub string) bool { return domain[hub] == m.FailureDomain })
		require.Equal(t, m.FailureDomain, domain[order[0]])
		require.Equal(t, m.FailureDomain, domain[order[1]])
		require.Len(t, order, len(hubs), "hubs of others are left for when its own are gone")
	}
}

// TestHubsOfFewDaemons expects three hubs wherever there are at least three daemons.
func TestHubsOfFewDaemons(t *testing.T) {
	for _, tc := range []struct{ daemons, domains, hubs int }{{1, 1, 1}, {2, 2, 2}, {6, 3, 3}, {9, 1, 3}, {8, 2, 3}, {85, 4, 4}} {
		var members []relay.Member
		for n := range tc.daemons {
			members = append(members, relay.Member{Name: fmt.Sprint(n), FailureDomain: fmt.Sprint(n % tc.domains)})
		}
		require.Len(t, relay.Hubs(members), tc.hubs, "%d daemons in %d failure domains", tc.daemons, tc.domains)
	}
}

func TestFollowersSpreadOverHubs(t *testing.T) {
	hubs, first := []string{"h0", "h1", "h2"}, make(map[string]int)
	for n := range 300 {
		first[relay.HubOrder(fmt.Sprint("daemon-", n), hubs, func(string) bool { return false })[0]]++
	}
	for _, hub := range hubs {
		require.InDelta(t, 100, first[hub], 35)
	}
}

func TestSilenceOfThoseWithoutWritingSaysNothing(t *testing.T) {
	busy := relay.ReplicaLoad{Load: dispatch.Load{Writing: 1}, SinceEvent: 40 * time.Millisecond}
	idle := relay.ReplicaLoad{Load: dispatch.Load{Waiting: 1}, SinceEvent: time.Millisecond}
	require.Equal(t, busy.SinceEvent, busy.Add(idle).SinceEvent)
	require.Equal(t, busy.SinceEvent, idle.Add(busy).SinceEvent)
}

// TestFollowerRebuildsTheNewest sends the records of a random topic through a hub that sometimes
// has a wrong offset for its follower, and compares the state that the follower rebuilds.
func TestFollowerRebuildsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			hub, follower relay.Topic
			truth         = make(map[string]int64)
			offset        int64
		)
		hub.Apply(relay.Update{Whole: true})
		have := int64(-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := relay.Update{From: offset}
			for range rapid.IntRange(0, 5).Draw(t, "records") {
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				r := relay.Record{Key: key, Offset: offset}
				truth[key] = offset
				if rapid.Bool().Draw(t, "kept") {
					r.Value = []byte(key)
				} else {
					delete(truth, key)
				}
				n.Records = append(n.Records, r)
				offset++
			}
			n.End = offset
			hub.Apply(n)
			if rapid.Bool().Draw(t, "asked") {
				update, ok := hub.Since(0, have)
				require.True(t, ok)
				// Some updates are lost in transit.
				if update, ok = follower.Unseen(update); ok && rapid.Bool().Draw(t, "arrived") {
					follower.Apply(update)
				}
				// The hub assumes that an update has arrived until the follower reports
				// otherwise.
				have = rapid.SampledFrom([]int64{follower.End(), update.End}).Draw(t, "have")
			}
		}
		update, _ := hub.Since(0, follower.End())
		update, _ = follower.Unseen(update)
		follower.Apply(update)
		all, _ := follower.Since(0, -1)
		require.Len(t, all.Records, len(truth))
		for _, r := range all.Records {
			require.Equal(t, truth[r.Key], r.Offset, "key %s", r.Key)
		}
	})
}

// An eraHistory is a store that comes back from copies, a hub that reads it, and a follower of the hub.
type eraHistory struct {
	t             *rapid.T
	hub, follower relay.Topic
	records       []relay.Record
	era           int64
	late          []relay.Update
	readAt        time.Duration
}

// write appends a record to the store.
func (h *eraHistory) write() {
	r := relay.Record{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "key"), Offset: int64(len(h.records))}
	if rapid.Bool().Draw(h.t, "kept") {
		r.Value = fmt.Appendf(nil, "%d/%d", h.era, r.Offset)
	}
	h.records = append(h.records, r)
}

// read makes the hub read the store.
func (h *eraHistory) read() {
	h.readAt++
	u := relay.Update{Era: h.era, From: h.hub.End(), End: int64(len(h.records)), ReadAt: h.readAt}
	if u.Whole = h.hub.End() < 0 || h.hub.Era() != h.era; u.Whole {
		u.Records = newest(h.records)
	} else {
		u.Records = slices.Clone(h.records[h.hub.End():])
	}
	if fresh, ok := h.hub.Unseen(u); ok {
		h.hub.Apply(fresh)
	}
}

// answer makes the hub answer the follower, which receives that now or later.
func (h *eraHistory) answer() {
	u, ok := h.hub.Since(h.follower.Era(), h.follower.End())
	if !ok {
		return
	}
	if h.late = append(h.late, u); rapid.Bool().Draw(h.t, "arrived") {
		h.receive(u)
	}
}

// receive makes the follower receive u.
func (h *eraHistory) receive(u relay.Update) {
	if fresh, ok := h.follower.Unseen(u); ok {
		h.follower.Apply(fresh)
	}
}

// TestTopicsOverEras guards against a copy of a topic that mixes two eras of the store: it comes back from an older copy at
// any moment, and gives offsets out again. Updates are lost, arrive late, or come from a hub that is still in an earlier
// era.
func TestTopicsOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &eraHistory{t: t, era: 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				h.write()
			case 2:
				h.records, h.era = slices.Clone(h.records[:rapid.IntRange(0, len(h.records)).Draw(t, "copy")]), h.era+1
			case 3, 4:
				h.read()
			case 5, 6:
				h.answer()
			case 7:
				if len(h.late) > 0 {
					h.receive(rapid.SampledFrom(h.late).Draw(t, "update"))
				}
			}
		}
		h.read()
		u, ok := h.hub.Since(h.follower.Era(), h.follower.End())
		require.True(t, ok)
		h.receive(u)
		want := newest(h.records)
		for name, topic := range map[string]*relay.Topic{"hub": &h.hub, "follower": &h.follower} {
			all, _ := topic.Since(topic.Era(), -1)
			require.ElementsMatch(t, want, all.Records, "%s in era %d", name, h.era)
			require.Equal(t, int64(len(h.records)), topic.End())
		}
	})
}

// newest returns the newest record of each key.
func newest(records []relay.Record) []relay.Record {
	byKey := make(map[string]relay.Record)
	for _, r := range records {
		if delete(byKey, r.Key); len(r.Value) > 0 {
			byKey[r.Key] = r
		}
	}
	return slices.Collect(maps.Values(byKey))
}

// TestUpdatesWithoutAnEra lists when an update of a build that knows no eras counts.
func TestUpdatesWithoutAnEra(t *testing.T) {
	first := relay.Update{Whole: true, End: 5, Era: 1, ReadAt: 1}
	next := relay.Update{From: 5, End: 6, ReadAt: 2}
	var topic relay.Topic
	topic.Apply(first)
	_, ok := topic.Unseen(next)
	require.True(t, ok, "the store has not come back from a copy")
	topic.Apply(relay.Update{Whole: true, End: 3, Era: 2, ReadAt: 3})
	next.From = 3
	_, ok = topic.Unseen(next)
	require.False(t, ok, "its sender may still be in the earlier era")
	var old relay.Topic
	old.Apply(relay.Update{Whole: true, End: 5, ReadAt: 1})
	update, ok := old.Unseen(relay.Update{From: 5, End: 6, Era: 2, ReadAt: 2})
	require.True(t, ok, "the first update that names an era")
	old.Apply(update)
	require.Equal(t, int64(2), old.Era())
}
