package relay

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
)

// A ReplicaLoad is the load that a group of daemons has at one replica. SinceEvent is the time
// since the last stream event that any of them received from it, Stalled the number of daemons
// whose requests it does not answer.
type ReplicaLoad struct {
	_          struct{} `cbor:",toarray"`
	Load       dispatch.Load
	SinceEvent time.Duration
	Stalled    int
}

// Add returns the load of two groups of daemons. SinceEvent of a group without a generating
// request is ignored.
func (w ReplicaLoad) Add(o ReplicaLoad) ReplicaLoad {
	sum := ReplicaLoad{Load: w.Load.Add(o.Load), SinceEvent: w.SinceEvent, Stalled: w.Stalled + o.Stalled}
	if w.Load.Writing == 0 || o.Load.Writing > 0 && o.SinceEvent < w.SinceEvent {
		sum.SinceEvent = o.SinceEvent
	}
	return sum
}

// A Summary is the load that a group of daemons reports: Loads by the epoch of each replica, and
// Demand for each model, in busy replicas. Daemons identifies the daemons of the group.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Loads   map[int64]ReplicaLoad
	Demand  map[string]float64
	Daemons []uint64
	Traffic bool
}

// Add adds o to s.
func (s *Summary) Add(o Summary) {
	if s.Loads == nil {
		s.Loads, s.Demand = make(map[int64]ReplicaLoad), make(map[string]float64)
	}
	for epoch, w := range o.Loads {
		s.Loads[epoch] = s.Loads[epoch].Add(w)
	}
	for model, work := range o.Demand {
		s.Demand[model] += work
	}
	s.Daemons = append(s.Daemons, o.Daemons...)
	s.Traffic = s.Traffic || o.Traffic
}
