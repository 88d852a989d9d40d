// Package relay decides which daemons read the platform's store for all others,
// and keeps what they pass on: the newest records of each topic and the sums of
// what daemons tell of their work.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

const (
	// fewestHubs is the least number of hubs: two may be lost at once, as the
	// platform's pages ask of small deployments.
	fewestHubs = 3
	// perHub is the number of daemons that one more hub is added for: it sends each
	// a few messages a second.
	perHub = 30
)

// A Member is a daemon that may be a hub. Strength is its share of a processor.
type Member struct {
	Name     string
	Strength float64
}

// Hubs returns the daemons of members that read for all, the strongest ones. They
// are the same at every daemon that knows the same members.
func Hubs(members []Member) []string {
	ranked := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
			cmp.Compare(a.Name, b.Name))
	})
	ranked = ranked[:min(len(ranked), max(fewestHubs, (len(members)+perHub-1)/perHub))]
	hubs := make([]string, 0, len(ranked))
	for _, m := range ranked {
		hubs = append(hubs, m.Name)
	}
	return hubs
}

// Order returns hubs in the order in which self turns to them, so that daemons
// spread over all.
func Order(self string, hubs []string) []string {
	return slices.SortedFunc(slices.Values(hubs), func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(self, b), rendezvous.Weight(self, a))
	})
}
