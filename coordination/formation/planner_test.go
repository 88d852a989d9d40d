package formation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// engine is an engine like those of today's deployments.
var engine = &site.Engine{
	Slots: 26, LoadsAtOnce: 6, LoadsPerSecond: 4,
	Models: []site.Model{
		{Name: "large", Size: 4, Pace: 1, Share: 0.67, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 2, Pace: 0.6, Share: 0.33, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	},
}

// A bench is a few servers that carry orders out at once, and a planner. The list
// stands still for the servers in cut; those in dark do not answer.
type bench struct {
	t       *testing.T
	now     time.Duration
	planner *formation.Planner
	fleet   formation.Fleet
	actual  map[string]site.Server
	members map[string][]string
	cut     map[string]bool
	dark    map[string]bool
	given   []formation.Order
	at      []time.Duration
	// unanswered picks orders that get no answer and are carried out late.
	unanswered func(formation.Order) bool
	later      map[time.Duration][]formation.Order
	joined     map[string]time.Duration
	// wasReady holds the members that were ready, by replica.
	wasReady map[string]map[string]bool
}

// newBench returns a bench with domains of size servers each.
func newBench(t *testing.T, domains, size int) *bench {
	b := &bench{
		t: t, planner: formation.New(1, 0), actual: make(map[string]site.Server), members: make(map[string][]string),
		cut: make(map[string]bool), dark: make(map[string]bool), joined: make(map[string]time.Duration), later: make(map[time.Duration][]formation.Order),
		wasReady: make(map[string]map[string]bool),
		fleet: formation.Fleet{
			Engine: engine, Servers: make(map[string]site.Server), Dead: make(map[string]bool), Out: make(map[string]bool),
			Last: make(map[string]string), Stall: 6 * time.Second, Ceiling: 20, Window: 5 * time.Second,
		},
	}
	for d := range domains {
		for n := range size {
			b.add(fmt.Sprintf("s%d-%d", d, n), fmt.Sprintf("d%d", d))
		}
	}
	return b
}

// add adds an empty server.
func (b *bench) add(id, domain string) {
	s := site.Server{ID: id, Address: id, FailureDomain: "zone", FabricDomain: domain, Born: 1}
	b.actual[id], b.fleet.Servers[id] = s, s
}

// lose takes a server away for good; the list drops it.
func (b *bench) lose(id string) {
	b.dark[id] = true
	delete(b.actual, id)
	delete(b.fleet.Servers, id)
}

// run lets time pass.
func (b *bench) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := b.now + d; b.now < end; b.now += step {
		b.load()
		for _, o := range b.planner.Step(b.now, b.fleet) {
			b.given, b.at = append(b.given, o), append(b.at, b.now)
			if b.unanswered != nil && b.unanswered(o) {
				at := b.now + lateBy
				b.later[at] = append(b.later[at], o)
				b.planner.Answered(b.now, o, formation.Unknown)
				continue
			}
			b.planner.Answered(b.now, o, b.carryOut(o))
		}
		for _, o := range b.later[b.now] {
			b.carryOut(o)
		}
		b.list()
	}
}

// lateBy is how late an order without an answer is carried out.
const lateBy = 7 * time.Second

// load makes members ready that have loaded.
func (b *bench) load() {
	for id, at := range b.joined {
		if s, ok := b.actual[id]; ok && b.now >= at && s.Member.State == site.Joining {
			s.Member.State = site.Ready
			if b.wasReady[s.Member.Group] == nil {
				b.wasReady[s.Member.Group] = make(map[string]bool)
			}
			b.wasReady[s.Member.Group][id] = true
			s.Staged = []string{formation.ModelOf(s.Member.Group)}
			b.actual[id] = s
		}
	}
}

// list shows the list what servers report.
func (b *bench) list() {
	for id, s := range b.actual {
		if b.cut[id] {
			continue
		}
		b.fleet.Servers[id] = s
		if s.Member.State != site.Unassigned {
			b.fleet.Last[id] = formation.ModelOf(s.Member.Group)
		}
	}
}

// carryOut lets a server carry an order out, and checks what must hold then.
func (b *bench) carryOut(o formation.Order) formation.Answer {
	s, ok := b.actual[o.Server]
	if !ok || b.dark[o.Server] {
		return formation.Unknown
	}
	if o.Action != formation.Stage && o.Action != formation.Join && (s.Member.Group != o.Group || s.Member.Epoch != o.Epoch) {
		return formation.Declined
	}
	switch o.Action {
	case formation.Join:
		if o.Epoch < s.Member.Epoch {
			return formation.Fenced
		}
		if o.Group == s.Member.Group {
			return formation.Accepted
		}
		b.checkJoin(s, o)
		s.Member = site.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Server), State: site.Joining}
		b.members[o.Group] = o.Members
		b.joined[o.Server] = b.now + 200*time.Millisecond
	case formation.Open:
		if s.Member.State == site.Joining {
			return formation.Declined
		}
		b.checkOpen(o)
		s.Member.State = site.Open
	case formation.Close, formation.Preempt:
		if s.Member.Group != o.Group || s.Member.State != site.Open {
			return formation.Declined
		}
		s.Member.State = site.Ready
	case formation.Leave:
		s.Member = site.Membership{}
	case formation.Stage:
		s.Staged = []string{o.Model}
	}
	b.actual[o.Server] = s
	return formation.Accepted
}

