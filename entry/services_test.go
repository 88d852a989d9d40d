package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/standin"
)

// TestServiceCalls guards against a service that receives the caller's API key, and against a call
// that is cancelled halfway although it may not be repeated.
func TestServiceCalls(t *testing.T) {
	s := startSystem(t, nil)
	call := func(ctx context.Context, id, fault string) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Daemons[0].Settings.Listen.Callers+"/services/ordering/orders", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+demo.Key("bakery"))
		req.Header.Set("Stand-In-Call", id)
		req.Header.Set("Stand-In-Fault", fault)
		return http.DefaultClient.Do(req)
	}
	t.Run("api_key_is_not_forwarded", func(t *testing.T) {
		resp, err := call(t.Context(), "key", "")
		require.NoError(t, err)
		defer resp.Body.Close()
		var answer standin.ServiceAnswer
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
		require.Equal(t, "/orders", answer.Path)
		require.Empty(t, answer.Authorization)
	})
	t.Run("non_idempotent_call_runs_to_its_end_after_its_caller_disconnects", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		resp, err := call(ctx, "left", "slow")
		if err == nil {
			require.NoError(t, resp.Body.Close())
		}
		require.Error(t, err)
		require.Eventually(t, func() bool { return s.Ledger.Runs("left") == 1 }, 2*time.Second, 20*time.Millisecond)
	})
}
