// Package admission decides how much work a daemon may give to one replica. A
// cold replica is given work by the daemon that directs its failure domain
// alone, so that one count bounds the sum over all daemons without a message
// between them.
package admission

// A Replica is what admission knows of one replica.
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
