package control

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/lease"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// An Event is an input of the state machine.
type Event interface{ event() }

// An Entry is one decoded record of the log. Exactly one pointer is set; an entry with none is
// of a kind that this version does not support.
type Entry struct {
	Offset   uint64                `cbor:"offset"`
	Change   *configuration.Record `cbor:"change,omitempty"`
	Snapshot *configuration.State  `cbor:"snapshot,omitempty"`
	Lease    *lease.Claim          `cbor:"lease,omitempty"`
}

// LogRead reports one successful read of a stream. RequestedAt is when the read was sent, Next
// the offset after the last record of the stream at that time, and Horizon the oldest offset
// that the log retains.
type LogRead struct {
	Stream      Stream
	RequestedAt time.Time
	Next        uint64
	Horizon     uint64
	Entries     []Entry
}

// LogReadFailed reports that a read of the log failed.
type LogReadFailed struct{ Err error }

// AppendDone reports the result of an Append command.
type AppendDone struct {
	Append Append
	Err    error
}

// InstancesListed carries the platform's list of instances.
type InstancesListed struct{ Instances []fleet.Instance }

// ReportReceived carries an engine's report, which was requested at RequestedAt.
type ReportReceived struct {
	Report      fleet.Report
	RequestedAt time.Time
}

// ReportFailed reports that an instance did not answer a request for its report. Refused means
// that its address refused the connection, which proves that nothing listens there.
type ReportFailed struct {
	Instance string
	Refused  bool
}

// InstanceFailed reports that this daemon itself saw an instance fail at FailedAt: a stream or a
// connection broke. Only reports requested after FailedAt count as current.
type InstanceFailed struct {
	Instance string
	FailedAt time.Time
}

// InstanceCooled reports that this daemon or a peer saw an instance turn cold. It is encoded in
// messages between daemons, so its field keeps its name.
type InstanceCooled struct{ Instance string }

// OrderDone reports the result of a Send command.
type OrderDone struct {
	Order  fleet.Order
	Result fleet.OrderResult
	Err    error
}

// HeartbeatReceived carries a heartbeat that was just received from another daemon.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// Leave starts the planned shutdown of the daemon.
type Leave struct{}

// Tick reports that time has passed.
type Tick struct{}

func (LogRead) event()           {}
func (LogReadFailed) event()     {}
func (AppendDone) event()        {}
func (InstancesListed) event()   {}
func (ReportReceived) event()    {}
func (ReportFailed) event()      {}
func (InstanceFailed) event()    {}
func (InstanceCooled) event()    {}
func (OrderDone) event()         {}
func (HeartbeatReceived) event() {}
func (Leave) event()             {}
func (Tick) event()              {}
