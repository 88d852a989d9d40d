package outcome_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
)

func ExampleOf() {
	fmt.Println(outcome.Of(outcome.Refused, false, 0))
	fmt.Println(outcome.Of(outcome.Lost, false, 0))
	// Output:
	// not_run
	// unknown
}

func TestOf(t *testing.T) {
	for _, tc := range []struct {
		name          string
		evidence      outcome.Evidence
		status        int
		idempotent    outcome.Outcome
		nonIdempotent outcome.Outcome
		repeatable    [2]bool
	}{
		{"given_up_before_a_connection", outcome.Unsent, 0, outcome.NotRun, outcome.NotRun, [2]bool{true, true}},
		{"connection_refused", outcome.Refused, 0, outcome.NotRun, outcome.NotRun, [2]bool{true, true}},
		{"engine_did_not_begin", outcome.Declined, 409, outcome.NotRun, outcome.NotRun, [2]bool{true, true}},
		{"connection_reset_or_timeout", outcome.Lost, 0, outcome.Failed, outcome.Unknown, [2]bool{true, false}},
		{"half_an_answer", outcome.Partial, 200, outcome.Failed, outcome.Unknown, [2]bool{true, false}},
		{"whole_answer", outcome.Answered, 200, outcome.Completed, outcome.Completed, [2]bool{false, false}},
		{"refused_by_the_service", outcome.Answered, 422, outcome.Completed, outcome.Completed, [2]bool{false, false}},
		{"service_unavailable", outcome.Answered, 503, outcome.Failed, outcome.Unknown, [2]bool{false, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.idempotent, outcome.Of(tc.evidence, true, tc.status))
			require.Equal(t, tc.nonIdempotent, outcome.Of(tc.evidence, false, tc.status))
			require.Equal(t, tc.repeatable[0], outcome.Repeatable(tc.evidence, true))
			require.Equal(t, tc.repeatable[1], outcome.Repeatable(tc.evidence, false))
		})
	}
}
