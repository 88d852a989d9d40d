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
	// phaseLength is how long the load runs in each phase.
	phaseLength = 5 * time.Second
	// formTimeout bounds the wait for replicas to form.
	formTimeout = 20 * time.Second
	// chatters is the number of callers of models.
	chatters = 6
	// orderers is the number of callers of the plain service.
	orderers = 2
	// tokensPerAnswer is the length of an answer.
	tokensPerAnswer = 24
	// effectBound is how soon an operator's decision must be in force.
	effectBound = 4 * time.Second
)

// A Phase is what callers got in one phase.
type Phase struct {
	Name string `json:"name"`
	load.Summary
}

// A Result is what a demo measured.
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

// Broken returns which promises the demo saw broken.
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
		{r.DomainOutInForceSeconds > effectBound.Seconds(), "a decision was in force too late"},
	} {
		if c.bad {
			out = append(out, c.name)
		}
	}
	return out
}

// A run is one demo on its way.
type run struct {
	system *System
	out    io.Writer
	result Result

	mu    sync.Mutex
	calls map[string]outcome.Outcome
}

// DefaultPlan returns the system that the demo runs: three failure domains of
// the bakers' supply utility.
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

// Sheet returns the deployments that the demo publishes: two replicas of two
// instances in each failure domain, and the plain service.
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

// Run runs the demo: it publishes a sheet, waits for replicas, calls models and
// the plain service before, during and after the absence of a failure domain,
// kills one member of a replica, and measures.
func Run(ctx context.Context, plan Plan, out io.Writer) (Result, error) {
	r := &run{out: out, calls: make(map[string]outcome.Outcome)}
	var err error
	if r.system, err = Start(plan); err != nil {
		return Result{}, err
	}
	if err = r.script(ctx); err == nil {
		r.count()
	}
	if stop := r.system.Stop(); err == nil {
		err = stop
	}
	return r.result, err
}

// script runs all phases.
func (r *run) script(ctx context.Context) error {
	domains := r.system.Plan.FailureDomains
	record := configuration.Record{Kind: configuration.KindSheet, Deployments: Sheet(domains)}
	if err := r.change(ctx, "sheet published", record); err != nil {
		return err
	}
	all := 3 * len(domains)
	if err := r.serving(ctx, all); err != nil {
		return err
	}
	r.phase(ctx, "before")
	out := domains[1]
	asked := time.Now()
	if err := r.change(ctx, "failure domain "+out+" taken out", configuration.Record{Kind: configuration.KindDomainOut, Target: out}); err != nil {
		return err
	}
	r.result.DomainOutInForceSeconds = time.Since(asked).Seconds()
	worked := r.generated(out)
	r.phase(ctx, "during")
	r.result.WorkAfterDomainOut = r.generated(out) - worked
	r.cool(out)
	if err := r.change(ctx, "failure domain "+out+" returned, with cold engines", configuration.Record{Kind: configuration.KindDomainIn, Target: out}); err != nil {
		return err
	}
	r.phase(ctx, "after")
	return r.loseMember(ctx)
}

// change asks for a change and reports it.
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
		return fmt.Errorf("%s: not in force: %+v", name, result)
	}
	r.say("%s, in force at %d daemons after %s", name, len(result.InForce), time.Since(began).Round(time.Millisecond))
	return nil
}

// cool makes the engines of a failure domain cold.
func (r *run) cool(domain string) {
	for _, e := range r.system.Engines {
		if e.Instance.FailureDomain == domain {
			e.Cool()
		}
	}
}

// count adds up what the system counted of itself.
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

// generated returns how many answers the engines of a failure domain began.
func (r *run) generated(domain string) int {
	total := 0
	for _, e := range r.system.Engines {
		if e.Instance.FailureDomain == domain {
			total += e.Counts().Begun
		}
	}
	return total
}

// loseMember crashes one member of a replica for good and measures until the
// replica answers again with a spare.
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
	if err = r.whole(ctx, status.Replicas[0].Name, status.Replicas[0].Generation); err != nil {
		return err
	}
	r.result.GroupDowntimeSeconds = time.Since(lost).Seconds()
	r.say("replica %s serves again %s after it lost %s", status.Replicas[0].Name, time.Since(lost).Round(time.Millisecond), victim)
	if status, err = r.system.Status(ctx, 0); err != nil {
		return err
	}
	// The lost member is out of service, not stranded.
	r.result.StrandedAccelerators = len(r.system.Engines) - 1 - serving(status)
	return nil
}

// serving returns how many instances belong to replicas that serve.
func serving(status operator.Status) int {
	n := 0
	for _, replica := range status.Replicas {
		n += len(replica.Members)
	}
	return n
}

// phase runs the load for a phase and keeps what callers got.
func (r *run) phase(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	var (
		report load.Report
		group  sync.WaitGroup
	)
	end := time.Now().Add(phaseLength)
	for n := range chatters + orderers {
		group.Go(func() { r.call(ctx, &report, name, n, end) })
	}
	group.Wait()
	p := Phase{Name: name, Summary: report.Summary()}
	r.result.Phases = append(r.result.Phases, p)
	r.say("%-7s %4d requests, %.2f%% whole, first token p50 %.0f ms, p95 %.0f ms", name, p.Requests, 100*p.SuccessRatio,
		1000*p.FirstTokenP50Seconds, 1000*p.FirstTokenP95Seconds)
}

// call makes the requests of one caller until end.
func (r *run) call(ctx context.Context, report *load.Report, phase string, n int, end time.Time) {
	caller := r.system.Caller("bakery", uint64(n))
	for i := 0; time.Now().Before(end); i++ {
		if n < chatters {
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

// say prints a line for people.
func (r *run) say(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }

// serving waits until want replicas serve.
func (r *run) serving(ctx context.Context, want int) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	began := time.Now()
	if err := r.system.WaitServing(ctx, want); err != nil {
		return err
	}
	r.say("%d replicas serve after %s", want, time.Since(began).Round(time.Millisecond))
	return nil
}

// whole waits until the replica of the given name serves with a generation after
// before.
func (r *run) whole(ctx context.Context, name string, before fleet.Generation) error {
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
	return fmt.Errorf("replica %s does not serve again: %w", name, ctx.Err())
}
