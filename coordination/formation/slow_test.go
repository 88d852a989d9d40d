package formation_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// grownEngine has the sizes of the replicas of the largest site.
func grownEngine() *site.Engine {
	grown := *engine
	grown.LoadsAtOnce, grown.LoadsPerSecond = 115, 77
	grown.Models = []site.Model{
		{Name: "large", Size: 16, Pace: 1, Share: 0.5, Load: 16 * time.Second, StagedLoad: 1600 * time.Millisecond},
		{Name: "small", Size: 8, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, StagedLoad: 1100 * time.Millisecond},
	}
	return &grown
}

// newGrownSimulation returns a simulation of fabric domains of 37 servers whose replicas serve, under traffic.
func newGrownSimulation(t *testing.T, domains int) *simulation {
	sim := newSimulation(t, domains, 37)
	sim.fleet.Engine, sim.fleet.Pace = grownEngine(), make(map[string]float64)
	sim.run(8 * time.Second)
	sim.fleet.TrafficStarted, sim.timed, sim.formTime, sim.drainTime = true, true, 300*time.Millisecond, time.Second
	sim.lag = 800 * time.Millisecond
	return sim
}

// capacity returns the serving replicas by model, each counted at the pace of its slowest member.
func (sim *simulation) capacity() map[string]float64 {
	out := make(map[string]float64)
	for _, s := range sim.actual {
		if s.Member.State != site.Open {
			continue
		}
		pace := 1.0
		for _, id := range sim.members[s.Member.Group] {
			pace = max(pace, sim.fleet.Pace[id])
		}
		out[formation.ModelOf(s.Member.Group)] += 1 / pace
	}
	return out
}

// slowDown makes a share of all servers slow, the same ones in each run.
func (sim *simulation) slowDown(share, pace float64) {
	random := rand.New(rand.NewPCG(7, 11))
	for _, id := range slices.Sorted(maps.Keys(sim.actual)) {
		if random.Float64() < share {
			sim.fleet.Pace[id] = pace
		}
	}
}

// TestSlowMembersAreReplaced guards against replicas that run at the pace of one slow member while sound servers
// stand by: the larger a replica, the more likely it has one. Each model has to keep three quarters of the capacity
// that its share of the sound servers has. The shares and paces are those of days of the largest site.
func TestSlowMembersAreReplaced(t *testing.T) {
	const kept = 0.75
	for _, tc := range []struct {
		name        string
		share, pace float64
		drain       time.Duration
	}{
		{"few_very_slow", 0.025, 12, time.Second},
		{"one_in_twenty", 0.05, 4, time.Second},
		{"one_in_seven", 0.144, 2.5, time.Second},
		{"one_in_six", 0.172, 4.6, time.Second},
		{"requests_that_take_long", 0.05, 4, time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newGrownSimulation(t, 8)
			sim.drainTime = tc.drain
			sound := sim.capacity()
			sim.slowDown(tc.share, tc.pace)
			before := sim.capacity()
			sim.run(8 * time.Second)
			after := sim.capacity()
			for model := range sound {
				require.GreaterOrEqual(t, after[model], kept*(1-tc.share)*sound[model], "capacity of model %s, %.1f before", model, before[model])
			}
		})
	}
}

// TestReplicasGoOnWhileOthersAreFormedAnew guards against a model that is not served at all while its replicas are
// formed without their slow members.
func TestReplicasGoOnWhileOthersAreFormedAnew(t *testing.T) {
	sim := newGrownSimulation(t, 8)
	sound := sim.open()
	sim.slowDown(0.172, 4.6)
	for range 80 {
		sim.run(step)
		for model, n := range sim.open() {
			require.GreaterOrEqual(t, 2*n, sound[model], "open replicas of model %s at %v", model, sim.now)
		}
	}
}

