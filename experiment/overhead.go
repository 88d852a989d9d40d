package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

const (
	// overheadStreams is the number of streams on each path. The first of each is not recorded.
	overheadStreams = 300
	// overheadTokens is the number of tokens in each stream.
	overheadTokens = 40
	// startTimeout limits the wait until the replicas of an experiment serve.
	startTimeout = 30 * time.Second
)

// Times holds percentiles of a measured duration.
type Times struct {
	P50Seconds float64 `json:"p50_seconds"`
	P95Seconds float64 `json:"p95_seconds"`
	P99Seconds float64 `json:"p99_seconds"`
}

// An OverheadResult compares streams through an entry daemon with streams directly from the engine,
// alternating in one run.
type OverheadResult struct {
	Streams               int     `json:"streams"`
	DirectFirstToken      Times   `json:"direct_first_token"`
	EntryFirstToken       Times   `json:"entry_first_token"`
	DirectTokenGap        Times   `json:"direct_token_gap"`
	EntryTokenGap         Times   `json:"entry_token_gap"`
	AddedFirstTokenP50    float64 `json:"added_first_token_p50_seconds"`
	AddedFirstTokenP95    float64 `json:"added_first_token_p95_seconds"`
	AddedSecondsPerToken  float64 `json:"added_seconds_per_token"`
	directSum, entrySum   time.Duration
	directGaps, entryGaps int
}

// Overhead measures the latency that an entry daemon adds to a stream.
func Overhead(ctx context.Context, _ Options) (OverheadResult, error) {
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric, plan.Services = []string{"bayangol"}, 1, 1, ""
	plan.Engine.FirstToken, plan.Engine.TokenInterval, plan.Engine.WarmAfter = 2*time.Millisecond, time.Millisecond, 1
	var (
		system *demo.System
		result OverheadResult
		err    error
	)
	if system, err = demo.Start(plan); err != nil {
		return result, err
	}
	if err = serve(ctx, system, single(plan.FailureDomains)); err == nil {
		err = result.measure(ctx, system)
	}
	return result, errors.Join(err, system.Stop())
}

// measure alternates between streams through the entry daemon and streams directly from the engine.
func (r *OverheadResult) measure(ctx context.Context, system *demo.System) error {
	histograms := make([]*hdrhistogram.Histogram, 4)
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	caller := system.Caller("bakery", 1)
	for n := range overheadStreams {
		content := fmt.Sprintf("overhead %d", n)
		answer := caller.Chat(ctx, "decoration", content, overheadTokens)
		if !answer.Whole {
			return fmt.Errorf("stream through the entry daemon is incomplete: %w", answer.Err)
		}
		first, gaps, err := direct(ctx, system, content)
		if err != nil {
			return err
		}
		if n == 0 {
			continue
		}
		record(histograms[0], first)
		record(histograms[1], answer.FirstToken)
		for _, gap := range gaps {
			record(histograms[2], gap)
			r.directSum += gap
		}
		for _, gap := range answer.Gaps {
			record(histograms[3], gap)
			r.entrySum += gap
		}
		r.directGaps += len(gaps)
		r.entryGaps += len(answer.Gaps)
	}
	r.Streams = overheadStreams
	r.DirectFirstToken, r.EntryFirstToken = times(histograms[0]), times(histograms[1])
	r.DirectTokenGap, r.EntryTokenGap = times(histograms[2]), times(histograms[3])
	r.AddedFirstTokenP50 = r.EntryFirstToken.P50Seconds - r.DirectFirstToken.P50Seconds
	r.AddedFirstTokenP95 = r.EntryFirstToken.P95Seconds - r.DirectFirstToken.P95Seconds
	r.AddedSecondsPerToken = r.entrySum.Seconds()/float64(r.entryGaps) - r.directSum.Seconds()/float64(r.directGaps)
	return nil
}

// direct runs one stream directly on the engine and returns its time to first token and token gaps.
func direct(ctx context.Context, system *demo.System, content string) (time.Duration, []time.Duration, error) {
	var (
		status operator.Status
		stream backend.Stream
		token  backend.Token
		err    error
	)
	if status, err = system.Status(ctx, 0); err != nil {
		return 0, nil, err
	}
	replica := status.Replicas[0]
	client := backend.Client{HTTP: http.DefaultClient}
	began := time.Now()
	if stream, err = client.Generate(ctx, replica.Head.Address, generateRequest(replica, content)); err != nil {
		return 0, nil, err
	}
	defer stream.Close()
	var (
		first time.Duration
		gaps  []time.Duration
		last  time.Time
	)
	for !token.Done {
		if token, err = stream.Next(); err != nil {
			return 0, nil, err
		}
		now := time.Now()
		switch {
		case token.Done:
		case last.IsZero():
			first = now.Sub(began)
		default:
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	return first, gaps, nil
}

// generateRequest returns the request that an entry daemon would send to the head of replica.
func generateRequest(replica control.Replica, content string) backend.GenerateRequest {
	return backend.GenerateRequest{
		Request: content, Generation: replica.Generation, Model: replica.Model, Adapter: replica.Adapter, Version: replica.Version,
		Prompt: load.Prompt(content), MaxTokens: overheadTokens,
	}
}

// serve publishes a sheet of deployments and waits until all their replicas serve.
func serve(ctx context.Context, system *demo.System, deployments []fleet.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var (
		result operator.ChangeResult
		err    error
	)
	if result, err = system.Change(ctx, 0, configuration.Record{Kind: configuration.KindSheet, Deployments: deployments}); err != nil {
		return err
	}
	if !result.Verdict.Accepted {
		return fmt.Errorf("sheet refused: %s", result.Verdict.Reason)
	}
	want := 0
	for _, d := range deployments {
		want += d.Replicas
	}
	return system.WaitServing(ctx, want)
}

// single returns a sheet with one deployment: one replica on one instance.
func single(domains []string) []fleet.Deployment {
	return []fleet.Deployment{{
		Name: "decoration", Kind: fleet.KindEngine, Model: "baker-70b", Version: "1", Replicas: 1, InstancesPerReplica: 1,
		FailureDomains: domains, Organisations: []string{"bakery"}, Priority: fleet.PriorityUrgent,
	}}
}

// record adds d to h.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only above one minute, longer than any duration in this experiment.
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

// times returns the percentiles of h.
func times(h *hdrhistogram.Histogram) Times {
	at := func(p float64) float64 { return (time.Duration(h.ValueAtPercentile(p)) * time.Microsecond).Seconds() }
	return Times{P50Seconds: at(50), P95Seconds: at(95), P99Seconds: at(99)}
}
