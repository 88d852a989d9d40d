package histories_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/histories"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 7)
	m.Run()
}

// TestFix checks that rapid runs the requested number of checks, with the same values each time.
func TestFix(t *testing.T) {
	var drawn []int
	rapid.Check(t, func(t *rapid.T) { drawn = append(drawn, rapid.IntRange(0, 1000).Draw(t, "number")) })
	require.Len(t, drawn, 7)
	again := drawn
	drawn = nil
	rapid.Check(t, func(t *rapid.T) { drawn = append(drawn, rapid.IntRange(0, 1000).Draw(t, "number")) })
	require.Equal(t, again, drawn)
}

// TestLimit checks that a limit holds for one test.
func TestLimit(t *testing.T) {
	count := func(t *testing.T) int {
		n := 0
		rapid.Check(t, func(*rapid.T) { n++ })
		return n
	}
	t.Run("limited", func(t *testing.T) {
		histories.Limit(t, 3)
		require.Equal(t, 3, count(t))
	})
	t.Run("after", func(t *testing.T) { require.Equal(t, 7, count(t)) })
}
