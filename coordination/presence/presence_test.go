package presence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/coordination/presence"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 500)
	m.Run()
}

func ExampleRead_Sign() {
	// A copy of the heartbeats ends at 131 when a hub that has just started sends all that it knows.
	listing := presence.Read{Listing: true, Comparable: true, EndBefore: 131, End: 133, Round: 11}
	fmt.Println(listing.Sign(96) == presence.Repeated, listing.Sign(132) == presence.New)
	// A daemon that has just started has no copy.
	listing.Comparable = false
	fmt.Println(listing.Sign(96) == presence.Outdated, listing.Sign(126) == presence.Undated)
	// Output:
	// true true
	// true true
}

// timeouts are those of a fleet whose daemons must not be named 6 s after they have ended.
var timeouts = presence.Timeouts{Alive: 3500 * time.Millisecond, Undated: 1800 * time.Millisecond, Lag: 2200 * time.Millisecond, Outage: 1200 * time.Millisecond}

func TestSign(t *testing.T) {
	for _, tc := range []struct {
		name   string
		read   presence.Read
		offset int64
		want   presence.Sign
	}{
		{"follows_the_copy", presence.Read{Comparable: true, EndBefore: 7, End: 9}, 8, presence.New},
		{"first_of_what_follows_the_copy", presence.Read{Comparable: true, EndBefore: 7, End: 9}, 7, presence.New},
		{"listed_again", presence.Read{Listing: true, Comparable: true, EndBefore: 7, End: 7, Round: 9}, 6, presence.Repeated},
		{"listed_after_the_copy", presence.Read{Listing: true, Comparable: true, EndBefore: 7, End: 8, Round: 9}, 7, presence.New},
		{"listed_far_behind_the_end", presence.Read{Listing: true, Comparable: true, EndBefore: 7, End: 900, Round: 9}, 8, presence.New},
		{"listed_without_a_copy", presence.Read{Listing: true, EndBefore: -1, End: 30, Round: 9}, 3, presence.Undated},
		{"listed_without_a_copy_long_ago", presence.Read{Listing: true, EndBefore: -1, End: 30, Round: 9}, 2, presence.Outdated},
		{"listed_in_another_era", presence.Read{Listing: true, EndBefore: 900, End: 7, Round: 9}, 6, presence.Undated},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, tc.read.Sign(tc.offset)) })
	}
}

func TestSeenAt(t *testing.T) {
	for _, tc := range []struct {
		name       string
		previousAt time.Duration
		want       time.Duration
	}{
		{"read_a_moment_ago", 19 * time.Second, 20 * time.Second},
		{"read_a_lag_ago", 17800 * time.Millisecond, 20 * time.Second},
		{"read_longer_ago", 17 * time.Second, 19200 * time.Millisecond},
		{"not_read_for_long", time.Second, 17700 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, timeouts.SeenAt(20*time.Second, presence.Read{PreviousAt: tc.previousAt}))
		})
	}
}

func TestSeenAfterOutage(t *testing.T) {
	for _, tc := range []struct{ name, seenAt, want string }{
		{"heard_of_by_a_hub", "19.5s", "19.5s"},
		{"silent_since_before", "3s", "17.7s"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seenAt, err := time.ParseDuration(tc.seenAt)
			require.NoError(t, err)
			require.Equal(t, tc.want, timeouts.SeenAfterOutage(20*time.Second, seenAt).String())
		})
	}
}

// TestEndedDaemonExpires guards against a daemon that counts as alive for longer than Alive and Lag after it has ended,
// in fleets of three to hundreds of daemons, when listings that hubs read before repeat its last heartbeat at any time.
func TestEndedDaemonExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.Int64Range(3, 400).Draw(t, "daemons")
		millis := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		// The daemon's last heartbeat is the record 100, written at 0. The others write five a second.
		const last = 100
		endAt := func(at time.Duration) int64 {
			return last + int64(max(at+200*time.Millisecond, 0)/(200*time.Millisecond))
		}
		now, sentAt, end, seenAt := time.Duration(0), -time.Second, int64(last-5), -time.Hour
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			now += millis("pause", 10, 1500)
			// The update is of a read that was sent up to two seconds ago.
			sent := now - millis("age", 10, 2000)
			read := presence.Read{
				Listing: rapid.Bool().Draw(t, "listing"), Comparable: true, EndBefore: end, PreviousAt: sentAt, End: endAt(sent + millis("answer", 0, 10)), Round: daemons,
			}
			if read.End < end {
				continue
			}
			if read.End > last && (read.Listing || end <= last) && read.Sign(last) == presence.New {
				seenAt = timeouts.SeenAt(now, read)
			}
			end, sentAt = read.End, max(sentAt, sent)
			if now > timeouts.Alive+timeouts.Lag {
				require.True(t, timeouts.Expired(now, seenAt), "seen at %s, alive at %s", seenAt, now)
			}
		}
	})
}
