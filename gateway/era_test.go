package gateway

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// serverRecord returns the entry of a run of the server s1 with a sequence number.
func serverRecord(offset int64, text string) relay.Record {
	return relay.Record{Key: "s1", Offset: offset, Value: []byte(`{"service":"plain","address":"10.0.0.1:1","state":"ready","born":5,` + text + `}`)}
}

// restore applies to c the first snapshot of a topic after the store came back from a copy.
func (c *controller) restore(topic string, endBefore int64, records ...relay.Record) {
	c.loadedTopics[topic] = true
	if c.topicEras == nil {
		c.topicEras = map[string]int64{topic: 2}
	}
	c.applyPage(time.Second, topicPage{
		topic: topic, endBefore: endBefore,
		update: relay.Update{Whole: true, Era: c.topicEras[topic] + 1, Records: records, End: int64(len(records)), ReadAt: time.Second},
	})
}

// TestServersInACopy lists what the first snapshot after a drill of the store changes of a server, which was listed with
// the sequence number 7 at offset 9.
func TestServersInACopy(t *testing.T) {
	gone := func(c *controller) { c.applyServerRemoval(0, relay.Record{Key: "s1", Offset: 10}) }
	for _, tc := range []struct {
		name     string
		before   func(c *controller)
		records  []relay.Record
		listed   bool
		sequence int64
	}{
		{"missing", nil, nil, true, 7},
		{"older", nil, []relay.Record{serverRecord(0, `"seq":6`)}, true, 7},
		{"written_again", nil, []relay.Record{serverRecord(0, `"seq":8`)}, true, 8},
		{"gone_and_in_the_copy", gone, []relay.Record{serverRecord(0, `"seq":7`)}, false, 0},
		{"gone_and_back", gone, []relay.Record{serverRecord(0, `"seq":8`)}, true, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			c.receiveServers(0, 9, serverRecord(9, `"seq":7`))
			if tc.before != nil {
				tc.before(c)
			}
			c.restore(platform.TopicServers, 11, tc.records...)
			e, listed := c.servers.entries["s1"]
			require.Equal(t, tc.listed, listed)
			if listed {
				require.True(t, e.isUsable())
				require.Equal(t, tc.sequence, e.server.Sequence)
			}
			c.applyServerRemoval(2*time.Second, relay.Record{Key: "s1", Offset: 1})
			require.Empty(t, c.servers.entries, "a removal at an offset that was given out again")
		})
	}
	t.Run("missing_for_long", func(t *testing.T) {
		c := newController()
		c.receiveServers(0, 9, serverRecord(9, `"seq":7`))
		c.restore(platform.TopicServers, 11)
		c.servers.expire(time.Second + lapsedEntryGrace)
		require.Empty(t, c.servers.entries)
	})
	t.Run("verified_late", func(t *testing.T) {
		c := newController()
		c.receiveServers(0, 9, serverRecord(9, `"seq":7`))
		c.restore(platform.TopicServers, 11, serverRecord(0, `"seq":7`))
		c.applyRunVerified(time.Second, runVerified{record: relay.Record{Key: "s1", Offset: 10}, era: 2, server: site.Server{ID: "s1", Born: 9}})
		require.Equal(t, int64(5), c.servers.entries["s1"].server.Born, "an offset of the earlier era")
	})
}

// TestHeartbeatsInACopy guards against a copy of the store that makes a daemon look alive, or its leader look replaced.
func TestHeartbeatsInACopy(t *testing.T) {
	c := newController()
	c.receiveHeartbeats(t, 0, false, heartbeat{Daemon: "a", Front: "a", Incarnation: "a1", Ready: true})
	c.receiveHeartbeats(t, 500*time.Millisecond, false, heartbeat{Daemon: "a", Front: "a", Incarnation: "a2", Term: 3})
	text, err := cbor.Marshal(heartbeat{Daemon: "a", Front: "a", Incarnation: "a1", Ready: true})
	require.NoError(t, err)
	c.gateway.daemonsLoaded = make(chan struct{})
	c.restore(platform.TopicDaemons, 2, relay.Record{Key: "a", Value: text})
	require.Equal(t, "a2", c.daemons["a"].Heartbeat.Incarnation)
	require.Equal(t, 500*time.Millisecond, c.daemons["a"].LastSeenAt)
	_, claimable := c.leadership.candidate.ClaimableOffset(time.Second, time.Second)
	require.False(t, claimable)
}

// TestConfigurationInACopy guards against a configuration that comes back older, and against a later one that is ignored,
// as its offset was given out before.
func TestConfigurationInACopy(t *testing.T) {
	version := func(text string, offset int64) relay.Record {
		return relay.Record{Key: platform.ConfigurationKey, Offset: offset, Value: []byte(`{"version":` + text + `}`)}
	}
	c := newController()
	c.applyOperatorRecords(0, topicPage{update: relay.Update{Records: []relay.Record{version("3", 0), version("8", 2)}}})
	c.restore(platform.TopicOperators, 3, version("3", 0))
	require.Equal(t, int64(8), c.configuration.Version)
	for n, text := range []string{"8", "13"} {
		c.applyOperatorRecords(0, topicPage{update: relay.Update{Era: 3, Records: []relay.Record{version(text, int64(n+1))}}})
	}
	require.Equal(t, int64(13), c.configuration.Version)
}

// TestClaimInAnotherEra guards against a daemon that leads by a claim that the store accepted in another era than the one
// that its offset is of: another daemon may lead there.
func TestClaimInAnotherEra(t *testing.T) {
	for _, tc := range []struct {
		name  string
		era   int64
		leads bool
	}{{"same", 2, true}, {"later", 3, false}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			c.storeEra, c.leadership.claimEra = 2, 2
			c.leadership.candidate.ObserveEra(2)
			c.applyTerms(0, termsResult{end: 4, era: 2})
			c.applyTerms(0, termsResult{end: 9, era: 3})
			c.applyClaim(time.Second, claimResult{sentAt: time.Second, era: tc.era})
			term, leads := c.leadership.candidate.Leads(time.Second)
			require.Equal(t, tc.leads, leads)
			if leads {
				require.Equal(t, int64(5), term)
			}
		})
	}
}
