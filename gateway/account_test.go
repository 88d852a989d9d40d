package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// newLimitedController returns a controller of a daemon that is one of several, with a plain service of two servers.
func newLimitedController(others ...string) *controller {
	c := newController()
	bounds := site.Bounds{ColdOverage: 1.5, ColdSlack: 5}
	c.gateway.currentBounds.Store(&bounds)
	c.putInForce(&site.Configuration{Services: map[string]*site.Service{"plain": {Name: "plain"}}})
	for n, id := range []string{"p0", "p1"} {
		c.servers.put(clock.Boot(), int64(n+1), site.Server{ID: id, Address: id + ":1", Service: "plain", Born: 1}, 0)
	}
	for _, front := range append(others, "self") {
		c.daemons[front] = Peer{Heartbeat: heartbeat{Daemon: front, Front: front, Incarnation: front + "-1"}}
	}
	c.publish(clock.Boot())
	return c
}

// choices returns how often this daemon chooses each server for n calls to the plain service, and the wait that it found
// for the last call that it chose none for.
func (c *controller) choices(n int) (chosen map[string]int, wait time.Duration) {
	chosen = make(map[string]int)
	for range n {
		server, ok, backoff := c.gateway.choosePlain(c.gateway.view.Load(), &call{service: c.configuration.Services["plain"]}, nil)
		if ok {
			chosen[server.ID]++
		} else {
			wait = backoff
		}
	}
	return chosen, wait
}

// name records an answer of a server, to a call that was sent at 0, which names a limit.
func (c *controller) name(server string, perSecond float64) {
	c.gateway.recordLimit(server+":1", server, limitAnswer{perSecond: perSecond, named: true, call: true})
}

// nameNone records an answer of a server to a request that was sent at sentAt, which names no limit.
func (c *controller) nameNone(server string, sentAt time.Duration, call bool) {
	c.gateway.recordLimit(server+":1", server, limitAnswer{sentAt: sentAt, call: call})
}

// TestLimitOfOneServer guards against requests to a server beyond its limit while another one takes them, and against
// a limit that is believed of another server, or no longer named.
func TestLimitOfOneServer(t *testing.T) {
	for _, tc := range []struct {
		name        string
		do          func(c *controller)
		least, most int
	}{
		{"named", func(c *controller) { c.name("p0", 2) }, 0, 2},
		{"zero", func(c *controller) { c.name("p0", 0) }, 0, 1},
		{"in_an_answer_to_a_probe", func(c *controller) { c.gateway.recordLimit("p0:1", "p0", limitAnswer{perSecond: 2, named: true}) }, 0, 2},
		{"broken", func(c *controller) {
			c.gateway.recordLimit("p0:1", "p0", limitAnswer{err: errors.New("no number"), call: true})
		}, 20, 100},
		{"no_longer_named", func(c *controller) {
			c.name("p0", 2)
			c.nameNone("p0", clock.Boot(), true)
		}, 20, 100},
		{"not_named_by_a_probe", func(c *controller) {
			c.name("p0", 2)
			c.nameNone("p0", clock.Boot(), false)
		}, 0, 2},
		{"not_named_by_an_earlier_answer", func(c *controller) {
			c.name("p0", 2)
			c.nameNone("p0", 0, true)
		}, 0, 2},
		{"started_again", func(c *controller) {
			c.name("p0", 2)
			c.servers.put(clock.Boot(), 9, site.Server{ID: "p0", Address: "p0:1", Service: "plain", Born: 2}, 0)
			c.publish(clock.Boot())
		}, 20, 100},
		{"of_another_server_at_its_address", func(c *controller) {
			c.gateway.recordLimit("p0:1", "before", limitAnswer{perSecond: 2, named: true, call: true})
		}, 20, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newLimitedController()
			tc.do(c)
			chosen, _ := c.choices(100)
			require.LessOrEqual(t, chosen["p0"], tc.most)
			require.GreaterOrEqual(t, chosen["p0"], tc.least)
			require.Equal(t, 100, chosen["p0"]+chosen["p1"], "requests that are served")
		})
	}
}

// TestLimitOfAllServers guards against requests that wait, or that are told to come back at once, when no server takes
// them.
func TestLimitOfAllServers(t *testing.T) {
	c := newLimitedController()
	c.name("p0", 1)
	c.name("p1", 0.5)
	chosen, wait := c.choices(50)
	require.LessOrEqual(t, chosen["p0"]+chosen["p1"], 2)
	require.Positive(t, wait)
	require.Less(t, wait, 2*time.Second)
}

// TestLimitIsTold guards against a daemon that goes on sending because no answer of the server came to it (P75): limits
// reach it through hubs, when they change and now and then all of them, as daemons start later.
func TestLimitIsTold(t *testing.T) {
	here, hub, there := newLimitedController("hub", "there"), newLimitedController("here", "there"), newLimitedController("here", "hub")
	here.name("p0", 2)
	told := here.gateway.limitsFor("hub", 0)
	require.Len(t, told, 1)
	require.Empty(t, here.gateway.limitsFor("hub", time.Second))
	require.Len(t, here.gateway.limitsFor("hub", limitsInterval), 1)
	hub.gateway.handlePeerMessage(peerMessage{From: "here", Limits: told})
	there.gateway.handlePeerMessage(peerMessage{From: "hub", Limits: hub.gateway.limitsFor("there", 0)})
	limit, limited := there.gateway.tracker.limits.Of(notice.Incarnation{Server: "p0", Born: 1})
	require.True(t, limited)
	require.InDelta(t, 2, limit, 0)
	chosen, _ := there.choices(100)
	require.LessOrEqual(t, chosen["p0"], 1)
}

// TestLimitCountsProbes guards against probes and orders that come on top of what a server takes (P74).
func TestLimitCountsProbes(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte("{}"))
		assert.NoError(t, err)
	}))
	t.Cleanup(worker.Close)
	c := newLimitedController()
	address := worker.Listener.Addr().String()
	c.servers.put(clock.Boot(), 9, site.Server{ID: "p2", Address: address, Service: "plain", Born: 1}, 0)
	c.publish(clock.Boot())
	c.gateway.recordLimit(address, "p2", limitAnswer{perSecond: 100, named: true, call: true})
	// The account begins with the first use, and then takes some time to allow a request.
	c.choices(1)
	time.Sleep(30 * time.Millisecond)
	for range 20 {
		_, err := c.gateway.engines.Report(t.Context(), site.Server{ID: "p2", Address: address})
		require.NoError(t, err)
	}
	chosen, _ := c.choices(100)
	require.Zero(t, chosen["p2"])
}
