package formation_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/state/site"
)

func TestMain(m *testing.M) {
	histories.FixSeed(3, 500)
	m.Run()
}

// engine is an engine like those of today's deployments.
var engine = &site.Engine{
	Slots: 26, LoadsAtOnce: 6, LoadsPerSecond: 4, Form: 300 * time.Millisecond,
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
	// timed lets servers take the times of the engine to join; else all take 0.2 s.
	timed bool
	// work is how long heads take to finish their work when they close, and form how long
	// they take to open; due is when one that does either is done.
	work, form time.Duration
	due        map[site.Membership]time.Duration
	later      map[time.Duration][]formation.Order
	joined     map[string]time.Duration
	// left is the replica that each server has left last.
	left map[string]string
	// missing is since when the head of each replica has been without a member.
	missing map[string]time.Duration
	// seen is the highest epoch of an order to join that each server has had.
	seen map[string]int64
	// wasReady holds the members that were ready, by replica.
	wasReady map[string]map[string]bool
	// lag is how old the list is, and past what servers reported in the steps of that time.
	lag  time.Duration
	past []map[string]site.Server
	// term is that of the present leader, and fences the highest that each server has had.
	term   int64
	fences map[string]int64
}

// newBench returns a bench with domains of size servers each.
func newBench(t *testing.T, domains, size int) *bench {
	b := &bench{
		t: t, planner: formation.New(1, 0), actual: make(map[string]site.Server), members: make(map[string][]string),
		cut: make(map[string]bool), dark: make(map[string]bool), joined: make(map[string]time.Duration), left: make(map[string]string), missing: make(map[string]time.Duration), seen: make(map[string]int64), due: make(map[site.Membership]time.Duration), later: make(map[time.Duration][]formation.Order),
		wasReady: make(map[string]map[string]bool), term: 1, fences: make(map[string]int64),
		fleet: formation.Fleet{
			Engine: engine, Servers: make(map[string]site.Server), Dead: make(map[string]bool), OutOfService: make(map[string]bool),
			LastModel: make(map[string]string), StallTimeout: 6 * time.Second, LoadLimit: 20, LoadWindow: 5 * time.Second,
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

// outOfReach takes a server away that goes on serving those who reach it until its
// replica has stood still for too long.
func (b *bench) outOfReach(id string) {
	b.dark[id], b.cut[id] = true, true
	delete(b.fleet.Servers, id)
	b.run(b.fleet.StallTimeout)
	delete(b.actual, id)
}

// succeed lets another leader take over, which knows the list only.
func (b *bench) succeed() {
	b.term++
	b.planner = formation.New(b.term, b.now)
}

// happen lets a server be lost, or get out of reach, or come, and time pass.
func (b *bench) happen(rt *rapid.T, n int) {
	ids := slices.Sorted(maps.Keys(b.actual))
	id := rapid.SampledFrom(ids).Draw(rt, "server")
	switch kind := rapid.IntRange(0, 4).Draw(rt, "kind"); {
	case len(ids) > 6 && kind < 2:
		b.lose(id)
	case len(ids) > 6 && kind == 2:
		b.outOfReach(id)
	default:
		b.add(fmt.Sprintf("new-%d", n), fmt.Sprintf("d%d", n%2))
	}
	b.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "tenths")) * step)
}

// step is the time between two looks of a planner.
const step = 100 * time.Millisecond

