package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

const (
	// absencePhase is the duration of each phase.
	absencePhase = 4 * time.Second
	// absenceLoad is the offered load as a fraction of the capacity of all failure domains.
	absenceLoad = 0.85
	// absenceTokens is the number of tokens in each response.
	absenceTokens = 20
	// absenceSlots is the number of requests that a replica runs concurrently.
	absenceSlots = 4
	// urgentShare is the fraction of requests that go to the urgent deployment.
	urgentShare = 0.5
)

// An AbsencePhase summarises the requests to one deployment in one phase, over all seeds.
type AbsencePhase struct {
	Phase      string `json:"phase"`
	Deployment string `json:"deployment"`
	load.Summary
}

// An AbsenceRun is the result of the DomainAbsence experiment for one routing policy.
type AbsenceRun struct {
	Routing            string         `json:"routing"`
	Seeds              int            `json:"seeds"`
	Phases             []AbsencePhase `json:"phases"`
	WrongAnswers       int            `json:"wrong_answers"`
	InvariantViolation int64          `json:"invariant_violations"`
	MostWorkWhenCold   int            `json:"most_work_when_cold"`
	ColdLimit          int            `json:"cold_limit"`
	ColdOverLimit      int            `json:"cold_over_limit"`
}

// DomainAbsence runs a system at 85% of its capacity while a failure domain is taken out and then
// returned with cold engines. It repeats this with the same seeds for each routing policy.
func DomainAbsence(ctx context.Context, o Options) ([]AbsenceRun, error) {
	var runs []AbsenceRun
	for _, policy := range []string{"least_load", "prefix_affinity", "round_robin"} {
		run := AbsenceRun{Routing: policy, Seeds: o.Seeds}
		reports := make(map[string]*load.Report)
		for seed := range uint64(o.Seeds) {
			fmt.Fprintf(o.Out, "%s, seed %d\n", policy, seed+1)
			if err := run.runSeed(ctx, seed+1, reports); err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", policy, seed+1, err)
			}
		}
		for _, phase := range []string{"before", "during", "after"} {
			for _, d := range absenceSheet(nil)[:2] {
				p := AbsencePhase{Phase: phase, Deployment: d.Name, Summary: reports[phase+d.Name].Summary()}
				run.WrongAnswers += p.WrongAnswers
				run.Phases = append(run.Phases, p)
			}
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// absenceSheet returns an urgent and a draft deployment, each with two replicas of two instances per
// failure domain.
func absenceSheet(domains []string) []fleet.Deployment {
	sheet := demo.Sheet(domains)[:2]
	for i := range sheet {
		sheet[i].Replicas = 2 * len(domains)
		sheet[i].Organisations = []string{"bakery", "kiosk"}
	}
	return sheet
}

// runSeed runs all phases with one seed and adds the answers to reports.
func (r *AbsenceRun) runSeed(ctx context.Context, seed uint64, reports map[string]*load.Report) error {
	plan := demo.DefaultPlan()
	plan.Services = ""
	plan.Engine.Slots = absenceSlots
	plan.Adjust = func(s *settings.Settings) { s.Policy.Routing = r.Routing }
	r.ColdLimit = plan.Engine.ColdLimit
	var (
		system *demo.System
		err    error
	)
	if system, err = demo.Start(plan); err != nil {
		return err
	}
	if err = serve(ctx, system, absenceSheet(plan.FailureDomains)); err == nil {
		err = r.phases(ctx, system, seed, reports)
	}
	for _, e := range system.Engines {
		counts := e.Counts()
		r.MostWorkWhenCold = max(r.MostWorkWhenCold, counts.MostWhenCold)
		r.ColdOverLimit += counts.OverLimit
	}
	r.InvariantViolation += system.Violations()
	return errors.Join(err, system.Stop())
}

// phases runs the load before, during and after the absence of a failure domain.
func (r *AbsenceRun) phases(ctx context.Context, system *demo.System, seed uint64, reports map[string]*load.Report) error {
	domain := system.Plan.FailureDomains[1]
	// The engines are warmed up first, so that the absent domain is the only difference between phases.
	r.load(ctx, system, seed, "warm", make(map[string]*load.Report))
	r.load(ctx, system, seed, "before", reports)
	if err := changeDomain(ctx, system, configuration.KindDomainOut, domain); err != nil {
		return err
	}
	r.load(ctx, system, seed, "during", reports)
	for _, e := range system.Engines {
		if e.Instance.FailureDomain == domain {
			e.Cool()
		}
	}
	if err := changeDomain(ctx, system, configuration.KindDomainIn, domain); err != nil {
		return err
	}
	r.load(ctx, system, seed, "after", reports)
	return nil
}

// changeDomain submits a change of target as an operator. It fails unless the change is in force at all
// daemons.
func changeDomain(ctx context.Context, system *demo.System, kind configuration.Kind, target string) error {
	var (
		result operator.ChangeResult
		err    error
	)
	if result, err = system.Change(ctx, 0, configuration.Record{Kind: kind, Target: target}); err != nil {
		return err
	}
	if len(result.NotInForce) > 0 {
		return fmt.Errorf("%s %s is not in force at %v", kind, target, result.NotInForce)
	}
	return nil
}

// load sends requests to both deployments for one phase, with exponentially distributed times between
// them. The mean rate is absenceLoad of the capacity of all failure domains.
func (r *AbsenceRun) load(ctx context.Context, system *demo.System, seed uint64, phase string, reports map[string]*load.Report) {
	random := rand.New(rand.NewPCG(seed, 3))
	caller := system.Caller("bakery", seed)
	engine := system.Plan.Engine
	service := engine.FirstToken + absenceTokens*engine.TokenInterval
	replicas := 2 * len(system.Plan.FailureDomains) * 2
	rate := absenceLoad * float64(replicas*absenceSlots) / service.Seconds()
	var group sync.WaitGroup
	end := time.Now().Add(absencePhase)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		name, adapter := "catalogue", "wholesale"
		if random.Float64() < urgentShare {
			name, adapter = "decoration", ""
		}
		report := reports[phase+name]
		if report == nil {
			report = &load.Report{}
			reports[phase+name] = report
		}
		content := fmt.Sprintf("%s %d %d", phase, seed, n)
		want := standin.Answer("baker-70b", adapter, "1", load.Prompt(content), absenceTokens)
		group.Go(func() { report.Add(caller.Chat(ctx, name, content, absenceTokens), want) })
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
}
