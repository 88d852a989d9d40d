package control

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/lease"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// An Event is something that happened to a daemon.
type Event interface{ event() }

// An Entry is one decoded record of the log. Exactly one pointer is set; an
// entry with none is of a kind that this version does not know.
type Entry struct {
	Offset   uint64                `cbor:"offset"`
	Change   *configuration.Record `cbor:"change,omitempty"`
	Snapshot *configuration.State  `cbor:"snapshot,omitempty"`
	Lease    *lease.Claim          `cbor:"lease,omitempty"`
}

// LogRead reports one successful read of a stream. RequestedAt is when the read was
// sent, Next the offset after the last record of the stream at that time, and
// Horizon the oldest offset that the log still holds.
type LogRead struct {
	Stream      Stream
	RequestedAt time.Time
	Next        uint64
	Horizon     uint64
	Entries     []Entry
}

// LogReadFailed reports that a read of the log failed.
type LogReadFailed struct{ Err error }

// AppendDone reports the end of an Append command.
type AppendDone struct {
	Append Append
	Err    error
}

// InstancesListed reports the platform's list of instances.
type InstancesListed struct{ Instances []fleet.Instance }

// ReportReceived reports an engine's answer to a question that was sent at RequestedAt.
type ReportReceived struct {
	Report      fleet.Report
	RequestedAt time.Time
}

// ReportFailed reports that an instance did not answer. Refused means that its
// address refused the connection, which proves that nothing listens there.
type ReportFailed struct {
	Instance string
	Refused  bool
}

// InstanceFailed reports first-hand evidence, at FailedAt, that an instance failed: a stream
// from it was cut or a connection to it broke. Its reports count again from one
// that was asked for later.
type InstanceFailed struct {
	Instance string
	FailedAt time.Time
}

// InstanceCooled reports first-hand evidence that an instance has turned cold.
type InstanceCooled struct{ Instance string }

// OrderDone reports the end of a Send command.
type OrderDone struct {
	Order  fleet.Order
	Result fleet.OrderResult
	Err    error
}

// HeartbeatReceived reports a heartbeat of another daemon, received now.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// Leave asks the daemon to stop as planned.
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
