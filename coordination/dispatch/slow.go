package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// slowTTL is how long a finding counts that a replica is slow: several reports of daemons, and the pauses
	// between the requests that one daemon has there in a large fleet.
	slowTTL = 3 * time.Second
	// maxSlowReplicas bounds the findings that are kept and reported: all replicas of a fleet of hundreds of
	// servers.
	maxSlowReplicas = 256
)

// A SlowReplica is a replica that a daemon found to generate slower than its engine's published figures by the
// factor Ratio, Age ago.
type SlowReplica struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	Ratio float64
	Age   time.Duration
}

// A slowFinding is the latest finding about a replica.
type slowFinding struct {
	ratio float64
	at    time.Duration
}

// SlowReplicas keeps which replicas the daemons of a fleet have found to be slow. In a large fleet one daemon has too
// few requests at each replica to find out by itself. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type SlowReplicas struct{ found map[int64]slowFinding }

// Record records that the replica with the given epoch was slow at now.
func (r *SlowReplicas) Record(now time.Duration, epoch int64, ratio float64) {
	if r.found == nil {
		r.found = make(map[int64]slowFinding)
	}
	if f, known := r.found[epoch]; known && f.at >= now || !known && len(r.found) >= maxSlowReplicas {
		return
	}
	r.found[epoch] = slowFinding{ratio: ratio, at: now}
}

// Merge records what another daemon found. Findings with numbers that no daemon can have are ignored.
func (r *SlowReplicas) Merge(now time.Duration, findings []SlowReplica) {
	for _, f := range findings {
		if f.Age >= 0 && f.Age < slowTTL && f.Ratio >= 1 && f.Ratio <= maxRatio {
			r.Record(now-f.Age, f.Epoch, f.Ratio)
		}
	}
}

// Recent returns the findings that count at now, by epoch, and drops the others.
func (r *SlowReplicas) Recent(now time.Duration) []SlowReplica {
	maps.DeleteFunc(r.found, func(_ int64, f slowFinding) bool { return now-f.at >= slowTTL })
	out := make([]SlowReplica, 0, len(r.found))
	for epoch, f := range r.found {
		out = append(out, SlowReplica{Epoch: epoch, Ratio: f.ratio, Age: max(now-f.at, 0)})
	}
	slices.SortFunc(out, func(a, b SlowReplica) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return out
}

// Slowdowns returns the factor by which each of the replicas with the given epochs was found to be slower than the
// median of them, 1 if it was not: where all are slow, none is worth avoiding.
func (r *SlowReplicas) Slowdowns(now time.Duration, epochs []int64) []float64 {
	ratios := make([]float64, 0, len(epochs))
	for _, epoch := range epochs {
		ratios = append(ratios, r.Ratio(now, epoch))
	}
	sorted := slices.Sorted(slices.Values(ratios))
	for i := range ratios {
		ratios[i] = max(ratios[i]/sorted[(len(sorted)-1)/2], 1)
	}
	return ratios
}

// Ratio returns the factor by which the replica with the given epoch was found to be slow, 1 if it was not.
func (r *SlowReplicas) Ratio(now time.Duration, epoch int64) float64 {
	if f, ok := r.found[epoch]; ok && now-f.at < slowTTL {
		return f.ratio
	}
	return 1
}
