package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/freshness"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func ExampleCore() {
	core := control.New(control.Identity{Daemon: "entry-1", Incarnation: "1", FailureDomain: "bayangol"}, bounds())
	core.Step(start, control.InstancesListed{Instances: []fleet.Instance{{
		Name: "bayangol-a-1", Kind: fleet.KindEngine, FailureDomain: "bayangol", FabricDomain: "bayangol-a",
	}}})
	sheet := configuration.Record{ID: "monday", Kind: configuration.KindSheet, Deployments: deployments(0, 2)}
	core.Step(start, control.LogRead{
		Stream: control.StreamConfiguration, RequestedAt: start, Next: 2, Horizon: 1, Entries: []control.Entry{{Offset: 1, Change: &sheet}},
	})
	for _, command := range core.Step(start, control.Tick{}) {
		if c, ok := command.(control.Append); ok {
			fmt.Println("append to", c.Stream, "a claim of", c.Entry.Lease.Scope)
		}
	}
	// Output: append to system a claim of bayangol
}

// newServingCore returns a core with one serving replica of two instances, and a spare instance.
func newServingCore() *control.Core {
	core := control.New(control.Identity{Daemon: "entry-1", Incarnation: "1", FailureDomain: "domain-0"}, bounds())
	var list []fleet.Instance
	for n := range 3 {
		list = append(list, fleet.Instance{Name: fmt.Sprint("e", n), Kind: fleet.KindEngine, FailureDomain: "domain-0", FabricDomain: "f"})
	}
	core.Step(start, control.InstancesListed{Instances: list})
	sheet := configuration.Record{ID: "monday", Kind: configuration.KindSheet, Deployments: deployments(0, 1)}
	core.Step(start, control.LogRead{
		Stream: control.StreamConfiguration, RequestedAt: start, Next: 2, Horizon: 1, Entries: []control.Entry{{Offset: 1, Change: &sheet}},
	})
	for rank := range 2 {
		report(core, start, rank, func(*fleet.Report) {})
	}
	return core
}

// report applies a report of the member of the given rank, modified by change.
func report(core *control.Core, at time.Time, rank int, change func(*fleet.Report)) {
	r := fleet.Report{
		Instance: fmt.Sprint("e", rank), Phase: fleet.PhaseReady, Warm: true, Slots: 8, ColdLimit: 2,
		Assignment: fleet.Assignment{
			Replica: "model/domain-0/1", Deployment: "model", Rank: rank, Members: []string{"e0", "e1"}, Generation: fleet.Generation{Fence: 1, Seq: 1},
		},
	}
	change(&r)
	core.Step(at, control.ReportReceived{Report: r, RequestedAt: at})
}

func TestWhyAReplicaDoesNotServe(t *testing.T) {
	later := start.Add(time.Second)
	change := func(core *control.Core, kind configuration.Kind, target string) {
		record := configuration.Record{ID: "2", Kind: kind, Target: target}
		core.Step(later, control.LogRead{
			Stream: control.StreamConfiguration, RequestedAt: later, Next: 3, Horizon: 1, Entries: []control.Entry{{Offset: 2, Change: &record}},
		})
	}
	for _, tc := range []struct {
		name   string
		change func(*control.Core)
		at     time.Time
		want   string
	}{
		{"serves", func(*control.Core) {}, later, ""},
		{"silent_member", func(core *control.Core) { report(core, later, 0, func(*fleet.Report) {}) }, start.Add(2 * time.Second), "e1 does not answer"},
		{"refused_connection", func(core *control.Core) {
			core.Step(later, control.ReportFailed{Instance: "e1", Refused: true})
		}, later, "e1 does not answer"},
		{"broken_stream", func(core *control.Core) { core.Step(later, control.InstanceFailed{Instance: "e0", FailedAt: later}) }, later, "e0 does not answer"},
		{"leaving_member", func(core *control.Core) {
			report(core, later, 1, func(r *fleet.Report) { r.Leaving = true })
		}, later, "e1 is leaving"},
		{"member_of_another_generation", func(core *control.Core) {
			report(core, later, 1, func(r *fleet.Report) { r.Assignment.Generation.Seq = 0 })
		}, later, "e1 has generation 1.0 instead of 1.1"},
		{"loading_member", func(core *control.Core) {
			report(core, later, 1, func(r *fleet.Report) { r.Phase = fleet.PhaseLoading })
		}, later, "e1 is loading"},
		{"domain_out", func(core *control.Core) { change(core, configuration.KindDomainOut, "domain-0") }, later, "which is out"},
		{"cordoned_member", func(core *control.Core) { change(core, configuration.KindCordon, "e1") }, later, "e1 is cordoned"},
		{"drained", func(core *control.Core) {
			core.Step(later, control.HeartbeatReceived{Heartbeat: control.Heartbeat{Daemon: "entry-2", Drains: []string{"model/domain-0/1"}}})
		}, later, "is drained"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core := newServingCore()
			tc.change(core)
			requireServing(t, core.View(tc.at), tc.want)
		})
	}
}

// requireServing requires that the replica serves if why is empty, and otherwise that view gives
// why as the reason, and what happens next.
func requireServing(t *testing.T, view *control.View, why string) {
	t.Helper()
	if why == "" {
		require.Len(t, view.Replicas["model"], 1)
		return
	}
	require.Empty(t, view.Replicas["model"])
	i := slices.IndexFunc(view.Explanations, func(e control.Explanation) bool { return e.Replica == "model/domain-0/1" })
	require.GreaterOrEqual(t, i, 0)
	require.Contains(t, view.Explanations[i].Reason, why)
	require.NotEmpty(t, view.Explanations[i].Next)
}

func TestReplicasThatAreNotFormedAreExplained(t *testing.T) {
	core := newServingCore()
	sheet := configuration.Record{ID: "2", Kind: configuration.KindSheet, Base: 1, Deployments: deployments(0, 4)}
	core.Step(start, control.LogRead{
		Stream: control.StreamConfiguration, RequestedAt: start, Next: 3, Horizon: 1, Entries: []control.Entry{{Offset: 2, Change: &sheet}},
	})
	view := core.View(start)
	require.Len(t, view.Explanations, 2)
	require.Equal(t, "model/domain-0", view.Explanations[0].Replica)
	require.Contains(t, view.Explanations[0].Reason, "1 replicas of 2 instances are not formed")
}

func TestHeartbeatProvesNoMoreThanItsEcho(t *testing.T) {
	for _, tc := range []struct {
		name string
		echo uint64
		late time.Duration
		want freshness.Mode
	}{
		{"answers_the_last_one", 1, 100 * time.Millisecond, freshness.ModeFresh},
		{"waited_while_this_daemon_was_paused", 1, 10 * time.Second, freshness.ModeIsolated},
		{"echoes_nothing", 0, 100 * time.Millisecond, freshness.ModeIsolated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core := control.New(control.Identity{Daemon: "entry-1", Incarnation: "1", FailureDomain: "domain-0"}, bounds())
			core.Step(start, control.Tick{})
			receivedAt := start.Add(tc.late)
			core.Step(receivedAt, control.HeartbeatReceived{Heartbeat: control.Heartbeat{Daemon: "entry-2", Echoes: map[string]uint64{"1": tc.echo}}})
			require.Equal(t, tc.want, core.View(receivedAt).Mode)
		})
	}
}
