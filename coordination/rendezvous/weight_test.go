package rendezvous_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hawthornrock/hawthornrock/coordination/rendezvous"
)

// owner returns the name that key belongs to.
func owner(key string, names []string) string {
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(key, a), rendezvous.Weight(key, b))
	})
}

func ExampleWeight() {
	names := []string{"a", "b", "c", "d"}
	owned, moved := 0, 0
	for n := range 1000 {
		key := fmt.Sprint(n)
		before, after := owner(key, names), owner(key, names[:3])
		if before == "d" {
			owned++
		}
		if before != after {
			moved++
		}
	}
	fmt.Println("only keys of the one that left move:", moved == owned)
	// Output: only keys of the one that left move: true
}
