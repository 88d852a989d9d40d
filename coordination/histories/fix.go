// Package histories makes property tests generate the same random histories in each run.
package histories

import (
	"flag"
	"strconv"
)

// FixSeed sets the seed and the number of the histories that rapid generates in the tests of a
// package. Call it in TestMain before the tests run; rapid's flags on the command line of go test
// override it. It panics if the test binary does not include rapid.
func FixSeed(seed uint64, checks int) {
	for name, value := range map[string]string{
		"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(checks),
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
