package formation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestOrdersThatAreNotSent guards against a server in two replicas (TWO), and against slow repairs, when the orders of some steps
// are not sent, as the leader's lease has run out: the next step orders the same again, and nobody is blamed.
func TestOrdersThatAreNotSent(t *testing.T) {
	for _, steps := range []int{1, 3, 10} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			unsentTime := time.Duration(steps) * step
			sim := newServingSimulation(t, "large")
			head, others := sim.head("large")
			group := sim.actual[head].Member.Group
			until := sim.now + unsentTime
			sim.unsent = func(formation.Order) bool { return sim.now < until }
			countAsDead(sim, others[0])
			sim.run(unsentTime)
			require.Equal(t, site.Open, sim.actual[head].Member.State, "nothing has stopped the head")
			for sim.open()["large"] == 0 || sim.actual[head].Member.Group == group {
				require.Less(t, sim.now-until, 1700*time.Millisecond, "until the others serve again")
				sim.run(step)
			}
		})
	}
}

// TestListIsNoProofOfAClose guards against a server in two replicas (TWO): the orders to stop a head have no answer, and the
// list shows the head as it was before it opened.
func TestListIsNoProofOfAClose(t *testing.T) {
	for _, tc := range []struct {
		name  string
		shown site.MemberState
	}{{"ready", site.Ready}, {"joining", site.Joining}} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newServingSimulation(t, "large")
			head, others := sim.head("large")
			sim.unanswered = func(o formation.Order) bool { return o.Action == formation.Preempt }
			countAsDead(sim, others[0])
			sim.run(step)
			require.Equal(t, head, sim.lastOrder(formation.Preempt).Server)
			sim.showEarlier(head, sim.actual[head].Member.Group, tc.shown)
			// The simulation checks every join.
			sim.run(3 * time.Second)
			delete(sim.frozen, head)
			sim.unanswered = nil
			sim.run(10 * time.Second)
			require.Equal(t, 1, sim.open()["large"], "the others should serve again")
		})
	}
}

// TestHeadListedWhereItWasBefore guards against a head that is ordered out of its open replica (TWO): a new leader reads a list
// that shows the head in the replica that it was in before, for which the head declines all orders.
func TestHeadListedWhereItWasBefore(t *testing.T) {
	for _, tc := range []struct {
		name    string
		group   string
		shown   site.MemberState
		traffic bool
	}{
		{"ready", "small/1/0", site.Ready, true},
		{"open", "small/1/0", site.Open, true},
		{"broken", "small/1/0", site.Broken, true},
		{"in_none", "", site.Unassigned, true},
		{"ready_before_callers_come", "small/1/0", site.Ready, false},
		{"in_none_before_callers_come", "", site.Unassigned, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newServingSimulation(t, "small")
			sim.fleet.TrafficStarted = tc.traffic
			head, _ := sim.head("large")
			sim.showEarlier(head, tc.group, tc.shown)
			sim.changeLeader()
			// The simulation checks every join.
			sim.run(3 * time.Second)
			delete(sim.frozen, head)
			sim.run(15 * time.Second)
			require.NotEmpty(t, sim.open())
		})
	}
}

// TestReportsFromBeforeTheTerm guards against a server in two replicas (TWO): what it reported before the term began says nothing
// of what the leader before has ordered since.
func TestReportsFromBeforeTheTerm(t *testing.T) {
	const start = time.Minute
	fleet := formation.Fleet{Engine: engine, TrafficStarted: true, Servers: make(map[string]site.Server)}
	for _, id := range []string{"a", "b"} {
		fleet.Servers[id] = site.Server{ID: id, FabricDomain: "rack", Born: 1, Staged: []string{"small"}}
	}
	planner := formation.New(2, start)
	report := func(askedAt time.Duration) {
		for _, server := range fleet.Servers {
			planner.RecordReport(askedAt, server)
		}
	}
	report(start - step)
	require.Empty(t, planner.Step(start+2*time.Second, fleet))
	require.Len(t, planner.UnconfirmedServers(), 2, "they are asked again")
	report(start + 2*time.Second)
	require.Len(t, planner.Step(start+2*time.Second+step, fleet), 2)
}

