package formation_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

func ExamplePlanner() {
	planner := formation.New(7, 0)
	fleet := formation.Fleet{Engine: engine, Servers: map[string]site.Server{
		"a": {ID: "a", FabricDomain: "rack"}, "b": {ID: "b", FabricDomain: "rack"},
	}}
	planner.Step(0, fleet)
	for _, o := range planner.Step(3*time.Second, fleet) {
		fmt.Println(o.Action, o.Server, o.Group, o.Epoch, o.Members)
	}
	// Output:
	// join a small/7/1 7000001 [a b]
	// join b small/7/1 7000001 [a b]
}

func TestAllServersServeBeforeCallersCome(t *testing.T) {
	b := newBench(t, 6, 8)
	b.run(8 * time.Second)
	require.Equal(t, map[string]int{"large": 8, "small": 8}, b.open())
	for id, s := range b.actual {
		require.NotContains(t, s.Staged, formation.ModelOf(s.Member.Group), "server %s holds the model that it does not run", id)
	}
}

func TestLostMember(t *testing.T) {
	for _, tc := range []struct {
		name  string
		model string
		head  bool
		want  int
	}{
		{"member_of_large", "large", false, 16},
		{"head_of_large", "large", true, 16},
		{"member_of_small", "small", false, 15},
		{"head_of_small", "small", true, 15},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, 6, 8)
			b.run(8 * time.Second)
			b.fleet.TrafficStarted = true
			head, others := b.head(tc.model)
			if lost := others[0]; tc.head {
				b.lose(head)
			} else {
				b.lose(lost)
			}
			b.run(12 * time.Second)
			open := b.open()
			require.GreaterOrEqual(t, open["large"]+open["small"], tc.want-1, "the survivors serve again")
		})
	}
}

// TestOpenedHeadThatTheListShowsReady is seed 646567285861 of scale-1: a head that
// the list stands still for was opened, then lost a member.
func TestOpenedHeadThatTheListShowsReady(t *testing.T) {
	b := newBench(t, 1, 3)
	// The term began a second ago, so that the list has caught up.
	b.planner = formation.New(1, -time.Second)
	b.cut["s0-0"] = true
	b.fleet.TrafficStarted = true
	for id, s := range b.actual {
		s.Staged = []string{"small"}
		b.actual[id], b.fleet.Servers[id] = s, s
	}
	b.run(time.Second)
	s := b.actual["s0-0"]
	s.Member.State = site.Ready
	b.fleet.Servers["s0-0"] = s
	b.run(2 * time.Second)
	require.Equal(t, map[string]int{"small": 1}, b.open())
	b.lose("s0-1")
	b.run(3 * time.Second)
	delete(b.cut, "s0-0")
	b.run(15 * time.Second)
	require.Equal(t, map[string]int{"small": 1}, b.open())
}

// TestMembersCutOffFromTheStore is the pattern of scale-1 of the grown utility: entries of
// members lapse that answer all the same, and are back after a few seconds.
func TestMembersCutOffFromTheStore(t *testing.T) {
	b := newBench(t, 6, 8)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	b.fleet.CutOff = make(map[string]bool)
	before, given := b.open(), len(b.given)
	large, others := b.head("large")
	small, _ := b.head("small")
	for _, id := range []string{large, small, others[0], others[1]} {
		b.cut[id], b.fleet.CutOff[id] = true, true
	}
	b.run(3 * time.Second)
	require.Equal(t, before, b.open(), "replicas stay as they are")
	require.Len(t, b.given, given, "nothing is ordered")
	b.cut, b.fleet.CutOff = make(map[string]bool), make(map[string]bool)
	b.run(3 * time.Second)
	require.Equal(t, before, b.open())
}

