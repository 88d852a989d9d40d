package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestSlowReplicasAreTold guards against requests that go to a slow replica because the daemon that chooses has had
// none there lately: what one daemon found counts for all, through hubs, and not for ever.
func TestSlowReplicasAreTold(t *testing.T) {
	engine := &site.Engine{Slots: 8, Stride: 1, Step: 5 * time.Millisecond, ReadPerSecond: 46_000}
	here, hub, there := newController().gateway, newController().gateway, newController().gateway
	a := &attempt{target: "r", epoch: 7, engine: engine, model: site.Model{Pace: 1}}
	now := time.Now()
	a.sentAt, a.lastEventAt = now, now
	here.tracker.add(a)
	for range 12 {
		now = now.Add(40 * time.Millisecond)
		here.tracker.recordEvent(a, now)
	}
	require.Len(t, here.tracker.slowReplicas(), 1)
	hub.handlePeerMessage(peerMessage{From: "here", Slow: here.tracker.slowReplicas()})
	there.handlePeerMessage(peerMessage{From: "hub", Slow: hub.tracker.slowReplicas()})
	require.InDelta(t, 8, there.tracker.slow.Ratio(clock.Boot(), 7), 1)
	require.InDelta(t, 1, there.tracker.slow.Ratio(clock.Boot()+time.Minute, 7), 0)
}

// TestPollsOfSlowReplicas guards against a leader that asks hundreds of servers at once, or the same ones at each
// step, whether they are slow.
func TestPollsOfSlowReplicas(t *testing.T) {
	c := newController()
	for n := range 300 {
		id := string(rune('a'+n%26)) + time.Duration(n).String()
		c.servers.put(0, int64(n+1), site.Server{ID: id, Address: id, Born: 1, Member: site.Membership{Group: "large/1/1", Epoch: 7}}, 0)
	}
	c.leadership.pacePolledAt = make(map[string]time.Duration)
	c.leadership.pacePolls = budget.Bucket{Rate: pacePollsPerSecond, Burst: pacePollsPerSecond}
	asked := func(now time.Duration) int {
		c.pollPaces(now)
		return len(c.leadership.pacePolledAt)
	}
	require.Zero(t, asked(0), "no replica was found to be slow")
	c.gateway.tracker.mergeSlow([]dispatch.SlowReplica{{Epoch: 7, Ratio: 4}})
	require.Equal(t, pacePollsPerSecond, asked(0))
	require.Equal(t, pacePollsPerSecond, asked(0))
	require.Equal(t, 2*pacePollsPerSecond, asked(time.Second))
}

// TestPollsOfManyServers guards against a leader that polls hundreds of servers which are about to change every 100 ms,
// and has no processor time left for its heartbeats. Each server has its turn.
func TestPollsOfManyServers(t *testing.T) {
	c := newController()
	l := &c.leadership
	l.planner = formation.New(1, 0)
	l.polledAt, l.reportPolls = make(map[string]time.Duration), budget.Bucket{Rate: reportPollsPerSecond, Burst: maxReportPolls}
	engine := &site.Engine{Models: []site.Model{{Name: "large", Size: 16, Pace: 1, Share: 1, Load: time.Second}}}
	servers := make(map[string]site.Server)
	for n := range 160 {
		id := fmt.Sprint("s", n)
		servers[id] = site.Server{ID: id, Address: id, Born: 1, Member: site.Membership{Group: fmt.Sprint("large/0/", n/16), Epoch: int64(1 + n/16), Rank: n % 16, State: site.Joining}}
	}
	polls, polled := 0, make(map[string]bool)
	for now := time.Duration(0); now < 2*time.Second; now += tickInterval {
		l.planner.Step(now, formation.Fleet{Engine: engine, Servers: servers, LastModel: map[string]string{}})
		c.pollAwaitedServers(now)
		for id, at := range l.polledAt {
			if at == now {
				polls, polled[id] = polls+1, true
			}
		}
	}
	require.Len(t, polled, len(servers))
	require.LessOrEqual(t, polls, 2*reportPollsPerSecond+maxReportPolls)
}
