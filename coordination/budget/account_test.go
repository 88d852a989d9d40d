package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
)

func ExampleAccount() {
	var a budget.Account
	terms := budget.Terms{Limited: true, Limit: 2}
	s := budget.Sender{Name: "here", Members: []string{"here"}, Daemons: 1}
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if _, ok := a.Admits(now, "server", terms, s); ok {
			a.Charge(now, "server", terms, s)
			sent++
		}
	}
	fmt.Println(sent)
	// Output: 18
}

// allowed is what the platform's rule allows a server with the given limit to get in any limitWindow.
func allowed(limit float64) float64 { return 1.5*limit*limitWindow.Seconds() + 5 }

const limitWindow = 4 * time.Second

// requireWithin checks that no limitWindow of times has more than most.
func requireWithin(t require.TestingT, times []time.Duration, most float64) {
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+limitWindow {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), most, "requests in 4 s from %v", from)
	}
}

// TestLimitOfAServer guards against daemons that together send a server more than the limit that it has named (P73):
// they come and go, see the fleet differently, pause, and have more requests than the server takes. Requests that may
// not wait, such as orders, are charged. With all of that they stay below what the rule allows.
func TestLimitOfAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.25, 1, 1.8, 2.4, 8.2, 40}).Draw(t, "limit")
		names := make([]string, rapid.SampledFrom([]int{1, 6, 9, 85}).Draw(t, "daemons"))
		accounts := make([]budget.Account, len(names))
		for i := range names {
			names[i] = fmt.Sprint("d", i)
		}
		var times []time.Duration
		present, alive := len(names), len(names)
		for now := time.Duration(0); now < 20*time.Second; now += 200 * time.Millisecond {
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				// One daemon has left or come, and the others learn of it with the next change.
				present, alive = alive, max(len(names)-rapid.IntRange(0, 1).Draw(t, "away"), 1)
			}
			for i := range alive {
				s := budget.Sender{Name: names[i], Members: names[:max(present, i+1)], Daemons: present}
				terms := budget.Terms{Limited: true, Limit: limit}
				if _, ok := accounts[i].Admits(now, "server", terms, s); ok {
					accounts[i].Charge(now, "server", terms, s)
					times = append(times, now)
				}
			}
			if now%(5*time.Second) == 0 {
				accounts[0].Charge(now, "server", budget.Terms{Limited: true, Limit: limit}, budget.Sender{Name: names[0], Members: names, Daemons: present})
				times = append(times, now)
			}
		}
		requireWithin(t, times, allowed(limit))
		require.NotEmpty(t, times)
	})
}

// TestLimitIsUsed guards against a limit that is shared so finely that most of it goes unused, in fleets of all sizes.
func TestLimitIsUsed(t *testing.T) {
	for _, daemons := range []int{1, 9, 72, 295} {
		for _, limit := range []float64{0.5, 2, 8.2} {
			t.Run(fmt.Sprint(daemons, limit), func(t *testing.T) {
				names := make([]string, daemons)
				for i := range names {
					names[i] = fmt.Sprint("d", i)
				}
				accounts, sent := make([]budget.Account, daemons), 0
				for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
					for i := range names {
						s, terms := budget.Sender{Name: names[i], Members: names, Daemons: daemons}, budget.Terms{Limited: true, Limit: limit}
						if _, ok := accounts[i].Admits(now, "server", terms, s); ok {
							accounts[i].Charge(now, "server", terms, s)
							sent++
						}
					}
				}
				require.GreaterOrEqual(t, float64(sent), 0.8*limit*60)
				require.LessOrEqual(t, float64(sent), limit*60+1)
			})
		}
	}
}

// TestLimitBegins guards against daemons that all send one request as a limit begins.
func TestLimitBegins(t *testing.T) {
	names, sent := make([]string, 9), 0
	for i := range names {
		names[i] = fmt.Sprint("d", i)
	}
	for _, name := range names {
		var a budget.Account
		s, terms := budget.Sender{Name: name, Members: names, Daemons: 9}, budget.Terms{Limited: true, Limit: 8}
		if _, ok := a.Admits(0, "server", terms, s); ok {
			sent++
		}
	}
	require.LessOrEqual(t, sent, 1)
}

// TestWaitForALimit guards against callers that are told to come back when no daemon may send their requests.
func TestWaitForALimit(t *testing.T) {
	s, terms := budget.Sender{Name: "d", Members: []string{"d"}, Daemons: 1}, budget.Terms{Limited: true, Limit: 2}
	var a budget.Account
	a.Charge(0, "server", terms, s)
	wait, ok := a.Admits(0, "server", terms, s)
	require.False(t, ok)
	require.Positive(t, wait)
	_, ok = a.Admits(wait, "server", terms, s)
	require.True(t, ok)
	wait, ok = a.Admits(0, "server", terms, budget.Sender{Name: "other", Members: []string{"a", "b", "c", "d", "e", "f", "g", "other"}, Daemons: 8})
	require.True(t, ok || wait > 0)
}
