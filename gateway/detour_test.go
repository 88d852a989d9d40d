package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// TestWhatADetourProves guards against a request that is said not to have run although it may have, or
// the reverse, for each way in which another daemon can answer or fail (P52).
func TestWhatADetourProves(t *testing.T) {
	const address = "127.0.0.1:1"
	hang := func(ctx context.Context, _ func(detourPart) error) { <-ctx.Done() }
	parts := func(parts ...detourPart) func(context.Context, func(detourPart) error) {
		return func(_ context.Context, send func(detourPart) error) {
			for _, part := range parts {
				_ = send(part)
			}
		}
	}
	die := func(after func(context.Context, func(detourPart) error)) func(context.Context, func(detourPart) error) {
		return func(ctx context.Context, send func(detourPart) error) {
			after(ctx, send)
			panic(http.ErrAbortHandler)
		}
	}
	received := detourPart{Received: true}
	// A failure needs no signature.
	head := detourPart{Status: http.StatusNotFound, Header: http.Header{}, Own: true}
	// A daemon that has not checked to which request the refusal belongs is an older one.
	refusal := func(own bool, ids ...string) detourPart {
		part := detourPart{Status: http.StatusMisdirectedRequest, Header: http.Header{}, Own: own}
		for _, id := range ids {
			one := http.Header{}
			platform.SetAttemptID(one, id)
			for name, values := range one {
				part.Header[name] = append(part.Header[name], values...)
			}
		}
		return part
	}
	for _, tc := range []struct {
		name   string
		helper func(context.Context, func(detourPart) error)
		want   attemptResult
		body   string
		whole  bool
	}{
		{"answered", parts(received, head, detourPart{Body: []byte("a")}, detourPart{Body: []byte("b")}, detourPart{End: true}), answered, "ab", true},
		{"broken_off_by_the_server", parts(received, head, detourPart{Body: []byte("a")}, detourPart{Broken: true}), answered, "a", false},
		{"dies_in_the_body", die(parts(received, head, detourPart{Body: []byte("a")})), answered, "a", false},
		{"dies_before_the_answer", die(parts(received)), lost, "", false},
		{"dies_at_once", die(parts()), lost, "", false},
		{"confirms_nothing", hang, lost, "", false},
		{"answer_lost_by_the_server", parts(received, detourPart{Broken: true}), lost, "", false},
		{"refuses_busy", parts(received, detourPart{Refusal: refusedBusy}), notRun, "", false},
		{"refuses_links", parts(received, detourPart{Refusal: refusedLinks}), notRun, "", false},
		{"refuses_unreachable", parts(received, detourPart{Refusal: refusedUnreachable}), notRun, "", false},
		{"refuses_server", parts(received, detourPart{Refusal: refusedServer}), notRun, "", false},
		{"invalid_status", parts(received, detourPart{Status: 600, Header: http.Header{}, Own: true}, detourPart{End: true}), lost, "", false},
		{"invalid_field_name", parts(received, detourPart{Status: http.StatusNotFound, Header: http.Header{"X None": {"1"}}, Own: true}, detourPart{End: true}), lost, "", false},
		{"refusal_of_the_server", parts(received, refusal(true), detourPart{End: true}), notRun, "", false},
		{"refusal_with_the_id", parts(received, refusal(false, "id"), detourPart{End: true}), notRun, "", false},
		{"refusal_without_an_id", parts(received, refusal(false), detourPart{End: true}), lost, "", false},
		{"refusal_with_two_ids", parts(received, refusal(false, "id", "id"), detourPart{End: true}), lost, "", false},
		{"refusal_with_an_older_id", parts(received, refusal(false, "older"), detourPart{End: true}), lost, "", false},
		{"refuses_for_a_reason_of_a_later_build", parts(received, detourPart{Refusal: 99}), notRun, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := newController().gateway
			peer := httptest.NewServer(link.AcceptExchanges("secret", g.links, func(ctx context.Context, q detourRequest, send func(detourPart) error) {
				require.Equal(t, "s", q.Server, "the server that the request was meant for")
				require.Equal(t, "body", string(q.Body))
				require.Equal(t, "/buy/x?a=%20", q.Target)
				tc.helper(ctx, send)
			}))
			t.Cleanup(peer.Close)
			var group task.Group
			g.linkGroup.Store(&group)
			g.view.Store(&View{
				Servers:            map[string]site.Server{address: {ID: "successor", Address: address}},
				Peers:              map[string]heartbeat{"h1": {Front: "h", Ready: true, Level: level.Own, Peer: strings.TrimPrefix(peer.URL, "http://"), Secret: "secret"}},
				IncarnationByFront: map[string]string{"h": "h1"},
			})
			g.DialServer = func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			c := &call{
				method: http.MethodPost, host: "h", target: "/buy/x?a=%20", body: []byte("body"), route: &site.Route{}, deadline: time.Now().Add(5 * time.Second),
				request: platform.Request{Attempt: "id"}, header: http.Header{},
			}
			platform.SetAttemptID(c.header, "id")
			began := time.Now()
			resp, result, err := g.send(withAttempt(t.Context(), &attempt{}), c, site.Server{ID: "s", Address: address}, "")
			require.Equal(t, tc.want, result, "%v", err)
			require.Less(t, time.Since(began), 2*time.Second)
			if tc.want != answered {
				require.Error(t, err)
				return
			}
			answer, err := g.readAnswer(t.Context(), &call{}, resp)
			if tc.whole {
				require.NoError(t, err)
				require.Equal(t, tc.body, string(bytes.Join(answer.parts, nil)))
				return
			}
			require.ErrorIs(t, err, errDetourBroke)
		})
	}
}

