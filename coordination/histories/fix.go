// Package histories lets property tests draw the same random histories in each run.
package histories

import (
	"flag"
	"strconv"
)

// FixSeed sets the seed and the number of the histories that rapid draws in the tests of a
// package. Call it before the tests run; flags given to go test draw others. It panics
// where rapid is no part of the tests.
func FixSeed(seed uint64, checks int) {
	for name, value := range map[string]string{
		"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(checks),
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
