package control

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Stream names one stream of the log.
type Stream string

// The streams that the daemons read.
const (
	StreamConfiguration Stream = "configuration"
	StreamSystem        Stream = "system"
)

// A Command is an action that the driver must carry out.
type Command interface{ command() }

// Append appends a record to a stream of the log.
type Append struct {
	Stream Stream
	ID     string
	Entry  Entry
}

// Send sends an order to the instance at Address. Until is when this daemon's lease of Scope
// ends by its own clock. The driver must check it against the clock immediately before
// sending, and drop the order if the lease has ended.
type Send struct {
	Address string
	Scope   string
	Until   time.Time
	Order   fleet.Order
}

// A Heartbeat is sent by a daemon to all its peers at each tick. ConfirmedAge is the age of the
// last confirmation of the sender's view, negative if there never was one. Sequence numbers
// the sender's heartbeats. Echoes holds, by incarnation, the sequence of the last heartbeat
// received from each peer; it lets the peer bound the age of this heartbeat by its own clock.
// Configuration is set while a peer lags behind. Drains lists the replicas that the sender
// directs and is draining, which get no new work.
type Heartbeat struct {
	Daemon        string               `cbor:"daemon"`
	Incarnation   string               `cbor:"incarnation"`
	FailureDomain string               `cbor:"failure_domain"`
	CallerAddress string               `cbor:"caller_address"`
	PeerAddress   string               `cbor:"peer_address"`
	Weight        int                  `cbor:"weight"`
	Leaving       bool                 `cbor:"leaving"`
	Drains        []string             `cbor:"drains,omitempty"`
	Offset        uint64               `cbor:"offset"`
	ConfirmedAge  time.Duration        `cbor:"confirmed_age"`
	LogDown       bool                 `cbor:"log_down"`
	Sequence      uint64               `cbor:"sequence"`
	Echoes        map[string]uint64    `cbor:"echoes"`
	Configuration *configuration.State `cbor:"configuration,omitempty"`
}

// Broadcast sends a heartbeat to every peer.
type Broadcast struct{ Heartbeat Heartbeat }

func (Append) command()    {}
func (Send) command()      {}
func (Broadcast) command() {}