// TestSlowMembersShareAReplica guards against two replicas that both stay slow where no idle server can take the place of
// a slow member: the sound members of both form one.
func TestSlowMembersShareAReplica(t *testing.T) {
	sim := newSimulation(t, 2, 8)
	sim.serveOnly("large", "small")
	sim.fleet.Demand, sim.fleet.Pace = map[string]float64{"large": 4, "small": 0.01}, make(map[string]float64)
	sim.run(2 * time.Second)
	require.Equal(t, map[string]int{"large": 4}, sim.open())
	for _, s := range sim.actual {
		if s.FabricDomain == "d0" && s.Member.Rank < 2 {
			sim.fleet.Pace[s.ID] = 3
		}
	}
	sim.run(10 * time.Second)
	require.InDelta(t, 3+1.0/3, sim.capacity()["large"], 0.01)
}

// TestSlowServersAreUsedLast guards against a replica that is formed with a slow server while a sound one stands by.
func TestSlowServersAreUsedLast(t *testing.T) {
	for _, slow := range []string{"s0-0", "s0-1", "s0-2"} {
		t.Run(slow, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.stageIdle("small")
			sim.fleet.TrafficStarted, sim.fleet.Pace = true, map[string]float64{slow: 4}
			sim.run(4 * time.Second)
			require.Equal(t, map[string]int{"small": 1}, sim.open())
			require.Equal(t, site.Unassigned, sim.actual[slow].Member.State)
		})
	}
}

// TestSlowServersComeBack guards against replicas that are closed back and forth when servers are slow for a while:
// once for the slow members, and not again when they have recovered.
func TestSlowServersComeBack(t *testing.T) {
	sim := newGrownSimulation(t, 4)
	sound := sim.open()
	sim.slowDown(0.1, 3)
	sim.run(8 * time.Second)
	clear(sim.fleet.Pace)
	before := len(sim.orders)
	sim.run(20 * time.Second)
	require.Equal(t, sound, sim.open())
	for _, o := range sim.orders[before:] {
		require.NotEqual(t, formation.Close, o.Action, "%v", o)
	}
}

// TestSlowMemberWithoutSubstitute guards against a replica that is closed for a slow member although no sound server
// can take its place.
func TestSlowMemberWithoutSubstitute(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(8 * time.Second)
	sim.fleet.TrafficStarted = true
	_, others := sim.head("large")
	sim.fleet.Pace = map[string]float64{others[0]: 12}
	before := len(sim.orders)
	sim.run(20 * time.Second)
	require.Len(t, sim.orders, before)
	require.Equal(t, map[string]int{"large": 1}, sim.open())
}

// TestRandomSlowServers guards against servers in two open replicas and replicas opened without all members while
// replicas are closed for slow members: servers slow down, recover, come and go, leaders change, and orders are
// carried out late. The simulation checks every join and every open.
func TestRandomSlowServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, 2, rapid.IntRange(9, 12).Draw(rt, "size"))
		sim.run(8 * time.Second)
		sim.stageIdle("large")
		sim.fleet.TrafficStarted, sim.fleet.Pace = true, make(map[string]float64)
		sim.drainTime = time.Duration(rapid.IntRange(0, 30).Draw(rt, "drain")) * 100 * time.Millisecond
		sim.formTime = time.Duration(rapid.IntRange(0, 3).Draw(rt, "form")) * 100 * time.Millisecond
		sim.lag = time.Duration(rapid.IntRange(0, 7).Draw(rt, "lag")) * 100 * time.Millisecond
		share := rapid.IntRange(0, 4).Draw(rt, "share")
		sim.unanswered = func(formation.Order) bool { return rapid.IntRange(0, 9).Draw(rt, "late") < share }
		for n := range rapid.IntRange(1, 8).Draw(rt, "events") {
			if rapid.IntRange(0, 4).Draw(rt, "leader") == 0 {
				sim.changeLeader()
			}
			clear(sim.fleet.Pace)
			for _, id := range rapid.SliceOfN(rapid.SampledFrom(slices.Sorted(maps.Keys(sim.actual))), 0, 4).Draw(rt, "slow") {
				sim.fleet.Pace[id] = 4
			}
			sim.randomEvent(rt, n)
		}
		sim.unanswered = nil
		clear(sim.fleet.Pace)
		sim.run(30 * time.Second)
		require.NotEmpty(t, sim.open())
	})
}
