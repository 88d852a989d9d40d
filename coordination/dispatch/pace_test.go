package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
)

// generating is the load of a replica that generates ten answers.
var generating = dispatch.Load{Writing: 10}

// usualGap is the gap between two events of a replica with that load.
const usualGap = 42 * time.Millisecond

// observe returns a pace after gaps that end at now.
func observe(now time.Time, pauses ...time.Duration) dispatch.Pace {
	var p dispatch.Pace
	for _, pause := range pauses {
		p.Observe(engine, model, generating, pause, now)
	}
	return p
}

// repeat returns n gaps of d.
func repeat(n int, d time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

func ExampleSlowdowns() {
	now := time.Unix(0, 0)
	paces := []dispatch.Pace{
		observe(now, repeat(20, usualGap)...), observe(now, repeat(20, 4*usualGap)...), observe(now, repeat(20, usualGap)...),
	}
	fmt.Println(dispatch.Slowdowns(paces, now))
	// Output: [1 4 1]
}

func TestSlownesses(t *testing.T) {
	now := time.Unix(0, 0)
	usual := observe(now, repeat(30, usualGap)...)
	for _, tc := range []struct {
		name  string
		pace  dispatch.Pace
		later time.Duration
		slow  bool
	}{
		{"four_times_slower", observe(now, repeat(30, 4*usualGap)...), 0, true},
		{"a_little_slower", observe(now, repeat(30, usualGap*5/4)...), 0, false},
		{"one_long_pause", observe(now, append(repeat(30, usualGap), 3*usualGap)...), 0, false},
		{"too_few_pauses", observe(now, repeat(4, 4*usualGap)...), 0, false},
		{"long_ago", observe(now, repeat(30, 4*usualGap)...), 10 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			slowness := dispatch.Slowdowns([]dispatch.Pace{usual, tc.pace, usual}, now.Add(tc.later))
			require.Equal(t, tc.slow, slowness[1] > 1, "slowness %v", slowness)
			require.Equal(t, []float64{1, 1}, []float64{slowness[0], slowness[2]}, "the others")
		})
	}
	t.Run("all_alike", func(t *testing.T) {
		slow := observe(now, repeat(30, 5*usualGap)...)
		require.Equal(t, []float64{1, 1, 1}, dispatch.Slowdowns([]dispatch.Pace{slow, slow, slow}, now))
	})
}

// TestStraggler guards against a slow replica that keeps its share of the requests: one of eight
// replicas generates four times slower for eight seconds. It must get a small part of its share
// while it is slow, and its full share again soon after.
func TestStraggler(t *testing.T) {
	const (
		replicas, slow = 8, 3
		interval       = 10 * time.Millisecond
		begins, ends   = 5 * time.Second, 13 * time.Second
	)
	var (
		random = rand.New(rand.NewPCG(5, 6))
		start  = time.Unix(0, 0)
		paces  [replicas]dispatch.Pace
		loads  [replicas]int
		// completions holds the replicas of the answers that end, by time.
		completions = make(map[time.Duration][]int)
		got         = make(map[string]int)
		all         = make(map[string]int)
	)
	for now := time.Duration(0); now < 25*time.Second; now += interval {
		slowed := func(i int, d time.Duration) time.Duration {
			if i == slow && now >= begins && now < ends {
				return 4 * d
			}
			return d
		}
		for _, i := range completions[now] {
			loads[i]--
		}
		candidates, known := make([]dispatch.Candidate, replicas), make([]dispatch.Pace, replicas)
		for i := range candidates {
			if now%(50*time.Millisecond) == 0 && loads[i] > 0 {
				load := dispatch.Load{Writing: loads[i]}
				step := engine.Step + time.Duration(loads[i])*engine.StepPerRequest
				paces[i].Observe(engine, model, load, slowed(i, time.Duration(engine.Stride)*step), start.Add(now))
			}
			candidates[i].Load, known[i] = dispatch.Load{Writing: loads[i]}, paces[i]
		}
		for i, slowness := range dispatch.Slowdowns(known, start.Add(now)) {
			candidates[i].Slowdown = slowness
		}
		i, _ := dispatch.Choose(engine, model, candidates, dispatch.RequestSize{Prompt: 1000}, 0, random.IntN)
		loads[i]++
		end := now + slowed(i, time.Second)
		completions[end] = append(completions[end], i)
		phase := "before"
		switch {
		case now >= begins+2*time.Second && now < ends:
			phase = "slow"
		case now >= ends+7*time.Second:
			phase = "after"
		case now >= begins:
			phase = "change"
		}
		all[phase]++
		if i == slow {
			got[phase]++
		}
	}
	share := func(phase string) float64 { return float64(got[phase]) * replicas / float64(all[phase]) }
	require.InDelta(t, 1, share("before"), 0.25)
	require.Less(t, share("slow"), 0.2, "part of its share that a slow replica gets")
	require.InDelta(t, 1, share("after"), 0.35)
}
