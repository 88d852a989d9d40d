package detour_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
)

// BenchmarkDueTests measures what the tests of paths cost a daemon that uses all servers of the largest site, none of
// whose paths is lost.
func BenchmarkDueTests(b *testing.B) {
	var p detour.Paths
	for n := range 936 {
		p.Connected(time.Second, detour.Server{Address: fmt.Sprint(n), FailureDomain: fmt.Sprint(n % 5)})
	}
	for b.Loop() {
		p.DueTests(2*time.Second, func(d time.Duration) time.Duration { return d })
	}
}
