package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/lease"
)

var (
	start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	terms = lease.Timing{Duration: 6 * time.Second, Guard: time.Second, LongestOrder: 2 * time.Second}
)

func ExampleManager() {
	manager := lease.Manager{Self: "entry-1", Timing: terms}
	claim, _ := manager.NextClaim(start, "bayangol")
	manager.ClaimSent(start, claim)
	// The program appends the claim to its log and reads it back at offset 17.
	manager.Observe(start.Add(50*time.Millisecond), 17, 1, claim)
	term, ok := manager.Holds(start.Add(4*time.Second), "bayangol")
	fmt.Println(term, ok)
	_, ok = manager.Holds(start.Add(5*time.Second), "bayangol")
	fmt.Println(ok)
	// Output:
	// 17 true
	// false
}

func TestTableApply(t *testing.T) {
	held := lease.Claim{ID: "1", Scope: "d", Holder: "a"}
	for _, tc := range []struct {
		name    string
		offset  uint64
		claim   lease.Claim
		applied bool
		term    uint64
	}{
		{"renewal_keeps_the_term", 20, lease.Claim{Scope: "d", Holder: "a", Previous: 10}, true, 10},
		{"takeover_starts_a_term", 20, lease.Claim{Scope: "d", Holder: "b", Previous: 10}, true, 20},
		{"claim_that_missed_a_record_is_void", 20, lease.Claim{Scope: "d", Holder: "b", Previous: 0, Horizon: 10}, false, 10},
		{"claim_after_retention_took_the_record", 20, lease.Claim{Scope: "d", Holder: "b", Previous: 0, Horizon: 11}, true, 20},
		{"earlier_offset_is_void", 9, lease.Claim{Scope: "d", Holder: "b", Previous: 10}, false, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table lease.Table
			require.True(t, table.Apply(10, held))
			require.Equal(t, tc.applied, table.Apply(tc.offset, tc.claim))
			require.Equal(t, tc.term, table.Get("d").Term)
		})
	}
}

func TestKeeperNeverOverlaps(t *testing.T) {
	for _, tc := range []struct {
		name string
		wait time.Duration
		want bool
	}{
		{"within_the_lease", terms.Duration - time.Millisecond, false},
		{"within_the_guard", terms.Duration + terms.Guard - time.Millisecond, false},
		{"while_the_longest_order_may_be_in_flight", terms.Duration + terms.Guard + terms.LongestOrder - time.Millisecond, false},
		{"after_all_of_them", terms.Duration + terms.Guard + terms.LongestOrder, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			other := lease.Manager{Self: "b", Timing: terms}
			other.Observe(start, 10, 1, lease.Claim{ID: "1", Scope: "d", Holder: "a"})
			_, ok := other.NextClaim(start.Add(tc.wait), "d")
			require.Equal(t, tc.want, ok)
		})
	}
}

func TestKeeperCountsFromBeforeTheAppend(t *testing.T) {
	manager := lease.Manager{Self: "a", Timing: terms}
	claim, ok := manager.NextClaim(start, "d")
	require.True(t, ok)
	manager.ClaimSent(start, claim)
	// The holder is paused until long after the append took effect.
	manager.Observe(start.Add(10*time.Second), 10, 1, claim)
	_, ok = manager.Holds(start.Add(10*time.Second), "d")
	require.False(t, ok)
}
