package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

const (
	// phaseLength is the duration of the load in each phase.
	phaseLength = 5 * time.Second
	// formTimeout limits the wait for replicas to form, and the duration of a phase.
	formTimeout = 20 * time.Second
	// chatCallers is the number of callers that send chat requests.
	chatCallers = 6
	// serviceCallers is the number of callers of the plain service.
	serviceCallers = 2
	// tokensPerAnswer is the number of tokens in each chat response.
	tokensPerAnswer = 24
	// maxEffectDelay is the longest time allowed until an operator's change is in force.
	maxEffectDelay = 4 * time.Second
)

// A Phase summarises the requests of one phase.
type Phase struct {
	Name string `json:"name"`
	load.Summary
}

// A Result holds the measurements of a demo.
type Result struct {
	Requests                  int     `json:"requests"`
	WholeAnswers              int     `json:"whole_answers"`
	WrongAnswers              int     `json:"wrong_answers"`
	NotRun                    int     `json:"not_run"`
	Unknown                   int     `json:"unknown"`
	RepeatedNonIdempotentRuns int     `json:"repeated_non_idempotent_runs"`
	FalseNotRun               int     `json:"false_not_run"`
	InvariantViolations       int64   `json:"invariant_violations"`
	ColdOverLimit             int     `json:"cold_over_limit"`
	StaleOrders               int     `json:"stale_orders"`
	GroupDowntimeSeconds      float64 `json:"group_downtime_seconds"`
	StrandedAccelerators      int     `json:"stranded_accelerators"`
	WorkAfterDomainOut        int     `json:"work_after_domain_out"`
	DomainOutInForceSeconds   float64 `json:"domain_out_in_force_seconds"`
	Phases                    []Phase `json:"phases"`
}

// Broken returns a description of each guarantee that was violated during the demo.
func (r Result) Broken() []string {
	var out []string
	for _, c := range []struct {
		bad  bool
		name string
	}{
		{r.WrongAnswers > 0, "wrong answers"},
		{r.RepeatedNonIdempotentRuns > 0, "non-idempotent calls run twice"},
		{r.FalseNotRun > 0, "calls said not to have run that ran"},
		{r.InvariantViolations > 0, "violations counted by the daemons"},
		{r.ColdOverLimit > 0, "cold engines overloaded"},
		{r.StaleOrders > 0, "orders of an earlier director accepted"},
		{r.WorkAfterDomainOut > 0, "work given to a failure domain that was out"},
		{r.WholeAnswers == 0, "no whole answers"},
		{r.DomainOutInForceSeconds > maxEffectDelay.Seconds(), "a decision was in force too late"},
	} {
		if c.bad {
			out = append(out, c.name)
		}
	}
	return out
}

// A run is the state of a demo in progress. calls holds the outcome that the caller saw for each call
// of the plain service, by idempotency key.
type run struct {
	system *System
	out    io.Writer
	result Result

	mu    sync.Mutex
	calls map[string]outcome.Outcome
}

// DefaultPlan returns the plan of the demo: a fictitious supply utility for bakers, with three failure
// domains.
func DefaultPlan() Plan {
	return Plan{
		FailureDomains:   []string{"bayangol", "sukhbaatar", "khan-uul"},
		FabricsPerDomain: 2,
		EnginesPerFabric: 5,
		DaemonsPerDomain: 1,
		Services:         "ordering",
		Organisations:    []string{"bakery", "kiosk"},
		Engine:           standin.DefaultEngineSettings(),
	}
}

// Sheet returns the deployments that the demo publishes. Per failure domain, these are two replicas of
// decoration and one of catalogue, each of two instances, and the plain service.
func Sheet(domains []string) []fleet.Deployment {
	return []fleet.Deployment{
		{
			Name: "decoration", Kind: fleet.KindEngine, Model: "baker-70b", Version: "1", Replicas: 2 * len(domains),
			InstancesPerReplica: 2, FailureDomains: domains, Organisations: []string{"bakery", "kiosk"}, Priority: fleet.PriorityUrgent,
		},
		{
			Name: "catalogue", Kind: fleet.KindEngine, Model: "baker-70b", Adapter: "wholesale", Version: "1", Replicas: len(domains),
			InstancesPerReplica: 2, FailureDomains: domains, Organisations: []string{"bakery"}, Priority: fleet.PriorityDraft,
		},
		{
			Name: "ordering", Kind: fleet.KindService, FailureDomains: domains, Organisations: []string{"bakery", "kiosk"},
			Priority: fleet.PriorityUrgent,
		},
	}
}

