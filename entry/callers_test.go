package entry_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

func TestOfficialClient(t *testing.T) {
	s := startSystem(t, nil)
	client := openai.NewClient(option.WithBaseURL("http://"+s.Daemons[0].Settings.Listen.Callers+"/v1/"), option.WithAPIKey(demo.Key("bakery")))
	params := openai.ChatCompletionNewParams{
		Model: "decoration", MaxTokens: openai.Int(8), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("two tiers")},
	}
	want := standin.Answer("baker-70b", "", "1", load.Prompt("two tiers"), 8)
	t.Run("whole", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, want, answer.Choices[0].Message.Content)
	})
	t.Run("stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var text strings.Builder
		for stream.Next() {
			if choices := stream.Current().Choices; len(choices) > 0 {
				text.WriteString(choices[0].Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, want, text.String())
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, page.Data, 2)
	})
	t.Run("error", func(t *testing.T) {
		params.Model = "no-such-model"
		_, err := client.Chat.Completions.New(t.Context(), params)
		var failure *openai.Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, http.StatusNotFound, failure.StatusCode)
		require.Equal(t, "model_not_found", failure.Code)
	})
}

func TestRefusals(t *testing.T) {
	s := startSystem(t, func(daemonSettings *settings.Settings) { daemonSettings.Limits.BodyBytes = 4096 })
	chat := func(model string) string {
		return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, model)
	}
	for _, tc := range []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"wrong_key", "/v1/chat/completions", "nobody", chat("decoration"), http.StatusUnauthorized, "invalid_api_key"},
		{"unknown_model", "/v1/chat/completions", demo.Key("bakery"), chat("nothing"), http.StatusNotFound, "model_not_found"},
		{"foreign_deployment", "/v1/chat/completions", demo.Key("kiosk"), chat("catalogue"), http.StatusNotFound, "model_not_found"},
		{"service_as_model", "/v1/chat/completions", demo.Key("kiosk"), chat("ordering"), http.StatusNotFound, "model_not_found"},
		{"oversized_body", "/v1/chat/completions", demo.Key("bakery"), strings.Repeat("x", 5000), http.StatusRequestEntityTooLarge, "body_too_large"},
		{"malformed_json", "/v1/chat/completions", demo.Key("bakery"), `{"model":`, http.StatusBadRequest, "invalid_json"},
		{"too_many_tokens", "/v1/completions", demo.Key("bakery"), `{"model":"decoration","prompt":"x","max_tokens":999999}`, http.StatusBadRequest, "out_of_range"},
		{"no_messages", "/v1/chat/completions", demo.Key("bakery"), `{"model":"decoration"}`, http.StatusBadRequest, "missing"},
		{"unknown_path", "/v2/anything", demo.Key("bakery"), "", http.StatusNotFound, "not_found"},
		{"unknown_service", "/services/nothing/x", demo.Key("bakery"), "", http.StatusNotFound, "model_not_found"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, text := post(t, s, tc.path, tc.key, strings.NewReader(tc.body))
			require.Equal(t, tc.status, resp.StatusCode, text)
			require.Equal(t, string(outcome.NotRun), resp.Header.Get("Hawthornrock-Outcome"))
			require.Equal(t, tc.code, errorCode(t, text))
		})
	}
	t.Run("foreign_looks_like_unknown", func(t *testing.T) {
		_, foreign := post(t, s, "/v1/chat/completions", demo.Key("kiosk"), strings.NewReader(chat("catalogue")))
		_, unknown := post(t, s, "/v1/chat/completions", demo.Key("kiosk"), strings.NewReader(chat("nothing")))
		require.Equal(t, unknown, foreign)
	})
}

// errorCode returns the error code in a JSON error response.
func errorCode(t *testing.T, text string) string {
	t.Helper()
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(text), &body), text)
	return body.Error.Code
}

func TestOverload(t *testing.T) {
	s := startSystem(t, func(daemonSettings *settings.Settings) {
		daemonSettings.Limits.HeaderTimeout, daemonSettings.Limits.HeaderBytes = 200*time.Millisecond, 4096
		daemonSettings.Limits.InFlightPerOrg = 2
		daemonSettings.Limits.Connections = 40
	})
	address := s.Daemons[0].Settings.Listen.Callers
	t.Run("endless_headers_are_cut", func(t *testing.T) {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nX-A: ")
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.ReadAll(conn)
		require.NoError(t, err, "the daemon must close the connection")
	})
	t.Run("organisation_over_its_share_is_told_when_to_come_back", func(t *testing.T) {
		var group sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for n := range 12 {
			group.Go(func() {
				body := fmt.Sprintf(`{"model":"decoration","max_tokens":100,"messages":[{"role":"user","content":"%d"}]}`, n)
				resp, _ := post(t, s, "/v1/chat/completions", demo.Key("bakery"), strings.NewReader(body))
				mu.Lock()
				defer mu.Unlock()
				if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Retry-After") != "" {
					refused++
				}
			})
		}
		group.Wait()
		require.GreaterOrEqual(t, refused, 8)
	})
	t.Run("connections_are_bounded", func(t *testing.T) {
		closed := 0
		var all []net.Conn
		for range 60 {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			all = append(all, conn)
		}
		deadline := time.Now().Add(100 * time.Millisecond)
		// The daemon closes connections beyond the limit, which are the newest. Reads of the oldest
		// block until the deadline, so start with the newest.
		for _, conn := range slices.Backward(all) {
			require.NoError(t, conn.SetReadDeadline(deadline))
			if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				closed++
			}
		}
		require.GreaterOrEqual(t, closed, 10)
	})
}

func TestCancelReachesTheOwner(t *testing.T) {
	s := startSystem(t, nil)
	warmReplicas(t, s)
	body := `{"model":"decoration","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Daemons[0].Settings.Listen.Callers+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+demo.Key("bakery"))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = resp.Body.Read(make([]byte, 64))
	require.NoError(t, err)
	require.Equal(t, 1, countBusyEngines(s))
	cancelPath := "/v1/requests/" + resp.Header.Get("Hawthornrock-Request") + "/cancel"
	t.Run("foreign_organisation_cannot", func(t *testing.T) {
		postCancel(t, s, 1, cancelPath, demo.Key("kiosk"))
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, countBusyEngines(s))
	})
	t.Run("through_another_entry_instance", func(t *testing.T) {
		postCancel(t, s, 1, cancelPath, demo.Key("bakery"))
		require.Eventually(t, func() bool { return countBusyEngines(s) == 0 }, time.Second, 10*time.Millisecond)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NotContains(t, string(text), "[DONE]")
		require.Contains(t, string(text), "cancelled")
		require.Equal(t, string(outcome.Failed), resp.Trailer.Get("Hawthornrock-Outcome"))
	})
}

// postCancel sends a cancel request to the n-th entry instance and requires that it is accepted.
func postCancel(t *testing.T, s *demo.System, n int, path, key string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Daemons[n].Settings.Listen.Callers+path, http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
}

// countBusyEngines returns the number of engines that are running a request.
func countBusyEngines(s *demo.System) int {
	n := 0
	for _, e := range s.Engines {
		if e.Running() > 0 {
			n++
		}
	}
	return n
}
