package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// newController returns the controller of a daemon with the front address "self" that has received
// nothing yet.
func newController() *controller {
	g := New(site.Settings{Daemon: "self", Front: "self"}, &log.Logger{Level: log.PanicLevel}, noop.NewTracerProvider().Tracer("test"))
	c := &controller{gateway: g, domainsOut: make(map[string]bool), daemons: make(map[string]Peer), dropped: make(map[string]Peer), loadedTopics: make(map[string]bool), failedTopics: make(map[string]bool), brokenEntries: make(map[string]int64)}
	c.leadership.candidate.Timeouts = tenureTimeouts
	return c
}

// receiveHeartbeats applies heartbeats to c as read at a time.
func (c *controller) receiveHeartbeats(t *testing.T, at time.Duration, whole bool, heartbeats ...heartbeat) {
	update := relay.Update{Whole: whole, ReadAt: at}
	for n, h := range heartbeats {
		text, err := cbor.Marshal(h)
		require.NoError(t, err)
		update.Records = append(update.Records, relay.Record{Key: h.Front, Value: text, Offset: int64(n)})
	}
	c.applyHeartbeats(at, topicPage{topic: platform.TopicDaemons, update: update})
}

// TestLeaderThatStartedAgain guards against waiting for the term of a killed leader to end: its
// daemon restarts within a second, which proves that the leader is gone.
func TestLeaderThatStartedAgain(t *testing.T) {
	const term = 3
	old := heartbeat{Daemon: "a", Front: "a", Incarnation: "a1", Term: term}
	for _, tc := range []struct {
		name string
		do   func(t *testing.T, c *controller)
		want bool
	}{
		{"leader_is_heard", func(t *testing.T, c *controller) {
			c.receiveHeartbeats(t, 0, false, old)
			c.receiveHeartbeats(t, time.Second, false, old)
		}, false},
		{"leader_started_again", func(t *testing.T, c *controller) {
			c.receiveHeartbeats(t, 0, false, old)
			c.receiveHeartbeats(t, time.Second, false, heartbeat{Daemon: "a", Front: "a", Incarnation: "a2"})
		}, true},
		{"another_started_again", func(t *testing.T, c *controller) {
			c.receiveHeartbeats(t, 0, false, old, heartbeat{Daemon: "b", Front: "b", Incarnation: "b1"})
			c.receiveHeartbeats(t, time.Second, false, heartbeat{Daemon: "b", Front: "b", Incarnation: "b2"})
		}, false},
		{"leader_before_the_last_started_again", func(t *testing.T, c *controller) {
			c.receiveHeartbeats(t, 0, false, old, heartbeat{Daemon: "b", Front: "b", Incarnation: "b1", Term: term + 1})
			c.receiveHeartbeats(t, time.Second, false, heartbeat{Daemon: "a", Front: "a", Incarnation: "a2"})
		}, false},
		{"this_daemon_led_in_its_life_before", func(t *testing.T, c *controller) {
			c.receiveHeartbeats(t, time.Second, true, heartbeat{Daemon: "self", Front: "self", Incarnation: "before", Term: term})
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			c.leadership.candidate.ObserveEnd(0, term)
			tc.do(t, c)
			_, may := c.leadership.candidate.ClaimableOffset(time.Second, time.Second)
			require.Equal(t, tc.want, may)
		})
	}
}

// TestLooksThatAreOverAreForgotten guards against a leak while a daemon leads for weeks: servers
// come and go, and the times of their probes must be dropped.
func TestLooksThatAreOverAreForgotten(t *testing.T) {
	c := newController()
	c.leadership.probedAt, c.leadership.aliveAt = make(map[string]time.Duration), make(map[string]time.Duration)
	require.True(t, c.probeDue(0, "s"))
	require.False(t, c.probeDue(probeInterval, "s"), "probed recently")
	c.applyPeerProbe(0, peerProbeResult{servers: []string{"s"}})
	c.expireProbeState(probeInterval)
	require.Len(t, c.leadership.probedAt, 1)
	require.Len(t, c.leadership.aliveAt, 1)
	c.expireProbeState(aliveTTL)
	require.Empty(t, c.leadership.probedAt)
	require.Empty(t, c.leadership.aliveAt)
	require.True(t, c.probeDue(aliveTTL, "s"))
}

// TestReloadedHeartbeatOfServers reloads the heartbeat interval of servers, and removes an entry
// that was idle for 1.5 s: whether the server counts as cut off must depend on the new interval.
func TestReloadedHeartbeatOfServers(t *testing.T) {
	for _, tc := range []struct {
		name      string
		heartbeat time.Duration
		want      bool
	}{
		{"longer", 2 * time.Second, false},
		{"shorter", 500 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			c.gateway.Reload(site.Settings{Bounds: site.Bounds{ServerHeartbeat: tc.heartbeat}})
			c.servers.put(0, 1, site.Server{ID: "s", Born: 1, Member: site.Membership{Group: "m/1/1", Epoch: 1, State: site.Ready}}, 0)
			c.applyServerRemoval(0, relay.Record{Key: "s", Offset: 2, Idle: 1500 * time.Millisecond})
			require.Equal(t, tc.want, c.servers.entries["s"].cutOff)
		})
	}
}