// TestSilentServersAreNotUsed takes the replica of silent members apart when its head has
// started again, and gives the silent ones nothing to do: nobody sees whether they do it.
func TestSilentServersAreNotUsed(t *testing.T) {
	b := newBench(t, 1, 4)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	head, others := b.head("large")
	silent := others[:2]
	b.fleet.CutOff = make(map[string]bool)
	for _, id := range silent {
		b.cut[id], b.fleet.CutOff[id] = true, true
	}
	s := b.actual[head]
	s.Born, s.Member, s.Staged = s.Born+1, site.Membership{}, nil
	b.actual[head], b.fleet.Servers[head], b.fleet.LastModel[head] = s, s, ""
	given := len(b.given)
	b.run(15 * time.Second)
	for _, o := range b.given[given:] {
		require.False(t, slices.Contains(silent, o.Server) && (o.Action == formation.Join || o.Action == formation.Stage), "%v", o)
	}
}

func TestServersOfDomainsThatAreOutAreLeftAlone(t *testing.T) {
	b := newBench(t, 2, 4)
	b.fleet.OutOfService["zone"] = true
	b.run(8 * time.Second)
	require.Empty(t, b.given)
}

// TestScarceModel is the pattern of scale-1: as servers are lost one by one, the
// small model must not use up those that the large one needs.
func TestScarceModel(t *testing.T) {
	b := newBench(t, 6, 8)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	b.fleet.Demand = map[string]float64{"large": 4.7, "small": 5.2}
	for n := range 9 {
		head, others := b.head([]string{"large", "large", "small"}[n%3])
		if n%2 == 0 {
			b.lose(head)
		} else {
			b.lose(others[0])
		}
		b.run(3 * time.Second)
	}
	b.run(15 * time.Second)
	open := b.open()
	require.GreaterOrEqual(t, open["large"], 5)
	require.GreaterOrEqual(t, open["small"], 5)
}

// TestReplicasMakeRoomTogether is the end of a day like scale-2 on which every loss hit
// one model: none of its replicas is left, no server is free, and one replica of the
// other model alone does not make up one.
func TestReplicasMakeRoomTogether(t *testing.T) {
	for _, tc := range []struct {
		name         string
		model, other string
		demand       map[string]float64
		want         map[string]int
	}{
		{"two_small_for_a_large", "small", "large", map[string]float64{"large": 0.4, "small": 1.8}, map[string]int{"large": 1, "small": 6}},
		{"a_large_for_two_small", "large", "small", map[string]float64{"large": 1.8, "small": 0.4}, map[string]int{"large": 3, "small": 1}},
		{"nobody_asks_for_the_other", "small", "large", map[string]float64{"small": 7.5}, map[string]int{"small": 8}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, 2, 8)
			b.serveOnly(tc.model, tc.other)
			b.fleet.Demand = tc.demand
			b.run(30 * time.Second)
			require.Equal(t, tc.want, b.open())
			before := len(b.given)
			b.run(30 * time.Second)
			for _, o := range b.given[before:] {
				require.NotEqual(t, formation.Close, o.Action, "replicas are not closed back and forth")
			}
		})
	}
}

// TestLateJoin is seed 35765751587 of trouble-1 of the observatory: an order to join
// that had no answer is carried out after its server's old replica opened again.
func TestLateJoin(t *testing.T) {
	b := newBench(t, 1, 8)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	b.unanswered = func(o formation.Order) bool {
		return o.Action == formation.Join && o.Server == o.Members[len(o.Members)-1]
	}
	head, _ := b.head("large")
	b.lose(head)
	b.run(40 * time.Second)
	b.unanswered = nil
	b.run(20 * time.Second)
	require.NotEmpty(t, b.open())
}

// TestLateOrdersAfterLeaving is rapid's seed 3 at 2,000 histories: a head left its replica
// and is to join another one, while orders to join and to open the old one, which were repeated
// as they had no answer, are carried out late.
func TestLateOrdersAfterLeaving(t *testing.T) {
	b := newBench(t, 1, 5)
	b.fleet.Demand = map[string]float64{"large": 0.01, "small": 0.99}
	for _, id := range slices.Sorted(maps.Keys(b.actual)) {
		s := b.actual[id]
		s.Staged = []string{"small"}
		b.actual[id], b.fleet.Servers[id] = s, s
	}
	b.fleet.TrafficStarted = true
	given := make(map[string]int)
	var lost time.Duration
	b.unanswered = func(o formation.Order) bool {
		if lost == 0 {
			key := fmt.Sprint(o.Server, o.Action, o.Group)
			given[key]++
			return given[key] == 1
		}
		// The orders to leave the old replica, right after the loss, are answered.
		return b.now > lost && b.now < lost+1800*time.Millisecond
	}
	b.run(6 * time.Second)
	require.Equal(t, 2, b.open()["small"])
	_, others := b.head("small")
	b.lose(others[0])
	lost = b.now
	b.run(30 * time.Second)
	require.NotEmpty(t, b.open())
}

