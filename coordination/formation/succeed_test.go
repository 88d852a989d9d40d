package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestSparesJoinWhileTheHeadCloses is the pattern of planned leaves under load: the time in
// which a replica does not serve is that of its head's work and of forming it again, not
// that of a spare's way from the host on top.
func TestSparesJoinWhileTheHeadCloses(t *testing.T) {
	b := newBench(t, 1, 9)
	b.run(8 * time.Second)
	b.hold("large")
	b.fleet.TrafficStarted, b.timed, b.work = true, true, 1400*time.Millisecond
	_, others := b.head("large")
	s := b.actual[others[1]]
	s.Draining = true
	b.actual[s.ID] = s
	b.run(6 * time.Second)
	repairs := b.planner.Repairs()
	require.Len(t, repairs, 1)
	require.Less(t, repairs[0].Downtime, 2300*time.Millisecond)
}

// TestSparesBeforeCallersCome is the pattern of losses on scale-1 of the grown observatory:
// a loss of a large replica's server takes twice as many others with it, so that two of the
// three servers that a fabric domain leaves over hold the large model.
func TestSparesBeforeCallersCome(t *testing.T) {
	b := newBench(t, 2, 19)
	grown := *engine
	grown.Models = []site.Model{
		{Name: "small", Size: 4, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		{Name: "large", Size: 8, Pace: 1, Share: 0.5, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
	}
	b.fleet.Engine = &grown
	b.run(8 * time.Second)
	require.Equal(t, map[string]int{"large": 2, "small": 4}, b.open())
	spares := make(map[string]int)
	for _, s := range b.actual {
		if s.Member.State == site.Unassigned {
			spares[s.FabricDomain+" "+s.Staged[0]]++
		}
	}
	require.Equal(t, map[string]int{"d0 large": 2, "d0 small": 1, "d1 large": 2, "d1 small": 1}, spares)
}
