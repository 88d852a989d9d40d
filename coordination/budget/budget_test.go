package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 500)
	m.Run()
}

func ExampleRetries() {
	r := budget.Retries{Ratio: 0.2, Slack: 10, Span: 10 * time.Second}
	for range 20 {
		r.CountRequest(0)
	}
	taken := 0
	for r.Allow(time.Second, 2) {
		taken++
	}
	fmt.Println(taken)
	// Output: 7
}

// TestRetriesOfAllDaemons has daemons spend their shares at random, with demand far beyond the
// budget, and checks every window.
func TestRetriesOfAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			span         = 10 * time.Second
			ratio, slack = 0.2, 30.0
		)
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		shares := make([]budget.Retries, daemons)
		for i := range shares {
			shares[i] = budget.Retries{Ratio: ratio, Slack: slack, Span: span}
		}
		var repeats, requests []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			share := &shares[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				share.CountRequest(now)
				requests = append(requests, now)
			} else if share.Allow(now, daemons) {
				repeats = append(repeats, now)
			}
		}
		// A retry may count on the requests of the window before it.
		for i, from := range repeats {
			asked := within(requests, from-span, from+span)
			require.LessOrEqual(t, float64(within(repeats[i:], from-1, from+span-1)), ratio*float64(asked)+slack)
		}
	})
}

// within returns how many of times are after from and not after to.
func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// TestColdShares checks that all daemons together send a cold server no more than its limit in
// any second, even with two new daemons that the others have not counted, and that the server
// receives requests.
func TestColdShares(t *testing.T) {
	for _, daemons := range []int{1, 9, 11, 72, 390} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			const perSecond = 59
			var members []string
			for n := range daemons {
				members = append(members, fmt.Sprint("daemon-", n))
			}
			rate, burst := budget.ColdShare(perSecond, daemons)
			senders := 0
			for _, self := range members {
				if budget.MaySendToCold(self, "server", members) {
					senders++
				}
			}
			require.Positive(t, senders)
			require.LessOrEqual(t, (rate+burst)*float64(senders+2), perSecond+0.01)
			require.GreaterOrEqual(t, burst, 1.0)
		})
	}
}

func TestBucket(t *testing.T) {
	b := budget.Bucket{Rate: 2, Burst: 3}
	taken := 0
	for range 10 {
		if b.Allow(0) {
			taken++
		}
	}
	require.Equal(t, 3, taken)
	require.False(t, b.Allow(400*time.Millisecond))
	require.True(t, b.Allow(600*time.Millisecond))
}
