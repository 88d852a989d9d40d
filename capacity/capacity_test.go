package capacity_test

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/capacity"
)

func TestPageAgreesWithTheRecordedRun(t *testing.T) {
	var run capacity.Run
	data, err := os.ReadFile("../docs/capacity-run.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &run))
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	for _, s := range run.Slopes {
		again := capacity.Fit(s.Name, s.Unit, s.Per, s.Points)
		require.InDelta(t, s.Slope, again.Slope, 1e-9+1e-6*s.Slope, s.Name)
	}
	rows := append(capacity.SlopeRows(run), capacity.Rows(run)...)
	missing := slices.DeleteFunc(rows, func(row string) bool { return strings.Contains(string(page), row) })
	require.Empty(t, missing, "docs/CAPACITY.md lacks rows of the recorded run")
}

func TestFit(t *testing.T) {
	s := capacity.Fit("x", "s", "worker", []capacity.Point{{X: 1, Y: 3}, {X: 2, Y: 5}, {X: 4, Y: 9}})
	require.InDelta(t, 1, s.Base, 1e-9)
	require.InDelta(t, 2, s.Slope, 1e-9)
	require.InDelta(t, 0, s.Residual, 1e-9)
}