// TestStopsBesideAnOrderToOpen guards against members that join another replica while their head is open (TWO): it declines to
// stop before it carries out an order to open that is on its way, or while it forms its replica, and the answer comes later.
func TestStopsBesideAnOrderToOpen(t *testing.T) {
	for _, tc := range []struct {
		name             string
		open, stopAnswer time.Duration
	}{
		{"open_is_on_its_way", 1800 * time.Millisecond, 0},
		{"answer_is_late", 0, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newServingSimulation(t, "large")
			sim.formTime = engine.Form
			head, others := sim.head("large")
			countAsDead(sim, others[0])
			for sim.fleet.Servers[head].Member.State == site.Open {
				sim.run(step)
			}
			sim.deliveryTime = func(o formation.Order) time.Duration {
				return map[formation.Action]time.Duration{formation.Open: tc.open, formation.Join: 500 * time.Millisecond}[o.Action]
			}
			sim.answerTime = func(o formation.Order) time.Duration {
				return map[formation.Action]time.Duration{formation.Preempt: tc.stopAnswer}[o.Action]
			}
			delete(sim.fleet.Dead, others[0])
			for before := len(sim.orders); !slices.ContainsFunc(sim.orders[before:], func(o formation.Order) bool { return o.Action == formation.Open }); {
				sim.run(step)
			}
			countAsDead(sim, others[0])
			// The simulation checks every join.
			sim.run(4 * time.Second)
		})
	}
}

// newServingSimulation returns a simulation of one fabric domain with a large replica that serves and a server that belongs to none
// and has spare on its host, under traffic.
func newServingSimulation(t *testing.T, spare string) *simulation {
	sim := newSimulation(t, 1, 5)
	sim.run(8 * time.Second)
	sim.stageIdle(spare)
	sim.fleet.TrafficStarted = true
	return sim
}

// showEarlier makes the list show a server as it was in a replica before, with the small model on its host.
func (sim *simulation) showEarlier(id, group string, state site.MemberState) {
	s := sim.actual[id]
	if s.Member.Group != group {
		s.Member = site.Membership{Group: group, Epoch: s.Member.Epoch - 1}
	}
	if s.Member.State, s.Staged = state, []string{"small"}; group == "" {
		s.Member = site.Membership{}
	}
	sim.fleet.Servers[id], sim.frozen[id] = s, true
}

// TestRandomDeliveries guards against servers in two open replicas (TWO) when orders take their time to arrive and overtake each
// other, as a slow leader sends them, while members count as dead and are doubted to be.
func TestRandomDeliveries(t *testing.T) {
	histories.Limit(t, scaleHistories)
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, 2, rapid.IntRange(8, 9).Draw(rt, "size"))
		sim.run(8 * time.Second)
		sim.stageIdle(rapid.SampledFrom([]string{"small", "large"}).Draw(rt, "spares"))
		sim.fleet.TrafficStarted, sim.reports = true, rapid.Bool().Draw(rt, "reports")
		sim.formTime = time.Duration(rapid.IntRange(0, 3).Draw(rt, "form")) * step
		sim.lag = time.Duration(rapid.IntRange(0, 8).Draw(rt, "lag")) * step
		slow := rapid.IntRange(0, 25).Draw(rt, "slow")
		sim.deliveryTime = func(formation.Order) time.Duration {
			return time.Duration(rapid.IntRange(0, slow).Draw(rt, "delivery")) * step
		}
		for n := range rapid.IntRange(1, 12).Draw(rt, "events") {
			if rapid.IntRange(0, 2).Draw(rt, "event") == 0 {
				sim.randomEvent(rt, n)
				continue
			}
			sim.randomDoubt(rt)
		}
		sim.deliveryTime = nil
		sim.run(30 * time.Second)
		require.NotEmpty(t, sim.open())
	})
}
