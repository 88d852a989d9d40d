package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// fewestStranded tries every number of replicas of each size that n servers of a
// fabric domain can form, and returns the fewest servers that are left over.
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

// TestPackingAgainstExhaustiveSearch forms replicas of every combination of three fabric
// domains of up to nine servers, and compares the servers that are left over with the
// fewest possible. Where the larger size is a multiple of the smaller one, as on both
// users' sites before and after growth, the planner is to leave as few; elsewhere it
// may leave fewer than the smaller size a domain, so that no replica fits any more.
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
						for domain, n := range strandedBy(models, domains) {
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

// strandedBy returns how many servers of each fabric domain a planner leaves over.
func strandedBy(models []site.Model, domains []int) []int {
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