// checkJoin checks that the head of the replica that s is in does not serve.
func (b *bench) checkJoin(s site.Server, o formation.Order) {
	if s.Member.State == site.Unassigned || s.Member.Group == o.Group {
		return
	}
	head := b.actual[b.members[s.Member.Group][0]]
	if head.Member.Group == s.Member.Group && head.Member.State == site.Open {
		for i, given := range b.given {
			if given.Server == s.ID || given.Group == o.Group || given.Group == s.Member.Group {
				b.t.Log(b.at[i], given)
			}
		}
	}
	require.False(b.t, head.Member.Group == s.Member.Group && head.Member.State == site.Open,
		"at %v %s joins %s while %s is open", b.now, s.ID, o.Group, s.Member.Group)
}

// checkOpen checks that every member of a replica has been ready when it opens. By
// the platform's rules one that was ready and is lost excuses: an order to open may
// be carried out late.
func (b *bench) checkOpen(o formation.Order) {
	for _, id := range b.members[o.Group] {
		require.True(b.t, b.wasReady[o.Group][id], "at %v %s opens, and %s was never ready", b.now, o.Group, id)
	}
}

// open returns the number of replicas that serve, by model.
func (b *bench) open() map[string]int {
	out := make(map[string]int)
	for _, s := range b.actual {
		if s.Member.State == site.Open {
			out[formation.ModelOf(s.Member.Group)]++
		}
	}
	return out
}

// head returns the head of a replica of model that serves, and its other members.
func (b *bench) head(model string) (string, []string) {
	for _, id := range slices.Sorted(maps(b.actual)) {
		if m := b.actual[id].Member; m.State == site.Open && formation.ModelOf(m.Group) == model {
			return id, b.members[m.Group][1:]
		}
	}
	require.Fail(b.t, "no replica of "+model)
	return "", nil
}

// maps yields the keys of m.
func maps(m map[string]site.Server) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

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
			b.fleet.Traffic = true
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
	b.cut["s0-0"] = true
	b.fleet.Traffic = true
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

// TestHeadOutOfReach keeps the servers of a replica free of others until its head,
// which may still serve, must have broken.
func TestHeadOutOfReach(t *testing.T) {
	b := newBench(t, 1, 5)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
	head, others := b.head("large")
	b.dark[head] = true
	delete(b.fleet.Servers, head)
	b.cut[head] = true
	before := len(b.given)
	b.run(b.fleet.Stall)
	for _, o := range b.given[before:] {
		require.False(t, o.Action == formation.Join && slices.Contains(others, o.Server), "%s joins while its head may be open", o.Server)
	}
	b.actual[head] = site.Server{ID: head}
	b.run(10 * time.Second)
	require.NotEmpty(t, b.open(), "the others serve again")
}

// TestMembersCutOffFromTheStore is the pattern of scale-1 of the grown utility: entries of
// members lapse that answer all the same, and are back after a few seconds.
func TestMembersCutOffFromTheStore(t *testing.T) {
	b := newBench(t, 6, 8)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
	b.fleet.Silent = make(map[string]bool)
	before, given := b.open(), len(b.given)
	large, others := b.head("large")
	small, _ := b.head("small")
	for _, id := range []string{large, small, others[0], others[1]} {
		b.cut[id], b.fleet.Silent[id] = true, true
	}
	b.run(3 * time.Second)
	require.Equal(t, before, b.open(), "replicas stay as they are")
	require.Len(t, b.given, given, "nothing is ordered")
	b.cut, b.fleet.Silent = make(map[string]bool), make(map[string]bool)
	b.run(3 * time.Second)
	require.Equal(t, before, b.open())
}

// TestSilentServersAreNotUsed takes the replica of silent members apart when its head has
// started again, and gives the silent ones nothing to do: nobody sees whether they do it.
func TestSilentServersAreNotUsed(t *testing.T) {
	b := newBench(t, 1, 4)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
	head, others := b.head("large")
	silent := others[:2]
	b.fleet.Silent = make(map[string]bool)
	for _, id := range silent {
		b.cut[id], b.fleet.Silent[id] = true, true
	}
	s := b.actual[head]
	s.Born, s.Member, s.Staged = s.Born+1, site.Membership{}, nil
	b.actual[head], b.fleet.Servers[head], b.fleet.Last[head] = s, s, ""
	given := len(b.given)
	b.run(15 * time.Second)
	for _, o := range b.given[given:] {
		require.False(t, slices.Contains(silent, o.Server) && (o.Action == formation.Join || o.Action == formation.Stage), "%v", o)
	}
}

