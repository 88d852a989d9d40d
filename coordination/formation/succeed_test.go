package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestSparesJoinWhileTheHeadCloses guards against long outages of a replica on planned leaves under
// load: the outage lasts for the work of the head and forming the replica again, and must not
// include the time in which a spare server loads the model from its host.
func TestSparesJoinWhileTheHeadCloses(t *testing.T) {
	sim := newSimulation(t, 1, 9)
	sim.run(8 * time.Second)
	sim.stageIdle("large")
	sim.fleet.TrafficStarted, sim.timed, sim.drainTime = true, true, 1400*time.Millisecond
	_, others := sim.head("large")
	s := sim.actual[others[1]]
	s.Draining = true
	sim.actual[s.ID] = s
	sim.run(6 * time.Second)
	repairs := sim.planner.Repairs()
	require.Len(t, repairs, 1)
	require.Less(t, repairs[0].Downtime, 2300*time.Millisecond)
}

// TestSparesBeforeCallersCome checks which models spare servers hold: losing a server of a large
// replica stops twice as many others, so two of the three spare servers in each fabric domain hold
// the large model. The sizes are those of scenario scale-1 of the larger site.
func TestSparesBeforeCallersCome(t *testing.T) {
	sim := newSimulation(t, 2, 19)
	grown := *engine
	grown.Models = []site.Model{
		{Name: "small", Size: 4, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, StagedLoad: 1100 * time.Millisecond},
		{Name: "large", Size: 8, Pace: 1, Share: 0.5, Load: 16 * time.Second, StagedLoad: 1600 * time.Millisecond},
	}
	sim.fleet.Engine = &grown
	sim.run(8 * time.Second)
	require.Equal(t, map[string]int{"large": 2, "small": 4}, sim.open())
	spares := make(map[string]int)
	for _, s := range sim.actual {
		if s.Member.State == site.Unassigned {
			spares[s.FabricDomain+" "+s.Staged[0]]++
		}
	}
	require.Equal(t, map[string]int{"d0 large": 2, "d0 small": 1, "d1 large": 2, "d1 small": 1}, spares)
}
