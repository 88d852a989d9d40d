package relay

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
)

// A Work is the work of some daemons at one replica. Silent is the time since the
// last event that one of them had from it, Stalled the number of daemons that it
// does not answer.
type Work struct {
	_       struct{} `cbor:",toarray"`
	Load    dispatch.Load
	Silent  time.Duration
	Stalled int
}

// Add returns the work of two groups of daemons. The silence of those that have
// nothing to be written there says nothing.
func (w Work) Add(o Work) Work {
	sum := Work{Load: w.Load.Add(o.Load), Silent: w.Silent, Stalled: w.Stalled + o.Stalled}
	if w.Load.Writing == 0 || o.Load.Writing > 0 && o.Silent < w.Silent {
		sum.Silent = o.Silent
	}
	return sum
}

// A Sum is what daemons tell of their work: by the epoch of each replica, and how
// much was asked of each model, in replicas kept busy. Daemons names them.
type Sum struct {
	_       struct{} `cbor:",toarray"`
	Work    map[int64]Work
	Asked   map[string]float64
	Daemons []uint64
	Traffic bool
}

// Add adds o to s.
func (s *Sum) Add(o Sum) {
	if s.Work == nil {
		s.Work, s.Asked = make(map[int64]Work), make(map[string]float64)
	}
	for epoch, w := range o.Work {
		s.Work[epoch] = s.Work[epoch].Add(w)
	}
	for model, work := range o.Asked {
		s.Asked[model] += work
	}
	s.Daemons = append(s.Daemons, o.Daemons...)
	s.Traffic = s.Traffic || o.Traffic
}
