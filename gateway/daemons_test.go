package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
)

// namedBound is how long after its end a daemon may be named to callers, as the platform documents it.
const namedBound = 6 * time.Second

// A fleet is a number of daemons that write heartbeats in turn, five a second together, to a store. One more, "gone",
// ended as soon as it had written its last one at time 0.
type fleet struct{ daemons int }

// heartbeatPause is the time between two heartbeats of a fleet.
const heartbeatPause = time.Second / maxHeartbeatsPerSecond

// last returns the offset of the last heartbeat of "gone".
func (f fleet) last() int64 { return int64(10 * f.daemons) }

// end returns the end of the heartbeats at a time.
func (f fleet) end(at time.Duration) int64 { return f.last() + 1 + int64(at/heartbeatPause) }

// record returns the heartbeat at an offset.
func (f fleet) record(t *testing.T, offset int64) relay.Record {
	name := fmt.Sprint("d", offset%int64(f.daemons))
	if offset == f.last() {
		name = "gone"
	}
	text, err := cbor.Marshal(heartbeat{Daemon: name, Front: name, Incarnation: name + "-1", Ready: true})
	require.NoError(t, err)
	return relay.Record{Key: name, Value: text, Offset: offset}
}

// read returns what a read from an offset on returns that is sent at a time.
func (f fleet) read(t *testing.T, from int64, at time.Duration) relay.Update {
	u := relay.Update{From: from, End: f.end(at), ReadAt: at}
	for offset := from; offset < u.End; offset++ {
		u.Records = append(u.Records, f.record(t, offset))
	}
	return u
}

// list returns the listing that a read returns that is sent at a time.
func (f fleet) list(t *testing.T, at time.Duration) relay.Update {
	u := relay.Update{Whole: true, End: f.end(at), ReadAt: at, Records: []relay.Record{f.record(t, f.last())}}
	for n, offset := 0, u.End-1; n < f.daemons; offset-- {
		if offset != f.last() {
			u.Records = append(u.Records, f.record(t, offset))
			n++
		}
	}
	return u
}

// alive returns the daemons that a hub lists.
func (f fleet) alive() peerStatus {
	var status peerStatus
	for n := range f.daemons {
		status.daemons = append(status.daemons, daemonID(fmt.Sprint("d", n, "-1")))
	}
	return status
}

// receiveUpdate applies an update of the heartbeats that a hub sent.
func (c *controller) receiveUpdate(t *testing.T, now time.Duration, u relay.Update) {
	t.Helper()
	page, ok := c.gateway.peers.applyUpdate(platform.TopicDaemons, "hub", u)
	require.True(t, ok)
	c.applyPage(now, page)
}

// TestEndedDaemonIsListedAgain guards against a daemon that the directory names again after it has ended (DRAIN): a hub that
// has just started sends its followers a whole listing, in which the store keeps the daemon's last heartbeat.
func TestEndedDaemonIsListedAgain(t *testing.T) {
	const step = 600 * time.Millisecond
	for _, daemons := range []int{9, 72, 295} {
		for _, after := range []time.Duration{4200 * time.Millisecond, 5400 * time.Millisecond, 16 * time.Second, 20 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(daemons, "_daemons_", after), func(t *testing.T) {
				f, c, hub := fleet{daemons: daemons}, newController(), relay.Topic{}
				c.gateway.daemonsLoaded = make(chan struct{})
				c.receiveUpdate(t, 0, f.list(t, 0))
				asked := f.end(0)
				for now := step; now < after+namedBound; now += step {
					switch {
					case now < after:
						asked = f.end(now)
						c.receiveUpdate(t, now, f.read(t, f.end(now-step), now))
					case hub.End() < 0:
						// The follower asked this hub before the last update of the hub before it arrived.
						hub.Apply(f.list(t, now))
						listing, ok := hub.Since(0, asked-1)
						require.True(t, ok && listing.Whole)
						c.receiveUpdate(t, now, listing)
					default:
						hub.Apply(f.read(t, hub.End(), now))
						update, ok := hub.Since(0, f.end(now-step))
						require.True(t, ok)
						c.receiveUpdate(t, now, update)
					}
					c.applyPeerStatus(now, f.alive())
					c.expirePeers(now)
					_, named := c.daemons["gone"]
					require.False(t, named && now >= namedBound, "named %s after its end", now)
					require.Len(t, c.daemons, daemons+map[bool]int{true: 1}[named], "daemons that are alive after %s", now)
				}
			})
		}
	}
}

