package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// newRosterWithServer returns a roster with one server, whose entry has the offset 10.
func newRosterWithServer() *roster {
	r := &roster{}
	r.put(0, 10, site.Server{ID: "s", Service: "models", Address: "a", Born: 5, Sequence: 3}, 0)
	return r
}

func TestRoster(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(r *roster)
		want bool
		at   time.Duration
	}{
		{"listed", func(*roster) {}, true, 0},
		{"removed", func(r *roster) { r.remove(0, relay.Record{Key: "s", Offset: 11}, 0) }, false, 0},
		{"removed_before", func(r *roster) { r.remove(0, relay.Record{Key: "s", Offset: 9}, 0) }, true, 0},
		{"lapsed_while_the_store_was_away", func(r *roster) {
			r.startGrace(0)
			r.remove(0, relay.Record{Key: "s", Offset: 11}, 0)
		}, true, time.Second},
		{"lapsed_and_not_back", func(r *roster) {
			r.startGrace(0)
			r.remove(0, relay.Record{Key: "s", Offset: 11}, 0)
		}, false, lapsedEntryGrace},
		{"lapsed_and_back", func(r *roster) {
			r.startGrace(0)
			r.remove(0, relay.Record{Key: "s", Offset: 11}, 0)
			r.put(time.Second, 12, site.Server{ID: "s", Service: "models", Address: "a", Born: 5, Sequence: 4}, 0)
		}, true, lapsedEntryGrace},
		{"leaving_when_it_lapsed", func(r *roster) {
			r.put(0, 11, site.Server{ID: "s", Service: "models", Address: "a", Born: 5, Sequence: 4, Draining: true}, 0)
			r.startGrace(0)
			r.remove(0, relay.Record{Key: "s", Offset: 12}, 0)
		}, false, 0},
		{"not_among_the_newest", func(r *roster) { r.retainListed(0, relay.Update{End: 20}, false) }, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRosterWithServer()
			tc.do(r)
			r.expire(tc.at)
			require.Equal(t, tc.want, len(r.all()) == 1)
		})
	}
}

// TestServerCutOffFromTheStore guards against dropping replica members that are cut off from the
// store for a few seconds but keep serving, as an eighth of all servers do in scale-1 of the grown
// utility.
func TestServerCutOffFromTheStore(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for _, tc := range []struct {
		name   string
		change func(*site.Server)
		after  time.Duration
		want   bool
	}{
		{"member_without_heartbeats", func(*site.Server) {}, 3 * heartbeat, true},
		{"member_that_wrote_lately", func(*site.Server) {}, heartbeat, false},
		{"member_that_is_leaving", func(s *site.Server) { s.Draining = true }, 3 * heartbeat, false},
		{"member_that_is_joining", func(s *site.Server) { s.Member.State = site.Joining }, 3 * heartbeat, false},
		{"server_without_a_replica", func(s *site.Server) { s.Member = site.Membership{} }, 3 * heartbeat, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := site.Server{ID: "s", Service: "models", Born: 5, Sequence: 3, Member: site.Membership{Group: "m/1/1", Epoch: 1, Rank: 1, State: site.Ready}}
			tc.change(&s)
			r := &roster{}
			r.put(0, 10, s, 0)
			require.True(t, r.remove(tc.after, relay.Record{Key: "s", Offset: 11, Idle: tc.after}, heartbeat))
			require.Equal(t, tc.want, r.entries["s"].cutOff)
			if !tc.want {
				require.Empty(t, r.all())
				return
			}
			r.expire(tc.after + cutOffTTL - 1)
			require.Len(t, r.all(), 1, "kept while it may be cut off")
			s.Sequence++
			r.put(tc.after+time.Second, 12, s, 0)
			r.expire(tc.after + 2*cutOffTTL)
			require.Len(t, r.all(), 1, "listed again after its entry was renewed")
			require.False(t, r.entries["s"].cutOff)
		})
	}
	t.Run("not_for_ever", func(t *testing.T) {
		r := &roster{}
		r.put(0, 10, site.Server{ID: "s", Member: site.Membership{Group: "m/1/1", Epoch: 1, State: site.Open}}, 0)
		r.remove(3*heartbeat, relay.Record{Key: "s", Offset: 11, Idle: 3 * heartbeat}, heartbeat)
		require.True(t, r.expire(3*heartbeat+cutOffTTL))
		require.Empty(t, r.all())
	})
}

func TestRosterLives(t *testing.T) {
	r := newRosterWithServer()
	require.False(t, r.put(0, 12, site.Server{ID: "s", Address: "old", Born: 4, Sequence: 9}, 0), "an earlier incarnation")
	require.False(t, r.put(0, 13, site.Server{ID: "s", Address: "a", Born: 5, Sequence: 2}, 0), "a delayed entry")
	require.True(t, r.put(0, 14, site.Server{ID: "s", Address: "b", Born: 6}, time.Second))
	require.Equal(t, "b", r.entries["s"].server.Address)
	require.Equal(t, time.Second, r.entries["s"].coldUntil, "an incarnation that is seen for the first time is cold")
}

// TestPaceOfAServer guards against a pace that outlives the run of the server that reported it, or that is lost
// with the next entry of the list, which does not tell it.
func TestPaceOfAServer(t *testing.T) {
	slow := site.Server{ID: "s", Born: 5, Pace: 4}
	for _, tc := range []struct {
		name    string
		then    func(r *roster) bool
		changed bool
		want    float64
	}{
		{"kept_with_the_next_entry", func(r *roster) bool {
			return r.put(0, 11, site.Server{ID: "s", Service: "models", Address: "a", Born: 5, Sequence: 4}, 0)
		}, false, 4},
		{"ends_with_the_run", func(r *roster) bool {
			return r.put(0, 11, site.Server{ID: "s", Service: "models", Address: "a", Born: 6}, 0)
		}, true, 0},
		{"slow_still", func(r *roster) bool { return r.recordPace(0, site.Server{ID: "s", Born: 5, Pace: 3}) }, false, 3},
		{"no_longer_slow", func(r *roster) bool { return r.recordPace(0, site.Server{ID: "s", Born: 5, Pace: 1.1}) }, true, 1.1},
		{"report_of_another_run", func(r *roster) bool { return r.recordPace(0, site.Server{ID: "s", Born: 4, Pace: 1}) }, false, 4},
		{"report_of_another_server", func(r *roster) bool { return r.recordPace(0, site.Server{ID: "t", Born: 5, Pace: 1}) }, false, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRosterWithServer()
			require.True(t, r.recordPace(0, slow))
			require.Equal(t, tc.changed, tc.then(r))
			require.InDelta(t, tc.want, r.entries["s"].pace, 0)
		})
	}
}
