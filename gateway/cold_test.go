package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestColdPlainServer guards against FAILBACK: a server of a plain service that has just started is
// sent all requests at once, whereas the head of a replica is subject to the cold limit.
func TestColdPlainServer(t *testing.T) {
	service := &site.Service{Name: "plain", ColdPerSecond: 4, ColdFor: time.Minute}
	for _, tc := range []struct {
		name    string
		coldFor time.Duration
		most    int
	}{
		{"cold", time.Minute, 11},
		{"warm", 0, 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			bounds := site.Bounds{ColdOverage: 1.5, ColdSlack: 5}
			c.gateway.currentBounds.Store(&bounds)
			c.putInForce(&site.Configuration{Services: map[string]*site.Service{"plain": service}})
			c.servers.put(clock.Boot(), 1, site.Server{ID: "p0", Service: "plain", Born: 1}, tc.coldFor)
			c.publish(clock.Boot())
			sent := 0
			for range 50 {
				if _, ok, _ := c.gateway.choosePlain(c.gateway.view.Load(), &call{service: service}, nil); ok {
					sent++
				}
			}
			require.LessOrEqual(t, sent, tc.most)
			require.Positive(t, sent)
			if tc.coldFor == 0 {
				require.Equal(t, tc.most, sent)
			}
		})
	}
}
