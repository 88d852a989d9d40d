package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// TestTextInInvalidUTF8 guards against losing a whole message, such as the list of servers or a request,
// for one key or header that another program wrote in another encoding (P64).
func TestTextInInvalidUTF8(t *testing.T) {
	const text = "caf\xe9"
	serve := func(t *testing.T, handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return "ws" + strings.TrimPrefix(server.URL, "http")
	}
	t.Run("messages", func(t *testing.T) {
		counters, received := new(link.Counters), make(chan string, 1)
		sender := link.NewSender[string](serve(t, link.Accept("s", counters, func(m string) { received <- m })), "s", http.DefaultClient, counters)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- sender.Run(ctx) }()
		sender.Send(text)
		require.Eventually(t, func() bool { return len(received) == 1 || counters.Dropped.Load() > 0 }, 5*time.Second, time.Millisecond)
		require.Zero(t, counters.Dropped.Load(), "messages dropped")
		require.Equal(t, text, <-received)
		cancel()
		require.NoError(t, <-done)
	})
	t.Run("exchanges", func(t *testing.T) {
		counters := new(link.Counters)
		url := serve(t, link.AcceptExchanges("s", counters, func(_ context.Context, request string, send func(string) error) { _ = send(request) }))
		var group task.Group
		reapCtx, stop := context.WithCancel(t.Context())
		reaped := make(chan error, 1)
		go func() { reaped <- group.Reap(reapCtx) }()
		e := &link.Exchanger[string, string]{URL: url, Secret: "s", Client: http.DefaultClient, Counters: counters, Tasks: &group}
		x, err := e.Begin(t.Context(), text)
		require.NoError(t, err)
		answer, err := x.Next(t.Context())
		require.NoError(t, err)
		require.Equal(t, text, answer)
		e.Close()
		stop()
		require.NoError(t, <-reaped)
	})
	t.Run("calls", func(t *testing.T) {
		url := serve(t, link.AcceptCalls("s", func(_ context.Context, request string, send func(string) error) { _ = send(request) }))
		call, err := link.Dial[string](t.Context(), http.DefaultClient, url, "s", text)
		require.NoError(t, err)
		answer, err := call.Next()
		require.NoError(t, err)
		require.Equal(t, text, answer)
		_ = call.Close()
	})
}
