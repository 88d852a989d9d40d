package formation

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A Domain describes one fabric domain for people: its replicas with the number
// of members and the state of the head, and its other servers with the models that
// they hold.
type Domain struct {
	Name     string
	Replicas []string
	Idle     []string
}

// stateNames are the names of the states of a member.
var stateNames = map[site.MemberState]string{
	site.Joining: "joining", site.Ready: "ready", site.Open: "open", site.Closing: "closing", site.Broken: "broken",
}

// Domains describes the fleet, by fabric domain.
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
		note := ""
		if s.Draining {
			note += " draining"
		}
		if f.Dead[id] {
			note += " dead"
		}
		if s.Member.State == site.Unassigned || note != "" {
			d.Idle = append(d.Idle, fmt.Sprintf("%s=%s/%s%s", id, strings.Join(s.Models, "+"), strings.Join(s.Staged, "+"), note))
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
