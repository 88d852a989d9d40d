package formation

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A Domain describes one fabric domain for log output: its replicas with the number of members and
// the state of the head, and its other servers with the models that they have loaded and those on
// their hosts.
type Domain struct {
	Name     string
	Replicas []string
	Idle     []string
}

var stateNames = map[site.MemberState]string{
	site.Joining: "joining", site.Ready: "ready", site.Open: "open", site.Closing: "closing", site.Broken: "broken",
}

// Domains describes the fleet by fabric domain.
func (f Fleet) Domains() []Domain {
	domains, groups := make(map[string]*Domain), make(map[string]map[string]int)
	heads := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(f.Servers)) {
		s := f.Servers[id]
		if domains[s.FabricDomain] == nil {
			domains[s.FabricDomain] = &Domain{Name: s.FabricDomain}
			groups[s.FabricDomain] = make(map[string]int)
		}
		d := domains[s.FabricDomain]
		status := ""
		if s.Draining {
			status += " draining"
		}
		if f.Dead[id] {
			status += " dead"
		}
		if s.Member.State == site.Unassigned || status != "" {
			d.Idle = append(d.Idle, fmt.Sprintf("%s=%s/%s%s", id, strings.Join(s.Models, "+"), strings.Join(s.Staged, "+"), status))
			continue
		}
		groups[s.FabricDomain][s.Member.Group]++
		if s.Member.Rank == 0 {
			heads[s.Member.Group] = stateNames[s.Member.State]
		}
	}
	out := make([]Domain, 0, len(domains))
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		for _, group := range slices.Sorted(maps.Keys(groups[name])) {
			domains[name].Replicas = append(domains[name].Replicas, fmt.Sprintf("%s x%d %s", group, groups[name][group], heads[group]))
		}
		out = append(out, *domains[name])
	}
	return out
}
