package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Candidate is one engine instance as its director knows it. Alive means that
// it answered lately, Usable that it may be given an assignment: alive, neither
// leaving nor cordoned.
type Candidate struct {
	Instance fleet.Instance
	Report   fleet.Report
	Alive    bool
	Usable   bool
}

// A Target is how many replicas of a deployment belong in the failure domain.
type Target struct {
	Deployment fleet.Deployment
	Replicas   int
}

// A Membership is the assignment that every one of Members must get, in rank
// order. NewGeneration is true if it needs a new generation, and false if members are to
// be told again of the generation that the replica already has.
type Membership struct {
	Replica       string
	Deployment    fleet.Deployment
	Members       []string
	NewGeneration bool
	Generation    fleet.Generation
}

// A Plan is what to order: memberships to give, instances to release, and replicas
// to drain: they get no new work, so that their instances can be used otherwise
// once their requests have ended.
type Plan struct {
	Memberships []Membership
	Releases    []string
	Drains      []string
}

// A group is one replica as its members report it.
type group struct {
	id         string
	deployment string
	generation fleet.Generation
	members    []string
	assignment fleet.Assignment
	survivors  []string
	running    int
}

// complete returns whether every member of g survives.
func (g *group) complete() bool { return len(g.survivors) == len(g.members) }

// A planner carries the working state of one call of Make.
type planner struct {
	domain     string
	candidates map[string]Candidate
	groups     []*group
	free       map[string][]string
	rolling    map[string]bool
	plan       Plan
}

// Make returns the plan that brings the replicas in failureDomain closer to
// wants, highest priority first.
func Make(failureDomain string, wants []Target, candidates []Candidate) Plan {
	p := &planner{domain: failureDomain, candidates: make(map[string]Candidate, len(candidates)), rolling: make(map[string]bool)}
	for _, c := range candidates {
		p.candidates[c.Instance.Name] = c
	}
	p.collect()
	wants = slices.SortedStableFunc(slices.Values(wants), func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Deployment.Priority.Rank(), b.Deployment.Priority.Rank()),
			cmp.Compare(a.Deployment.Name, b.Deployment.Name))
	})
	kept := make(map[string]bool)
	for _, w := range wants {
		for _, g := range p.choose(w) {
			kept[g.id] = true
		}
	}
	for _, w := range wants {
		p.repair(w, kept)
	}
	for i, w := range wants {
		if missing := p.form(w, kept); missing > 0 {
			p.preempt(w, wants[i+1:], kept)
		}
	}
	p.releaseExcept(kept)
	return p.plan
}

// choose returns the groups of w's deployment to keep, complete ones first.
func (p *planner) choose(w Target) []*group {
	var groups []*group
	for _, g := range p.groups {
		if g.deployment == w.Deployment.Name && len(g.members) == w.Deployment.InstancesPerReplica {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(len(b.survivors), len(a.survivors)), cmp.Compare(a.id, b.id))
	})
	if len(groups) > w.Replicas {
		groups = groups[:w.Replicas]
	}
	return groups
}

// collect groups the candidates by the replica that they report, and lists the
// free ones of each fabric domain.
func (p *planner) collect() {
	p.free = make(map[string][]string)
	byID := make(map[string]*group)
	for _, name := range slices.Sorted(maps.Keys(p.candidates)) {
		c := p.candidates[name]
		if !c.Alive {
			continue
		}
		if c.Report.Assignment.Free() {
			if c.Usable {
				p.free[c.Instance.FabricDomain] = append(p.free[c.Instance.FabricDomain], name)
			}
			continue
		}
		p.join(byID, c)
	}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		g := byID[id]
		p.survive(g)
		p.groups = append(p.groups, g)
	}
}

// preempt gives up one complete replica of a lower priority, the lowest first, in a
// fabric domain where that makes room for a replica of w.
func (p *planner) preempt(w Target, lower []Target, kept map[string]bool) {
	for _, l := range slices.Backward(lower) {
		if l.Deployment.Priority.Rank() <= w.Deployment.Priority.Rank() {
			continue
		}
		for _, g := range slices.Backward(p.groups) {
			if !kept[g.id] || g.deployment != l.Deployment.Name || len(g.survivors) == 0 {
				continue
			}
			fabric := p.candidates[g.survivors[0]].Instance.FabricDomain
			if len(p.free[fabric])+len(g.survivors) >= w.Deployment.InstancesPerReplica {
				delete(kept, g.id)
				return
			}
		}
	}
}

// form adds new replicas of w until its count is reached or no fabric domain has
// room, and returns how many are missing then.
func (p *planner) form(w Target, kept map[string]bool) int {
	have := 0
	for _, g := range p.groups {
		if kept[g.id] && g.deployment == w.Deployment.Name {
			have++
		}
	}
	for ; have < w.Replicas; have++ {
		fabric, ok := p.room(w.Deployment.InstancesPerReplica)
		if !ok {
			return w.Replicas - have
		}
		id := p.newID(w.Deployment.Name, kept)
		kept[id] = true
		p.plan.Memberships = append(p.plan.Memberships, Membership{
			Replica:       id,
			Deployment:    w.Deployment,
			Members:       p.take(fabric, w.Deployment.InstancesPerReplica),
			NewGeneration: true,
		})
	}
	return 0
}

// join adds c to the group that it reports. The highest generation reported is
// the group's.
func (p *planner) join(byID map[string]*group, c Candidate) {
	a := c.Report.Assignment
	g, ok := byID[a.Replica]
	if !ok {
		g = &group{id: a.Replica}
		byID[a.Replica] = g
	}
	if !ok || g.generation.Less(a.Generation) {
		g.deployment, g.generation, g.members, g.assignment = a.Deployment, a.Generation, a.Members, a
	}
}

