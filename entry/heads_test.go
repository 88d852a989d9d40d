package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestHeadsThatAreCut guards against an answer of an engine, a plain service or the platform whose server closed its
// connection within the head, at any byte, and that looks complete (P76).
func TestHeadsThatAreCut(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 120\r\n\r\n",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.NoError(t, err) {
					return
				}
				_, err = conn.Write([]byte(head[:cut.Load()]))
				assert.NoError(t, err)
				assert.NoError(t, conn.Close())
			}))
			t.Cleanup(server.Close)
			clients := map[string]*http.Client{"kept": newClient(0), "single_use": {Transport: newSingleUseTransport(nil)}}
			for n := range len(head) {
				cut.Store(int64(n))
				for which, client := range clients {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("b"))
					require.NoError(t, err)
					resp, err := client.Do(req)
					if resp != nil {
						_ = resp.Body.Close()
					}
					require.Error(t, err, "%s, cut after %d bytes", which, n)
				}
			}
		})
	}
}
