// Package rendezvous assigns keys to names by rendezvous hashing: each key belongs to the names
// with the highest weights for it, so that all daemons agree on the owners without a shared table.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of name for key.
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Among returns whether name is one of the n of names that belong to key. All daemons with the same names agree on
// them, and a name that comes or goes changes one of them at most.
func Among(name, key string, names []string, n int) bool {
	if len(names) <= n {
		return true
	}
	own, heavier := Weight(name, key), 0
	for _, other := range names {
		if other != name && Weight(other, key) > own {
			heavier++
		}
	}
	return heavier < n
}
