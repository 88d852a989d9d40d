package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// TestLevelOnLinks guards against a message that does not tell its sender's level, and against an unknown level
// that is not counted (P68).
func TestLevelOnLinks(t *testing.T) {
	g := newController().gateway
	received := make(chan peerMessage, 1)
	peer := httptest.NewServer(link.Accept("secret", g.links, func(m peerMessage) { received <- m }))
	t.Cleanup(peer.Close)
	var group task.Group
	g.linkGroup.Store(&group)
	g.peers.mu.Lock()
	g.sendToPeer(t.Context(), "p1", strings.TrimPrefix(peer.URL, "http://"), "secret", peerMessage{From: "self"})
	g.peers.mu.Unlock()
	select {
	case m := <-received:
		require.Equal(t, level.Own, m.Level)
		g.handlePeerMessage(m)
		require.Nil(t, g.metrics.events.Get("peers_of_unknown_level"))
		m.Level++
		g.handlePeerMessage(m)
		require.Equal(t, "1", g.metrics.events.Get("peers_of_unknown_level").String())
	case <-time.After(5 * time.Second):
		require.Fail(t, "no message arrived")
	}
}
