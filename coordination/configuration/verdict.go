package configuration

// A Reason is why a record was refused.
type Reason string

// The reasons for which a record is refused.
const (
	ReasonConflict       Reason = "conflict"
	ReasonLargeRemoval   Reason = "large_removal"
	ReasonNoEarlierSheet Reason = "no_earlier_sheet"
	ReasonUnknownKind    Reason = "unknown_kind"
)

// A Verdict is the result of applying one record, the same at every reader. Offset is the log
// offset of the first record with this ID.
type Verdict struct {
	ID       string   `cbor:"id"       json:"id"`
	Offset   uint64   `cbor:"offset"   json:"offset"`
	Accepted bool     `cbor:"accepted" json:"accepted"`
	Reason   Reason   `cbor:"reason"   json:"reason,omitempty"`
	Diff     []string `cbor:"diff"     json:"diff,omitempty"`
}
