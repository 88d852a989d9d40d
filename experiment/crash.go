package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/standin"
)

const (
	// resends is the number of times the marked request is sent.
	resends = 20
	// bystanders is the number of callers whose ordinary requests share batches with the marked request.
	bystanders = 6
)

// A CrashResult reports the damage done by a request that crashes every engine that runs it.
type CrashResult struct {
	Resends            int          `json:"resends"`
	EnginesCrashed     int          `json:"engines_crashed"`
	MarkedRefused      int          `json:"marked_refused"`
	BystandersRefused  int          `json:"bystanders_refused"`
	Bystanders         load.Summary `json:"bystanders"`
	InvariantViolation int64        `json:"invariant_violations"`
}

// CrashRequest resends a request that crashes engines through each entry instance in turn, while the
// requests of other callers share its batches.
func CrashRequest(ctx context.Context, _ Options) (CrashResult, error) {
	var (
		system *demo.System
		result CrashResult
		err    error
	)
	if system, err = demo.Start(demo.DefaultPlan()); err != nil {
		return result, err
	}
	if err = serve(ctx, system, demo.Sheet(system.Plan.FailureDomains)[:2]); err == nil {
		result = crashRequest(ctx, system)
	}
	return result, errors.Join(err, system.Stop())
}

// crashRequest runs the experiment on system.
func crashRequest(ctx context.Context, system *demo.System) CrashResult {
	var (
		report load.Report
		group  sync.WaitGroup
	)
	stop := make(chan struct{})
	for n := range bystanders {
		group.Go(func() { sendOrdinary(ctx, system, n, &report, stop) })
	}
	time.Sleep(2 * time.Second)
	result := CrashResult{Resends: resends}
	for n := range resends {
		caller := system.Caller("kiosk", uint64(n))
		caller.Addresses = []string{system.Daemons[n%len(system.Daemons)].Settings.Listen.Callers}
		if answer := caller.Chat(ctx, "decoration", system.Plan.Engine.CrashMark, 8); !answer.Whole {
			result.MarkedRefused++
		}
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	for _, e := range system.Engines {
		result.EnginesCrashed += e.Counts().Crashes
	}
	result.Bystanders = report.Summary()
	result.BystandersRefused = result.Bystanders.Requests - result.Bystanders.WholeAnswers
	result.InvariantViolation = system.Violations()
	return result
}

// sendOrdinary sends requests without the crash mark until stop is closed.
func sendOrdinary(ctx context.Context, system *demo.System, n int, report *load.Report, stop <-chan struct{}) {
	caller := system.Caller("bakery", uint64(n))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		content := fmt.Sprintf("bystander %d %d", n, i)
		report.Add(caller.Chat(ctx, "decoration", content, 24), standin.Answer("baker-70b", "", "1", load.Prompt(content), 24))
	}
}
