// Package formation decides which backend servers form which replicas. A Planner
// acts for the one daemon that leads; it is pure: what servers report, answers to
// orders and the time go in, orders come out.
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
	// Close lets a head finish its work and take no more.
	Close
	// Preempt lets a head stop its work at once.
	Preempt
	// Leave takes a server out of its replica.
	Leave
	// Stage loads a model onto the host of a server.
	Stage
)

// String returns the name of a.
func (a Action) String() string {
	return [...]string{"join", "open", "close", "preempt", "leave", "stage"}[a]
}

// An Order is one order to one server. Fence is the term of the leader that gives
// it; Members are ids in rank order, the head first.
type Order struct {
	Server  string
	Address string
	Action  Action
	Group   string
	Epoch   int64
	Model   string
	Members []string
	Fence   int64
}

// An Answer is what became of an order.
type Answer int

// The answers.
const (
	// Accepted orders have begun or are done.
	Accepted Answer = iota
	// Declined orders do not fit the state of the server.
	Declined
	// Fenced orders came after one of a later leader.
	Fenced
	// Absent means that the server is not at its address any more.
	Absent
	// Unknown orders may be carried out, also much later.
	Unknown
)

// String returns the name of a.
func (a Answer) String() string {
	return [...]string{"accepted", "declined", "fenced", "absent", "unknown"}[a]
}

const (
	// repeatAfter is when an order is given again whose effect is not reported:
	// twice the lag of the list of servers.
	repeatAfter = 1600 * time.Millisecond
	// repeatUnanswered is the same for an order that had no answer: receivers answer at
	// once, and an order that reached its receiver after all is known there.
	repeatUnanswered = 300 * time.Millisecond
	// lateOrder is how late a server may carry out an order that it left
	// unanswered, by the platform's pages.
	lateOrder = 12 * time.Second
	// queueTime is how long a head may finish its work before it is stopped, when a
	// member leaves as planned; leaving servers stay for two seconds at least.
	queueTime = 1500 * time.Millisecond
	// joinTimeout is how long a member may be without reporting its order to join.
	joinTimeout = 5 * time.Second
)