// Run runs the demo and returns its measurements. It publishes a sheet, waits until the replicas serve,
// and calls a model and the plain service before, during and after the absence of a failure domain.
// Finally it crashes one member of a replica and waits until the replica is formed again.
func Run(ctx context.Context, plan Plan, out io.Writer) (Result, error) {
	r := &run{out: out, calls: make(map[string]outcome.Outcome)}
	var err error
	if r.system, err = Start(plan); err != nil {
		return Result{}, err
	}
	if err = r.runSteps(ctx); err == nil {
		r.count()
	}
	if stop := r.system.Stop(); err == nil {
		err = stop
	}
	return r.result, err
}

// runSteps runs the phases of the demo and the changes between them.
func (r *run) runSteps(ctx context.Context) error {
	domains := r.system.Plan.FailureDomains
	record := configuration.Record{Kind: configuration.KindSheet, Deployments: Sheet(domains)}
	if err := r.change(ctx, "sheet published", record); err != nil {
		return err
	}
	all := 3 * len(domains)
	if err := r.waitServing(ctx, all); err != nil {
		return err
	}
	r.phase(ctx, "before")
	out := domains[1]
	asked := time.Now()
	if err := r.change(ctx, "failure domain "+out+" taken out", configuration.Record{Kind: configuration.KindDomainOut, Target: out}); err != nil {
		return err
	}
	r.result.DomainOutInForceSeconds = time.Since(asked).Seconds()
	begunBefore := r.generationsBegun(out)
	r.phase(ctx, "during")
	r.result.WorkAfterDomainOut = r.generationsBegun(out) - begunBefore
	r.cool(out)
	if err := r.change(ctx, "failure domain "+out+" returned, with cold engines", configuration.Record{Kind: configuration.KindDomainIn, Target: out}); err != nil {
		return err
	}
	r.phase(ctx, "after")
	return r.loseMember(ctx)
}

// change submits record as an operator and prints how long it took. It fails unless the change is
// accepted and in force at all daemons.
func (r *run) change(ctx context.Context, name string, record configuration.Record) error {
	began := time.Now()
	var (
		result operator.ChangeResult
		err    error
	)
	if result, err = r.system.Change(ctx, 0, record); err != nil {
		return err
	}
	if !result.Verdict.Accepted || len(result.NotInForce) > 0 {
		return fmt.Errorf("%s: change refused or not in force at all daemons: %+v", name, result)
	}
	r.printf("%s, in force at %d daemons after %s", name, len(result.InForce), time.Since(began).Round(time.Millisecond))
	return nil
}

// cool resets the engines of a failure domain to the cold state.
func (r *run) cool(domain string) {
	for _, e := range r.system.Engines {
		if e.Instance.FailureDomain == domain {
			e.Cool()
		}
	}
}

// count adds the totals of all phases and the counters of the stand-ins and daemons to the result.
func (r *run) count() {
	for _, p := range r.result.Phases {
		r.result.Requests += p.Requests
		r.result.WholeAnswers += p.WholeAnswers
		r.result.WrongAnswers += p.WrongAnswers
		r.result.NotRun += p.NotRun
		r.result.Unknown += p.Unknown
	}
	for key, o := range r.calls {
		runs := r.system.Ledger.Runs(key)
		if runs > 1 {
			r.result.RepeatedNonIdempotentRuns++
		}
		if o == outcome.NotRun && runs > 0 {
			r.result.FalseNotRun++
		}
	}
	for _, e := range r.system.Engines {
		counts := e.Counts()
		r.result.ColdOverLimit += counts.OverLimit
		r.result.StaleOrders += counts.StaleOrders
	}
	r.result.InvariantViolations = r.system.Violations()
}

