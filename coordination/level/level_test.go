package level_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/coordination/level"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 500)
	m.Run()
}

func ExampleFleet() {
	var fleet level.Fleet
	old, updated := level.Of(0, false), level.Of(level.Told, true)
	for _, levels := range []map[string]level.Level{
		{"a": old, "b": old}, {"a": updated, "b": old}, {"a": updated}, {"a": updated, "b": updated}, {"a": updated, "b": old},
	} {
		if change := fleet.Observe(levels); change.Moved {
			fmt.Printf("the fleet moves from level %d to %d\n", change.From, change.To)
		}
	}
	// Output:
	// the fleet moves from level 2 to 0
	// the fleet moves from level 0 to 2
	// the fleet moves from level 2 to 0
}

// TestLevelOfADaemon guards against a daemon that is asked for what its build can't do, or for less than it can.
func TestLevelOfADaemon(t *testing.T) {
	for _, tc := range []struct {
		name       string
		told       level.Level
		region     bool
		want       level.Level
		detours    bool
		understood bool
	}{
		{"2fa4cdc", 0, false, level.Base, false, true},
		{"6988018", 0, true, level.Detours, true, true},
		{"6988018_without_a_region", 0, false, level.Base, false, true},
		{"own", level.Own, true, level.Own, true, true},
		{"own_without_a_region", level.Own, false, level.Own, true, true},
		{"later", level.Own + 1, true, level.Own + 1, true, false},
		{"broken", -1, true, -1, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := level.Of(tc.told, tc.region)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.detours, got >= level.Detours)
			require.Equal(t, tc.understood, got.Understood())
		})
	}
}

// TestRandomRollouts guards against a fleet that is taken for newer than its oldest daemon, and against
// moves and unknown levels that are reported twice or not at all, while daemons change builds in any order.
func TestRandomRollouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fleet level.Fleet
		levels, reported, at := make(map[string]level.Level), make(map[string]level.Level), level.Own
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "daemon")
			delete(levels, name)
			if rapid.Bool().Draw(t, "starts") {
				levels[name] = level.Level(rapid.IntRange(-1, int(level.Own)+2).Draw(t, "level"))
			}
			change := fleet.Observe(levels)
			lowest := level.Own
			for _, l := range levels {
				lowest = min(lowest, l)
			}
			require.Equal(t, lowest, fleet.Lowest())
			require.Equal(t, level.Change{From: at, To: lowest, Moved: at != lowest, Unknown: change.Unknown}, change)
			at = lowest
			maps.DeleteFunc(reported, func(name string, l level.Level) bool { return levels[name] != l })
			for _, d := range change.Unknown {
				require.NotContains(t, reported, d.Name)
				reported[d.Name] = d.Level
			}
			for name, l := range levels {
				_, named := reported[name]
				require.Equal(t, !l.Understood(), named)
			}
		}
	})
}