// TestRefusedConnections guards against a server that is taken for gone since this daemon's connections
// to it are refused, although another daemon does not say so (P53).
func TestRefusedConnections(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, tc := range []struct {
		name   string
		reason error
		want   bool
	}{
		{"nobody_to_ask", errNoPath, true},
		{"refused_there_as_well", &helperRefusedError{reason: refusedAbsent}, true},
		{"helper_without_links", &helperRefusedError{reason: refusedLinks}, false},
		{"silent_there", &helperRefusedError{reason: refusedUnreachable}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := newController().gateway.unreachable(detour.Server{Address: "a:1"}, refused, tc.reason)
			require.Equal(t, tc.want, isRefused(err))
			require.True(t, isUnreached(err))
		})
	}
}

// TestHelperRefuses guards against a request that reaches a server through another daemon although that
// daemon knows better (P52), also while the controller publishes another view: either one's knowledge is enough.
func TestHelperRefuses(t *testing.T) {
	const address = "127.0.0.1:1"
	server := site.Server{ID: "s", Address: address, Born: 1, FailureDomain: "north"}
	request := detourRequest{Address: address, Server: "s", Call: true}
	for _, tc := range []struct {
		name string
		do   func(g *Gateway, v *View, q *detourRequest)
		want detourRefusal
	}{
		{"nothing_against_it", func(*Gateway, *View, *detourRequest) {}, notRefused},
		{"another_server_at_the_address", func(_ *Gateway, _ *View, q *detourRequest) { q.Server = "gone" }, refusedServer},
		{"not_listed", func(_ *Gateway, v *View, _ *detourRequest) { v.Servers = nil }, refusedServer},
		{"domain_out", func(_ *Gateway, v *View, _ *detourRequest) { v.DomainsOut = map[string]bool{"north": true} }, refusedServer},
		{"draining", func(_ *Gateway, v *View, _ *detourRequest) {
			draining := server
			draining.Draining = true
			v.Servers = map[string]site.Server{address: draining}
		}, refusedServer},
		{"order_in_a_domain_that_is_out", func(_ *Gateway, v *View, q *detourRequest) {
			v.DomainsOut, q.Call = map[string]bool{"north": true}, false
		}, notRefused},
		{"leaving", func(g *Gateway, _ *View, _ *detourRequest) {
			g.recordNotice(&call{}, server, notice.Notice{Leaving: true})
		}, refusedServer},
		{"backing_off", func(g *Gateway, _ *View, _ *detourRequest) {
			g.recordNotice(&call{}, server, notice.Notice{Backoff: time.Minute})
		}, refusedServer},
		{"busy", func(g *Gateway, _ *View, _ *detourRequest) { g.detours.Store(maxDetours) }, refusedBusy},
		{"stopped", func(g *Gateway, _ *View, _ *detourRequest) { g.leaving.Store(true) }, refusedBusy},
		{"own_path_lost", func(g *Gateway, _ *View, _ *detourRequest) { g.recordPathLost(address, errNoPath) }, refusedUnreachable},
		{"own_links_lost", func(g *Gateway, _ *View, _ *detourRequest) {
			for _, other := range []string{address, "127.0.0.1:2", "127.0.0.1:3"} {
				g.recordPathLost(other, errNoPath)
			}
		}, refusedLinks},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, q := newController(), request
			g, v := c.gateway, &View{Servers: map[string]site.Server{address: server}}
			c.leadership.dead = make(map[string]deadServer)
			g.startController()
			t.Cleanup(func() { g.system.Shutdown() })
			tc.do(g, v, &q)
			g.view.Store(&View{})
			require.Equal(t, tc.want, g.refusesDetour(v, q))
		})
	}
}