// TestHeadCutOff is seed 10 of the soak: a head that no daemon reaches is still listed,
// so that it lives and may serve.
func TestHeadCutOff(t *testing.T) {
	b := newBench(t, 1, 5)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
	head, others := b.head("large")
	b.dark[head], b.fleet.Dead[head] = true, true
	before := len(b.given)
	b.run(b.fleet.Stall)
	for _, o := range b.given[before:] {
		require.False(t, o.Action == formation.Join && slices.Contains(others, o.Server), "%s joins while its head may be open", o.Server)
	}
	delete(b.fleet.Servers, head)
	delete(b.actual, head)
	b.run(5 * time.Second)
	require.NotEmpty(t, b.open(), "the others serve again once the head is not listed any more")
}

func TestServersOfDomainsThatAreOutAreLeftAlone(t *testing.T) {
	b := newBench(t, 2, 4)
	b.fleet.Out["zone"] = true
	b.run(8 * time.Second)
	require.Empty(t, b.given)
}

// TestScarceModel is the pattern of scale-1: as servers are lost one by one, the
// small model must not use up those that the large one needs.
func TestScarceModel(t *testing.T) {
	b := newBench(t, 6, 8)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
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

// serveOnly lets every server run model, with the other one on its host.
func (b *bench) serveOnly(model, other string) {
	for _, m := range engine.Models {
		if m.Name != model {
			continue
		}
		n := 0
		for _, id := range slices.Sorted(maps(b.actual)) {
			s := b.actual[id]
			group := fmt.Sprintf("%s/0/%d", model, n/m.Size)
			s.Member = site.Membership{Group: group, Epoch: int64(1 + n/m.Size), Rank: n % m.Size, State: site.Open}
			if s.Member.Rank > 0 {
				s.Member.State = site.Ready
			}
			s.Staged = []string{other}
			b.members[group] = append(b.members[group], id)
			b.actual[id], b.fleet.Servers[id], b.fleet.Last[id] = s, s, model
			n++
		}
	}
	b.fleet.Traffic = true
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
	b.fleet.Traffic = true
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

// TestOrdersWithoutAnswerAreRepeatedSoon is the pattern of trouble-1: a part of all
// orders gets no answer and is carried out seconds later, while servers are lost.
func TestOrdersWithoutAnswerAreRepeatedSoon(t *testing.T) {
	b := newBench(t, 1, 9)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
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
		b := newBench(t, 2, 8)
		b.run(8 * time.Second)
		b.fleet.Traffic = true
		share := rapid.IntRange(0, 5).Draw(rt, "share")
		b.unanswered = func(formation.Order) bool { return rapid.IntRange(0, 9).Draw(rt, "late") < share }
		for n := range rapid.IntRange(1, 12).Draw(rt, "events") {
			ids := slices.Sorted(maps(b.actual))
			if id := rapid.SampledFrom(ids).Draw(rt, "server"); len(ids) > 6 && rapid.Bool().Draw(rt, "lost") {
				b.lose(id)
			} else {
				b.add(fmt.Sprintf("new-%d", n), fmt.Sprintf("d%d", n%2))
			}
			b.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "tenths")) * 100 * time.Millisecond)
		}
		b.unanswered = nil
		b.run(30 * time.Second)
		require.NotEmpty(t, b.open())
	})
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
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, b.planner.Overtaken(tc.order, tc.answer)) })
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
			b.fleet.Traffic = true
			require.Empty(t, b.planner.Repairs(), "forming replicas is no repair")
			head, others := b.head("large")
			replica := b.actual[head].Member.Group
			tc.do(b, others[1])
			b.run(6 * time.Second)
			repairs := b.planner.Repairs()
			require.Len(t, repairs, 1)
			got := repairs[0]
			require.Equal(t, formation.Repair{Replica: replica, Model: "large", Cause: tc.cause, After: got.After}, got)
			require.Less(t, got.After, 3*time.Second)
			require.Positive(t, got.After)
		})
	}
}

// TestLongTerm is the pattern of a leader that nothing ever happens to: servers are
// lost and replaced for hours, and what is over is neither kept nor asked after.
func TestLongTerm(t *testing.T) {
	b := newBench(t, 1, 8)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
	turns := func(from, to int) {
		for n := from; n < to; n++ {
			head, _ := b.head("small")
			b.lose(head)
			b.add(fmt.Sprintf("new-%d", n), "d0")
			b.run(25 * time.Second)
		}
	}
	turns(0, 3)
	early := b.planner.Remembered()
	turns(3, 60)
	require.LessOrEqual(t, b.planner.Remembered(), 2*early, "what is remembered after 60 losses, against 3")
	require.Empty(t, b.planner.Unlisted(), "heads of replicas that are over are not looked at any more")
}

// TestDomainComesBack is the pattern of trouble-3: a failure domain is taken out, and
// back while there is more work than the others can do.
func TestDomainComesBack(t *testing.T) {
	b := newBench(t, 2, 8)
	b.run(8 * time.Second)
	b.fleet.Traffic = true
	before, given := b.open(), len(b.given)
	b.fleet.Out["zone"] = true
	b.run(10 * time.Second)
	require.Len(t, b.given, given, "nothing is ordered in a domain that is out")
	require.Equal(t, before, b.open(), "its replicas serve as soon as it is back")
}
