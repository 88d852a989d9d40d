package fleet

import "fmt"

// A Generation identifies one version of the member list of a replica. Fence is the fencing token of
// the lease under which it was ordered: the log offset of the lease record. Seq numbers the member
// lists ordered under that lease.
type Generation struct {
	Fence uint64 `cbor:"fence" json:"fence"`
	Seq   uint64 `cbor:"seq"   json:"seq"`
}

// IsZero returns whether g is the generation of an unassigned instance.
func (g Generation) IsZero() bool { return g == Generation{} }

// Less returns whether g was ordered before other.
func (g Generation) Less(other Generation) bool {
	if g.Fence != other.Fence {
		return g.Fence < other.Fence
	}
	return g.Seq < other.Seq
}

// String returns g as "fence.seq".
func (g Generation) String() string { return fmt.Sprintf("%d.%d", g.Fence, g.Seq) }
