package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
)

func ExampleSlowReplicas() {
	var here, there dispatch.SlowReplicas
	here.Record(0, 7, 4)
	there.Merge(10*time.Second, here.Recent(time.Second))
	fmt.Println(there.Ratio(10*time.Second, 7), there.Ratio(13*time.Second, 7))
	// Output: 4 1
}

// TestSlowdownsThatOthersFound guards against requests that are refused as too late because all replicas are slow.
func TestSlowdownsThatOthersFound(t *testing.T) {
	var r dispatch.SlowReplicas
	for epoch, ratio := range map[int64]float64{1: 4, 2: 2, 3: 8} {
		r.Record(0, epoch, ratio)
	}
	require.Equal(t, []float64{4, 2, 8, 1, 1, 1, 1}, r.Slowdowns(0, []int64{1, 2, 3, 4, 5, 6, 7}))
	require.Equal(t, []float64{1, 1, 2}, r.Slowdowns(0, []int64{1, 2, 3}))
	require.Equal(t, []float64{1}, r.Slowdowns(0, []int64{3}))
	require.Empty(t, r.Slowdowns(0, nil))
}

// TestSlowReplicasOfOthers guards against findings that never end as daemons pass them on to each other, and against
// numbers that no daemon has found.
func TestSlowReplicasOfOthers(t *testing.T) {
	t.Run("passed_on_for_ever", func(t *testing.T) {
		var a, b dispatch.SlowReplicas
		a.Record(0, 7, 4)
		for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
			b.Merge(now, a.Recent(now))
			a.Merge(now, b.Recent(now))
		}
		require.Empty(t, a.Recent(10*time.Second))
		require.Empty(t, b.Recent(10*time.Second))
	})
	for name, f := range map[string]dispatch.SlowReplica{
		"nan": {Epoch: 1, Ratio: math.NaN()}, "infinite": {Epoch: 1, Ratio: math.Inf(1)}, "fast": {Epoch: 1, Ratio: 0.1},
		"old": {Epoch: 1, Ratio: 4, Age: time.Minute}, "of_the_future": {Epoch: 1, Ratio: 4, Age: -time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			var r dispatch.SlowReplicas
			r.Merge(0, []dispatch.SlowReplica{f})
			require.Empty(t, r.Recent(0))
		})
	}
	t.Run("bounded", func(t *testing.T) {
		var r dispatch.SlowReplicas
		for epoch := range int64(1000) {
			r.Record(0, epoch, 4)
		}
		require.Len(t, r.Recent(0), 256)
	})
}
