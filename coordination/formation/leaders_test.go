package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestLateJoinOfTheLeaderBefore guards against TWO: a leader opens a replica that the one before had
// closed, and an order of that one to join another replica is carried out late at a member. It
// is the shortest history that TestRandomLeaders found, seed 77.
func TestLateJoinOfTheLeaderBefore(t *testing.T) {
	b := newBench(t, 1, 4)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	id, others := b.head("large")
	closed := b.actual[id]
	closed.Member.State = site.Ready
	b.actual[id] = closed
	b.term = 2
	b.later[b.now+3*time.Second] = []formation.Order{{
		Server: others[0], Action: formation.Join, Group: "large/2/1", Epoch: 2_000_001, Model: "large",
		Members: append([]string{id}, others...), Fence: b.term,
	}}
	b.succeed()
	b.run(10 * time.Second)
	require.Equal(t, 1, b.open()["large"], "it is open again")
}

// TestRandomLeaders guards against TWO and PARTIAL over the succession of leaders: each knows no
// more than a list that lags, orders of the one before are carried out late, and servers come and
// go; the bench checks every join and every open.
func TestRandomLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t, 2, rapid.IntRange(8, 9).Draw(rt, "size"))
		b.run(8 * time.Second)
		b.fleet.TrafficStarted = true
		b.form = time.Duration(rapid.IntRange(0, 3).Draw(rt, "form")) * 100 * time.Millisecond
		b.lag = time.Duration(rapid.IntRange(0, 7).Draw(rt, "lag")) * 100 * time.Millisecond
		share := rapid.IntRange(0, 5).Draw(rt, "share")
		b.unanswered = func(formation.Order) bool { return rapid.IntRange(0, 9).Draw(rt, "late") < share }
		for n := range rapid.IntRange(1, 12).Draw(rt, "events") {
			if rapid.IntRange(0, 2).Draw(rt, "leader") == 0 {
				b.succeed()
			}
			b.happen(rt, n)
		}
		b.unanswered = nil
		b.run(30 * time.Second)
		require.NotEmpty(t, b.open())
	})
}
