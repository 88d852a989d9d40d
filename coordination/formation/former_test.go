package formation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestModelThatGoesKeepsItsStreams guards against heads that are ordered to stop their work at once because a
// configuration dropped or resized their model, while streams that were accepted before run there (LOST).
func TestModelThatGoesKeepsItsStreams(t *testing.T) {
	for _, tc := range []struct {
		name   string
		models func([]site.Model) []site.Model
	}{
		{"dropped", func(m []site.Model) []site.Model { return m[:1] }},
		{"resized", func(m []site.Model) []site.Model { m[1].Size++; return m }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.serveOnly(engine.Models[1].Name, engine.Models[0].Name)
			sim.run(2 * time.Second)
			sim.orders = nil
			changed := *engine
			changed.Models = tc.models(append([]site.Model(nil), engine.Models...))
			sim.fleet.Engine = &changed
			sim.run(time.Second)
			for _, o := range sim.orders {
				require.NotEqual(t, formation.Preempt, o.Action, "order to %s of %s", o.Server, o.Group)
			}
		})
	}
}

// TestNewLeaderWaitsForLapsedMembers guards against a head that is ordered to stop its work at once by a leader
// that has just begun, because the entry of a sound member has lapsed in a second of silence (LOST).
func TestNewLeaderWaitsForLapsedMembers(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.serveOnly("small", "large")
	sim.run(2 * time.Second)
	sim.frozen["s0-1"] = true
	delete(sim.fleet.Servers, "s0-1")
	sim.changeLeader()
	sim.orders = nil
	sim.run(500 * time.Millisecond)
	for _, o := range sim.orders {
		require.NotEqual(t, formation.Preempt, o.Action, "order to %s of %s", o.Server, o.Group)
	}
}