// TestDomainThatWasCutOff guards against counting a head as gone that has served all the time while
// its failure domain was cut off from the leader: its servers answer no probes and their entries
// lapse. When the first one is listed again, the head of its replica must no longer count as dead
// (TWO in hunt 0556 of atelierweg-hq, seed 685478095225 of zone-cut-with-shift).
func TestDomainThatWasCutOff(t *testing.T) {
	head := site.Server{ID: "head", Born: 1, FailureDomain: "cut", Member: site.Membership{Group: "m/1/1", Epoch: 1, State: site.Open}}
	other := site.Server{ID: "other", Born: 1, FailureDomain: "sound"}
	member := `{"service":"models","address":"a:1","zone":"cut","state":"ready","born":%d,"seq":9,"group":{"name":"m/1/1","epoch":1,"rank":1,"state":"ready"}}`
	for _, tc := range []struct {
		name string
		key  string
		want bool
	}{
		{"a_member_is_listed_again", "member", false},
		{"a_new_server_comes", "new", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			c.leadership.dead, c.leadership.aliveAt = make(map[string]deadServer), make(map[string]time.Duration)
			c.servers.put(0, 1, head, 0)
			c.servers.put(0, 2, site.Server{ID: "member", Born: 1, FailureDomain: "cut"}, 0)
			c.applyProbe(time.Second, probeResult{server: head})
			c.applyProbe(time.Second, probeResult{server: other})
			c.applyServerRemoval(time.Second, relay.Record{Key: "head", Offset: 3})
			c.applyServerRemoval(time.Second, relay.Record{Key: "member", Offset: 4})
			c.applyServerRecords(2*time.Second, topicPage{topic: platform.TopicServers, update: relay.Update{
				Records: []relay.Record{{Key: tc.key, Value: fmt.Appendf(nil, member, 1), Offset: 5}},
			}})
			_, dead := c.leadership.dead["head"]
			require.Equal(t, tc.want, dead)
			require.Contains(t, c.leadership.dead, "other")
		})
	}
}

// TestDaemonsThatEndedLongAgo guards against a daemon that starts and names a daemon to callers that ended
// long ago (DRAIN): the store keeps the last heartbeat of each.
func TestDaemonsThatEndedLongAgo(t *testing.T) {
	const end = 1000
	for _, tc := range []struct {
		name   string
		offset int64
		want   bool
	}{
		{"just_written", end - 1, true},
		{"some_intervals_ago", end - 15, true},
		{"long_ago", end - 100, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			update := relay.Update{Whole: true, End: end}
			add := func(front string, offset int64) {
				text, err := cbor.Marshal(heartbeat{Daemon: front, Front: front, Incarnation: front + "1", Ready: true})
				require.NoError(t, err)
				update.Records = append(update.Records, relay.Record{Key: front, Value: text, Offset: offset})
			}
			for n := range int64(5) {
				add(fmt.Sprint("live", n), end-2-n)
			}
			add("it", tc.offset)
			c.applyHeartbeats(time.Second, topicPage{topic: platform.TopicDaemons, update: update})
			require.Equal(t, tc.want, c.daemons["it"].Heartbeat.Ready)
			c.receiveHeartbeats(t, 2*time.Second, false, heartbeat{Daemon: "it", Front: "it", Incarnation: "it1", Ready: true})
			require.True(t, c.daemons["it"].Heartbeat.Ready, "it lives after all")
		})
	}
}

// TestDaemonThatEndedIsForgotten guards against a daemon that is named to callers six seconds after it has
// ended (DRAIN), since hubs list it for as long as they may.
func TestDaemonThatEndedIsForgotten(t *testing.T) {
	const bound = 6 * time.Second
	c := newController()
	h := heartbeat{Daemon: "it", Front: "it", Incarnation: "it1", Ready: true}
	c.receiveHeartbeats(t, 0, false, h)
	// Its last status counts at its hub for maxStatusAge, and the hub's list at another one for membershipTTL.
	lastListed := maxStatusAge + membershipTTL
	c.applyPeerStatus(lastListed, peerStatus{daemons: []uint64{daemonID("it1")}})
	c.expirePeers(lastListed + peerTimeout - membershipInterval)
	require.Contains(t, c.daemons, "it")
	c.expirePeers(bound)
	require.NotContains(t, c.daemons, "it")
}

// TestLevelsOfTheFleet guards against a rollout that the log does not show (P68): the fleet's level falls with the
// first daemon of an old build and rises with the last, and an unknown level is named once.
func TestLevelsOfTheFleet(t *testing.T) {
	var lines strings.Builder
	c := newController()
	c.gateway.logger.Level, c.gateway.logger.Writer = log.InfoLevel, log.IOWriter{Writer: &lines}
	updated := heartbeat{Daemon: "a", Front: "a", Incarnation: "a2", Level: level.Own}
	old, later := heartbeat{Daemon: "b", Front: "b", Incarnation: "b1"}, heartbeat{Daemon: "c", Front: "c", Incarnation: "c1", Level: level.Own + 1}
	for n, heartbeats := range [][]heartbeat{{updated}, {old}, {later}, {old, later}, {{Daemon: "b", Front: "b", Incarnation: "b2", Level: level.Own}}} {
		c.receiveHeartbeats(t, time.Duration(n)*time.Millisecond, false, heartbeats...)
		c.publish(time.Duration(n) * time.Millisecond)
	}
	require.Equal(t, level.Own, c.gateway.view.Load().FleetLevel)
	require.Equal(t, 1, strings.Count(lines.String(), `"event":"fleet_level","from":2,"to":0`))
	require.Equal(t, 1, strings.Count(lines.String(), `"event":"fleet_level","from":0,"to":2`))
	require.Equal(t, 1, strings.Count(lines.String(), `"event":"level_unknown","peer":"c","level":3`))
}
