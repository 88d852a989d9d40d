package relay

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
)

// A ReplicaLoad is the work of some daemons at one replica. Silent is the time since the
// last event that one of them had from it, Stalled the number of daemons that it
// does not answer.
type ReplicaLoad struct {
	_          struct{} `cbor:",toarray"`
	Load       dispatch.Load
	SinceEvent time.Duration
	Stalled    int
}

// Add returns the work of two groups of daemons. The silence of those that have
// nothing to be written there says nothing.
func (w ReplicaLoad) Add(o ReplicaLoad) ReplicaLoad {
	sum := ReplicaLoad{Load: w.Load.Add(o.Load), SinceEvent: w.SinceEvent, Stalled: w.Stalled + o.Stalled}
	if w.Load.Writing == 0 || o.Load.Writing > 0 && o.SinceEvent < w.SinceEvent {
		sum.SinceEvent = o.SinceEvent
	}
	return sum
}

// A Summary is what daemons tell of their work: by the epoch of each replica, and how
// much was asked of each model, in replicas kept busy. Daemons names them.
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
