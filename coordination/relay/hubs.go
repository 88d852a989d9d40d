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
	// minHubs is the least number of hubs: two may be lost at once, as the
	// platform's pages ask of small deployments.
	minHubs = 3
	// daemonsPerHub is the number of daemons of a failure domain that one more hub is added for:
	// it sends each a few messages a second.
	daemonsPerHub = 30
	// maxStoreReaders bounds the hubs that read the store. The others are told by these, so
	// that calls to the store do not grow with the number of daemons.
	maxStoreReaders = 3
)

// A Member is a daemon that may be a hub. Strength is its share of a processor.
type Member struct {
	Name          string
	FailureDomain string
	CPUShare      float64
}

// Hubs returns the daemons of members that tell all others what is new: the strongest of
// each failure domain, so that followers need not ask over its border. They are in the same
// order at every daemon that knows the same members: the first of each failure domain,
// then the second ones.
func Hubs(members []Member) []string {
	ranked := slices.SortedFunc(slices.Values(members), compareMembers)
	domains := make(map[string][]Member)
	for _, m := range ranked {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	// A hub's order is its rank among the hubs of its failure domain.
	order := make(map[string]int)
	for _, inDomain := range domains {
		for rank, m := range inDomain[:(len(inDomain)+daemonsPerHub-1)/daemonsPerHub] {
			order[m.Name] = rank
		}
	}
	for _, m := range ranked {
		if _, hub := order[m.Name]; !hub && len(order) < minHubs {
			order[m.Name] = len(ranked)
		}
	}
	ranked = slices.DeleteFunc(ranked, func(m Member) bool { _, hub := order[m.Name]; return !hub })
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(order[a.Name], order[b.Name]) })
	hubs := make([]string, 0, len(ranked))
	for _, m := range ranked {
		hubs = append(hubs, m.Name)
	}
	return hubs
}

// compareMembers orders members by their strength; their names decide among equals.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
		cmp.Compare(a.Name, b.Name))
}

// StoreReaders returns those of hubs that read the store, of different failure domains as far as
// there are any.
func StoreReaders(hubs []string) []string { return hubs[:min(len(hubs), maxStoreReaders)] }

// HubOrder returns hubs in the order in which self turns to them, so that daemons spread over
// all: those for which near returns true first.
func HubOrder(self string, hubs []string, near func(hub string) bool) []string {
	return slices.SortedFunc(slices.Values(hubs), func(a, b string) int {
		switch nearA, nearB := near(a), near(b); {
		case nearA && !nearB:
			return -1
		case nearB && !nearA:
			return 1
		}
		return cmp.Compare(rendezvous.Weight(self, b), rendezvous.Weight(self, a))
	})
}
