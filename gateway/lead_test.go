package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/tenure"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestLeaderWithoutServers guards against a leader whose orders reach nobody and that goes on leading
// (P54), and against one that resigns for a moment of silence.
func TestLeaderWithoutServers(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c *controller, now time.Duration)
		want bool
	}{
		{"reaches_servers", func(*controller, time.Duration) {}, false},
		{"unreached_for_a_moment", func(c *controller, now time.Duration) { c.recordUnreached(now - time.Second) }, false},
		{"unreached", func(c *controller, now time.Duration) { c.recordUnreached(now - isolationTimeout) }, true},
		{"order_unreached", func(c *controller, now time.Duration) {
			c.applyOrderResult(now-isolationTimeout, orderResult{answer: formation.Unknown, unreached: true})
		}, true},
		{"probe_answered_since", func(c *controller, now time.Duration) {
			c.recordUnreached(now - isolationTimeout)
			c.applyProbe(now, probeResult{finding: probeAlive})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			now := time.Hour
			c.leadership.candidate.ObserveEnd(now, 0)
			c.leadership.candidate.ClaimAccepted(now)
			c.leadership.planner = formation.New(1, now)
			c.leadership.callPending = true
			tc.do(c, now)
			c.elect(now)
			require.Equal(t, tc.want, !c.isLeading(now))
		})
	}
}

// TestReadersWithoutLinksLeadLast guards against a term that nobody claims since all readers have lost
// their links, and against one that claims it before a reader that reaches the servers (P54).
func TestReadersWithoutLinksLeadLast(t *testing.T) {
	for _, tc := range []struct {
		name      string
		linksLost bool
		claimable time.Duration
		want      bool
	}{
		{"links", false, 0, true},
		{"no_links", true, 0, false},
		{"no_links_and_nobody_else", true, strandedClaimDelay, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			now := time.Hour
			c.gateway.peers.isReader, c.gateway.paths.manyLost = true, tc.linksLost
			c.leadership.candidate = tenure.Candidate{Timeouts: tenureTimeouts}
			c.leadership.candidate.ObserveEnd(0, 0)
			c.eligible(now-tc.claimable, true)
			require.Equal(t, tc.want, c.eligible(now, true))
		})
	}
}

// TestLeaderBesideAServerThatIsNotThere guards against leaders that resign one after the other since the only
// server with an order due is one that nobody reaches, such as one that another writer listed (P64).
func TestLeaderBesideAServerThatIsNotThere(t *testing.T) {
	const absent, other = "10.0.0.9:1", "10.0.0.1:1"
	for _, tc := range []struct {
		name      string
		linksWork bool
	}{{"links_work", true}, {"links_are_lost", false}} {
		t.Run(tc.name, func(t *testing.T) {
			g := newController().gateway
			g.view.Store(&View{Servers: map[string]site.Server{absent: {ID: "absent", Address: absent}, other: {ID: "other", Address: other}}})
			g.DialServer = func(_ context.Context, _, address string) (net.Conn, error) {
				if address == absent || !tc.linksWork {
					return nil, &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}
				}
				client, _ := net.Pipe()
				return client, nil
			}
			g.paths.paths.Unreachable(clock.Boot(), g.view.Load().destination(absent))
			result := g.deliverOrder(t.Context(), queuedOrder{
				order: formation.Order{Server: "absent", Address: absent, Action: formation.Join}, term: 1, leaseExpiry: clock.Boot() + time.Minute,
			})
			require.Equal(t, formation.Unknown, result.answer)
			require.Equal(t, !tc.linksWork, result.unreached)
		})
	}
}

// TestOrderThatIsNotSentProvesNothing guards against a server in two replicas (TWO): the lease runs out before an order to stop a
// head is sent, and the head, which serves, counts as one that has declined to stop.
func TestOrderThatIsNotSentProvesNothing(t *testing.T) {
	for _, action := range []formation.Action{formation.Join, formation.Open, formation.Close, formation.Preempt, formation.Leave} {
		t.Run(action.String(), func(t *testing.T) {
			g := newController().gateway
			g.DialServer = func(context.Context, string, string) (net.Conn, error) {
				require.Fail(t, "nothing should be sent without a lease")
				return nil, net.ErrClosed
			}
			now := clock.Boot()
			result := g.deliverOrder(t.Context(), queuedOrder{order: formation.Order{Server: "s", Address: "a", Action: action}, term: 1, queuedAt: now, leaseExpiry: now})
			require.NotEqual(t, formation.Declined, result.answer)
			require.NotEqual(t, formation.Accepted, result.answer)
		})
	}
}
