package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/placement"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

func ExampleMake() {
	want := placement.Target{Deployment: fleet.Deployment{Name: "recipes", InstancesPerReplica: 2}, Replicas: 1}
	plan := placement.Make("bayangol", []placement.Target{want}, candidates(3, "bayangol-a"))
	fmt.Println(plan.Memberships[0].Replica, plan.Memberships[0].Members)
	// Output: recipes/bayangol/1 [bayangol-a-0 bayangol-a-1]
}

// candidates returns n free instances of a fabric domain.
func candidates(n int, fabric string) []placement.Candidate {
	var out []placement.Candidate
	for i := range n {
		name := fmt.Sprintf("%s-%d", fabric, i)
		out = append(out, placement.Candidate{Instance: fleet.Instance{Name: name, FabricDomain: fabric}, Alive: true, Usable: true})
	}
	return out
}

// assignReplica assigns the candidates with the given indices to one replica, in rank order, and
// returns all of them.
func assignReplica(all []placement.Candidate, replica string, members ...int) []placement.Candidate {
	var names []string
	for _, m := range members {
		names = append(names, all[m].Instance.Name)
	}
	for rank, m := range members {
		all[m].Report = fleet.Report{Phase: fleet.PhaseReady, Assignment: fleet.Assignment{
			Replica: replica, Deployment: "d", Rank: rank, Members: names, Generation: fleet.Generation{Fence: 1, Seq: 1},
		}}
	}
	return all
}

func TestMake(t *testing.T) {
	want := []placement.Target{{Deployment: fleet.Deployment{Name: "d", InstancesPerReplica: 2}, Replicas: 1}}
	for _, tc := range []struct {
		name     string
		change   func([]placement.Candidate)
		wants    []placement.Target
		members  []string
		renew    bool
		releases []string
		drains   []string
	}{
		{name: "complete_replica_is_left_alone", wants: want},
		{name: "dead_member_is_replaced_by_a_spare", wants: want, members: []string{"f-0", "f-2"}, renew: true, change: func(c []placement.Candidate) {
			c[1].Alive, c[1].Usable = false, false
		}},
		{name: "restarted_member_gets_its_assignment_again", wants: want, members: []string{"f-0", "f-1"}, change: func(c []placement.Candidate) {
			c[1].Report = fleet.Report{}
		}},
		{name: "leaving_member_is_replaced_when_idle", wants: want, members: []string{"f-0", "f-2"}, renew: true, change: func(c []placement.Candidate) {
			c[1].Usable = false
		}},
		{name: "leaving_member_stays_while_requests_run", wants: want, change: func(c []placement.Candidate) {
			c[1].Usable = false
			c[0].Report.Running = 1
		}},
		{name: "unwanted_replica_is_released", releases: []string{"f-0", "f-1"}},
		{name: "unwanted_replica_is_drained_while_requests_run", drains: []string{"d/x/1"}, change: func(c []placement.Candidate) { c[0].Report.Running = 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			all := assignReplica(candidates(4, "f"), "d/x/1", 0, 1)
			if tc.change != nil {
				tc.change(all)
			}
			plan := placement.Make("x", tc.wants, all)
			requirePlan(t, plan, tc.members, tc.renew, tc.releases)
			require.Equal(t, tc.drains, plan.Drains)
		})
	}
}

// requirePlan requires one membership with the given members, or none if members is nil, and the
// given releases.
func requirePlan(t *testing.T, plan placement.Plan, members []string, renew bool, releases []string) {
	t.Helper()
	require.Equal(t, releases, plan.Releases)
	if members == nil {
		require.Empty(t, plan.Memberships)
		return
	}
	require.Len(t, plan.Memberships, 1)
	require.Equal(t, members, plan.Memberships[0].Members)
	require.Equal(t, renew, plan.Memberships[0].NewGeneration)
}

func TestMakeKeepsFabricDomainsApart(t *testing.T) {
	all := append(candidates(1, "f"), candidates(1, "g")...)
	plan := placement.Make("x", []placement.Target{{Deployment: fleet.Deployment{Name: "d", InstancesPerReplica: 2}, Replicas: 1}}, all)
	require.Empty(t, plan.Memberships)
}

func TestMakeServesHigherPriorityFirst(t *testing.T) {
	wants := []placement.Target{
		{Deployment: fleet.Deployment{Name: "draft", InstancesPerReplica: 2, Priority: fleet.PriorityDraft}, Replicas: 1},
		{Deployment: fleet.Deployment{Name: "urgent", InstancesPerReplica: 2, Priority: fleet.PriorityUrgent}, Replicas: 1},
	}
	plan := placement.Make("x", wants, candidates(3, "f"))
	require.Len(t, plan.Memberships, 1)
	require.Equal(t, "urgent/x/1", plan.Memberships[0].Replica)
}

func TestMakePushesOutLowerPriority(t *testing.T) {
	draft := fleet.Deployment{Name: "d", InstancesPerReplica: 2, Priority: fleet.PriorityDraft}
	urgent := fleet.Deployment{Name: "urgent", InstancesPerReplica: 2, Priority: fleet.PriorityUrgent}
	wants := []placement.Target{{Deployment: draft, Replicas: 1}, {Deployment: urgent, Replicas: 1}}
	all := assignReplica(candidates(3, "f"), "d/x/1", 0, 1)
	t.Run("drained_first", func(t *testing.T) {
		all[0].Report.Running = 1
		plan := placement.Make("x", wants, all)
		require.Equal(t, []string{"d/x/1"}, plan.Drains)
		require.Empty(t, plan.Releases)
	})
	t.Run("then_released", func(t *testing.T) {
		all[0].Report.Running = 0
		require.Equal(t, []string{"f-0", "f-1"}, placement.Make("x", wants, all).Releases)
	})
	t.Run("never_for_an_equal_priority", func(t *testing.T) {
		wants[1].Deployment.Priority = fleet.PriorityDraft
		plan := placement.Make("x", wants, all)
		require.Empty(t, plan.Releases)
		require.Empty(t, plan.Drains)
	})
}

func TestMakeRollsOneReplicaAtATime(t *testing.T) {
	all := assignReplica(assignReplica(candidates(4, "f"), "d/x/1", 0, 1), "d/x/2", 2, 3)
	want := []placement.Target{{Deployment: fleet.Deployment{Name: "d", Version: "2", InstancesPerReplica: 2}, Replicas: 2}}
	t.Run("drains_a_busy_one", func(t *testing.T) {
		all[0].Report.Running = 1
		plan := placement.Make("x", want, all)
		require.Equal(t, []string{"d/x/1"}, plan.Drains)
		require.Empty(t, plan.Memberships)
	})
	t.Run("loads_an_idle_one", func(t *testing.T) {
		all[0].Report.Running = 0
		requirePlan(t, placement.Make("x", want, all), []string{"f-0", "f-1"}, true, nil)
	})
	t.Run("waits_while_another_loads", func(t *testing.T) {
		for _, i := range []int{2, 3} {
			all[i].Report.Phase, all[i].Report.Assignment.Version = fleet.PhaseLoading, "2"
		}
		requirePlan(t, placement.Make("x", want, all), nil, false, nil)
	})
}
