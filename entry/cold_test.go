package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/standin"
)

func TestColdReplicasAreServedThroughTheirDirector(t *testing.T) {
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric, plan.DaemonsPerDomain = failureDomains[:1], 1, 2, 3
	plan.Engine.WarmAfter = 1000
	sheet := demo.Sheet(plan.FailureDomains)[:1]
	sheet[0].Replicas = 1
	s := startPlan(t, plan, sheet, 1)
	var group sync.WaitGroup
	for n := range 9 {
		group.Go(func() {
			caller := s.Caller("bakery", uint64(n))
			caller.Addresses = []string{s.Daemons[n%3].Settings.Listen.Callers}
			caller.Pinned = true
			answer := caller.Chat(t.Context(), "decoration", fmt.Sprintf("cold %d", n), 6)
			requireCompleteAnswer(t, answer, fmt.Sprintf("cold %d", n), 6)
		})
	}
	group.Wait()
	counts := s.Engines[0].Counts()
	require.LessOrEqual(t, counts.MostWhenCold, plan.Engine.ColdLimit)
	require.Zero(t, counts.OverLimit)
}

func TestServerTurnedColdUnannounced(t *testing.T) {
	plan := demo.DefaultPlan()
	plan.FailureDomains, plan.FabricsPerDomain, plan.EnginesPerFabric, plan.DaemonsPerDomain = failureDomains[:1], 1, 4, 3
	plan.Engine.WarmthLag, plan.Engine.ColdGrace, plan.Engine.WarmAfter = 3*time.Second, 750*time.Millisecond, 20
	plan.Engine.ColdFactor = 5
	sheet := demo.Sheet(plan.FailureDomains)[:1]
	s := startPlan(t, plan, sheet, 2)
	warmReplicas(t, s)
	var group sync.WaitGroup
	reports := make([]load.Report, 9)
	stop := make(chan struct{})
	for n := range reports {
		group.Go(func() { sendBackgroundLoad(t, s, n, &reports[n], stop) })
	}
	time.Sleep(3 * time.Second)
	engine := busyEngine(s)
	engine.Cool()
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	require.Zero(t, engine.Counts().OverLimit, "%+v", engine.Counts())
	for n := range reports {
		summary := reports[n].Summary()
		require.InDelta(t, 1, summary.SuccessRatio, 0, "%+v", summary)
	}
}

// busyEngine returns an engine that is running requests, or the first engine if none is.
func busyEngine(s *demo.System) *standin.Engine {
	for _, e := range s.Engines {
		if e.Running() > 0 {
			return e
		}
	}
	return s.Engines[0]
}