// TestOrdersWithoutAnswerAreRepeatedSoon is the pattern of trouble-1: a part of all
// orders gets no answer and is carried out seconds later, while servers are lost.
func TestOrdersWithoutAnswerAreRepeatedSoon(t *testing.T) {
	b := newBench(t, 1, 9)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	before := b.open()
	require.NotZero(t, before["large"])
	given := make(map[string]int)
	b.unanswered = func(o formation.Order) bool {
		key := fmt.Sprint(o.Server, o.Action, o.Group)
		given[key]++
		return given[key] == 1
	}
	head, others := b.head("large")
	old := b.actual[head].Member.Group
	b.lose(others[0])
	began := b.now
	again := func() bool {
		m := b.actual[head].Member
		return m.Group != old && m.State >= site.Ready && b.open()["large"] == before["large"]
	}
	for b.now-began < 10*time.Second && !again() {
		b.run(100 * time.Millisecond)
	}
	require.Less(t, b.now-began, 2500*time.Millisecond, "a close, a join and an order to open, each sent twice")
}

// TestRandomLateOrders leaves orders of all kinds unanswered at random while servers
// come and go; the bench checks every join and every open.
func TestRandomLateOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t, 2, rapid.IntRange(8, 9).Draw(rt, "size"))
		b.run(8 * time.Second)
		b.hold(rapid.SampledFrom([]string{"small", "large"}).Draw(rt, "spares"))
		b.fleet.TrafficStarted = true
		b.form = time.Duration(rapid.IntRange(0, 3).Draw(rt, "form")) * 100 * time.Millisecond
		share := rapid.IntRange(0, 5).Draw(rt, "share")
		b.unanswered = func(formation.Order) bool { return rapid.IntRange(0, 9).Draw(rt, "late") < share }
		for n := range rapid.IntRange(1, 12).Draw(rt, "events") {
			b.happen(rt, n)
		}
		b.unanswered = nil
		b.run(30 * time.Second)
		require.NotEmpty(t, b.open())
	})
}

// TestEngineWithoutModels takes the models of an engine out of the configuration, before
// replicas are formed and while they serve.
func TestEngineWithoutModels(t *testing.T) {
	none := *engine
	none.Models = nil
	b := newBench(t, 1, 5)
	b.fleet.Engine = &none
	b.run(8 * time.Second)
	require.Empty(t, b.given)
	b.fleet.Engine = engine
	b.run(8 * time.Second)
	b.fleet.TrafficStarted, b.fleet.Engine = true, &none
	_, others := b.head("large")
	b.lose(others[0])
	given := len(b.given)
	b.run(8 * time.Second)
	require.Len(t, b.given, given, "nothing is known of what the replicas need")
}

// TestOvertaken tells the refusal of a server that has had orders of a later leader from
// that of one that has had a later order to join of the same planner.
func TestOvertaken(t *testing.T) {
	b := newBench(t, 1, 4)
	b.run(8 * time.Second)
	i := slices.IndexFunc(b.given, func(o formation.Order) bool { return o.Action == formation.Join })
	join := b.given[i]
	earlier := join
	earlier.Epoch--
	open := formation.Order{Server: join.Server, Action: formation.Open, Group: join.Group, Epoch: join.Epoch}
	for _, tc := range []struct {
		name   string
		order  formation.Order
		answer formation.Answer
		want   bool
	}{
		{"join", join, formation.Fenced, true},
		{"join_before_the_last", earlier, formation.Fenced, false},
		{"open", open, formation.Fenced, true},
		{"join_that_does_not_fit", join, formation.Declined, false},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, b.planner.Superseded(tc.order, tc.answer)) })
	}
}

