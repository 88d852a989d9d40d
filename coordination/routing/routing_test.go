package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/routing"
)

func ExampleLeastLoad() {
	candidates := []routing.Candidate{
		{Name: "far", InFlight: 2, Limit: 8},
		{Name: "near", InFlight: 2, Limit: 8, Local: true},
		{Name: "full", InFlight: 1, Limit: 1},
	}
	fmt.Println(candidates[routing.LeastLoad{}.Choose("", candidates)].Name)
	// Output: near
}

func TestPolicies(t *testing.T) {
	for _, name := range routing.Names() {
		t.Run(name, func(t *testing.T) {
			policy, ok := routing.New(name)
			require.True(t, ok)
			require.Equal(t, -1, policy.Choose("k", nil))
			require.Equal(t, -1, policy.Choose("k", []routing.Candidate{{Limit: 0}, {InFlight: 3, Limit: 3}}), "no free candidate")
			require.Equal(t, 1, policy.Choose("k", []routing.Candidate{{InFlight: 1, Limit: 1}, {Limit: 1}}), "the one that is free")
		})
	}
}

func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	policy := routing.PrefixAffinity{Slack: 2}
	candidates := []routing.Candidate{{Name: "a", Limit: 99}, {Name: "b", Limit: 99}}
	home := policy.Choose("prompt", candidates)
	require.Equal(t, home, policy.Choose("prompt", candidates))
	candidates[home].InFlight = 3
	require.Equal(t, 1-home, policy.Choose("prompt", candidates))
}
