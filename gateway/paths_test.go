package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestConnectionOpenedBeforeTheFailure guards against servers that are accused because a dial that began before
// the daemon lost its links ended after that (RECOVER).
func TestConnectionOpenedBeforeTheFailure(t *testing.T) {
	for name, tc := range map[string]struct {
		failure time.Duration
		want    bool
	}{"before": {-time.Millisecond, true}, "meanwhile": {5 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			g := newController().gateway
			g.view.Store(&View{Servers: map[string]site.Server{"a": {ID: "a", Address: "a"}, "b": {ID: "b", Address: "b"}}})
			g.DialServer = func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(20 * time.Millisecond)
				conn, _ := net.Pipe()
				return conn, nil
			}
			failedAt := clock.Boot() + tc.failure
			require.True(t, g.testPath(t.Context(), "a"))
			g.DialServer = func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			require.Equal(t, tc.want, g.ownLinksWork(t.Context(), "b", failedAt))
		})
	}
}
