package control

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Stream is the name of one stream on the log.
type Stream string

// The streams that the daemons read.
const (
	StreamConfiguration Stream = "configuration"
	StreamSystem        Stream = "system"
)

// A Command is something that the driver must do.
type Command interface{ command() }

// Append asks for a record to be appended to a stream.
type Append struct {
	Stream Stream
	ID     string
	Entry  Entry
}

// Send asks for an order to be sent to the instance at Address. Until is when
// this daemon's lease of Scope ends by its own clock; the driver compares it with
// the clock right before it sends, and sends nothing from then on.
type Send struct {
	Address string
	Scope   string
	Until   time.Time
	Order   fleet.Order
}

// A Heartbeat is what a daemon tells all its peers at each tick. ConfirmedAge is
// the age of the last confirmation of the sender's view, negative if there never
// was one. Sequence counts the sender's heartbeats; Echoes holds, by incarnation,
// the last one that it heard of each peer, which tells the peer by its own clock
// how old this heartbeat can be. Configuration is set for peers that lag. Drains names the
// replicas that the sender directs and that get no new work.
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

// Broadcast asks for a heartbeat to be sent to every peer.
type Broadcast struct{ Heartbeat Heartbeat }

func (Append) command()    {}
func (Send) command()      {}
func (Broadcast) command() {}
