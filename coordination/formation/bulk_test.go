package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestOrdersOfALargeFleet guards against a leader that sends orders to hundreds of servers at once, which leaves no
// processor time for its heartbeats: at the start, and when the next leader takes over before the replicas serve. All
// replicas have to serve eight seconds after the last leader began all the same.
func TestOrdersOfALargeFleet(t *testing.T) {
	const most = 40
	for _, tc := range []struct {
		name  string
		after time.Duration
	}{
		{"one_leader", 0},
		{"next_leader_while_members_join", 3 * time.Second},
		{"next_leader_before_replicas_open", 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 25, 37)
			sim.fleet.Engine, sim.lag, sim.formTime = grownEngine(), 800*time.Millisecond, 300*time.Millisecond
			if tc.after > 0 {
				sim.run(tc.after)
				sim.changeLeader()
			}
			sim.run(8 * time.Second)
			require.Equal(t, map[string]int{"large": 25, "small": 50}, sim.open())
			ordered := make(map[string]bool)
			for _, o := range sim.orders {
				member := sim.actual[o.Server].Member.State != site.Unassigned
				require.False(t, o.Action == formation.Stage && member && !ordered[o.Server], "server %s has to load a model before it may join", o.Server)
				ordered[o.Server] = true
			}
			bulk := make(map[time.Duration]int)
			for i, o := range sim.orders {
				if o.Action == formation.Join || o.Action == formation.Stage {
					bulk[sim.orderTimes[i]]++
				}
			}
			for at, n := range bulk {
				require.LessOrEqual(t, n, most, "orders to join or stage at %v", at)
			}
		})
	}
}

// TestLoadsThatWait guards against a load that counts as begun although its order has to wait for a later step.
func TestLoadsThatWait(t *testing.T) {
	sim := newSimulation(t, 25, 7)
	sim.fleet.Engine, sim.fleet.TrafficStarted, sim.fleet.LoadLimit = grownEngine(), true, 1000
	sim.run(10 * time.Second)
	staged := 0
	for _, s := range sim.actual {
		staged += min(len(s.Staged), 1)
	}
	require.Equal(t, len(sim.actual), staged, "servers with weights on their hosts")
}
