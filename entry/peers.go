package entry

import (
	"net/http"
	"sync"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/link"
)

// peerMessageVersion is the version of the messages that this daemon sends.
const peerMessageVersion = 1

// A peerMessage is a message between daemons. Exactly one pointer is set; a receiver ignores fields
// and kinds that it does not know.
type peerMessage struct {
	Version   int                     `cbor:"version"`
	Heartbeat *control.Heartbeat      `cbor:"heartbeat,omitempty"`
	Crash     *quarantine.Crash       `cbor:"crash,omitempty"`
	Acquittal *acquittal              `cbor:"acquittal,omitempty"`
	Cancel    *cancelRequest          `cbor:"cancel,omitempty"`
	Cooled    *control.InstanceCooled `cbor:"cooled,omitempty"`
}

// peers holds the links to other daemons and the instances that are polled. The zero value is ready
// to use.
type peers struct {
	mu        sync.Mutex
	senders   map[string]*link.Sender[peerMessage]
	instances []fleet.Instance
}

// add adds the link to the peer at address.
func (p *peers) add(address string, sender *link.Sender[peerMessage]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.senders == nil {
		p.senders = make(map[string]*link.Sender[peerMessage])
	}
	p.senders[address] = sender
}

// broadcast sends m to every peer.
func (p *peers) broadcast(m peerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.senders {
		s.Send(m)
	}
}

// engines returns the engines that are polled for their reports.
func (p *peers) engines() []fleet.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.Instance
	for _, i := range p.instances {
		if i.Kind == fleet.KindEngine {
			out = append(out, i)
		}
	}
	return out
}

// setInstances replaces the instances with the platform's latest list.
func (p *peers) setInstances(instances []fleet.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

// peerHandler returns the handler of connections from peers.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, link.Accept(d.settings.Peers.Secret, d.linkCounters, d.receivePeerMessage))
	mux.Handle(forwardPath, link.AcceptCalls(d.settings.Peers.Secret, d.handleForward))
	return mux
}

// peerScheme returns the URL scheme of connections to peers.
func (d *Daemon) peerScheme() string {
	if d.settings.TLS.CertificateFile != "" {
		return "wss://"
	}
	return "ws://"
}

// receivePeerMessage handles one message of a peer.
func (d *Daemon) receivePeerMessage(m peerMessage) {
	switch {
	case m.Heartbeat != nil && m.Heartbeat.Daemon != d.settings.Daemon:
		d.sendEvent(control.HeartbeatReceived{Heartbeat: *m.Heartbeat})
	case m.Cooled != nil:
		d.sendEvent(*m.Cooled)
	case m.Crash != nil:
		d.crashes.add(*m.Crash)
	case m.Acquittal != nil:
		d.crashes.acquit(m.Acquittal.Fingerprint)
	case m.Cancel != nil:
		d.cancels.cancel(m.Cancel.Request, m.Cancel.Organisation)
	}
}
