package entry_test

import (
	"bytes"
	"context"
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

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

// domains are the failure domains of the systems under test.
var domains = []string{"centro-a", "centro-b", "centro-c"}

// startSystem starts a small system with the demo's sheet and a deployment of
// another organisation, and stops it when the test ends.
func startSystem(t *testing.T, adjust func(*settings.Settings)) *demo.System {
	t.Helper()
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric = domains, 1, 7
	plan.Adjust = adjust
	plan.Engine.Load = 100 * time.Millisecond
	var (
		s   *demo.System
		err error
	)
	if s, err = demo.Start(plan); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		require.NoError(t, s.Stop())
		require.Zero(t, s.Violations(), "violations counted by the daemons")
	})
	publish(t, s, demo.Sheet(domains))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, s.WaitServing(ctx, 9))
	return s
}

// publish publishes a first sheet.
func publish(t *testing.T, s *demo.System, deployments []fleet.Deployment) {
	t.Helper()
	change(t, s, configuration.Record{Kind: configuration.KindSheet, Deployments: deployments})
}

// change asks for a change and requires that it is in force everywhere in time.
func change(t *testing.T, s *demo.System, record configuration.Record) {
	t.Helper()
	result, err := s.Change(t.Context(), 0, record)
	require.NoError(t, err)
	require.True(t, result.Verdict.Accepted, "%+v", result)
	require.Empty(t, result.NotInForce)
}

// post sends body to path of the first entry instance.
func post(t *testing.T, s *demo.System, path, key string, body io.Reader) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Daemons[0].Settings.Listen.Callers+path, body)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

// requireWhole requires that answer is the whole right one for content.
func requireWhole(t *testing.T, answer load.Answer, content string, tokens int) {
	t.Helper()
	require.NoError(t, answer.Err)
	require.Equal(t, outcome.Completed, answer.Outcome)
	require.Equal(t, standin.Answer("baker-70b", "", "1", load.Prompt(content), tokens), answer.Text)
}

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
	s := startSystem(t, func(one *settings.Settings) { one.Limits.BodyBytes = 4096 })
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

// errorCode returns the code of an error body.
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
	s := startSystem(t, func(one *settings.Settings) {
		one.Limits.HeaderTimeout, one.Limits.HeaderBytes = 200*time.Millisecond, 4096
		one.Limits.InFlightPerOrg = 2
		one.Limits.Connections = 40
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
		require.NoError(t, err, "the daemon closes the connection")
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
		// The newest ones are closed, and the oldest wait until the deadline.
		for _, conn := range slices.Backward(all) {
			require.NoError(t, conn.SetReadDeadline(deadline))
			if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				closed++
			}
		}
		require.GreaterOrEqual(t, closed, 10)
	})
}

func TestAtMostOnceAcrossEntryInstances(t *testing.T) {
	s := startSystem(t, nil)
	call := func(n int, key, fault string) load.Answer {
		caller := &load.Caller{
			Addresses: []string{s.Daemons[n].Settings.Listen.Callers}, Key: demo.Key("bakery"), HTTP: http.DefaultClient, Random: newRandom(),
		}
		header := http.Header{"Idempotency-Key": {key}, "Stand-In-Call": {key}, "Stand-In-Fault": {fault}}
		return caller.Service(t.Context(), http.MethodPost, "ordering", "/orders", header, []byte("{}"))
	}
	t.Run("at_once_everywhere", func(t *testing.T) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() { call(i%3, "at-once", "") })
		}
		group.Wait()
		require.Equal(t, 1, s.Ledger.Runs("at-once"))
	})
	t.Run("lost_answer_is_unknown_and_stays_so", func(t *testing.T) {
		require.Equal(t, outcome.Unknown, call(0, "lost", "drop").Outcome)
		require.Equal(t, outcome.Unknown, call(1, "lost", "").Outcome)
		require.Equal(t, 1, s.Ledger.Runs("lost"))
	})
	t.Run("refusing_service_is_not_asked_twice", func(t *testing.T) {
		require.Equal(t, outcome.Unknown, call(0, "refuse", "refuse").Outcome)
		require.Zero(t, s.Ledger.Runs("refuse"))
	})
	t.Run("log_outage_is_not_run", func(t *testing.T) {
		s.Log.SetFaults(standin.LogFaults{Outage: true})
		answer := call(2, "outage", "")
		require.Equal(t, outcome.NotRun, answer.Outcome)
		require.Zero(t, s.Ledger.Runs("outage"))
		s.Log.SetFaults(standin.LogFaults{})
		require.Eventually(t, func() bool { return call(2, "outage", "").Outcome == outcome.Completed }, 15*time.Second, 100*time.Millisecond)
		require.Equal(t, 1, s.Ledger.Runs("outage"))
	})
	t.Run("lost_append_answer", func(t *testing.T) {
		s.Log.SetFaults(standin.LogFaults{LoseAnswers: 1})
		require.Equal(t, outcome.Completed, call(1, "lost-append", "").Outcome)
		require.Equal(t, 1, s.Ledger.Runs("lost-append"))
	})
}