// TestDroppedDaemonIsTakenUp guards against a daemon that lives and is not named for up to a minute, as it was suspended or
// cut off: in a large fleet its next heartbeat is that far away, but hubs hear it again at once.
func TestDroppedDaemonIsTakenUp(t *testing.T) {
	for _, daemons := range []int{9, 72, 295} {
		t.Run(fmt.Sprint(daemons, "_daemons"), func(t *testing.T) {
			f, c := fleet{daemons: daemons}, newController()
			c.gateway.daemonsLoaded = make(chan struct{})
			c.receiveUpdate(t, 0, f.list(t, 0))
			c.expirePeers(peerTimeout)
			require.Empty(t, c.daemons)
			now := peerTimeout + time.Second
			c.applyPeerStatus(now, f.alive())
			require.Len(t, c.daemons, daemons)
			require.NotContains(t, c.daemons, "gone")
			c.expirePeers(now - membershipInterval + peerTimeout)
			require.Len(t, c.daemons, daemons)
			c.expirePeers(now - membershipInterval + peerTimeout + 1)
			require.Empty(t, c.daemons, "a list counts for as long as one that prolongs a daemon")
		})
	}
}

// TestDroppedDaemonInACopy guards against a daemon that has ended and is named again after the store came back from a copy.
func TestDroppedDaemonInACopy(t *testing.T) {
	f, c := fleet{daemons: 9}, newController()
	c.gateway.daemonsLoaded = make(chan struct{})
	listing := f.list(t, 0)
	listing.Era = 2
	c.receiveUpdate(t, 0, listing)
	c.expirePeers(peerTimeout)
	listing.Era, listing.ReadAt = 3, peerTimeout
	c.receiveUpdate(t, peerTimeout, listing)
	require.NotContains(t, c.daemons, "gone")
	c.applyPeerStatus(peerTimeout, f.alive())
	require.Len(t, c.daemons, f.daemons)
}

// TestListedLeaderIsNotSeenAgain guards against waiting longer for a leader that has ended, since a listing repeats its last
// heartbeat.
func TestListedLeaderIsNotSeenAgain(t *testing.T) {
	const term = 3
	c := newController()
	c.gateway.daemonsLoaded = make(chan struct{})
	c.leadership.candidate.ObserveEnd(0, term)
	text, err := cbor.Marshal(heartbeat{Daemon: "a", Front: "a", Incarnation: "a1", Term: term})
	require.NoError(t, err)
	record := relay.Record{Key: "a", Value: text, Offset: 4}
	c.receiveUpdate(t, 0, relay.Update{Whole: true, End: 4})
	c.receiveUpdate(t, 0, relay.Update{From: 4, End: 5, Records: []relay.Record{record}})
	end := tenureTimeouts.ElectionTimeout + time.Millisecond
	c.receiveUpdate(t, end, relay.Update{Whole: true, End: 5, ReadAt: end, Records: []relay.Record{record}})
	_, claimable := c.leadership.candidate.ClaimableOffset(end, end)
	require.True(t, claimable)
	c.expirePeers(peerTimeout + time.Millisecond)
	require.Empty(t, c.daemons, "the listing made the daemon look alive")
}

// TestDaemonListedInACopy guards against a daemon that nobody names after the store came back from a copy, whose offsets are
// lower than those before.
func TestDaemonListedInACopy(t *testing.T) {
	f, c := fleet{daemons: 9}, newController()
	c.gateway.daemonsLoaded = make(chan struct{})
	c.receiveUpdate(t, 0, relay.Update{Whole: true, End: f.end(0) + 900, Era: 2})
	listing := f.list(t, time.Second)
	listing.Era = 3
	c.receiveUpdate(t, time.Second, listing)
	require.Contains(t, c.daemons, "d1")
}

