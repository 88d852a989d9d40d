package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
)

// TestManyCrashesAtOnceAreAllTold guards against BUDGET: the crash of one request is not told
// to other daemons because many servers crash at the same time.
func TestManyCrashesAtOnceAreAllTold(t *testing.T) {
	var c crashTracker
	const servers = 20
	for n := range servers {
		c.record(time.Now(), quarantine.Crash{Episode: fmt.Sprint(n), Suspects: []quarantine.Fingerprint{quarantine.Fingerprint(n + 1)}})
	}
	told := make(map[quarantine.Fingerprint]bool)
	for _, crash := range c.recent(time.Now()) {
		for _, f := range crash.Suspects {
			told[f] = true
		}
	}
	require.Len(t, told, servers)
}

// TestRequestThatRanBefore guards against BUDGET: a request that ran to its end once, as others
// of the same path and content did, may end servers for a minute after that.
func TestRequestThatRanBefore(t *testing.T) {
	const f = 7
	for _, tc := range []struct {
		name      string
		completes bool
		want      quarantine.Verdict
	}{
		{"servers_crash_one_after_the_other", false, quarantine.Convicted},
		{"it_runs_to_its_end_in_between", true, quarantine.Clear},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c crashTracker
			c.acquit(f)
			now := time.Now()
			for n := range 3 {
				now = now.Add(time.Second)
				c.record(now, quarantine.Crash{Episode: fmt.Sprint(n), Suspects: []quarantine.Fingerprint{f}})
				if tc.completes {
					c.acquit(f)
				}
			}
			got, _ := c.verdict(now, f)
			require.Equal(t, tc.want, got)
		})
	}
}

// TestCrashToldAgain guards against the refusal of innocents: statuses tell of a crash for a while
// after a suspect has run to its end here.
func TestCrashToldAgain(t *testing.T) {
	const f = 7
	var c crashTracker
	crash := quarantine.Crash{Episode: "a", Suspects: []quarantine.Fingerprint{f}, Age: time.Second}
	c.record(time.Now(), crash)
	c.acquit(f)
	require.False(t, c.record(time.Now(), crash).isNew)
	got, _ := c.verdict(time.Now(), f)
	require.Equal(t, quarantine.Clear, got)
}

// TestFindingsToldAgain guards against the refusal of innocents: heartbeats of other daemons tell
// of a request for a minute after it has run to its end here.
func TestFindingsToldAgain(t *testing.T) {
	const f = 7
	var c crashTracker
	told := []quarantine.Finding{{Fingerprint: f, Crashes: 2, Age: time.Second, Convicted: true}}
	require.Len(t, c.applyFindings(time.Now(), told), 1)
	c.acquit(f)
	require.Empty(t, c.applyFindings(time.Now(), told))
	got, _ := c.verdict(time.Now(), f)
	require.Equal(t, quarantine.Clear, got)
}
