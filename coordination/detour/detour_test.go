package detour_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 2000)
	m.Run()
}

// noSpread schedules tests as early as possible.
func noSpread(time.Duration) time.Duration { return 0 }

// server returns the server of the given number in a failure domain.
func server(domain string, n int) detour.Server {
	return detour.Server{Address: fmt.Sprintf("%s-%d", domain, n), FailureDomain: domain}
}

func ExamplePaths() {
	var p detour.Paths
	s := server("north", 1)
	fmt.Println(p.Route(0, s))
	p.Lost(time.Second, s)
	p.Reached(time.Second, s)
	fmt.Println(p.Route(time.Second, s), len(p.DueTests(2*time.Second, noSpread)))
	p.Connected(2*time.Second, s)
	fmt.Println(p.Route(2*time.Second, s))
	// Output:
	// direct
	// around 1
	// direct
}

// TestRoute guards against a daemon that goes on using a lost path, or gives up paths that work
// (RECOVER): each path is known by itself, and the rest of a failure domain by several.
func TestRoute(t *testing.T) {
	lose := func(p *detour.Paths, domain string, numbers ...int) {
		for _, n := range numbers {
			p.Lost(time.Second, server(domain, n))
			p.Reached(time.Second, server(domain, n))
		}
	}
	for _, tc := range []struct {
		name string
		do   func(p *detour.Paths)
		to   detour.Server
		at   time.Duration
		want detour.Route
	}{
		{"unknown", func(*detour.Paths) {}, server("north", 1), time.Second, detour.Direct},
		{"lost", func(p *detour.Paths) { lose(p, "north", 1) }, server("north", 1), time.Second, detour.Around},
		{"one_lost_of_many", func(p *detour.Paths) { lose(p, "north", 1) }, server("north", 2), time.Second, detour.Direct},
		{"several_lost", func(p *detour.Paths) { lose(p, "north", 1, 2) }, server("north", 3), time.Second, detour.Around},
		{"several_lost_elsewhere", func(p *detour.Paths) { lose(p, "north", 1, 2) }, server("south", 3), time.Second, detour.Direct},
		{"one_works_since", func(p *detour.Paths) {
			lose(p, "north", 1, 2)
			p.Connected(2*time.Second, server("north", 4))
		}, server("north", 3), 2 * time.Second, detour.Direct},
		{"lost_to_all", func(p *detour.Paths) {
			p.Lost(time.Second, server("north", 1))
			p.Unreachable(time.Second, server("north", 1))
		}, server("north", 1), time.Second + 100*time.Millisecond, detour.Closed},
		{"lost_to_all_a_while_ago", func(p *detour.Paths) {
			p.Lost(time.Second, server("north", 1))
			p.Unreachable(time.Second, server("north", 1))
		}, server("north", 1), 2 * time.Second, detour.Around},
		{"servers_that_are_dead_say_nothing_of_the_others", func(p *detour.Paths) {
			for n := range 3 {
				p.Lost(time.Second, server("north", n))
				p.Unreachable(time.Second, server("north", n))
			}
		}, server("north", 7), time.Second, detour.Direct},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p detour.Paths
			tc.do(&p)
			require.Equal(t, tc.want, p.Route(tc.at, tc.to))
		})
	}
}

// TestUnsteadyPath guards against a path that is used by turns (P57): the time to its next test grows.
func TestUnsteadyPath(t *testing.T) {
	var p detour.Paths
	s, now := server("north", 1), time.Duration(0)
	var waits []time.Duration
	for range 6 {
		p.Lost(now, s)
		lostAt := now
		for len(p.DueTests(now, noSpread)) == 0 {
			now += 10 * time.Millisecond
		}
		waits = append(waits, now-lostAt)
		require.True(t, p.Connected(now, s))
	}
	require.Equal(t, []time.Duration{500, 1000, 2000, 4000, 4000, 4000}, []time.Duration{
		waits[0] / time.Millisecond, waits[1] / time.Millisecond, waits[2] / time.Millisecond, waits[3] / time.Millisecond, waits[4] / time.Millisecond, waits[5] / time.Millisecond,
	})
}