// newID returns the lowest unused replica name of deployment in the domain.
func (p *planner) newID(deployment string, kept map[string]bool) string {
	used := maps.Clone(kept)
	for _, g := range p.groups {
		used[g.id] = true
	}
	for n := 1; ; n++ {
		if id := fmt.Sprintf("%s/%s/%d", deployment, p.domain, n); !used[id] {
			return id
		}
	}
}

// releaseExcept releases every live instance whose group is not kept or that is
// not a member of its group's latest generation.
func (p *planner) releaseExcept(kept map[string]bool) {
	groups := make(map[string]*group, len(p.groups))
	for _, g := range p.groups {
		groups[g.id] = g
	}
	for _, name := range slices.Sorted(maps.Keys(p.candidates)) {
		c := p.candidates[name]
		a := c.Report.Assignment
		if !c.Alive || a.Free() || c.Report.Running > 0 {
			continue
		}
		g := groups[a.Replica]
		if !kept[a.Replica] && g.running == 0 || !slices.Contains(g.members, name) {
			p.plan.Releases = append(p.plan.Releases, name)
		}
	}
	for _, g := range p.groups {
		if !kept[g.id] && g.running > 0 {
			p.plan.Drains = append(p.plan.Drains, g.id)
		}
	}
}

// repair orders new memberships for the kept groups of w that miss a member, and
// tells members again that have not taken their order.
func (p *planner) repair(w Target, kept map[string]bool) {
	for _, g := range p.groups {
		if !kept[g.id] || g.deployment != w.Deployment.Name {
			continue
		}
		if g.complete() {
			p.renew(w, g)
			continue
		}
		p.replace(w, g)
	}
}

// renew tells members again that lag behind their group's generation, and moves
// an idle group to the version that the sheet asks for.
func (p *planner) renew(w Target, g *group) {
	m := Membership{Replica: g.id, Deployment: w.Deployment, Members: g.members, Generation: g.generation}
	if changed(w.Deployment, g.assignment) {
		m.NewGeneration = true
		p.roll(g, m)
		return
	}
	for _, name := range g.members {
		if p.candidates[name].Report.Assignment.Generation != g.generation {
			p.plan.Memberships = append(p.plan.Memberships, m)
			return
		}
	}
}

// roll moves g to other contents, once the other replicas of its deployment are
// ready: first it is drained, then it loads.
func (p *planner) roll(g *group, m Membership) {
	for _, other := range p.groups {
		if other != g && other.deployment == g.deployment && (!p.ready(other) || p.rolling[g.deployment]) {
			return
		}
	}
	p.rolling[g.deployment] = true
	if g.running > 0 {
		p.plan.Drains = append(p.plan.Drains, g.id)
		return
	}
	p.plan.Memberships = append(p.plan.Memberships, m)
}

// ready returns whether all members of g have loaded its generation.
func (p *planner) ready(g *group) bool {
	return !slices.ContainsFunc(g.members, func(name string) bool {
		r := p.candidates[name].Report
		return r.Phase != fleet.PhaseReady || r.Assignment.Generation != g.generation
	})
}

// replace gives g a free instance of the same fabric domain for each member that
// is missing; survivors keep their rank order.
func (p *planner) replace(w Target, g *group) {
	planned := g.running > 0 && p.allAlive(g)
	missing := len(g.members) - len(g.survivors)
	if planned || len(g.survivors) == 0 {
		return
	}
	fabric := p.candidates[g.survivors[0]].Instance.FabricDomain
	if len(p.free[fabric]) < missing {
		return
	}
	p.plan.Memberships = append(p.plan.Memberships, Membership{
		Replica:       g.id,
		Deployment:    w.Deployment,
		Members:       append(slices.Clone(g.survivors), p.take(fabric, missing)...),
		NewGeneration: true,
	})
}

// allAlive returns whether every member of g still answers.
func (p *planner) allAlive(g *group) bool {
	return !slices.ContainsFunc(g.members, func(name string) bool { return !p.candidates[name].Alive })
}

// room returns the fabric domain with the fewest free instances that still has
// size of them.
func (p *planner) room(size int) (string, bool) {
	best, found := "", false
	for _, fabric := range slices.Sorted(maps.Keys(p.free)) {
		n := len(p.free[fabric])
		if n >= size && (!found || n < len(p.free[best])) {
			best, found = fabric, true
		}
	}
	return best, found
}

// survive lists the members of g that can go on in it: usable, and either in
// this replica or free.
func (p *planner) survive(g *group) {
	for _, name := range g.members {
		c, ok := p.candidates[name]
		if !ok || !c.Usable {
			continue
		}
		a := c.Report.Assignment
		if a.Replica == g.id {
			g.running += c.Report.Running
		}
		if a.Replica == g.id || a.Free() {
			g.survivors = append(g.survivors, name)
			p.free[c.Instance.FabricDomain] = slices.DeleteFunc(p.free[c.Instance.FabricDomain],
				func(n string) bool { return n == name })
		}
	}
}

// take removes n free instances from fabric and returns them.
func (p *planner) take(fabric string, n int) []string {
	taken := slices.Clone(p.free[fabric][:n])
	p.free[fabric] = p.free[fabric][n:]
	return taken
}

// changed returns whether the sheet asks for other contents than a has.
func changed(d fleet.Deployment, a fleet.Assignment) bool {
	return d.Model != a.Model || d.Adapter != a.Adapter || d.Version != a.Version
}
