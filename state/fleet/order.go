package fleet

import "time"

// An Action is the action that an order requests of an engine.
type Action string

// The actions that a director can order.
const (
	ActionJoin  Action = "join"
	ActionLeave Action = "leave"
)

// An Order asks one instance to join or leave a replica. Fence is the fencing token of the
// director's lease, which never decreases. The instance must refuse the order unless its generation
// is Expect, and after Deadline.
type Order struct {
	ID         string     `cbor:"id"         json:"id"`
	Director   string     `cbor:"director"   json:"director"`
	Instance   string     `cbor:"instance"   json:"instance"`
	Action     Action     `cbor:"action"     json:"action"`
	Fence      uint64     `cbor:"fence"      json:"fence"`
	Expect     Generation `cbor:"expect"     json:"expect"`
	Deadline   time.Time  `cbor:"deadline"   json:"deadline"`
	Assignment Assignment `cbor:"assignment" json:"assignment"`
}

// An OrderResult is an engine's answer to an order. Reason tells why the order was refused and is
// empty if Accepted is set. Report is the state of the instance after the order.
type OrderResult struct {
	Accepted bool   `cbor:"accepted" json:"accepted"`
	Reason   string `cbor:"reason"   json:"reason,omitempty"`
	Report   Report `cbor:"report"   json:"report"`
}