func TestStreamsResumeAtTheExactToken(t *testing.T) {
	s := startSystem(t, nil)
	warm(t, s)
	var group sync.WaitGroup
	answers := make([]load.Answer, 12)
	for n := range answers {
		group.Go(func() {
			answers[n] = s.Caller("bakery", uint64(n)).Chat(t.Context(), "decoration", fmt.Sprintf("cut %d", n), 120)
		})
	}
	time.Sleep(300 * time.Millisecond)
	crashHeads(s, 2)
	group.Wait()
	for n, answer := range answers {
		requireWhole(t, answer, fmt.Sprintf("cut %d", n), 120)
		require.Equal(t, 1, answer.Tries, "the entry instance resumes, not the caller")
	}
}

// crashHeads crashes the heads of n replicas that are running requests.
func crashHeads(s *demo.System, n int) {
	for _, e := range s.Engines {
		if n > 0 && e.Running() > 0 {
			e.Crash()
			n--
		}
	}
}

// warm sends requests until every replica of decoration is warm.
func warm(t *testing.T, s *demo.System) {
	t.Helper()
	caller := s.Caller("bakery", 99)
	for n := 0; ; n++ {
		require.Less(t, n, 500)
		requireWhole(t, caller.Chat(t.Context(), "decoration", fmt.Sprintf("warm %d", n), 2), fmt.Sprintf("warm %d", n), 2)
		status, err := s.Status(t.Context(), 0)
		require.NoError(t, err)
		cold := 0
		for _, r := range status.Replicas {
			if r.Deployment == "decoration" && !r.Warm {
				cold++
			}
		}
		if cold == 0 {
			return
		}
	}
}

func TestColdReplicasAreServedThroughTheirDirector(t *testing.T) {
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric, plan.DaemonsPerDomain = domains[:1], 1, 2, 3
	plan.Engine.WarmAfter = 1000
	s, err := demo.Start(plan)
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, s.Stop())
		require.Zero(t, s.Violations())
	})
	sheet := demo.Sheet(plan.FailureDomains)[:1]
	sheet[0].Replicas = 1
	publish(t, s, sheet)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, s.WaitServing(ctx, 1))
	var group sync.WaitGroup
	for n := range 9 {
		group.Go(func() {
			caller := s.Caller("bakery", uint64(n))
			caller.Addresses = []string{s.Daemons[n%3].Settings.Listen.Callers}
			caller.Pinned = true
			answer := caller.Chat(t.Context(), "decoration", fmt.Sprintf("cold %d", n), 6)
			requireWhole(t, answer, fmt.Sprintf("cold %d", n), 6)
		})
	}
	group.Wait()
	counts := s.Engines[0].Counts()
	require.LessOrEqual(t, counts.MostWhenCold, plan.Engine.ColdLimit)
	require.Zero(t, counts.OverLimit)
}

func TestServerTurnedColdUnannounced(t *testing.T) {
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric, plan.DaemonsPerDomain = domains[:1], 1, 4, 3
	plan.Engine.WarmthLag, plan.Engine.ColdGrace, plan.Engine.WarmAfter = 3*time.Second, 750*time.Millisecond, 20
	plan.Engine.ColdFactor = 5
	s, err := demo.Start(plan)
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, s.Stop())
		require.Zero(t, s.Violations())
	})
	sheet := demo.Sheet(plan.FailureDomains)[:1]
	publish(t, s, sheet)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, s.WaitServing(ctx, 2))
	warm(t, s)
	var group sync.WaitGroup
	reports := make([]load.Report, 9)
	stop := make(chan struct{})
	for n := range reports {
		group.Go(func() { background(t, s, n, &reports[n], stop) })
	}
	time.Sleep(3 * time.Second)
	head := runningHead(s)
	head.Cool()
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	require.Zero(t, head.Counts().OverLimit, "%+v", head.Counts())
	for n := range reports {
		summary := reports[n].Summary()
		require.InDelta(t, 1, summary.SuccessRatio, 0, "%+v", summary)
	}
}

// runningHead returns an engine that runs requests.
func runningHead(s *demo.System) *standin.Engine {
	for _, e := range s.Engines {
		if e.Running() > 0 {
			return e
		}
	}
	return s.Engines[0]
}

