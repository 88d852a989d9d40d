package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// smallReplica configures a model of two members.
var smallReplica = &site.Configuration{Version: 1, Services: map[string]*site.Service{
	"models": {Name: "models", Engine: &site.Engine{Models: []site.Model{{Name: "small", Size: 2}}}},
}}

// newServingController returns a controller that has read the entries of a head "s0" and a member "s1" of
// a replica that serves, and the log lines that it writes.
func newServingController(t *testing.T) (*controller, *bytes.Buffer) {
	c, lines := newController(), new(bytes.Buffer)
	c.gateway.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: lines}}
	c.putInForce(smallReplica)
	c.leadership.dead, c.leadership.aliveAt = make(map[string]deadServer), make(map[string]time.Duration)
	c.receiveServers(0, 1, memberEntry("s0", 0, "open"), memberEntry("s1", 1, "ready"))
	c.requireServing(t, 0, "s0", "s1")
	return c, lines
}

// memberEntry returns the record of a member of the replica small/1/1.
func memberEntry(id string, rank int, state string) relay.Record {
	text := `{"service":"models","address":"10.0.0.` + id[1:] + `:1","state":"ready","seq":1,"born":5,"group":{"name":"small/1/1","epoch":1000001,"rank":` +
		string(rune('0'+rank)) + `,"state":"` + state + `"}}`
	return relay.Record{Key: id, Value: []byte(text)}
}

// receiveServers applies records that follow each other from an offset on.
func (c *controller) receiveServers(now time.Duration, offset int64, records ...relay.Record) {
	for n := range records {
		records[n].Offset = offset + int64(n)
	}
	c.applyServerRecords(now, topicPage{topic: platform.TopicServers, update: relay.Update{Records: records, End: offset + int64(len(records))}})
}

// requireServing checks that the one replica that serves at now has the given members, or that there is
// none.
func (c *controller) requireServing(t *testing.T, now time.Duration, members ...string) {
	t.Helper()
	c.servers.expire(now)
	c.publish(now)
	replicas := c.gateway.view.Load().Replicas[servedModel{service: "models", model: "small"}]
	if len(members) == 0 {
		require.Empty(t, replicas)
		return
	}
	require.Len(t, replicas, 1)
	require.Equal(t, members, replicas[0].Members)
}

// TestBrokenEntryOfAMember guards against taking a replica apart for bytes that another writer left under
// the key of a member, which goes on serving and writes its own entry again (P64).
func TestBrokenEntryOfAMember(t *testing.T) {
	broken := func(text string) relay.Record { return relay.Record{Key: "s1", Value: []byte(text)} }
	t.Run("replica_serves_on", func(t *testing.T) {
		c, lines := newServingController(t)
		c.receiveServers(time.Second, 10, broken("{"), broken(strings.Repeat("x", 100_000)), broken("null"))
		c.requireServing(t, 2*time.Second, "s0", "s1")
		require.Equal(t, 1, strings.Count(lines.String(), `"event":"broken_entry","server":"s1"`), lines.String())
	})
	t.Run("until_the_server_writes_again", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, broken("{"), memberEntry("s1", 1, "ready"))
		c.requireServing(t, time.Hour, "s0", "s1")
	})
	t.Run("own_entry_wins", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, broken("{"), relay.Record{Key: "s1", Value: []byte(`{"service":"models","address":"10.0.0.1:1","state":"draining","seq":2,"born":5}`)})
		c.requireServing(t, 2*time.Second)
	})
	t.Run("not_if_the_server_is_gone", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, broken("{"))
		c.receiveServers(5*time.Second, 11, broken("["))
		c.requireServing(t, time.Second+overwrittenTTL)
	})
	t.Run("nor_after_a_listing", func(t *testing.T) {
		c, _ := newServingController(t)
		head, overwritten := memberEntry("s0", 0, "open"), broken("{")
		head.Offset, overwritten.Offset = 8, 9
		c.applyServerRecords(time.Second, topicPage{topic: platform.TopicServers, update: relay.Update{Whole: true, Records: []relay.Record{head, overwritten}, End: 10}})
		c.requireServing(t, 2*time.Second, "s0", "s1")
	})
	t.Run("not_after_its_removal", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, broken("{"), broken(""))
		c.requireServing(t, time.Second)
	})
	t.Run("no_server_of_an_unknown_key", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, relay.Record{Key: "odd", Value: []byte(`{"service":"models","address":"10.0.0.9:65536","state":"ready"}`)})
		require.Len(t, c.servers.all(), 2)
	})
	t.Run("long_error", func(t *testing.T) {
		c, lines := newServingController(t)
		lines.Reset()
		c.receiveServers(time.Second, 10, broken(`{"seq":`+strings.Repeat("9", 100_000)+`}`))
		require.Less(t, lines.Len(), 2000)
	})
}

