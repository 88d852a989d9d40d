package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

// failureDomains are the failure domains of the test systems.
var failureDomains = []string{"centro-a", "centro-b", "centro-c"}

// startSystem starts a system of three failure domains with seven engines each, and stops it when the
// test ends. The demo's sheet includes a deployment that not every organisation may use.
func startSystem(t *testing.T, adjust func(*settings.Settings)) *demo.System {
	t.Helper()
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric = failureDomains, 1, 7
	plan.Adjust = adjust
	plan.Engine.Load = 100 * time.Millisecond
	return startPlan(t, plan, demo.Sheet(failureDomains), 9)
}

// startPlan starts the system of plan, publishes sheet and waits until the given number of replicas
// serve. When the test ends, it stops the system and requires that no invariant was violated.
func startPlan(t *testing.T, plan demo.Plan, sheet []fleet.Deployment, replicas int) *demo.System {
	t.Helper()
	var (
		s   *demo.System
		err error
	)
	if s, err = demo.Start(plan); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		require.NoError(t, s.Stop())
		require.Zero(t, s.Violations(), "invariant violations counted by the daemons")
	})
	publishSheet(t, s, sheet)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, s.WaitServing(ctx, replicas))
	return s
}

// publishSheet publishes the first sheet of the system.
func publishSheet(t *testing.T, s *demo.System, deployments []fleet.Deployment) {
	t.Helper()
	applyChange(t, s, configuration.Record{Kind: configuration.KindSheet, Deployments: deployments})
}

// applyChange submits a change and requires that it is accepted and that all daemons apply it within
// the change timeout.
func applyChange(t *testing.T, s *demo.System, record configuration.Record) {
	t.Helper()
	result, err := s.Change(t.Context(), 0, record)
	require.NoError(t, err)
	require.True(t, result.Verdict.Accepted, "%+v", result)
	require.Empty(t, result.NotInForce)
}

// post posts body to path at the first entry instance and returns the response and its body.
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

// requireCompleteAnswer requires that answer is the complete and correct answer to content.
func requireCompleteAnswer(t *testing.T, answer load.Answer, content string, tokens int) {
	t.Helper()
	require.NoError(t, answer.Err)
	require.Equal(t, outcome.Completed, answer.Outcome)
	require.Equal(t, standin.Answer("baker-70b", "", "1", load.Prompt(content), tokens), answer.Text)
}

// warmReplicas sends requests until every replica of the decoration deployment is warm.
func warmReplicas(t *testing.T, s *demo.System) {
	t.Helper()
	caller := s.Caller("bakery", 99)
	for n := 0; ; n++ {
		require.Less(t, n, 500)
		requireCompleteAnswer(t, caller.Chat(t.Context(), "decoration", fmt.Sprintf("warm %d", n), 2), fmt.Sprintf("warm %d", n), 2)
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

// sendBackgroundLoad sends one request after the other until stop is closed, and adds the answers to
// report.
func sendBackgroundLoad(t *testing.T, s *demo.System, n int, report *load.Report, stop <-chan struct{}) {
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
	warmReplicas(t, s)
	var group sync.WaitGroup
	reports := make([]load.Report, 4)
	stop := make(chan struct{})
	for n := range reports {
		group.Go(func() { sendBackgroundLoad(t, s, n, &reports[n], stop) })
	}
	for n, daemon := range s.Daemons[:3] {
		require.NoError(t, daemon.Stop())
		require.NoError(t, s.StartDaemon(daemon.Settings), "daemon %d", n)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		require.NoError(t, s.WaitReady(ctx, daemon.Settings.Listen.Operators))
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
	applyChange(t, s, configuration.Record{Kind: configuration.KindDomainOut, Target: "centro-b"})
	status, err := s.Status(t.Context(), 0)
	require.NoError(t, err)
	applyChange(t, s, configuration.Record{Kind: configuration.KindSheet, Base: status.Revision, Deployments: demo.Sheet(failureDomains)})
	for _, daemon := range s.Daemons[:3] {
		require.NoError(t, daemon.Stop())
		require.NoError(t, s.StartDaemon(daemon.Settings))
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
	warmReplicas(t, s)
	s.Log.SetFaults(standin.LogFaults{Outage: true})
	time.Sleep(5 * time.Second)
	t.Run("serving_goes_on", func(t *testing.T) {
		requireCompleteAnswer(t, s.Caller("bakery", 1).Chat(t.Context(), "decoration", "outage", 8), "outage", 8)
		status, err := s.Status(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, "log_outage", status.Mode)
	})
	t.Run("a_change_is_reported_as_not_lasting", func(t *testing.T) {
		result, err := s.Change(t.Context(), 0, configuration.Record{Kind: configuration.KindDomainOut, Target: "centro-a"})
		require.NoError(t, err)
		require.False(t, result.Durable)
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
		isolated := s.Daemons[2].Settings
		isolated.Daemon, isolated.Peers.Seeds = "alone", nil
		isolated.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		requireNotFresh(t, s, isolated)
	})
	s.Log.SetFaults(standin.LogFaults{})
}

// requireNotFresh starts a daemon with the given settings at free addresses and requires that it
// refuses requests as not_fresh and not run.
func requireNotFresh(t *testing.T, s *demo.System, isolated settings.Settings) {
	t.Helper()
	for _, address := range []*string{&isolated.Listen.Callers, &isolated.Listen.Operators, &isolated.Listen.Peers} {
		free, err := demo.FreeAddress()
		require.NoError(t, err)
		*address = free
	}
	require.NoError(t, s.StartDaemon(isolated))
	time.Sleep(500 * time.Millisecond)
	caller := &load.Caller{Addresses: []string{isolated.Listen.Callers}, Key: demo.Key("bakery"), HTTP: http.DefaultClient, Random: newRandom()}
	answer := caller.Chat(t.Context(), "decoration", "alone", 4)
	require.Equal(t, outcome.NotRun, answer.Outcome)
	require.ErrorContains(t, answer.Err, "not_fresh")
}
