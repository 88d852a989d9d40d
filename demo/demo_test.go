package demo

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunKeepsAllPromises(t *testing.T) {
	result, err := Run(t.Context(), DefaultPlan(), io.Discard)
	require.NoError(t, err)
	require.Empty(t, result.Broken())
	require.Len(t, result.Phases, 3)
}
