package hedge_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/hedge"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 1000)
	m.Run()
}

func ExampleRace() {
	var r hedge.Race
	first := r.Start()
	fmt.Println(r.Silent(first) == hedge.TryAnother)
	second := r.Start()
	// The first server was only silent for a while.
	fmt.Println(r.Delivered(first), r.Live(second))
	// Output:
	// true
	// [2] false
}

// TestRace guards against an attempt that is given up although nothing is better (LOST), and against
// attempts beside one that is under way.
func TestRace(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(r *hedge.Race) hedge.Step
		want hedge.Step
		open int
	}{
		{"failed", func(r *hedge.Race) hedge.Step { return r.Ended(r.Start()) }, hedge.TryAnother, 0},
		{"silent", func(r *hedge.Race) hedge.Step { return r.Silent(r.Start()) }, hedge.TryAnother, 1},
		{"silent_beside_another", func(r *hedge.Race) hedge.Step { n := r.Start(); r.Start(); return r.Silent(n) }, hedge.Wait, 2},
		{"both_silent", func(r *hedge.Race) hedge.Step { r.Silent(r.Start()); return r.Silent(r.Start()) }, hedge.TryAnother, 2},
		{"failed_beside_a_silent_one", func(r *hedge.Race) hedge.Step { r.Silent(r.Start()); return r.Ended(r.Start()) }, hedge.TryAnother, 1},
		{"silent_one_failed", func(r *hedge.Race) hedge.Step { n := r.Start(); r.Silent(n); r.Start(); return r.Ended(n) }, hedge.Wait, 1},
		{"overtaken_one_failed", func(r *hedge.Race) hedge.Step {
			n := r.Start()
			r.Silent(n)
			r.Delivered(r.Start())
			return r.Ended(n)
		}, hedge.Wait, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r hedge.Race
			require.Equal(t, tc.want, tc.do(&r))
			require.Equal(t, tc.open, r.Open())
		})
	}
}

// TestRandomRaces guards against an attempt that is given up for its silence, and against two attempts that
// both deliver.
func TestRandomRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			r    hedge.Race
			open = make(map[int]bool)
		)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := rapid.IntRange(1, 6).Draw(t, "attempt")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				open[r.Start()] = true
			case 1:
				r.Silent(n)
			case 2:
				if r.Delivered(n); open[n] {
					open = map[int]bool{n: true}
				}
			case 3:
				r.Ended(n)
				delete(open, n)
			}
			require.Equal(t, len(open), r.Open())
			for n := range open {
				require.True(t, r.Live(n))
			}
		}
	})
}