// TestContestedMembership guards against an entry of another writer that claims a place in a replica that
// serves: all daemons stopped using the replica, and its leader closed it (P64).
func TestContestedMembership(t *testing.T) {
	claim := func(id, group string) relay.Record {
		return relay.Record{Key: id, Value: []byte(`{"service":"models","address":"10.0.0.9:1","state":"ready","seq":1,"born":9,"group":{"name":"small/1/1",` + group + `}}`)}
	}
	for _, tc := range []struct{ name, group string }{
		{"rank_of_the_head", `"epoch":1000001,"rank":0,"state":"open"`},
		{"rank_of_a_member", `"epoch":1000001,"rank":1,"state":"ready"`},
		{"rank_beyond_the_model", `"epoch":1000001,"rank":2,"state":"ready"`},
		{"later_epoch", `"epoch":1000002,"rank":0,"state":"open"`},
		{"earlier_epoch", `"epoch":1,"rank":0,"state":"joining"`},
		{"highest_epoch", `"epoch":9007199254740992,"rank":65535,"state":"broken"`},
	} {
		for _, id := range []string{"a", "z"} {
			t.Run(tc.name+"/"+id, func(t *testing.T) {
				c, lines := newServingController(t)
				c.receiveServers(time.Second, 10, claim(id, tc.group))
				c.requireServing(t, time.Second, "s0", "s1")
				c.requireServing(t, 2*time.Second, "s0", "s1")
				require.Equal(t, 1, strings.Count(lines.String(), `"event":"broken_entry","server":"`+id+`"`), lines.String())
				require.Len(t, c.consistentServers(), 2, "servers that the leader uses")
			})
			t.Run(tc.name+"/"+id+"/in_a_listing", func(t *testing.T) {
				c, _ := newServingController(t)
				c.servers = roster{}
				// The servers have written their entries many times since the other writer left its own.
				c.receiveServers(time.Second, 10, claim(id, tc.group), memberEntry("s0", 0, "open"), memberEntry("s1", 1, "ready"))
				c.requireServing(t, time.Second, "s0", "s1")
			})
		}
	}
	t.Run("size_of_a_later_configuration", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, memberEntry("s2", 2, "ready"))
		c.requireServing(t, time.Second, "s0", "s1")
		c.applyConfiguration(relay.Record{Offset: 1, Value: []byte(`{"version":2,"services":[{"name":"models","engine":{"models":[{"name":"small","size":3}]}}]}`)})
		c.requireServing(t, time.Second, "s0", "s1", "s2")
	})
	t.Run("place_of_a_removed_member", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, claim("z", `"epoch":1000001,"rank":1,"state":"ready"`))
		c.requireServing(t, time.Second, "s0", "s1")
		c.receiveServers(time.Second, 11, relay.Record{Key: "s1"})
		c.requireServing(t, time.Second)
	})
}

// TestLargeEntry guards against a list that no hub can send: one message is limited to 8 MB, and a store may
// take records that are larger (P64).
func TestLargeEntry(t *testing.T) {
	large := []byte(`{"service":"` + strings.Repeat("x", 9<<20) + `"}`)
	for _, tc := range []struct {
		topic     string
		wantBytes int
	}{{platform.TopicServers, platform.MaxEntryBytes + 1}, {platform.TopicOperators, len(large)}} {
		t.Run(tc.topic, func(t *testing.T) {
			records := relayRecords(tc.topic, platform.Page{Records: []platform.Record{{Key: "odd", Value: large, Offset: 3}, {Key: "s", Value: []byte("v"), Offset: 4}}})
			require.Len(t, records, 2)
			require.Len(t, records[0].Value, tc.wantBytes)
			require.Equal(t, relay.Record{Key: "s", Value: []byte("v"), Offset: 4}, records[1])
		})
	}
	c, lines := newServingController(t)
	c.receiveServers(time.Second, 10, relayRecords(platform.TopicServers, platform.Page{Records: []platform.Record{{Key: "odd", Value: large}}})...)
	require.Contains(t, lines.String(), "entry has more than 65536 bytes")
}