// TestOutageRevivesNoDaemon guards against a reader of the store that names a daemon to callers which ended during an outage
// of the store: stableWindow after the outage it must not, and those that hubs hear from stay named.
func TestOutageRevivesNoDaemon(t *testing.T) {
	const (
		outage       = 8 * time.Second
		stableWindow = 3 * time.Second
	)
	f, c := fleet{daemons: 9}, newController()
	c.gateway.daemonsLoaded = make(chan struct{})
	c.receiveUpdate(t, 0, f.list(t, 0))
	c.recordReadFailure(topicReadFailure{topic: platform.TopicDaemons})
	for now := membershipInterval; now <= outage; now += membershipInterval {
		c.applyPeerStatus(now, f.alive())
		c.expirePeers(now)
	}
	// A reader pauses for at most half as long again as maxHubBackoff. Some heartbeats were written before the outage.
	back := outage + maxHubBackoff*3/2
	update := f.read(t, f.end(0), 3*heartbeatPause)
	update.ReadAt = back
	for now := back; now < outage+stableWindow; now += tickInterval {
		if now == back {
			c.receiveUpdate(t, now, update)
		}
		c.applyPeerStatus(now, f.alive())
		c.expirePeers(now)
	}
	require.NotContains(t, c.daemons, "gone")
	require.Len(t, c.daemons, f.daemons)
}

// TestHeartbeatReadLate guards against a daemon that is named for as long after a late read of its last heartbeat as after
// one in time.
func TestHeartbeatReadLate(t *testing.T) {
	for _, pause := range []time.Duration{600 * time.Millisecond, 1800 * time.Millisecond, 2400 * time.Millisecond, 3600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			f, c := fleet{daemons: 9}, newController()
			c.gateway.daemonsLoaded = make(chan struct{})
			before := relay.Update{Whole: true, End: f.last(), ReadAt: time.Second}
			c.receiveUpdate(t, time.Second, before)
			now := before.ReadAt + pause
			update := f.read(t, f.last(), 0)
			update.ReadAt = now
			c.receiveUpdate(t, now, update)
			c.expirePeers(now)
			require.Contains(t, c.daemons, "gone")
			c.expirePeers(before.ReadAt + namedBound - tickInterval)
			require.NotContains(t, c.daemons, "gone")
		})
	}
}

// TestHubThatWakes guards against a hub that was suspended, or has much to read, and lists a daemon that ended meanwhile: its
// last messages lie in a connection.
func TestHubThatWakes(t *testing.T) {
	const ahead = time.Hour
	for _, fromHub := range []bool{false, true} {
		t.Run(fmt.Sprint("from_hub_", fromHub), func(t *testing.T) {
			g := newController().gateway
			receive := func(from string, sentAt, receivedAt time.Duration) {
				m := peerMessage{From: from, FromHub: fromHub, Timestamp: ahead + sentAt}
				m.Summary.Daemons = []uint64{daemonID(from)}
				g.peers.recordPeerSummary(m, receivedAt)
			}
			for at := time.Second; at < 4*time.Second; at += statusInterval {
				receive("gone", at, at+5*time.Millisecond)
				receive("live", at, at+10*time.Millisecond)
			}
			require.ElementsMatch(t, []uint64{daemonID("gone"), daemonID("live")}, g.summaryExcluding("", 4*time.Second).Daemons)
			const wakes = 9 * time.Second
			g.summaryExcluding("", wakes)
			receive("gone", 4*time.Second, wakes)
			receive("live", 4*time.Second, wakes)
			receive("live", wakes-statusInterval, wakes+time.Millisecond)
			require.Equal(t, []uint64{daemonID("live")}, g.summaryExcluding("", wakes+2*time.Millisecond).Daemons)
		})
	}
}

// TestListThatArrivesLate guards against a daemon that was suspended and finds a hub's list of live daemons in a connection,
// which it takes for one of that moment.
func TestListThatArrivesLate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		asked time.Duration
		want  bool
	}{{"in_time", 300 * time.Millisecond, true}, {"late", 4 * time.Second, false}} {
		t.Run(tc.name, func(t *testing.T) {
			g := newController().gateway
			g.startController()
			defer g.system.Shutdown()
			statuses := make(chan peerStatus, 1)
			g.pid = g.system.Root.Spawn(actor.PropsFromFunc(func(context actor.Context) {
				if status, ok := context.Message().(peerStatus); ok {
					statuses <- status
				}
			}))
			const now = 10 * time.Second
			m := peerMessage{From: "hub", EchoTimestamp: now - tc.asked}
			m.Summary.Daemons = []uint64{daemonID("it")}
			g.applyHubAnswer(m, now)
			status := <-statuses
			require.Equal(t, tc.want, len(status.daemons) > 0)
		})
	}
}
