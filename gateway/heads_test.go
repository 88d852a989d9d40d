package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/link"
)

// cutHeads returns heads of responses to the attempt "a1", up to where their bodies begin.
func cutHeads(t *testing.T) map[string]string {
	t.Helper()
	var (
		named = http.Header{"Content-Type": {"text/event-stream"}}
		lines strings.Builder
	)
	platform.SetAttemptID(named, "a1")
	require.NoError(t, named.Write(&lines))
	begin := "HTTP/1.1 200 OK\r\n" + lines.String()
	return map[string]string{
		"length":         begin + "Content-Length: 120\r\n\r\n",
		"chunks":         begin + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":        begin + "\r\n",
		"length_first":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + lines.String() + "\r\n",
		"line_feeds":     strings.ReplaceAll(begin, "\r", "") + "Content-Length: 0\n\n",
		"switch_to_link": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
	}
}

// startCutServer starts a server that answers each request with the first cut bytes of head and closes the connection, and
// returns its address.
func startCutServer(t *testing.T, head string, cut *atomic.Int64) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.NoError(t, err) {
			return
		}
		_, err = conn.Write([]byte(head[:cut.Load()]))
		assert.NoError(t, err)
		assert.NoError(t, conn.Close())
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestHeadsThatAreCut guards against an answer whose server closed its connection within the head, at any byte, and that
// looks complete (P76): of calls and streams, on the own path and through another daemon, of orders, reports and the store,
// and on links between daemons.
func TestHeadsThatAreCut(t *testing.T) {
	for name, head := range cutHeads(t) {
		t.Run(name, func(t *testing.T) {
			var bytes atomic.Int64
			address := startCutServer(t, head, &bytes)
			c := newController()
			c.putInForce(&site.Configuration{Services: map[string]*site.Service{"plain": {Name: "plain"}}})
			c.servers.put(0, 1, site.Server{ID: "p0", Address: address, Service: "plain", Born: 1}, 0)
			c.publish(0)
			store := &platform.Store{Address: address, HTTP: http.DefaultClient}
			sender := link.NewSender[peerMessage]("ws://"+address+link.Path, "secret", http.DefaultClient, &link.Counters{})
			for cut := range len(head) {
				bytes.Store(int64(cut))
				requireNoAnswer(t, c.gateway, address, cut)
				_, err := c.gateway.engines.Report(t.Context(), site.Server{ID: "p0", Address: address})
				require.Error(t, err, "report, cut after %d bytes", cut)
				_, _, err = store.End(t.Context(), platform.TopicTerms)
				require.Error(t, err, "store, cut after %d bytes", cut)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			sender.Send(peerMessage{From: "self"})
			require.NoError(t, sender.Run(ctx))
			require.Zero(t, sender.Counters.Sent.Load(), "messages on a link whose handshake was cut")
		})
	}
}

// requireNoAnswer checks that a call to the server at address has no answer, on either transport and as a helper sends it.
func requireNoAnswer(t *testing.T, g *Gateway, address string, cut int) {
	t.Helper()
	header := make(http.Header)
	platform.SetAttemptID(header, "a1")
	for name, transport := range map[string]*serverTransport{"pooled": g.pooledTransport, "single_use": g.singleUseTransport} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", newSingleUseBody([]byte("b")))
		require.NoError(t, err)
		req.Header = header.Clone()
		resp, err := transport.sendDirect(req)
		if resp != nil {
			_ = resp.Body.Close()
		}
		require.Error(t, err, "%s, cut after %d bytes", name, cut)
		q := detourRequest{Address: address, Server: "p0", Method: http.MethodPost, Target: "/x", Host: "h", Header: header.Clone(), Call: true, SingleUse: transport == g.singleUseTransport, SendWithin: time.Second}
		resp, _, err = g.passOn(t.Context(), q)
		if resp != nil {
			_ = resp.Body.Close()
		}
		require.Error(t, err, "helper, %s, cut after %d bytes", name, cut)
	}
}