// TestOwnEntryWins guards against a server that is never used again since another writer left a valid entry
// under its key that looks newer than all that the server writes (P64).
func TestOwnEntryWins(t *testing.T) {
	foreign := func(address, born, seq string) relay.Record {
		return relay.Record{Key: "s1", Value: []byte(`{"service":"models","address":"` + address + `","state":"ready","seq":` + seq + `,"born":` + born + `}`)}
	}
	for _, tc := range []struct {
		name    string
		entry   relay.Record
		atOnce  bool
		noticed bool
	}{
		{"later_start", foreign("10.0.0.1:1", "9007199254740992", "1"), false, false},
		{"later_sequence", foreign("10.0.0.1:1", "5", "9007199254740992"), false, false},
		{"earlier_start", foreign("10.0.0.9:1", "4", "9"), true, false},
		{"other_address", foreign("10.0.0.9:1", "5", "9007199254740992"), true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, lines := newServingController(t)
			c.receiveServers(time.Second, 10, tc.entry)
			if tc.atOnce {
				c.requireServing(t, time.Second, "s0", "s1")
			}
			// Hubs pass on only the first of the entries that follow, which differ in their sequence.
			c.receiveServers(2*time.Second, 11, memberEntry("s1", 1, "ready"))
			c.requireServing(t, 2*time.Second+olderEntryWait, "s0", "s1")
			require.Equal(t, tc.noticed, strings.Contains(lines.String(), `"event":"broken_entry","server":"s1"`), lines.String())
			c.receiveServers(time.Minute, 12, memberEntry("s1", 1, "ready"))
			c.requireServing(t, time.Hour, "s0", "s1")
		})
	}
	t.Run("delayed_entry_of_an_earlier_run", func(t *testing.T) {
		c, _ := newServingController(t)
		restarted := foreign("10.0.0.1:1", "6", "1")
		c.receiveServers(time.Second, 10, restarted, memberEntry("s1", 1, "ready"))
		c.receiveServers(2*time.Second, 12, foreign("10.0.0.1:1", "6", "2"))
		c.requireServing(t, time.Hour)
		require.EqualValues(t, 6, c.servers.entries["s1"].server.Born)
	})
	t.Run("removed_meanwhile", func(t *testing.T) {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, foreign("10.0.0.1:1", "6", "1"), memberEntry("s1", 1, "ready"), relay.Record{Key: "s1"})
		c.requireServing(t, time.Hour)
	})
}

// TestRestartOfAMember guards against a leader that takes a restart for an entry of another writer, or the
// other way round (P64).
func TestRestartOfAMember(t *testing.T) {
	restarted := site.Server{ID: "s1", Service: "models", Address: "10.0.0.9:1", Born: 6}
	earlier, first := restarted, restarted
	earlier.Born, first.ID = 4, "new"
	for _, tc := range []struct {
		name   string
		server site.Server
		want   bool
	}{{"restart", restarted, true}, {"earlier_run", earlier, false}, {"new_server", first, false}} {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := newServingController(t)
			before, ok := c.servers.replacedMember(tc.server)
			require.Equal(t, tc.want, ok)
			if !ok {
				return
			}
			m := runVerified{record: relay.Record{Key: "s1", Offset: 10}, server: tc.server, before: before, stillRuns: true}
			c.applyRunVerified(time.Second, m)
			c.requireServing(t, time.Second, "s0", "s1")
			m.stillRuns, m.record.Offset = false, 11
			c.applyRunVerified(time.Second, m)
			c.requireServing(t, time.Second)
			require.Equal(t, tc.server.Address, c.servers.entries["s1"].server.Address)
		})
	}
}

// TestTwoServersAtOneAddress guards against detours that are refused since an entry of another writer, or of
// a server that has ended, has the address of a server (P64).
func TestTwoServersAtOneAddress(t *testing.T) {
	at := func(id, state, born string) relay.Record {
		return relay.Record{Key: id, Value: []byte(`{"service":"models","address":"10.0.0.1:1","state":"` + state + `"` + born + `}`)}
	}
	for _, odd := range []relay.Record{at("a", "draining", ""), at("z", "draining", ""), at("z", "ready", `,"born":4`)} {
		c, _ := newServingController(t)
		c.receiveServers(time.Second, 10, odd)
		c.requireServing(t, time.Second, "s0", "s1")
		require.Equal(t, "s1", c.gateway.view.Load().Servers["10.0.0.1:1"].ID)
	}
}
