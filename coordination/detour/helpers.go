package detour

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

const (
	// helpersPerDaemon is the number of other daemons that a daemon spreads its detours over: few, so
	// that connections between daemons do not grow with their number.
	helpersPerDaemon = 3
	// helperPause is how long a daemon that could not help is not asked again.
	helperPause = time.Second
)

// A Helper is another daemon that may reach a server.
type Helper struct {
	Name          string
	FailureDomain string
	// Leaving means that it is about to stop.
	Leaving bool
}

// Helpers chooses the daemons that carry requests to servers whose paths this daemon has lost. The
// zero value is ready to use. It is not safe for concurrent use.
type Helpers struct {
	pausedUntil map[helperFor]time.Duration
}

// A helperFor is a helper as the way to the servers of one failure domain.
type helperFor struct{ helper, failureDomain string }

// Pause records that a helper could not reach a server of a failure domain.
func (h *Helpers) Pause(now time.Duration, helper, failureDomain string) {
	if h.pausedUntil == nil {
		h.pausedUntil = make(map[helperFor]time.Duration)
	}
	maps.DeleteFunc(h.pausedUntil, func(_ helperFor, until time.Duration) bool { return now >= until })
	h.pausedUntil[helperFor{helper, failureDomain}] = now + helperPause
}

// Choose returns one of candidates to reach s, or false if none is left. self is the daemon itself.
// Helpers in the failure domain of either end come first, as others add a crossing, and those that are
// leaving only if there is no other. random returns a number below its argument.
func (h *Helpers) Choose(now time.Duration, self Helper, s Server, candidates []Helper, random func(int) int) (Helper, bool) {
	able := slices.DeleteFunc(slices.Clone(candidates), func(c Helper) bool {
		return c.Name == self.Name || now < h.pausedUntil[helperFor{c.Name, s.FailureDomain}]
	})
	if len(able) == 0 {
		return Helper{}, false
	}
	if staying := slices.DeleteFunc(slices.Clone(able), func(c Helper) bool { return c.Leaving }); len(staying) > 0 {
		able = staying
	}
	far := func(c Helper) int {
		if c.FailureDomain == self.FailureDomain || c.FailureDomain == s.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortFunc(able, func(a, b Helper) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(rendezvous.Weight(self.Name, b.Name), rendezvous.Weight(self.Name, a.Name)))
	})
	return able[random(min(len(able), helpersPerDaemon))], true
}
