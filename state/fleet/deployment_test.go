package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

func ExampleDeployment_Quota() {
	d := fleet.Deployment{Replicas: 4, FailureDomains: []string{"bayangol", "sukhbaatar", "khan-uul"}}
	fmt.Println(d.Quota("bayangol", nil), d.Quota("khan-uul", nil), d.Quota("khan-uul", []string{"sukhbaatar"}))
	// Output: 2 1 2
}

func TestQuota(t *testing.T) {
	d := fleet.Deployment{Replicas: 7, FailureDomains: []string{"a", "b", "c"}}
	for _, tc := range []struct {
		name string
		out  []string
		want map[string]int
	}{
		{"all_in", nil, map[string]int{"a": 3, "b": 2, "c": 2, "elsewhere": 0}},
		{"one_out", []string{"b"}, map[string]int{"a": 4, "b": 2, "c": 3}},
		{"two_out", []string{"a", "b"}, map[string]int{"a": 3, "b": 2, "c": 7}},
		{"all_out", []string{"a", "b", "c"}, map[string]int{"a": 3, "b": 2, "c": 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for domain, want := range tc.want {
				require.Equal(t, want, d.Quota(domain, tc.out), domain)
			}
		})
	}
}
