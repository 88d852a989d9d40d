package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestHelperThatStops guards against a request of another daemon that is passed on during a planned stop and cut at its
// end (P76).
func TestHelperThatStops(t *testing.T) {
	for _, tc := range []struct {
		name    string
		longest time.Duration
		call    bool
		want    detourRefusal
	}{
		{"ends_in_time", 500 * time.Millisecond, true, notRefused},
		{"may_not_end", 2 * time.Second, true, refusedBusy},
		{"of_an_older_build", 0, true, notRefused},
		{"order_or_probe", 2 * time.Second, false, notRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newLimitedController()
			g := c.gateway
			g.leaving.Store(true)
			g.acceptsUntil.Store(int64(clock.Boot() + time.Second))
			g.endsCallsAt.Store(int64(clock.Boot() + time.Second))
			q := detourRequest{Address: "p0:1", Server: "p0", Call: tc.call, Longest: tc.longest}
			require.Equal(t, tc.want, g.refusesDetour(g.view.Load(), q))
		})
	}
}
