package site

import "time"

// A MemberState is how far a server is in its replica.
type MemberState int

// The states of a member.
const (
	// Unassigned servers belong to no replica.
	Unassigned MemberState = iota
	// Joining members are loading.
	Joining
	// Ready members have loaded; the replica does not serve yet.
	Ready
	// Open heads serve.
	Open
	// Closing heads take no new work.
	Closing
	// Broken heads have lost a member.
	Broken
)

// A Membership is the replica that a server reports. Epoch and Group together
// name one list of members; Rank 0 is the head.
type Membership struct {
	Group string
	Epoch int64
	Rank  int
	State MemberState
}

// A Server is one backend server as it last described itself. Born, in Unix
// milliseconds, tells its lives apart.
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
	// ColdFor is how much longer the server was cold when it wrote.
	ColdFor time.Duration
	// Models are the models that it has loaded, Staged those on its host.
	Models []string
	Staged []string
	Member Membership
}
