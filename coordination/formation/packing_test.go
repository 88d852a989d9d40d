package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// fewestStranded tries every number of replicas of each size that n servers of a fabric domain can
// form, and returns the fewest servers that are left over.
func fewestStranded(n int, sizes []int) int {
	if len(sizes) == 0 {
		return n
	}
	fewest := n
	for left := n; left >= 0; left -= sizes[0] {
		fewest = min(fewest, fewestStranded(left, sizes[1:]))
	}
	return fewest
}

// TestPackingAgainstExhaustiveSearch forms replicas in every combination of three fabric domains of
// up to nine servers, and compares the number of servers left over with the fewest possible. The
// planner must reach the minimum where the larger size is a multiple of the smaller one, as at both
// of the users' sites before and after their growth. Otherwise it may leave over up to one server
// more per domain, but always fewer than the smaller size, so that no further replica fits.
func TestPackingAgainstExhaustiveSearch(t *testing.T) {
	for _, tc := range []struct {
		large, small int
		slack        int
	}{
		{4, 2, 0},
		{8, 4, 0},
		{3, 2, 1},
		{5, 2, 1},
	} {
		t.Run(fmt.Sprintf("%d_and_%d", tc.large, tc.small), func(t *testing.T) {
			sizes := []int{tc.large, tc.small}
			models := []site.Model{
				{Name: "large", Size: tc.large, Pace: 1, Share: 0.6, Load: 16 * time.Second},
				{Name: "small", Size: tc.small, Pace: 1, Share: 0.4, Load: 12 * time.Second},
			}
			for a := range 10 {
				for b := range a + 1 {
					for c := range b + 1 {
						domains := []int{a, b, c}
						left, bound := 0, 0
						for domain, n := range strandedServers(models, domains) {
							least := fewestStranded(domains[domain], sizes)
							require.Less(t, n, tc.small, "%d servers of domain %d of %v are left over, which a replica fits", n, domain, domains)
							left, bound = left+n, bound+least+tc.slack
						}
						require.LessOrEqual(t, left, bound, "servers left over in domains of %v", domains)
					}
				}
			}
		})
	}
}

// strandedServers returns how many servers of each fabric domain a planner leaves over.
func strandedServers(models []site.Model, domains []int) []int {
	fleet := formation.Fleet{Engine: &site.Engine{Models: models}, Servers: make(map[string]site.Server)}
	left := make([]int, len(domains))
	for d, n := range domains {
		left[d] = n
		for k := range n {
			id := fmt.Sprintf("s%d-%d", d, k)
			fleet.Servers[id] = site.Server{ID: id, FabricDomain: fmt.Sprint(d)}
		}
	}
	planner := formation.New(1, 0)
	planner.Step(0, fleet)
	for _, o := range planner.Step(time.Minute, fleet) {
		if o.Action == formation.Join {
			left[o.Server[1]-'0']--
		}
	}
	return left
}
