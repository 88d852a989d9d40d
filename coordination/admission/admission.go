// Package admission bounds the requests that a daemon may have in flight at one replica. Only the
// director of a cold replica's failure domain sends requests to it, so that one count bounds the
// sum over all daemons without messages between them.
package admission

// A Replica is the state of a replica on which its limit depends. Directed means that this daemon
// directs the replica's failure domain.
type Replica struct {
	Warm      bool
	Directed  bool
	Slots     int
	ColdLimit int
}

// Limit returns how many requests this daemon may have in flight at s.
func Limit(s Replica) int {
	switch {
	case s.Warm:
		return s.Slots
	case s.Directed:
		return s.ColdLimit
	}
	return 0
}
