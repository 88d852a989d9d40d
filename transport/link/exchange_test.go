package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// TestExchanges guards against answers that reach another request on a connection in use again, and
// against a peer that goes on working for a caller that has given up (P52).
func TestExchanges(t *testing.T) {
	var handled, cancelled atomic.Int32
	counters := new(link.Counters)
	server := httptest.NewServer(link.AcceptExchanges("s", counters, func(ctx context.Context, request string, send func(string) error) {
		handled.Add(1)
		for range 3 {
			if send(request) != nil {
				return
			}
		}
		switch request {
		case "hang":
			<-ctx.Done()
			cancelled.Add(1)
		case "die":
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	var group task.Group
	e := &link.Exchanger[string, string]{
		URL: "ws" + strings.TrimPrefix(server.URL, "http"), Secret: "s", Client: server.Client(), Counters: counters, Tasks: &group,
	}
	ask := func(request string) *link.Exchange[string, string] {
		ctx, cancel := context.WithCancel(t.Context())
		// The connection outlives the request that opened it.
		defer cancel()
		x, err := e.Begin(ctx, request)
		require.NoError(t, err)
		for range 3 {
			answer, err := x.Next(ctx)
			require.NoError(t, err)
			require.Equal(t, request, answer)
		}
		return x
	}
	for _, request := range []string{"a", "b", "c"} {
		ask(request).End()
	}
	require.Equal(t, 1, e.CloseIdle(), "one connection carried all three")
	ask("hang").Abort()
	require.Eventually(t, func() bool { return cancelled.Load() == 1 }, time.Second, time.Millisecond)
	require.EqualValues(t, 4, handled.Load())
	ask("die").End()
	require.Eventually(t, func() bool { return e.CloseIdle() == 0 }, time.Second, time.Millisecond, "a broken connection is not used again")
	e.Secret = "other"
	_, err := e.Begin(t.Context(), "e")
	require.ErrorIs(t, err, link.ErrNotSent)
	e.Close()
	require.NoError(t, group.Wait())
}
