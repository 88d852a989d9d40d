// Package formation decides which backend servers form which replicas. A Planner works on behalf of
// the leading daemon. It does no I/O and reads no clock: the reports of servers, the answers to
// orders and the time are passed in, and orders are returned.
package formation

import "time"

// An Action is what an order asks a server to do.
type Action int

// The actions.
const (
	// Join makes a server a member of a replica.
	Join Action = iota
	// Open lets the head of a replica serve.
	Open
	// Close makes a head finish the work it has and accept no more.
	Close
	// Preempt makes a head stop its work at once.
	Preempt
	// Leave removes a server from its replica.
	Leave
	// Stage loads a model onto the host of a server.
	Stage
)

// String returns the name of a.
func (a Action) String() string {
	return [...]string{"join", "open", "close", "preempt", "leave", "stage"}[a]
}

// stops returns whether a head that carries out a stops serving.
func (a Action) stops() bool { return a == Close || a == Preempt || a == Leave }

// An Order is one order to one server. Fence is the term of the leader that sends it, at SentAt. Members
// are server ids in rank order, the head first. Previous is what an order to join relies on: what is known of the replica
// that the server is listed in, or left.
type Order struct {
	Server  string
	Address string
	Action  Action
	Group   string
	Epoch   int64
	Model   string
	Members []string
	Fence   int64
	SentAt  time.Duration

	Previous Closure
}

// An Answer is the result of sending an order.
type Answer int

// The answers.
const (
	// Accepted means that the server has carried out the order or has begun to.
	Accepted Answer = iota
	// Declined means that the order does not fit the state of the server.
	Declined
	// Fenced means that the server has already received an order of a later leader or, for an order
	// to join, one with a higher epoch.
	Fenced
	// Absent means that the server is no longer at its address.
	Absent
	// Unknown means that there was no answer. The order may still be carried out, possibly much
	// later.
	Unknown
	// Unsent means that the order was not sent, and never will be.
	Unsent
)

// String returns the name of a.
func (a Answer) String() string {
	return [...]string{"accepted", "declined", "fenced", "absent", "unknown", "unsent"}[a]
}

const (
	// resendAfter is when an order is sent again if its effect is not reported: twice the lag of
	// the list of servers.
	resendAfter = 1600 * time.Millisecond
	// resendUnansweredAfter is the same for an order that had no answer. It is shorter because
	// servers answer at once and recognise an order that they have already received.
	resendUnansweredAfter = 300 * time.Millisecond
	// maxOrderDelay is how long after it was sent a server may still carry out an order that it
	// left unanswered. The platform's documentation states it.
	maxOrderDelay = 12 * time.Second
	// drainTime is how long a head may finish its work before it is stopped when a member leaves as
	// planned. Leaving servers stay for at least two seconds.
	drainTime = 1500 * time.Millisecond
	// joinTimeout is how long a member may take to report that it is joining.
	joinTimeout = 5 * time.Second
)
