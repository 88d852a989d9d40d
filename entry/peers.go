package entry

import (
	"net/http"
	"sync"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/link"
)

// messageVersion is the version of messages that this program sends.
const messageVersion = 1

// A message is what daemons tell each other. Exactly one pointer is set; a
// receiver passes over fields and kinds that it does not know.
type message struct {
	Version   int                     `cbor:"version"`
	Heartbeat *control.Heartbeat      `cbor:"heartbeat,omitempty"`
	Crash     *quarantine.Crash       `cbor:"crash,omitempty"`
	Acquittal *acquittal              `cbor:"acquittal,omitempty"`
	Cancel    *cancelRequest          `cbor:"cancel,omitempty"`
	Cooled    *control.InstanceCooled `cbor:"cooled,omitempty"`
}

// peers are the links to other daemons, and the instances that are polled. The
// zero value is ready to use.
type peers struct {
	mu        sync.Mutex
	senders   map[string]*link.Sender[message]
	instances []fleet.Instance
}

// add adds the link to the peer at address.
func (p *peers) add(address string, sender *link.Sender[message]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.senders == nil {
		p.senders = make(map[string]*link.Sender[message])
	}
	p.senders[address] = sender
}

// broadcast sends m to every peer.
func (p *peers) broadcast(m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.senders {
		s.Send(m)
	}
}

// engines returns the engines to ask for their reports.
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

// setInstances sets the instances that the platform listed last.
func (p *peers) setInstances(instances []fleet.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

// peerHandler returns the handler of connections that peers dial.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, link.Accept(d.settings.Peers.Secret, d.links, d.receive))
	mux.Handle(forwardPath, link.Answer(d.settings.Peers.Secret, d.takeForward))
	return mux
}

// scheme returns the scheme of URLs of peers.
func (d *Daemon) scheme() string {
	if d.settings.TLS.CertificateFile != "" {
		return "wss://"
	}
	return "ws://"
}

// receive takes one message of a peer.
func (d *Daemon) receive(m message) {
	switch {
	case m.Heartbeat != nil && m.Heartbeat.Daemon != d.settings.Daemon:
		d.tell(control.HeartbeatReceived{Heartbeat: *m.Heartbeat})
	case m.Cooled != nil:
		d.tell(*m.Cooled)
	case m.Crash != nil:
		d.crashes.add(*m.Crash)
	case m.Acquittal != nil:
		d.crashes.acquit(m.Acquittal.Fingerprint)
	case m.Cancel != nil:
		d.cancels.cancel(m.Cancel.Request, m.Cancel.Organisation)
	}
}