// TestHelpersOfTheRegion guards against a body that is passed to a daemon in another region (P52).
func TestHelpersOfTheRegion(t *testing.T) {
	g := newController().gateway
	g.settings.Region = "here"
	view := &View{
		Peers: map[string]heartbeat{
			"1": {Ready: true, Peer: "a", Region: "here"}, "2": {Ready: true, Peer: "b", Region: "there"}, "3": {Peer: "c", Region: "here"},
		},
		IncarnationByFront: map[string]string{"near": "1", "far": "2", "starting": "3"},
	}
	require.Equal(t, []detour.Helper{{Name: "near"}}, g.helperCandidates(view, nil))
}

// TestDaemonsWithoutDetours guards against a request that is asked of daemons of an old build, which have no
// detours, until no other daemon is asked any more (P68). The new one is the last in the order of helpers.
func TestDaemonsWithoutDetours(t *testing.T) {
	const address = "127.0.0.1:1"
	g := newController().gateway
	var (
		group      task.Group
		askedOfOld atomic.Int64
	)
	g.linkGroup.Store(&group)
	v := &View{
		Servers: map[string]site.Server{address: {ID: "s", Address: address}}, Peers: make(map[string]heartbeat),
		IncarnationByFront: make(map[string]string),
	}
	fronts := slices.SortedFunc(slices.Values([]string{"a", "b", "c", "d", "e", "f"}), func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(g.settings.Front, b), rendezvous.Weight(g.settings.Front, a))
	})
	for n, front := range fronts {
		h := heartbeat{Front: front, Incarnation: front + "1", Ready: true, Secret: "secret"}
		handler := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			askedOfOld.Add(1)
			http.NotFound(w, r)
		}))
		if n == len(fronts)-1 {
			h.Level = level.Own
			handler = link.AcceptExchanges("secret", g.links, func(_ context.Context, _ detourRequest, send func(detourPart) error) {
				_ = send(detourPart{Received: true})
				_ = send(detourPart{End: true})
			})
		}
		peer := httptest.NewServer(handler)
		t.Cleanup(peer.Close)
		h.Peer = strings.TrimPrefix(peer.URL, "http://")
		v.Peers[h.Incarnation], v.IncarnationByFront[front] = h, h.Incarnation
	}
	g.view.Store(v)
	answer, err := g.ask(t.Context(), v.destination(address), detourRequest{Address: address, Server: "s"})
	require.NoError(t, err)
	require.Equal(t, fronts[len(fronts)-1], answer.helper)
	require.Zero(t, askedOfOld.Load())
}

// TestUnacknowledgedBytes guards against connections to a peer that is gone which nothing closes: the
// option is set, and keep-alive probes, whose end it would decide as well, are off (P59).
func TestUnacknowledgedBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err := dialer().DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	tcp, ok := conn.(*net.TCPConn)
	require.True(t, ok)
	raw, err := tcp.SyscallConn()
	require.NoError(t, err)
	var timeout, keepAlive int
	require.NoError(t, raw.Control(func(fd uintptr) {
		var errTimeout, errKeepAlive error
		timeout, errTimeout = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		keepAlive, errKeepAlive = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		require.NoError(t, errors.Join(errTimeout, errKeepAlive))
	}))
	require.EqualValues(t, unackedTimeout.Milliseconds(), timeout)
	require.Zero(t, keepAlive)
}

// TestOrdersWaitLongerToConnect guards against a leader that takes all its paths for lost as it connects to
// hundreds of servers at once, and gives its term up in the work of going around them.
func TestOrdersWaitLongerToConnect(t *testing.T) {
	g := newController().gateway
	g.DialServer = func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * serverDialTimeout):
			client, _ := net.Pipe()
			return client, nil
		}
	}
	_, err := g.dialForOrder(t.Context(), "tcp", "a:1")
	require.NoError(t, err)
	require.False(t, g.paths.isLost("a:1"))
	_, err = g.dialServer(t.Context(), "tcp", "a:1")
	require.Error(t, err)
	require.True(t, g.paths.isLost("a:1"))
}