func TestRepairs(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(b *bench, id string)
		cause formation.Cause
	}{
		{"dead", func(b *bench, id string) { b.dark[id], b.fleet.Dead[id] = true, true }, formation.MemberDead},
		{"gone", func(b *bench, id string) { b.lose(id) }, formation.MemberLeft},
		{"started_again", func(b *bench, id string) {
			s := b.actual[id]
			s.Born, s.Member = s.Born+1, site.Membership{}
			b.actual[id] = s
		}, formation.MemberElsewhere},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, 1, 9)
			b.run(8 * time.Second)
			b.fleet.TrafficStarted = true
			require.Empty(t, b.planner.Repairs(), "forming replicas is no repair")
			head, others := b.head("large")
			replica := b.actual[head].Member.Group
			tc.do(b, others[1])
			b.run(6 * time.Second)
			repairs := b.planner.Repairs()
			require.Len(t, repairs, 1)
			got := repairs[0]
			require.Equal(t, formation.Repair{Replica: replica, Model: "large", Cause: tc.cause, Downtime: got.Downtime}, got)
			require.Less(t, got.Downtime, 3*time.Second)
			require.Positive(t, got.Downtime)
		})
	}
}

// TestLongTerm is the pattern of a leader that nothing ever happens to: servers are
// lost and replaced for hours, and what is over is neither kept nor asked after.
func TestLongTerm(t *testing.T) {
	b := newBench(t, 1, 8)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	turns := func(from, to int) {
		for n := from; n < to; n++ {
			head, _ := b.head("small")
			b.lose(head)
			b.add(fmt.Sprintf("new-%d", n), "d0")
			b.run(25 * time.Second)
		}
	}
	turns(0, 3)
	early := b.planner.StateSize()
	turns(3, 60)
	require.LessOrEqual(t, b.planner.StateSize(), 2*early, "what is remembered after 60 losses, against 3")
	require.Empty(t, b.planner.HeadsToProbe(), "heads of replicas that are over are not looked at any more")
}

// TestSameHistorySameOrders plays random histories twice: the same states, answers and
// times make the same orders, so that a seed that fails can be played again.
func TestSameHistorySameOrders(t *testing.T) {
	for seed := range uint64(20) {
		first, again := playAtRandom(t, seed), playAtRandom(t, seed)
		require.Equal(t, first, again, "seed %d", seed)
	}
}

// playAtRandom plays a random history and returns the orders that were given.
func playAtRandom(t *testing.T, seed uint64) []formation.Order {
	random := rand.New(rand.NewPCG(seed, 1))
	b := newBench(t, 2, 8)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted, b.fleet.CutOff = true, make(map[string]bool)
	b.unanswered = func(formation.Order) bool { return random.IntN(10) < int(seed%4) }
	for n := range 12 {
		ids := slices.Sorted(maps.Keys(b.actual))
		switch id := ids[random.IntN(len(ids))]; random.IntN(4) {
		case 0, 1:
			b.lose(id)
		case 2:
			b.add(fmt.Sprintf("new-%d", n), fmt.Sprintf("d%d", n%2))
		case 3:
			b.cut[id], b.fleet.CutOff[id] = true, true
		}
		b.run(time.Duration(1+random.IntN(50)) * 100 * time.Millisecond)
	}
	return b.given
}

// TestDomainComesBack is the pattern of trouble-3: a failure domain is taken out, and
// back while there is more work than the others can do.
func TestDomainComesBack(t *testing.T) {
	b := newBench(t, 2, 8)
	b.run(8 * time.Second)
	b.fleet.TrafficStarted = true
	before, given := b.open(), len(b.given)
	b.fleet.OutOfService["zone"] = true
	b.run(10 * time.Second)
	require.Len(t, b.given, given, "nothing is ordered in a domain that is out")
	require.Equal(t, before, b.open(), "its replicas serve as soon as it is back")
}
