package backend_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// event returns an encoded server-sent event with one token.
func event(request string, attempt, index int, done bool) string {
	return fmt.Sprintf("data: {\"request\":%q,\"attempt\":%d,\"index\":%d,\"text\":\"t\",\"done\":%t}\n\n", request, attempt, index, done)
}

// generate requests a stream from an engine that answers with status and body.
func generate(t *testing.T, status int, body string) (backend.Stream, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(srv.Close)
	client := backend.Client{HTTP: srv.Client()}
	return client.Generate(t.Context(), strings.TrimPrefix(srv.URL, "http://"), backend.GenerateRequest{Request: "r", Attempt: 1, Start: 5})
}

func TestStreamRefusesWhatIsNotItsNext(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		tokens     int
		want       error
	}{
		{"whole", event("r", 1, 5, false) + event("r", 1, 6, true), 2, io.EOF},
		{"cut", event("r", 1, 5, false), 1, backend.ErrTruncated},
		{"empty", "", 0, backend.ErrTruncated},
		{"another_request", event("q", 1, 5, false), 0, backend.ErrTruncated},
		{"stale_attempt", event("r", 0, 5, false), 0, backend.ErrTruncated},
		{"token_twice", event("r", 1, 5, false) + event("r", 1, 5, false), 1, backend.ErrTruncated},
		{"token_missing", event("r", 1, 5, false) + event("r", 1, 7, true), 1, backend.ErrTruncated},
		{"not_json", "data: {\n\n", 0, backend.ErrTruncated},
		{"late_events_after_the_end", event("r", 1, 5, true) + event("r", 1, 6, false), 1, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			stream, err := generate(t, http.StatusOK, tc.body)
			require.NoError(t, err)
			defer stream.Close()
			for range tc.tokens {
				_, err = stream.Next()
				require.NoError(t, err)
			}
			_, err = stream.Next()
			require.ErrorIs(t, err, tc.want)
		})
	}
}

func TestDeclinedStreamIsNotCut(t *testing.T) {
	_, err := generate(t, http.StatusConflict, "not ready")
	var status *rest.StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusConflict, status.Status)
}

func FuzzStream(f *testing.F) {
	f.Add(event("r", 1, 5, false) + event("r", 1, 6, true))
	f.Add("data: {\"index\":5}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		stream, err := generate(t, http.StatusOK, body)
		if err != nil {
			return
		}
		defer stream.Close()
		for i := 0; ; i++ {
			token, err := stream.Next()
			if err != nil {
				return
			}
			if token.Index != 5+i || token.Request != "r" || token.Attempt != 1 {
				t.Fatalf("accepted event %+v as number %d of the stream", token, i)
			}
		}
	})
}
