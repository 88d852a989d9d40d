package integrity_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

func ExampleCheck() {
	fmt.Println(integrity.Check(nil, http.StatusOK, nil))
	fmt.Println(integrity.Check(nil, 0, nil))
	fmt.Println(integrity.Check(nil, http.StatusOK, http.Header{"Content-Length ": {"2"}}))
	// Output:
	// <nil>
	// malformed response: status 0
	// malformed response: field name "Content-Length "
}

// TestCheck guards against responses that are believed although their status or a field name is invalid (P96, P97).
func TestCheck(t *testing.T) {
	const sound = "X-Sound"
	upgrade := http.Header{"Upgrade": {"websocket"}}
	for _, tc := range []struct {
		name    string
		request http.Header
		status  int
		field   string
		want    error
	}{
		{"success", nil, 200, sound, nil},
		{"redirect", nil, 304, sound, nil},
		{"failure", nil, 500, sound, nil},
		{"status_without_a_name", nil, 599, sound, nil},
		{"zero", nil, 0, sound, integrity.ErrMalformed},
		{"two_digits", nil, 99, sound, integrity.ErrMalformed},
		{"interim", nil, 103, sound, integrity.ErrMalformed},
		{"interim_that_no_request_asks_for", nil, 199, sound, integrity.ErrMalformed},
		{"six_hundred", nil, 600, sound, integrity.ErrMalformed},
		{"nine_hundred", nil, 999, sound, integrity.ErrMalformed},
		{"other_protocol", upgrade, 101, sound, nil},
		{"other_protocol_unasked", nil, 101, sound, integrity.ErrMalformed},
		{"zero_for_another_protocol", upgrade, 0, sound, integrity.ErrMalformed},
		{"all_characters_of_a_token", nil, 200, "!#$%&'*+-.^_`|~09azAZ", nil},
		{"blank_in_a_name", nil, 200, "X None", integrity.ErrMalformed},
		{"blank_before_the_colon", nil, 200, "X-None ", integrity.ErrMalformed},
		{"control_byte", nil, 200, "X\x01None", integrity.ErrMalformed},
		{"no_name", nil, 200, "", integrity.ErrMalformed},
		{"blank_in_a_name_for_another_protocol", upgrade, 101, "X None", integrity.ErrMalformed},
		{"long_name", nil, 200, strings.Repeat("x ", 1<<20), integrity.ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := integrity.Check(tc.request, tc.status, http.Header{sound: {"1"}, tc.field: {"1"}})
			require.ErrorIs(t, err, tc.want)
			if err != nil {
				require.Less(t, len(err.Error()), 200)
			}
		})
	}
}

// startRawServer starts a server that answers each request with response, and then waits until the client closes the
// connection. The channel receives a value for each that it closes.
func startRawServer(t *testing.T, response string) (url string, closed <-chan struct{}) {
	t.Helper()
	ended := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response)
		_, _ = io.Copy(io.Discard, conn)
		ended <- struct{}{}
	}))
	t.Cleanup(server.Close)
	return server.URL, ended
}

// TestConnectionOfAMalformedResponse guards against a connection that carries further requests after a malformed response.
func TestConnectionOfAMalformedResponse(t *testing.T) {
	for _, fields := range []string{"", "Content-Length: 0\r\n", "Content-Length: 4\r\n", "Upgrade: websocket\r\nConnection: Upgrade\r\n"} {
		for _, status := range []string{"000", "101", "600"} {
			t.Run(status+"_"+fields, func(t *testing.T) {
				url, closed := startRawServer(t, "HTTP/1.1 "+status+" None\r\n"+fields+"\r\n")
				client := &http.Client{Transport: &integrity.Transport{}}
				resp, err := client.Get(url)
				if err == nil {
					_ = resp.Body.Close()
				}
				require.ErrorIs(t, err, integrity.ErrMalformed)
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					require.Fail(t, "the connection is open")
				}
			})
		}
	}
}
