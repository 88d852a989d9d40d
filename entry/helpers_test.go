package entry_test

import "math/rand/v2"

// newRandom returns a random number generator with a fixed seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
