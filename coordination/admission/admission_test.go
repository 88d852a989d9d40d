package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/admission"
)

func ExampleLimit() {
	fmt.Println(admission.Limit(admission.Replica{Slots: 32, ColdLimit: 2, Directed: true}))
	fmt.Println(admission.Limit(admission.Replica{Slots: 32, ColdLimit: 2}))
	// Output:
	// 2
	// 0
}

func TestColdLimitsOfAllDaemonsAddUpToOne(t *testing.T) {
	for _, daemons := range []int{1, 9, 390} {
		total := 0
		for n := range daemons {
			total += admission.Limit(admission.Replica{Slots: 32, ColdLimit: 2, Directed: n == 0})
		}
		require.Equal(t, 2, total)
	}
}

func ExampleDetector() {
	detector := admission.Detector{Factor: 3}
	for range 10 {
		detector.Observe(30 * time.Millisecond)
	}
	fmt.Println(detector.Observe(100*time.Millisecond), detector.Observe(100*time.Millisecond))
	// Output: false true
}

func TestDetector(t *testing.T) {
	for _, tc := range []struct {
		name  string
		times []int
		want  bool
	}{
		{"steady", []int{30, 31, 29, 30, 30, 32, 30, 30, 30, 31}, false},
		{"one_slow_answer", []int{30, 30, 30, 30, 30, 30, 30, 30, 200, 30}, false},
		{"slowly_growing_load", []int{30, 30, 30, 30, 30, 30, 30, 30, 50, 60, 70, 80}, false},
		{"too_little_known", []int{30, 30, 200, 200}, false},
		{"cold", []int{30, 30, 30, 30, 30, 30, 30, 30, 100, 100}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			detector := admission.Detector{Factor: 3}
			cold := false
			for _, ms := range tc.times {
				cold = detector.Observe(time.Duration(ms) * time.Millisecond)
			}
			require.Equal(t, tc.want, cold)
		})
	}
}
