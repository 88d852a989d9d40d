package gateway

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestReadsAtStart guards against overloading the store after a loss of power everywhere: hundreds
// of daemons start together and must not all read the list of servers, which is the largest topic.
// If they are few, each is ready sooner by reading it.
func TestReadsAtStart(t *testing.T) {
	for _, tc := range []struct {
		name     string
		firstRun bool
		view     View
		after    time.Duration
		topic    string
		want     bool
	}{
		{"heartbeats_at_once", false, View{}, 0, platform.TopicDaemons, true},
		{"operators_at_once", false, View{}, 0, platform.TopicOperators, true},
		{"heartbeats_at_the_first_run", true, View{}, 0, platform.TopicDaemons, true},
		{"operators_at_the_first_run", true, View{}, time.Second, platform.TopicOperators, false},
		{"operators_at_the_first_run_without_hubs", true, View{}, firstRunHubWait + 1, platform.TopicOperators, true},
		{"list_before_others_are_known", false, View{Daemons: 1}, 0, platform.TopicServers, false},
		{"list_among_few", false, View{Daemons: 9, PeersLoaded: true}, 0, platform.TopicServers, true},
		{"list_among_many", false, View{Daemons: 295, PeersLoaded: true}, time.Second, platform.TopicServers, false},
		{"list_among_many_without_hubs", false, View{Daemons: 295, PeersLoaded: true}, serverListHubWait + 1, platform.TopicServers, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := New(site.Settings{FirstRun: tc.firstRun}, &log.Logger{Level: log.PanicLevel}, noop.NewTracerProvider().Tracer("test"))
			g.view.Store(&tc.view)
			require.Equal(t, tc.want, g.readsAtStart(tc.topic, g.startedAt+tc.after))
		})
	}
}

// TestListingOfManyPages guards against a list of servers that is never read: each page is answered in time,
// but there are many, since another writer left large entries or the store is slow (LOST).
func TestListingOfManyPages(t *testing.T) {
	const pages = 4
	var calls atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := calls.Add(1)
		time.Sleep(readTimeout / 3)
		_, _ = fmt.Fprintf(w, `{"items":[{"key":"s%d","value":"dg==","offset":%d}],"has_more":%t,"end_offset":9}`, n, n, n < pages)
	}))
	defer store.Close()
	g := New(site.Settings{Store: strings.TrimPrefix(store.URL, "http://")}, &log.Logger{Level: log.PanicLevel}, noop.NewTracerProvider().Tracer("test"))
	page, err := g.readTopic(t.Context(), platform.TopicServers, -1, 0, true)
	require.NoError(t, err)
	require.Len(t, page.Records, pages)
}

// TestPartOfAPage guards against a read that ends before the newest record and still confirms the configuration as of its
// time (CONFIG): pages of the store have a limit, and large configurations follow each other quickly.
func TestPartOfAPage(t *testing.T) {
	var (
		g      *Gateway
		listed atomic.Int64
	)
	topic := func() (end int64, readAt time.Duration) {
		g.peers.mu.Lock()
		defer g.peers.mu.Unlock()
		t := g.peers.topic(platform.TopicOperators)
		return t.End(), t.ReadAt()
	}
	var calls atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) {
		case 1:
			_, _ = w.Write([]byte(`{"items":[],"has_more":false,"end_offset":5}`))
		case 2:
			_, readAt := topic()
			listed.Store(int64(readAt))
			page := append(binary.BigEndian.AppendUint64(nil, 8), make([]byte, 8)...)
			_, _ = w.Write(append(page, "\x00\x00\x00\x03\x01kv"...))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer store.Close()
	g = New(site.Settings{Store: strings.TrimPrefix(store.URL, "http://")}, &log.Logger{Level: log.PanicLevel}, noop.NewTracerProvider().Tracer("test"))
	g.startController()
	defer g.system.Shutdown()
	g.peers.isReader = true
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- g.followOperators(ctx) }()
	require.Eventually(t, func() bool { end, _ := topic(); return end == 6 }, 5*time.Second, 10*time.Millisecond)
	_, readAt := topic()
	require.Equal(t, time.Duration(listed.Load()), readAt)
	stop()
	require.NoError(t, <-done)
}
