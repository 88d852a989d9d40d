package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// TestOvertakenReplicaMayBeTriedAgain guards against streams that are broken off while a sound replica is left,
// which was given up only because another one was faster.
func TestOvertakenReplicaMayBeTriedAgain(t *testing.T) {
	g := newController().gateway
	s, a, _ := newRunningStream(g)
	require.False(t, g.handleMessage(t.Context(), s, runMessage{run: a, events: []byte("id: 1\ndata: x\n\n"), lastID: "1"}))
	require.NotContains(t, s.tried, "b")
}

// TestPausedHelperEndsNoCall guards against a call that fails, although it may not be repeated and has most of its time
// left, because the daemon that passes it on confirms it a little late.
func TestPausedHelperEndsNoCall(t *testing.T) {
	const address = "127.0.0.1:1"
	g := newController().gateway
	peer := httptest.NewServer(link.AcceptExchanges("secret", g.links, func(ctx context.Context, _ detourRequest, send func(detourPart) error) {
		select {
		case <-time.After(2 * helperAckTimeout):
		case <-ctx.Done():
		}
		_ = send(detourPart{Received: true})
		_ = send(detourPart{Status: http.StatusNotFound, Header: http.Header{}})
		_ = send(detourPart{End: true})
	}))
	t.Cleanup(peer.Close)
	var group task.Group
	g.linkGroup.Store(&group)
	g.view.Store(&View{
		Servers:            map[string]site.Server{address: {ID: "s", Address: address}},
		Peers:              map[string]heartbeat{"h1": {Front: "h", Ready: true, Level: level.Own, Peer: strings.TrimPrefix(peer.URL, "http://"), Secret: "secret"}},
		IncarnationByFront: map[string]string{"h": "h1"},
	})
	g.DialServer = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	c := &call{method: http.MethodPost, host: "h", target: "/buy/x", header: http.Header{}, route: &site.Route{}, deadline: time.Now().Add(5 * time.Second)}
	_, result, err := g.send(withAttempt(t.Context(), &attempt{}), c, site.Server{ID: "s", Address: address}, "")
	require.Equal(t, answered, result, "%v", err)
}

// TestSnapshotKeepsLapsedMembers guards against a replica that is taken apart because a whole list arrives while the
// entry of a silent member has lapsed (LOST).
func TestSnapshotKeepsLapsedMembers(t *testing.T) {
	var r roster
	s := site.Server{ID: "s", Address: "a", Born: 1, Member: site.Membership{Group: "small/1/1", Epoch: 1, State: site.Ready}}
	r.put(time.Second, 1, s, 0)
	r.retainListed(3*time.Second, wholeUpdate(9), false)
	require.Contains(t, r.entries, "s")
}

// wholeUpdate returns a whole list without entries.
func wholeUpdate(end int64) relay.Update { return relay.Update{Whole: true, End: end} }
