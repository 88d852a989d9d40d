package configuration_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

func ExampleState_Apply() {
	var state configuration.State
	state, verdict := state.Apply(1, configuration.Record{ID: "monday", Kind: configuration.KindSheet, Deployments: sheet("recipes")})
	fmt.Println(verdict.Accepted, state.Revision)
	_, verdict = state.Apply(2, configuration.Record{ID: "late", Kind: configuration.KindSheet, Deployments: sheet("catalogue")})
	fmt.Println(verdict.Accepted, verdict.Reason, verdict.Diff)
	// Output:
	// true 1
	// false conflict [- recipes + catalogue]
}

// sheet returns one-instance deployments of the given names.
func sheet(names ...string) []fleet.Deployment {
	var out []fleet.Deployment
	for _, n := range names {
		out = append(out, fleet.Deployment{Name: n, Kind: fleet.KindEngine, Replicas: 1, InstancesPerReplica: 1})
	}
	return out
}

// apply applies records at offsets from 1 on.
func apply(records ...configuration.Record) (configuration.State, []configuration.Verdict) {
	var (
		state    configuration.State
		verdicts []configuration.Verdict
	)
	for i, r := range records {
		var v configuration.Verdict
		state, v = state.Apply(uint64(i+1), r)
		verdicts = append(verdicts, v)
	}
	return state, verdicts
}

// sheetRecord returns the record that publishes a sheet of the given deployments on base.
func sheetRecord(id string, base uint64, names ...string) configuration.Record {
	return configuration.Record{ID: id, Kind: configuration.KindSheet, Base: base, Deployments: sheet(names...)}
}

// decisionRecord returns the record of an operator's decision on target.
func decisionRecord(id string, kind configuration.Kind, target string) configuration.Record {
	return configuration.Record{ID: id, Kind: kind, Target: target}
}

func TestSheetNeverUndoesADecision(t *testing.T) {
	state, verdicts := apply(sheetRecord("1", 0, "a"), decisionRecord("2", configuration.KindDomainOut, "d"),
		decisionRecord("3", configuration.KindCordon, "i"), sheetRecord("4", 1, "a", "b"))
	require.True(t, verdicts[3].Accepted)
	require.True(t, state.DomainOut("d"))
	require.True(t, state.InstanceCordoned("i"))
}

func TestRacingSheets(t *testing.T) {
	state, verdicts := apply(sheetRecord("1", 0, "a"), sheetRecord("2", 1, "a", "b"), sheetRecord("3", 1, "a", "c"))
	require.True(t, verdicts[1].Accepted)
	require.False(t, verdicts[2].Accepted)
	require.Equal(t, configuration.ReasonConflict, verdicts[2].Reason)
	require.Equal(t, []string{"- b", "+ c"}, verdicts[2].Diff)
	require.Equal(t, uint64(2), state.Revision)
}

func TestRepeatedRecordHasOneEffect(t *testing.T) {
	state, verdicts := apply(sheetRecord("1", 0, "a"), decisionRecord("2", configuration.KindDomainOut, "d"),
		decisionRecord("3", configuration.KindDomainIn, "d"), decisionRecord("2", configuration.KindDomainOut, "d"))
	require.False(t, state.DomainOut("d"))
	require.Equal(t, verdicts[1], verdicts[3])
	require.Equal(t, uint64(2), verdicts[3].Offset)
	require.Equal(t, uint64(4), state.Offset)
}

func TestEarlierOffsetChangesNothing(t *testing.T) {
	state, _ := apply(sheetRecord("1", 0, "a"), decisionRecord("2", configuration.KindDomainOut, "d"))
	next, _ := state.Apply(1, decisionRecord("9", configuration.KindDomainIn, "d"))
	require.Equal(t, state, next)
}

func TestLargeRemovalNeedsConfirmation(t *testing.T) {
	for _, tc := range []struct {
		name    string
		names   []string
		confirm bool
		want    bool
	}{
		{"half_is_not_large", []string{"a", "b"}, false, true},
		{"more_than_half_is", []string{"a"}, false, false},
		{"confirmed", []string{"a"}, true, true},
		{"empty_sheet", nil, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			record := sheetRecord("2", 1, tc.names...)
			record.ConfirmRemoval = tc.confirm
			state, verdicts := apply(sheetRecord("1", 0, "a", "b", "c", "d"), record)
			require.Equal(t, tc.want, verdicts[1].Accepted)
			if !tc.want {
				require.Len(t, state.Deployments, 4)
			}
		})
	}
}

func TestRollback(t *testing.T) {
	state, verdicts := apply(sheetRecord("1", 0, "a"), sheetRecord("2", 1, "a", "b"),
		configuration.Record{ID: "3", Kind: configuration.KindRollback, Base: 2}, sheetRecord("4", 2, "a", "b", "c"))
	require.True(t, verdicts[2].Accepted)
	require.Equal(t, configuration.ReasonConflict, verdicts[3].Reason, "a sheet made before the rollback must not undo it")
	require.Equal(t, sheet("a"), state.Deployments)
	_, v := state.Apply(9, configuration.Record{ID: "9", Kind: configuration.KindRollback, Base: state.Revision})
	require.Equal(t, configuration.ReasonNoEarlierSheet, v.Reason)
}

func TestRestoreIsFencedByOffset(t *testing.T) {
	early, _ := apply(sheetRecord("1", 0, "a"))
	late, _ := apply(sheetRecord("1", 0, "a"), sheetRecord("2", 1, "a", "b"))
	require.Equal(t, late, late.Restore(early))
	require.Equal(t, late, early.Restore(late))
}