func TestRolloutUnderLoadNeverMixesVersions(t *testing.T) {
	s := startSystem(t, nil)
	warm(t, s)
	var (
		group  sync.WaitGroup
		mu     sync.Mutex
		counts = make(map[string]int)
	)
	stop := make(chan struct{})
	for n := range 6 {
		group.Go(func() {
			caller := s.Caller("bakery", uint64(n))
			for i := 0; open(stop); i++ {
				content := fmt.Sprintf("rollout %d %d", n, i)
				answer := caller.Chat(t.Context(), "decoration", content, 40)
				mu.Lock()
				counts[versionOf(answer, content, 40)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	sheet := demo.Sheet(domains)
	sheet[0].Version = "2"
	status, err := s.Status(t.Context(), 0)
	require.NoError(t, err)
	change(t, s, configuration.Record{Kind: configuration.KindSheet, Base: status.Revision, Deployments: sheet})
	require.Eventually(t, func() bool { return replicasOf(t, s, "2") == 6 }, 40*time.Second, 100*time.Millisecond)
	s.Engines[0].Crash()
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	require.Positive(t, counts["1"])
	require.Positive(t, counts["2"])
	require.Zero(t, counts["mixed"]+counts["not whole"], "%v", counts)
}

// versionOf returns which version of the model gave answer.
func versionOf(answer load.Answer, content string, tokens int) string {
	if !answer.Whole {
		return "not whole"
	}
	for _, version := range []string{"1", "2"} {
		if answer.Text == standin.Answer("baker-70b", "", version, load.Prompt(content), tokens) {
			return version
		}
	}
	return "mixed"
}

// replicasOf returns how many replicas of decoration serve a version.
func replicasOf(t *testing.T, s *demo.System, version string) int {
	t.Helper()
	status, err := s.Status(t.Context(), 0)
	require.NoError(t, err)
	n := 0
	for _, r := range status.Replicas {
		if r.Deployment == "decoration" && r.Version == version {
			n++
		}
	}
	return n
}

// open returns whether stop has not closed yet.
func open(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

func TestCancelReachesTheOwner(t *testing.T) {
	s := startSystem(t, nil)
	warm(t, s)
	body := `{"model":"decoration","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Daemons[0].Settings.Listen.Callers+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+demo.Key("bakery"))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = resp.Body.Read(make([]byte, 64))
	require.NoError(t, err)
	require.Equal(t, 1, runningEngines(s))
	cancelPath := "/v1/requests/" + resp.Header.Get("Hawthornrock-Request") + "/cancel"
	t.Run("foreign_organisation_cannot", func(t *testing.T) {
		cancel(t, s, 1, cancelPath, demo.Key("kiosk"))
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, runningEngines(s))
	})
	t.Run("through_another_entry_instance", func(t *testing.T) {
		cancel(t, s, 1, cancelPath, demo.Key("bakery"))
		require.Eventually(t, func() bool { return runningEngines(s) == 0 }, time.Second, 10*time.Millisecond)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NotContains(t, string(text), "[DONE]")
		require.Contains(t, string(text), "cancelled")
		require.Equal(t, string(outcome.Failed), resp.Trailer.Get("Hawthornrock-Outcome"))
	})
}

// cancel posts a cancel to the n-th entry instance.
func cancel(t *testing.T, s *demo.System, n int, path, key string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Daemons[n].Settings.Listen.Callers+path, http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
}

// runningEngines returns how many engines run a request.
func runningEngines(s *demo.System) int {
	n := 0
	for _, e := range s.Engines {
		if e.Running() > 0 {
			n++
		}
	}
	return n
}

func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	s := startSystem(t, nil)
	warm(t, s)
	mark := demo.DefaultPlan().Engine.CrashMark
	var group sync.WaitGroup
	stop := make(chan struct{})
	answers := make([]load.Report, 3)
	for n := range answers {
		group.Go(func() { background(t, s, n, &answers[n], stop) })
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 20 {
		body := fmt.Sprintf(`{"model":"decoration","messages":[{"role":"user","content":%q}]}`, mark)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
			"http://"+s.Daemons[i%3].Settings.Listen.Callers+"/v1/chat/completions", bytes.NewReader([]byte(body)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+demo.Key("bakery"))
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	group.Wait()
	crashes := 0
	for _, e := range s.Engines {
		crashes += e.Counts().Crashes
	}
	require.LessOrEqual(t, crashes, 2)
	for n := range answers {
		summary := answers[n].Summary()
		require.InDelta(t, 1, summary.SuccessRatio, 0, "an unmarked request was refused: %+v", summary)
	}
}

// background sends ordinary requests until stop closes.
func background(t *testing.T, s *demo.System, n int, report *load.Report, stop <-chan struct{}) {
	caller := s.Caller("kiosk", uint64(n))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		content := fmt.Sprintf("background %d %d", n, i)
		report.Add(caller.Chat(t.Context(), "decoration", content, 20), standin.Answer("baker-70b", "", "1", load.Prompt(content), 20))
	}
}

func TestPlannedStopInterruptsNothing(t *testing.T) {
	s := startSystem(t, nil)
	warm(t, s)
	var group sync.WaitGroup
	reports := make([]load.Report, 4)
	stop := make(chan struct{})
	for n := range reports {
		group.Go(func() { background(t, s, n, &reports[n], stop) })
	}
	for n, m := range s.Daemons[:3] {
		require.NoError(t, m.Stop())
		require.NoError(t, s.StartDaemon(m.Settings), "daemon %d", n)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		require.NoError(t, s.WaitReady(ctx, m.Settings.Listen.Operators))
		cancel()
	}
	close(stop)
	group.Wait()
	for n := range reports {
		summary := reports[n].Summary()
		require.InDelta(t, 1, summary.SuccessRatio, 0, "%+v", summary)
	}
}

func TestDomainOutOutlivesSheetAndRestarts(t *testing.T) {
	s := startSystem(t, nil)
	change(t, s, configuration.Record{Kind: configuration.KindDomainOut, Target: "centro-b"})
	status, err := s.Status(t.Context(), 0)
	require.NoError(t, err)
	change(t, s, configuration.Record{Kind: configuration.KindSheet, Base: status.Revision, Deployments: demo.Sheet(domains)})
	for _, m := range s.Daemons[:3] {
		require.NoError(t, m.Stop())
		require.NoError(t, s.StartDaemon(m.Settings))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	require.NoError(t, s.WaitReady(ctx, s.Daemons[0].Settings.Listen.Operators))
	status, err = s.Status(t.Context(), 3)
	require.NoError(t, err)
	require.Equal(t, []string{"centro-b"}, status.DomainsOut)
}

func TestLogOutage(t *testing.T) {
	s := startSystem(t, nil)
	warm(t, s)
	s.Log.SetFaults(standin.LogFaults{Outage: true})
	time.Sleep(5 * time.Second)
	t.Run("serving_goes_on", func(t *testing.T) {
		requireWhole(t, s.Caller("bakery", 1).Chat(t.Context(), "decoration", "outage", 8), "outage", 8)
		status, err := s.Status(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, "log_outage", status.Mode)
	})
	t.Run("a_change_is_reported_as_not_lasting", func(t *testing.T) {
		result, err := s.Change(t.Context(), 0, configuration.Record{Kind: configuration.KindDomainOut, Target: "centro-a"})
		require.NoError(t, err)
		require.False(t, result.Lasting)
		require.False(t, result.Verdict.Accepted)
	})
	t.Run("a_daemon_that_starts_follows_its_peers", func(t *testing.T) {
		require.NoError(t, s.Daemons[2].Stop())
		require.NoError(t, s.StartDaemon(s.Daemons[2].Settings))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := s.WaitReady(ctx, s.Daemons[3].Settings.Listen.Operators)
		status, _ := s.Status(t.Context(), 3)
		require.NoError(t, err, "%+v", status)
	})
	t.Run("a_daemon_with_neither_refuses_as_not_run", func(t *testing.T) {
		alone := s.Daemons[2].Settings
		alone.Daemon, alone.Peers.Seeds = "alone", nil
		alone.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		requireNotFresh(t, s, alone)
	})
	s.Log.SetFaults(standin.LogFaults{})
}

// requireNotFresh requires that a daemon with the given settings refuses work.
func requireNotFresh(t *testing.T, s *demo.System, one settings.Settings) {
	t.Helper()
	for _, address := range []*string{&one.Listen.Callers, &one.Listen.Operators, &one.Listen.Peers} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		*address = listener.Addr().String()
		require.NoError(t, listener.Close())
	}
	require.NoError(t, s.StartDaemon(one))
	time.Sleep(500 * time.Millisecond)
	caller := &load.Caller{Addresses: []string{one.Listen.Callers}, Key: demo.Key("bakery"), HTTP: http.DefaultClient, Random: newRandom()}
	answer := caller.Chat(t.Context(), "decoration", "alone", 4)
	require.Equal(t, outcome.NotRun, answer.Outcome)
	require.ErrorContains(t, answer.Err, "not_fresh")
}
