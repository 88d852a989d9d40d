package gateway

import (
	"context"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// A probeTarget is a server to probe.
type probeTarget struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Born    int64
}

// requestPeerProbes asks other hubs to probe servers.
func (g *Gateway) requestPeerProbes(targets []probeTarget) {
	view := g.view.Load()
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	m := peerMessage{From: g.incarnation, PeerAddress: g.settings.Peer, Secret: g.secret, ProbeTargets: targets}
	asked := 0
	for _, front := range relay.Hubs(g.members(view)) {
		if h, ok := view.peer(front); ok && asked < maxPeerProbes {
			asked++
			g.sendToPeer(context.Background(), h.Incarnation, h.Peer, h.Secret, m)
		}
	}
}

// probeForPeer probes servers for another daemon, and sends it those that answer. The caller holds
// the lock.
func (g *Gateway) probeForPeer(m peerMessage) {
	for _, t := range m.ProbeTargets {
		g.work.Go(context.Background(), "probe", func(ctx context.Context) error {
			if g.probeServer(ctx, site.Server{ID: t.ID, Address: t.Address, Born: t.Born}) != probeAlive {
				return nil
			}
			g.peers.mu.Lock()
			defer g.peers.mu.Unlock()
			g.sendToPeer(context.Background(), m.From, m.PeerAddress, m.Secret, peerMessage{From: g.incarnation, PeerAddress: g.settings.Peer, Secret: g.secret, Alive: []string{t.ID}})
			return nil
		})
	}
}
