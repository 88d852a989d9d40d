package site

import "time"

// A MemberState is the state of a server as a member of a replica.
type MemberState int

// The member states.
const (
	// Unassigned servers are members of no replica.
	Unassigned MemberState = iota
	// Joining members are loading the weights.
	Joining
	// Ready members have loaded the weights; their replica does not serve yet.
	Ready
	// Open heads serve requests.
	Open
	// Closing heads accept no new requests.
	Closing
	// Broken heads have lost a member.
	Broken
)

// String returns the name of m.
func (m MemberState) String() string {
	return [...]string{"unassigned", "joining", "ready", "open", "closing", "broken"}[m]
}

// A Membership is the membership in a replica that a server reports. Group is the replica; Group and
// Epoch together identify one list of members. The member of rank 0 is the head.
type Membership struct {
	Group string
	Epoch int64
	Rank  int
	State MemberState
}

// A Server is one backend server as it last described itself. Born is the time of its start in Unix
// milliseconds; it identifies the incarnation. Sequence rises with every entry of an incarnation.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	FabricDomain  string
	Draining      bool
	Slots         int
	Born          int64
	Sequence      int64
	// ColdFor is the remaining time for which the server was cold when it wrote its entry.
	ColdFor time.Duration
	// Models are the models that it has loaded, Staged those whose weights are on its host.
	Models []string
	Staged []string
	Member Membership
	// Pace is the factor by which the server says that it is slower than its engine's published figures, zero
	// if it has not said so. Only its reports tell it, not its list entry.
	Pace float64
}
