package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

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
		members = append(members, relay.Member{Name: name, Strength: 0.4})
	}
	want := relay.Hubs(members)
	slices.Reverse(members)
	require.Equal(t, want, relay.Hubs(members))
	members[0].Strength = 0.8
	require.Equal(t, members[0].Name, relay.Hubs(members)[0], "the strongest reads for the others")
}

// TestStormOfOneKey is the pattern of trouble-2 of the grown utility: the same large
// record is replaced several times a second, faster than links carry every version.
func TestStormOfOneKey(t *testing.T) {
	var hub relay.Topic
	hub.Take(relay.News{Whole: true})
	for n := range int64(50) {
		hub.Take(relay.News{Records: []relay.Record{{Key: "config", Value: []byte{1}, Offset: n}}, End: n + 1})
	}
	news, ok := hub.Since(10)
	require.True(t, ok)
	require.Len(t, news.Records, 1)
	require.Equal(t, int64(49), news.Records[0].Offset)
}

func TestFollowersSpreadOverHubs(t *testing.T) {
	hubs, first := []string{"h0", "h1", "h2"}, make(map[string]int)
	for n := range 300 {
		first[relay.Order(fmt.Sprint("daemon-", n), hubs)[0]]++
	}
	for _, hub := range hubs {
		require.InDelta(t, 100, first[hub], 35)
	}
}

func TestSilenceOfThoseWithoutWritingSaysNothing(t *testing.T) {
	busy := relay.Work{Load: dispatch.Load{Writing: 1}, Silent: 40 * time.Millisecond}
	idle := relay.Work{Load: dispatch.Load{Waiting: 1}, Silent: time.Millisecond}
	require.Equal(t, busy.Silent, busy.Add(idle).Silent)
	require.Equal(t, busy.Silent, idle.Add(busy).Silent)
}

// TestFollowerRebuildsTheNewest passes the records of a random topic on through a
// hub that loses its place now and then, and compares what a follower rebuilds.
func TestFollowerRebuildsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			hub, follower relay.Topic
			truth         = make(map[string]int64)
			offset        int64
		)
		hub.Take(relay.News{Whole: true})
		have := int64(-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := relay.News{From: offset}
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
			hub.Take(n)
			if rapid.Bool().Draw(t, "asked") {
				news, ok := hub.Since(have)
				require.True(t, ok)
				// Some news are lost on their way.
				if news, ok = follower.New(news); ok && rapid.Bool().Draw(t, "arrived") {
					follower.Take(news)
				}
				// The hub takes it that they have arrived until it hears otherwise.
				have = rapid.SampledFrom([]int64{follower.End(), news.End}).Draw(t, "have")
			}
		}
		news, _ := hub.Since(follower.End())
		news, _ = follower.New(news)
		follower.Take(news)
		all, _ := follower.Since(-1)
		require.Len(t, all.Records, len(truth))
		for _, r := range all.Records {
			require.Equal(t, truth[r.Key], r.Offset, "key %s", r.Key)
		}
	})
}