// run lets time pass.
func (b *bench) run(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += step {
		b.load()
		b.finish()
		b.breakHeads()
		for _, o := range b.planner.Step(b.now, b.fleet) {
			b.given, b.at = append(b.given, o), append(b.at, b.now)
			if b.unanswered != nil && b.unanswered(o) {
				at := b.now + lateBy
				b.later[at] = append(b.later[at], o)
				b.planner.RecordAnswer(b.now, o, formation.Unknown)
				continue
			}
			b.planner.RecordAnswer(b.now, o, b.carryOut(o))
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

// finish makes heads ready that have finished their work, and opens those that have
// formed their replica.
func (b *bench) finish() {
	for id, s := range b.actual {
		at, ok := b.due[s.Member]
		if !ok || b.now < at {
			continue
		}
		delete(b.due, s.Member)
		if s.Member.State == site.Closing {
			s.Member.State = site.Ready
		} else {
			s.Member.State = site.Open
		}
		b.actual[id] = s
	}
}

// breakHeads lets heads break that have been without a member for as long as a replica
// may stand still.
func (b *bench) breakHeads() {
	for _, id := range slices.Sorted(maps.Keys(b.actual)) {
		s := b.actual[id]
		if s.Member.State != site.Open && s.Member.State != site.Closing {
			continue
		}
		group := s.Member.Group
		whole := !slices.ContainsFunc(b.members[group], func(member string) bool { return b.actual[member].Member.Group != group })
		since, missing := b.missing[group]
		switch {
		case whole:
			delete(b.missing, group)
		case !missing:
			b.missing[group] = b.now
		case b.now-since >= b.fleet.StallTimeout:
			s.Member.State = site.Broken
			b.actual[id] = s
		}
	}
}

// list shows the list what servers report.
func (b *bench) list() {
	b.past = append(b.past, maps.Clone(b.actual))
	b.past = b.past[max(0, len(b.past)-1-int(b.lag/step)):]
	for id, s := range b.past[0] {
		if _, lives := b.actual[id]; !lives || b.cut[id] {
			continue
		}
		b.fleet.Servers[id] = s
		if s.Member.State != site.Unassigned {
			b.fleet.LastModel[id] = formation.ModelOf(s.Member.Group)
		}
	}
}

// carryOut lets a server carry an order out, and checks what must hold then.
func (b *bench) carryOut(o formation.Order) formation.Answer {
	s, ok := b.actual[o.Server]
	if !ok || b.dark[o.Server] {
		return formation.Unknown
	}
	if o.Fence < b.fences[s.ID] {
		return formation.Fenced
	}
	b.fences[s.ID] = o.Fence
	if o.Action != formation.Stage && o.Action != formation.Join && (s.Member.Group != o.Group || s.Member.Epoch != o.Epoch) {
		return formation.Declined
	}
	switch o.Action {
	case formation.Join:
		if o.Epoch < b.seen[s.ID] {
			return formation.Fenced
		}
		b.seen[s.ID] = o.Epoch
		if o.Group == s.Member.Group {
			return formation.Accepted
		}
		b.checkJoin(s, o)
		s.Member = site.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Server), State: site.Joining}
		b.members[o.Group] = o.Members
		b.joined[o.Server] = b.now + b.joinTime(s, o)
	case formation.Open:
		if s.Member.State == site.Joining {
			return formation.Declined
		}
		b.checkOpen(o)
		if b.form > 0 {
			b.due[s.Member] = b.now + b.form
			return formation.Accepted
		}
		s.Member.State = site.Open
	case formation.Close, formation.Preempt:
		if s.Member.Group != o.Group || s.Member.State != site.Open && s.Member.State != site.Closing {
			return formation.Declined
		}
		s.Member.State = site.Ready
		if o.Action == formation.Close && b.work > 0 {
			s.Member.State = site.Closing
			b.due[s.Member] = b.now + b.work
		}
	case formation.Leave:
		b.left[s.ID] = s.Member.Group
		s.Member = site.Membership{}
	case formation.Stage:
		s.Staged = []string{o.Model}
	}
	b.actual[o.Server] = s
	return formation.Accepted
}

// joinTime returns how long s takes to carry out o, an order to join.
func (b *bench) joinTime(s site.Server, o formation.Order) time.Duration {
	const rejoin = 200 * time.Millisecond
	i := slices.IndexFunc(engine.Models, func(m site.Model) bool { return m.Name == o.Model })
	switch {
	case !b.timed || b.fleet.LastModel[s.ID] == o.Model:
		return rejoin
	case slices.Contains(s.Staged, o.Model):
		return engine.Models[i].Warm
	}
	return engine.Models[i].Load
}

// checkJoin checks that the head of the replica that s is in, or has left last, does not
// serve.
func (b *bench) checkJoin(s site.Server, o formation.Order) {
	group := s.Member.Group
	if s.Member.State == site.Unassigned {
		group = b.left[s.ID]
	}
	if group == "" || group == o.Group {
		return
	}
	head := b.actual[b.members[group][0]]
	serves := head.Member.Group == group && (head.Member.State == site.Open || head.Member.State == site.Closing)
	if serves {
		for i, given := range b.given {
			if given.Server == s.ID || given.Group == o.Group || given.Group == group {
				b.t.Log(b.at[i], given)
			}
		}
	}
	require.False(b.t, serves, "at %v %s joins %s while %s is open", b.now, s.ID, o.Group, group)
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
	for _, id := range slices.Sorted(maps.Keys(b.actual)) {
		if m := b.actual[id].Member; m.State == site.Open && formation.ModelOf(m.Group) == model {
			return id, b.members[m.Group][1:]
		}
	}
	require.Fail(b.t, "no replica of "+model)
	return "", nil
}

// hold lets the servers that are in no replica have model on their hosts.
func (b *bench) hold(model string) {
	for id, s := range b.actual {
		if s.Member.State == site.Unassigned {
			s.Staged = []string{model}
			b.actual[id], b.fleet.Servers[id] = s, s
		}
	}
}

// serveOnly lets every server run model, with the other one on its host.
func (b *bench) serveOnly(model, other string) {
	for _, m := range engine.Models {
		if m.Name != model {
			continue
		}
		n := 0
		for _, id := range slices.Sorted(maps.Keys(b.actual)) {
			s := b.actual[id]
			group := fmt.Sprintf("%s/0/%d", model, n/m.Size)
			s.Member = site.Membership{Group: group, Epoch: int64(1 + n/m.Size), Rank: n % m.Size, State: site.Open}
			if s.Member.Rank > 0 {
				s.Member.State = site.Ready
			}
			s.Staged = []string{other}
			b.members[group] = append(b.members[group], id)
			b.actual[id], b.fleet.Servers[id], b.fleet.LastModel[id] = s, s, model
			n++
		}
	}
	b.fleet.TrafficStarted = true
}
