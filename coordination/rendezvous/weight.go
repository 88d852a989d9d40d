// Package rendezvous spreads keys over names without a table: each key belongs to
// the names of the highest weights for it, and all daemons agree on them.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of name for key.
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
