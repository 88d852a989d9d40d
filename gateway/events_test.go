package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckStream guards against a success that is no stream and passes for one (P66), and against the refusal
// of one that is.
func TestCheckStream(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, contentType, encoding string
		status                      int
		ok                          bool
	}{
		{"stream", "text/event-stream", "", http.StatusOK, true},
		{"parameter", "Text/Event-Stream; charset=utf-8", "", http.StatusOK, true},
		{"no_type", "", "", http.StatusOK, true},
		{"json", "application/json", "", http.StatusOK, false},
		{"longer_type", "text/event-stream-2", "", http.StatusOK, false},
		{"no_media_type", "\x00", "", http.StatusOK, false},
		{"encoded", "text/event-stream", "gzip", http.StatusOK, false},
		{"no_content", "text/event-stream", "", http.StatusNoContent, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			err := checkStream(tc.status, http.Header{"Content-Type": {tc.contentType}, "Content-Encoding": {tc.encoding}})
			if tc.ok {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, errNotStream)
		})
	}
}
