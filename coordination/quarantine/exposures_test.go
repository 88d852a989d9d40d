package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
)

func ExampleExposures() {
	var e quarantine.Exposures[string]
	e.Add(start, "server-1", 7)
	e.Add(start, "server-2", 8)
	fmt.Println(e.Ended(start.Add(time.Second), func(life string) bool { return life == "server-1" }))
	// Output: map[server-1:[7]]
}

// TestExposures guards against requests that are suspected long after the failure, or repeatedly.
func TestExposures(t *testing.T) {
	over := func(string) bool { return true }
	for _, tc := range []struct {
		name string
		act  func(*quarantine.Exposures[string])
		at   time.Duration
		want map[string][]quarantine.Fingerprint
	}{
		{"the_server_ended", func(*quarantine.Exposures[string]) {}, time.Second, map[string][]quarantine.Fingerprint{"a": {1}}},
		{"it_answered_elsewhere", func(e *quarantine.Exposures[string]) { e.Acquit(1) }, time.Second, nil},
		{"counted_once", func(e *quarantine.Exposures[string]) { e.Ended(start, over) }, time.Second, nil},
		{"the_server_ended_long_after", func(*quarantine.Exposures[string]) {}, time.Minute, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e quarantine.Exposures[string]
			e.Add(start, "a", 1)
			tc.act(&e)
			require.Equal(t, tc.want, e.Ended(start.Add(tc.at), over))
		})
	}
}
