// Package histories makes property tests generate the same random histories in each run.
package histories

import (
	"flag"
	"strconv"
	"testing"
)

// checksFlag is rapid's flag for the number of histories of a test.
const checksFlag = "rapid.checks"

// fixedChecks is the number of histories that FixSeed has set.
var fixedChecks string

// FixSeed sets the seed and the number of the histories that rapid generates in the tests of a
// package. Call it in TestMain before the tests run; rapid's flags on the command line of go test
// override it. It panics if the test binary does not include rapid.
func FixSeed(seed uint64, checks int) {
	fixedChecks = strconv.Itoa(checks)
	for name, value := range map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), checksFlag: fixedChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Limit sets the number of histories that rapid generates in one test whose histories are long, unless rapid's flag on the
// command line sets another number than FixSeed.
func Limit(t testing.TB, checks int) {
	t.Helper()
	if flag.Lookup(checksFlag).Value.String() != fixedChecks {
		return
	}
	set := func(value string) {
		if err := flag.Set(checksFlag, value); err != nil {
			t.Fatal(err)
		}
	}
	set(strconv.Itoa(checks))
	t.Cleanup(func() { set(fixedChecks) })
}
