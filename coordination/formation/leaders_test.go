package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestLateJoinOfTheLeaderBefore guards against a server joining a replica while its old one is
// open: a leader opens a replica that the previous one had closed, and the previous leader's order
// to join another replica is carried out late at a member. It is the shortest history that
// TestRandomLeaders found, seed 77.
func TestLateJoinOfTheLeaderBefore(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(8 * time.Second)
	sim.fleet.TrafficStarted = true
	id, others := sim.head("large")
	closed := sim.actual[id]
	closed.Member.State = site.Ready
	sim.actual[id] = closed
	sim.term = 2
	sim.delayed[sim.now+3*time.Second] = []formation.Order{{
		Server: others[0], Action: formation.Join, Group: "large/2/1", Epoch: 2_000_001, Model: "large",
		Members: append([]string{id}, others...), Fence: sim.term,
	}}
	sim.changeLeader()
	sim.run(10 * time.Second)
	require.Equal(t, 1, sim.open()["large"], "the replica should be open again")
}

// TestRandomLeaders guards against servers in two open replicas (TWO) and replicas opened without
// all members (PARTIAL) when leaders change: each leader knows only a list that lags, orders of the
// previous one are carried out late, and servers come and go. The simulation checks every join and
// every open.
func TestRandomLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, 2, rapid.IntRange(8, 9).Draw(rt, "size"))
		sim.run(8 * time.Second)
		sim.fleet.TrafficStarted = true
		sim.formTime = time.Duration(rapid.IntRange(0, 3).Draw(rt, "form")) * 100 * time.Millisecond
		sim.lag = time.Duration(rapid.IntRange(0, 7).Draw(rt, "lag")) * 100 * time.Millisecond
		share := rapid.IntRange(0, 5).Draw(rt, "share")
		sim.unanswered = func(formation.Order) bool { return rapid.IntRange(0, 9).Draw(rt, "late") < share }
		for n := range rapid.IntRange(1, 12).Draw(rt, "events") {
			if rapid.IntRange(0, 2).Draw(rt, "leader") == 0 {
				sim.changeLeader()
			}
			sim.randomEvent(rt, n)
		}
		sim.unanswered = nil
		sim.run(30 * time.Second)
		require.NotEmpty(t, sim.open())
	})
}
