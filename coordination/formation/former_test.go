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
