package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// A repeatingServer answers one request. On the connection of that one it writes the same answer once more for each
// further request, which it does not carry out, and other connections it closes without an answer.
type repeatingServer struct {
	answer string

	mu       sync.Mutex
	answered bool
}

// start serves on a loopback address until the test ends, and returns the address.
func (s *repeatingServer) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests of conn.
func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader, used := bufio.NewReader(conn), false
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.mu.Lock()
		silent := s.answered && !used
		s.answered, used = true, true
		s.mu.Unlock()
		if silent {
			return
		}
		if _, err = io.WriteString(conn, s.answer); err != nil {
			return
		}
	}
}

// putServer lists the server "p0" at address.
func (c *controller) putServer(address string) {
	c.putInForce(&site.Configuration{Services: map[string]*site.Service{"plain": {Name: "plain"}}})
	c.servers.put(0, 1, site.Server{ID: "p0", Address: address, Service: "plain", Born: 1}, 0)
	c.publish(0)
}

// newStrandedGateway returns a gateway that reaches the server "p0" at address only through another one.
func newStrandedGateway(t *testing.T, address string) *Gateway {
	t.Helper()
	helper := newController()
	helper.putServer(address)
	return newGatewayWithHelper(t, address, helper.gateway.serveDetour)
}

// newGatewayWithHelper is newStrandedGateway with a daemon that serves detours with serve.
func newGatewayWithHelper(t *testing.T, address string, serve func(context.Context, detourRequest, func(detourPart) error)) *Gateway {
	t.Helper()
	g := newController().gateway
	peer := httptest.NewServer(link.AcceptExchanges("secret", g.links, serve))
	t.Cleanup(peer.Close)
	var group task.Group
	g.linkGroup.Store(&group)
	g.view.Store(&View{
		Servers:            map[string]site.Server{address: {ID: "p0", Address: address}},
		Peers:              map[string]heartbeat{"h1": {Front: "h", Ready: true, Level: level.Own, Peer: strings.TrimPrefix(peer.URL, "http://"), Secret: "secret"}},
		IncarnationByFront: map[string]string{"h": "h1"},
	})
	g.DialServer = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return g
}

// requireNotRepeated checks that g takes the server's first answer, and not its repetition for that of the next request.
func requireNotRepeated(t *testing.T, g *Gateway, address string, first, next func(*Gateway, string) error) {
	t.Helper()
	require.NoError(t, first(g, address))
	require.Error(t, next(g, address))
}

// orderTo returns a function that sends an order and returns an error unless it was accepted.
func orderTo(t *testing.T, action formation.Action) func(*Gateway, string) error {
	return func(g *Gateway, address string) error {
		answer, err := g.engines.Order(t.Context(), formation.Order{Server: "p0", Address: address, Action: action, Group: "g", Epoch: 1, Model: "m", Members: []string{"p0"}})
		if err == nil && answer != formation.Accepted {
			return fmt.Errorf("order was not accepted: %s", answer)
		}
		return err
	}
}

// reportOf returns a function that requests the report of the server "p0".
func reportOf(t *testing.T) func(*Gateway, string) error {
	return func(g *Gateway, address string) error {
		_, err := g.engines.Report(t.Context(), site.Server{ID: "p0", Address: address})
		return err
	}
}

// TestAnswersToTheOrderBefore guards against an order that counts as answered by the server's answer before, written once more:
// a head that serves is taken for stopped, and is ordered into another replica (P105, TWO).
func TestAnswersToTheOrderBefore(t *testing.T) {
	accepted, done := "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	body := `{"born":1,"seq":2,"group":{"name":"g","epoch":1,"rank":0,"state":"ready"}}`
	report := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	type sequence struct {
		name, answer string
		first, next  func(*Gateway, string) error
	}
	sequences := []sequence{{"preempt_after_a_report", report, reportOf(t), orderTo(t, formation.Preempt)}}
	for _, action := range []formation.Action{formation.Join, formation.Open, formation.Close, formation.Preempt, formation.Leave, formation.Stage} {
		sequences = append(sequences,
			sequence{action.String() + "_accepted", accepted, orderTo(t, formation.Close), orderTo(t, action)},
			sequence{action.String() + "_done", done, orderTo(t, formation.Close), orderTo(t, action)})
	}
	for _, s := range sequences {
		t.Run(s.name+"/own_path", func(t *testing.T) {
			server := &repeatingServer{answer: s.answer}
			address, c := server.start(t), newController()
			c.putServer(address)
			requireNotRepeated(t, c.gateway, address, s.first, s.next)
		})
		t.Run(s.name+"/around", func(t *testing.T) {
			server := &repeatingServer{answer: s.answer}
			address := server.start(t)
			requireNotRepeated(t, newStrandedGateway(t, address), address, s.first, s.next)
		})
	}
}

// TestOrderForAnotherDaemon guards against the same where one of the two daemons on the way is of an older build: it asks for no
// connection of its own, or does not know that orders need one (P105).
func TestOrderForAnotherDaemon(t *testing.T) {
	t.Run("older_leader", func(t *testing.T) {
		server := &repeatingServer{answer: "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"}
		address, c := server.start(t), newController()
		c.putServer(address)
		send := func(g *Gateway, address string) error {
			resp, _, err := g.passOn(t.Context(), detourRequest{Address: address, Server: "p0", Method: http.MethodPost, Target: "/v1/order", Host: address, Header: make(http.Header), SendWithin: time.Second})
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}
		requireNotRepeated(t, c.gateway, address, send, send)
	})
	for name, tc := range map[string]struct {
		send      func(*Gateway, string) error
		singleUse bool
	}{"order": {orderTo(t, formation.Preempt), true}, "report": {reportOf(t), false}} {
		t.Run("older_helper/"+name, func(t *testing.T) {
			asked := make(chan detourRequest, 1)
			g := newGatewayWithHelper(t, "127.0.0.1:1", func(_ context.Context, q detourRequest, send func(detourPart) error) {
				asked <- q
				_ = send(detourPart{Received: true})
				_ = send(detourPart{Refusal: refusedBusy})
			})
			require.Error(t, tc.send(g, "127.0.0.1:1"))
			require.Equal(t, tc.singleUse, (<-asked).SingleUse)
		})
	}
}

// TestReportOfBefore guards against a server's earlier report, sent once more, that says that a head has stopped, or takes it
// back into an earlier replica: what a report says counts only if it comes later in the life of a replica (P105, TWO).
func TestReportOfBefore(t *testing.T) {
	states := []site.MemberState{site.Unassigned, site.Joining, site.Ready, site.Open, site.Closing, site.Broken}
	for known, state := range states {
		for _, earlier := range states[:known+1] {
			t.Run(earlier.String()+"_after_"+state.String(), func(t *testing.T) {
				for epoch := int64(1); epoch <= 2; epoch++ {
					requireReportIgnored(t, site.Membership{Group: "m/1/2", Epoch: 2, State: state}, site.Membership{Group: "m/1/1", Epoch: epoch, State: earlier})
				}
			})
		}
	}
}

// requireReportIgnored checks that a server that is known with one membership is not believed to have an earlier one.
func requireReportIgnored(t *testing.T, known, earlier site.Membership) {
	t.Helper()
	c := newController()
	c.servers.put(0, 1, site.Server{ID: "p0", Address: "a1", Service: "plain", Born: 1, Member: known}, 0)
	c.applyReport(0, serverReport{server: site.Server{ID: "p0", Born: 1, Member: earlier}})
	require.Equal(t, known, c.servers.entries["p0"].server.Member)
}