// TestRandomPaths checks that a lost path is tested within its longest interval as long as it is used, that no path
// is tested that is used directly, and that a path that has connected is direct.
func TestRandomPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p detour.Paths
		var now time.Duration
		tested := make(map[detour.Server]time.Duration)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			s := server(rapid.SampledFrom([]string{"north", "south"}).Draw(t, "domain"), rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if p.Lost(now, s) {
					tested[s] = now
				}
			case 1:
				p.Connected(now, s)
				delete(tested, s)
				require.Equal(t, detour.Direct, p.Route(now, s))
			case 2:
				p.Reached(now, s)
			case 3:
				p.Unreachable(now, s)
			case 4:
				for _, due := range p.DueTests(now, func(d time.Duration) time.Duration { return d }) {
					// No path that is used is tested: those that are due are lost, or avoided as presumed lost.
					require.NotEqual(t, detour.Direct, p.Route(now, due))
					if p.IsLost(due.Address) {
						tested[due] = now
					}
				}
				for s, at := range tested {
					p.Use(now, s)
					require.Less(t, now-at, 10*time.Second)
				}
			}
			for s := range tested {
				p.Use(now, s)
			}
		}
	})
}

// TestHelpers guards against detours that ask daemons in vain, or all ask the same one (P51).
func TestHelpers(t *testing.T) {
	self := detour.Helper{Name: "self", FailureDomain: "north"}
	candidates := []detour.Helper{
		self, {Name: "near", FailureDomain: "north"}, {Name: "there", FailureDomain: "south"}, {Name: "far", FailureDomain: "west"},
		{Name: "far2", FailureDomain: "west"}, {Name: "far3", FailureDomain: "west"},
	}
	choose := func(h *detour.Helpers, now time.Duration) map[string]bool {
		chosen := make(map[string]bool)
		for n := range 3 {
			if c, ok := h.Choose(now, self, server("south", 1), candidates, func(limit int) int { return n % limit }); ok {
				chosen[c.Name] = true
			}
		}
		return chosen
	}
	var h detour.Helpers
	chosen := choose(&h, 0)
	require.Len(t, chosen, 3)
	require.True(t, chosen["near"] && chosen["there"], "those in the failure domain of either end come first")
	h.Pause(0, "near", "south")
	require.NotContains(t, choose(&h, 0), "near")
	require.Contains(t, choose(&h, 2*time.Second), "near", "asked again after a pause")
	for _, c := range candidates {
		h.Pause(3*time.Second, c.Name, "south")
	}
	require.Empty(t, choose(&h, 3*time.Second))
	candidates = []detour.Helper{{Name: "a", FailureDomain: "north", Leaving: true}, {Name: "b", FailureDomain: "west"}}
	require.Equal(t, map[string]bool{"b": true}, choose(&h, 5*time.Second))
	h.Pause(5*time.Second, "b", "south")
	require.Equal(t, map[string]bool{"a": true}, choose(&h, 5*time.Second), "a leaving daemon is better than none")
}

// TestPresumptionIsTested guards against a daemon that goes around all paths to a failure domain although only two are lost
// (P56): both are found lost before another connection there, and none is opened any more, since all are avoided.
func TestPresumptionIsTested(t *testing.T) {
	none := func(time.Duration) time.Duration { return 0 }
	var p detour.Paths
	a, b, c := detour.Server{Address: "a", FailureDomain: "z"}, detour.Server{Address: "b", FailureDomain: "z"}, detour.Server{Address: "c", FailureDomain: "z"}
	for _, s := range []detour.Server{a, b} {
		p.Lost(0, s)
		p.Reached(0, s)
	}
	require.Equal(t, detour.Around, p.Use(0, c))
	require.Equal(t, c, p.DueTests(time.Second, none)[0])
	require.NotContains(t, p.DueTests(1200*time.Millisecond, none), c, "tested again at once")
	require.Contains(t, p.DueTests(1600*time.Millisecond, none), c)
	p.Connected(1700*time.Millisecond, c)
	require.Equal(t, detour.Direct, p.Route(1700*time.Millisecond, c))
	require.Equal(t, detour.Around, p.Route(1700*time.Millisecond, a))
	require.NotContains(t, p.DueTests(3*time.Second, none), c)
}
