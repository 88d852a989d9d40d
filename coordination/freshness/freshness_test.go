package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/freshness"
)

var (
	start  = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	bounds = freshness.Bounds{MaxAge: 3 * time.Second, PeerTimeout: 2 * time.Second}
)

func ExampleState_Until() {
	state := freshness.State{Offset: 7, ConfirmedAt: start}
	mode, until := state.Until(start.Add(time.Second), bounds)
	fmt.Println(mode, until.Sub(start))
	mode, _ = state.Until(start.Add(time.Hour), bounds)
	fmt.Println(mode)
	// Output:
	// fresh 3s
	// isolated
}

func TestUntil(t *testing.T) {
	ago := func(d time.Duration) time.Time { return start.Add(-d) }
	peer := func(offset uint64, confirmed, silent time.Duration, down bool) freshness.Peer {
		return freshness.Peer{LastSeen: ago(silent), ConfirmedAt: ago(confirmed), Offset: offset, LogDown: down}
	}
	for _, tc := range []struct {
		name  string
		state freshness.State
		want  freshness.Mode
	}{
		{"reads_the_log", freshness.State{Offset: 5, ConfirmedAt: ago(time.Second)}, freshness.ModeFresh},
		{"paused_for_an_hour", freshness.State{Offset: 5, ConfirmedAt: ago(time.Hour)}, freshness.ModeIsolated},
		{"never_heard_anything", freshness.State{LogDown: true}, freshness.ModeIsolated},
		{"cut_from_the_log_but_follows_a_peer", freshness.State{
			Offset: 5, ConfirmedAt: ago(time.Minute), LogDown: true,
			Peers: map[string]freshness.Peer{"b": peer(5, time.Second, 0, false)},
		}, freshness.ModeFresh},
		{"behind_the_peer_that_reads_the_log", freshness.State{
			Offset: 4, ConfirmedAt: ago(time.Minute), LogDown: true,
			Peers: map[string]freshness.Peer{"b": peer(5, time.Second, 0, false)},
		}, freshness.ModeIsolated},
		{"nobody_reads_the_log", freshness.State{
			Offset: 5, ConfirmedAt: ago(time.Minute), LogDown: true,
			Peers: map[string]freshness.Peer{"b": peer(5, time.Minute, 0, true), "c": peer(5, time.Minute, 0, true)},
		}, freshness.ModeOutage},
		{"one_peer_of_two_is_silent", freshness.State{
			Offset: 5, ConfirmedAt: ago(time.Minute), LogDown: true,
			Peers: map[string]freshness.Peer{"b": peer(5, time.Minute, 0, true), "c": peer(5, time.Minute, time.Minute, true)},
		}, freshness.ModeOutage},
		{"most_peers_are_silent", freshness.State{
			Offset: 5, ConfirmedAt: ago(time.Minute), LogDown: true,
			Peers: map[string]freshness.Peer{
				"b": peer(5, time.Minute, time.Minute, true), "c": peer(5, time.Minute, time.Minute, true),
			},
		}, freshness.ModeIsolated},
		{"a_peer_is_ahead_in_an_outage", freshness.State{
			Offset: 4, ConfirmedAt: ago(time.Minute), LogDown: true,
			Peers: map[string]freshness.Peer{"b": peer(5, time.Minute, 0, true), "c": peer(4, time.Minute, 0, true)},
		}, freshness.ModeIsolated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mode, until := tc.state.Until(start, bounds)
			require.Equal(t, tc.want, mode)
			require.Equal(t, tc.want != freshness.ModeIsolated, until.After(start))
		})
	}
}
