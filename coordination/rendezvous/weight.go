// Package rendezvous assigns keys to names by rendezvous hashing: each key belongs to the names
// with the highest weights for it, so that all daemons agree on the owners without a shared table.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of name for key.
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
