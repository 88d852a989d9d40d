// Package relay decides which daemons (hubs) read the platform's store for all others, and keeps
// what they distribute: the newest records of each topic, and summaries of the load that daemons
// report.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

const (
	// minHubs is the least number of hubs: the platform's documentation requires that small
	// deployments survive the loss of two at once.
	minHubs = 3
	// daemonsPerHub is the number of daemons of a failure domain per hub: a hub sends each of
	// them a few messages a second.
	daemonsPerHub = 30
	// maxStoreReaders bounds the hubs that read the store. The other hubs receive updates from
	// these, so that calls to the store do not grow with the number of daemons.
	maxStoreReaders = 3
)

// A Member is a daemon that may be a hub. CPUShare is its share of a processor.
type Member struct {
	Name          string
	FailureDomain string
	CPUShare      float64
}

// Hubs returns the daemons of members that distribute updates to all others: those of each
// failure domain with the most CPU, so that followers need not send requests to another failure
// domain. The order is the same at every daemon with the same members: the first hub of each
// failure domain, then the second ones.
func Hubs(members []Member) []string {
	ranked := slices.SortedFunc(slices.Values(members), compareMembers)
	domains := make(map[string][]Member)
	for _, m := range ranked {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	// A hub is ordered by its rank among the hubs of its failure domain.
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

// compareMembers orders members by falling CPU share, then by the hash of their names.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)),
		cmp.Compare(a.Name, b.Name))
}

// StoreReaders returns those of hubs that read the store, in different failure domains as far as
// possible.
func StoreReaders(hubs []string) []string { return hubs[:min(len(hubs), maxStoreReaders)] }

// HubOrder returns hubs in the order in which self tries them: first those for which near returns
// true, and each group in an order of its own for each daemon, to spread the load.
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
