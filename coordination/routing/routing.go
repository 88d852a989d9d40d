// Package routing decides which replica of a deployment runs a request. Policies are pure: they
// choose among the candidates that an attempt may use.
package routing

import (
	"cmp"
	"slices"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

// A Candidate is one replica that may run a request. Local means that it is in the daemon's own
// failure domain, Warming that it is cold and only this daemon may warm it. InFlight is the
// number of this daemon's requests at the replica, and Limit bounds it. The load from other
// daemons is not considered, because its reports are too stale.
type Candidate struct {
	Name     string
	Local    bool
	Warming  bool
	InFlight int
	Limit    int
}

// HasCapacity returns whether c may receive one more request.
func (c Candidate) HasCapacity() bool { return c.InFlight < c.Limit }

// A Policy chooses the index of a candidate for a request with the given key, -1 if none has
// capacity.
type Policy interface {
	Choose(key string, candidates []Candidate) int
}

// RoundRobin chooses the candidates with capacity in turn. It is a baseline.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (p *RoundRobin) Choose(_ string, candidates []Candidate) int {
	for i := range candidates {
		if at := (p.next + i) % len(candidates); candidates[at].HasCapacity() {
			p.next = at + 1
			return at
		}
	}
	return -1
}

// LeastLoad chooses the candidate at which this daemon has the fewest requests in flight, a local
// one first among equals.
type LeastLoad struct{}

// Choose implements Policy.
func (LeastLoad) Choose(key string, candidates []Candidate) int {
	return leastLoaded(key, candidates)
}

// PrefixAffinity chooses the candidate that a key hashes to, unless it has more than Slack
// requests above the least loaded one.
type PrefixAffinity struct{ Slack int }

// Choose implements Policy.
func (p PrefixAffinity) Choose(key string, candidates []Candidate) int {
	best := leastLoaded(key, candidates)
	if best < 0 || key == "" {
		return best
	}
	home := preferred(key, candidates)
	if candidates[home].HasCapacity() && candidates[home].InFlight <= candidates[best].InFlight+p.Slack {
		return home
	}
	return best
}

// leastLoaded returns the candidate with capacity that has the fewest requests in flight; ties go
// to a warming one, then to a local one, then by hash of key and name, so that daemons do not all
// choose the same.
func leastLoaded(key string, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if !c.HasCapacity() {
			continue
		}
		if best < 0 || compare(key, c, candidates[best]) < 0 {
			best = i
		}
	}
	return best
}

// compare orders candidates from best to worst.
func compare(key string, a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), trueFirst(a.Warming, b.Warming), trueFirst(a.Local, b.Local),
		cmp.Compare(rendezvous.Weight(key, a.Name), rendezvous.Weight(key, b.Name)))
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// preferred returns the candidate with the highest rendezvous weight for key.
func preferred(key string, candidates []Candidate) int {
	i := 0
	for j := range candidates {
		if rendezvous.Weight(key, candidates[j].Name) > rendezvous.Weight(key, candidates[i].Name) {
			i = j
		}
	}
	return i
}

// Names returns the names of the policies that New accepts.
func Names() []string { return []string{"least_load", "prefix_affinity", "round_robin"} }

// New returns the policy of the given name.
func New(name string) (Policy, bool) {
	if !slices.Contains(Names(), name) {
		return nil, false
	}
	switch name {
	case "prefix_affinity":
		return PrefixAffinity{Slack: 4}, true
	case "round_robin":
		return &RoundRobin{}, true
	}
	return LeastLoad{}, true
}
