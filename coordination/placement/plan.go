package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Candidate is one engine instance as its director sees it. Alive means that it answered
// recently, Usable that it can be given an assignment: it is alive, and neither leaving nor
// cordoned.
type Candidate struct {
	Instance fleet.Instance
	Report   fleet.Report
	Alive    bool
	Usable   bool
}

// A Target is the number of replicas that a deployment should have in the failure domain.
type Target struct {
	Deployment fleet.Deployment
	Replicas   int
}

// A Membership is the assignment to send to each of Members, which are in rank order. With
// NewGeneration it gets a new generation; otherwise the replica's present Generation is sent again.
type Membership struct {
	Replica       string
	Deployment    fleet.Deployment
	Members       []string
	NewGeneration bool
	Generation    fleet.Generation
}

// A Plan is what the director should order: memberships to assign, instances to release, and
// replicas to drain. A draining replica gets no new requests, so that its instances can be used
// elsewhere once its running requests have ended.
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

// complete returns whether all members of g can stay in it.
func (g *group) complete() bool { return len(g.survivors) == len(g.members) }

// A planner holds the working state of one call of Make.
type planner struct {
	domain     string
	candidates map[string]Candidate
	groups     []*group
	free       map[string][]string
	rolling    map[string]bool
	plan       Plan
}

// Make returns the plan that brings the replicas in failureDomain closer to targets, highest
// priority first.
func Make(failureDomain string, targets []Target, candidates []Candidate) Plan {
	p := &planner{domain: failureDomain, candidates: make(map[string]Candidate, len(candidates)), rolling: make(map[string]bool)}
	for _, c := range candidates {
		p.candidates[c.Instance.Name] = c
	}
	p.collect()
	targets = slices.SortedStableFunc(slices.Values(targets), func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Deployment.Priority.Rank(), b.Deployment.Priority.Rank()),
			cmp.Compare(a.Deployment.Name, b.Deployment.Name))
	})
	kept := make(map[string]bool)
	for _, t := range targets {
		for _, g := range p.groupsToKeep(t) {
			kept[g.id] = true
		}
	}
	for _, t := range targets {
		p.repair(t, kept)
	}
	for i, t := range targets {
		if missing := p.form(t, kept); missing > 0 {
			p.preempt(t, targets[i+1:], kept)
		}
	}
	p.releaseExcept(kept)
	return p.plan
}

// groupsToKeep returns the groups of t's deployment to keep, complete ones first.
func (p *planner) groupsToKeep(t Target) []*group {
	var groups []*group
	for _, g := range p.groups {
		if g.deployment == t.Deployment.Name && len(g.members) == t.Deployment.InstancesPerReplica {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(len(b.survivors), len(a.survivors)), cmp.Compare(a.id, b.id))
	})
	if len(groups) > t.Replicas {
		groups = groups[:t.Replicas]
	}
	return groups
}

// collect groups the candidates by the replica that they report, and lists the free ones of each
// fabric domain.
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
		p.addMember(byID, c)
	}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		g := byID[id]
		p.collectSurvivors(g)
		p.groups = append(p.groups, g)
	}
}

// preempt gives up one replica of a lower priority, the lowest first, in a fabric domain where that
// makes enough instances available for a replica of t.
func (p *planner) preempt(t Target, lower []Target, kept map[string]bool) {
	for _, l := range slices.Backward(lower) {
		if l.Deployment.Priority.Rank() <= t.Deployment.Priority.Rank() {
			continue
		}
		for _, g := range slices.Backward(p.groups) {
			if !kept[g.id] || g.deployment != l.Deployment.Name || len(g.survivors) == 0 {
				continue
			}
			fabric := p.candidates[g.survivors[0]].Instance.FabricDomain
			if len(p.free[fabric])+len(g.survivors) >= t.Deployment.InstancesPerReplica {
				delete(kept, g.id)
				return
			}
		}
	}
}

// form adds new replicas for t until its number is reached or no fabric domain has enough free
// instances, and returns how many are still missing.
func (p *planner) form(t Target, kept map[string]bool) int {
	have := 0
	for _, g := range p.groups {
		if kept[g.id] && g.deployment == t.Deployment.Name {
			have++
		}
	}
	for ; have < t.Replicas; have++ {
		fabric, ok := p.fabricWithRoom(t.Deployment.InstancesPerReplica)
		if !ok {
			return t.Replicas - have
		}
		id := p.newID(t.Deployment.Name, kept)
		kept[id] = true
		p.plan.Memberships = append(p.plan.Memberships, Membership{
			Replica:       id,
			Deployment:    t.Deployment,
			Members:       p.take(fabric, t.Deployment.InstancesPerReplica),
			NewGeneration: true,
		})
	}
	return 0
}

// addMember adds c to the group that it reports. The group has the highest generation reported by
// its members.
func (p *planner) addMember(byID map[string]*group, c Candidate) {
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

// newID returns the unused replica id of deployment in the failure domain with the lowest number.
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

// releaseExcept releases every live instance without running requests whose group is not kept, or
// that is not a member of its group's latest generation. Groups that are not kept and still run
// requests are drained.
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

// repair replaces missing members of the kept groups of t, and updates the complete ones.
func (p *planner) repair(t Target, kept map[string]bool) {
	for _, g := range p.groups {
		if !kept[g.id] || g.deployment != t.Deployment.Name {
			continue
		}
		if g.complete() {
			p.updateComplete(t, g)
			continue
		}
		p.replaceMissing(t, g)
	}
}

// updateComplete sends the assignment again if a member of g lags behind its generation, and rolls
// g out to the contents that the sheet specifies if they differ.
func (p *planner) updateComplete(t Target, g *group) {
	m := Membership{Replica: g.id, Deployment: t.Deployment, Members: g.members, Generation: g.generation}
	if contentsChanged(t.Deployment, g.assignment) {
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

// roll moves g to other contents, once all other replicas of its deployment are ready: it is
// drained first, and then loads them.
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

// replaceMissing gives g a free instance of the same fabric domain for each missing member.
// Survivors keep their rank order. While requests run and all members are alive, as when one leaves
// as planned, it waits.
func (p *planner) replaceMissing(t Target, g *group) {
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
		Deployment:    t.Deployment,
		Members:       append(slices.Clone(g.survivors), p.take(fabric, missing)...),
		NewGeneration: true,
	})
}

// allAlive returns whether every member of g still answers.
func (p *planner) allAlive(g *group) bool {
	return !slices.ContainsFunc(g.members, func(name string) bool { return !p.candidates[name].Alive })
}

// fabricWithRoom returns the fabric domain with the fewest free instances among those that have at
// least size of them.
func (p *planner) fabricWithRoom(size int) (string, bool) {
	best, found := "", false
	for _, fabric := range slices.Sorted(maps.Keys(p.free)) {
		n := len(p.free[fabric])
		if n >= size && (!found || n < len(p.free[best])) {
			best, found = fabric, true
		}
	}
	return best, found
}

// collectSurvivors lists the members of g that can stay in it: usable, and either in this replica
// or free.
func (p *planner) collectSurvivors(g *group) {
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

// contentsChanged returns whether the sheet specifies other contents than a has.
func contentsChanged(d fleet.Deployment, a fleet.Assignment) bool {
	return d.Model != a.Model || d.Adapter != a.Adapter || d.Version != a.Version
}
