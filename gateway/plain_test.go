package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadAnswer passes on no part of an answer as if it was whole, also of a failure.
func TestReadAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		length int
		ok     bool
	}{
		{"success", http.StatusOK, 10, true},
		{"failure", http.StatusInternalServerError, 10, true},
		{"largest", http.StatusInternalServerError, maxPlainAnswer, true},
		{"success_too_large", http.StatusOK, maxPlainAnswer + 1, false},
		{"failure_too_large", http.StatusInternalServerError, maxPlainAnswer + 1, false},
		{"not_run_without_proof", http.StatusServiceUnavailable, 10, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp := &http.Response{StatusCode: tc.status, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", tc.length)))}
			answer, err := readAnswer(resp)
			if !tc.ok {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Len(t, answer.body, tc.length)
		})
	}
}
