package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestReloadedRetryBudget guards against a retry budget that stays what it was when the first request of a
// service arrived, although the settings were reloaded.
func TestReloadedRetryBudget(t *testing.T) {
	for _, tc := range []struct {
		name   string
		bounds site.Bounds
		want   int
	}{
		{"same", site.Bounds{RetrySlack: 10, RetryWindow: 10 * time.Second}, 7},
		{"more", site.Bounds{RetrySlack: 20, RetryWindow: 10 * time.Second}, 14},
		{"less", site.Bounds{RetrySlack: 5, RetryWindow: 10 * time.Second}, 3},
		{"longer_span", site.Bounds{RetrySlack: 10, RetryWindow: 20 * time.Second}, 7},
		{"shorter_span", site.Bounds{RetrySlack: 10, RetryWindow: 5 * time.Second}, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, now := newController().gateway, clock.Boot()
			retries := 0
			retry := func() {
				if g.retryBudget(now, "plain").Allow(now, 1) {
					retries++
				}
			}
			g.Reload(site.Settings{Bounds: site.Bounds{RetrySlack: 10, RetryWindow: 10 * time.Second}})
			retry()
			g.Reload(site.Settings{Bounds: tc.bounds})
			for range 30 {
				retry()
			}
			require.Equal(t, tc.want, retries)
		})
	}
}