// generationsBegun returns the number of generations that the engines of a failure domain have begun.
func (r *run) generationsBegun(domain string) int {
	total := 0
	for _, e := range r.system.Engines {
		if e.Instance.FailureDomain == domain {
			total += e.Counts().Begun
		}
	}
	return total
}

// loseMember crashes one member of a replica for the rest of the demo, and measures the time until the
// replica serves again with a spare instance in its place.
func (r *run) loseMember(ctx context.Context) error {
	var (
		status operator.Status
		err    error
	)
	if status, err = r.system.Status(ctx, 0); err != nil {
		return err
	}
	victim := status.Replicas[0].Members[1]
	for _, e := range r.system.Engines {
		if e.Instance.Name == victim {
			e.CrashFor(time.Hour)
		}
	}
	lost := time.Now()
	if err = r.waitReformed(ctx, status.Replicas[0].Name, status.Replicas[0].Generation); err != nil {
		return err
	}
	r.result.GroupDowntimeSeconds = time.Since(lost).Seconds()
	r.printf("replica %s serves again %s after it lost %s", status.Replicas[0].Name, time.Since(lost).Round(time.Millisecond), victim)
	if status, err = r.system.Status(ctx, 0); err != nil {
		return err
	}
	// The crashed member is out of service, so it does not count as stranded.
	r.result.StrandedAccelerators = len(r.system.Engines) - 1 - servingInstances(status)
	return nil
}

// servingInstances returns the number of instances that belong to serving replicas.
func servingInstances(status operator.Status) int {
	n := 0
	for _, replica := range status.Replicas {
		n += len(replica.Members)
	}
	return n
}

// phase runs the load for one phase and adds its summary to the result.
func (r *run) phase(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	var (
		report load.Report
		group  sync.WaitGroup
	)
	end := time.Now().Add(phaseLength)
	for n := range chatCallers + serviceCallers {
		group.Go(func() { r.runCaller(ctx, &report, name, n, end) })
	}
	group.Wait()
	p := Phase{Name: name, Summary: report.Summary()}
	r.result.Phases = append(r.result.Phases, p)
	r.printf("%-7s %4d requests, %.2f%% whole, first token p50 %.0f ms, p95 %.0f ms", name, p.Requests, 100*p.SuccessRatio,
		1000*p.FirstTokenP50Seconds, 1000*p.FirstTokenP95Seconds)
}

// runCaller sends the requests of the n-th caller until end. The first chatCallers callers send chat
// requests, the others call the plain service.
func (r *run) runCaller(ctx context.Context, report *load.Report, phase string, n int, end time.Time) {
	caller := r.system.Caller("bakery", uint64(n))
	for i := 0; time.Now().Before(end); i++ {
		if n < chatCallers {
			content := fmt.Sprintf("%s %d %d", phase, n, i)
			want := standin.Answer("baker-70b", "", "1", load.Prompt(content), tokensPerAnswer)
			report.Add(caller.Chat(ctx, "decoration", content, tokensPerAnswer), want)
			continue
		}
		key := fmt.Sprintf("%s-%d-%d", phase, n, i)
		header := http.Header{"Idempotency-Key": {key}, "Stand-In-Call": {key}}
		answer := caller.Service(ctx, http.MethodPost, "ordering", "/orders", header, []byte(`{"item":"fondant"}`))
		r.mu.Lock()
		r.calls[key] = answer.Outcome
		r.mu.Unlock()
		report.Add(answer, "")
	}
}

// printf writes a line of progress output.
func (r *run) printf(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }

// waitServing waits until want replicas serve, and prints how long it took.
func (r *run) waitServing(ctx context.Context, want int) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	began := time.Now()
	if err := r.system.WaitServing(ctx, want); err != nil {
		return err
	}
	r.printf("%d replicas serve after %s", want, time.Since(began).Round(time.Millisecond))
	return nil
}

// waitReformed waits until the named replica serves with a generation later than before.
func (r *run) waitReformed(ctx context.Context, name string, before fleet.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if status, err := r.system.Status(ctx, 0); err == nil {
			for _, replica := range status.Replicas {
				if replica.Name == name && before.Less(replica.Generation) {
					return nil
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("replica %s did not return to service: %w", name, ctx.Err())
}
