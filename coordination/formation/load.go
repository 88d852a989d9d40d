package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A load is a server that loads the weights of a model.
type load struct {
	model string
	at    time.Duration
}

// mayLoad returns whether one more load may begin now.
func (s *step) mayLoad() bool {
	p, atOnce := s.planner, s.fleet.Engine.LoadsAtOnce
	if atOnce > 0 && len(p.loading) >= atOnce {
		return false
	}
	p.loads = slices.DeleteFunc(p.loads, func(at time.Duration) bool { return s.now-at > s.fleet.LoadWindow })
	ceiling := s.fleet.LoadLimit
	if s.now-p.since < s.fleet.LoadWindow {
		// The leader before may have used up a part of the window.
		ceiling /= 2
	}
	return float64(len(p.loads)+1) <= ceiling
}

// load orders server to load m onto its host, and counts that.
func (s *step) load(server site.Server, m site.Model) {
	s.planner.loading[server.ID] = load{model: m.Name, at: s.now}
	s.planner.loads = append(s.planner.loads, s.now)
	s.orderStage(server, m)
}

// stage lets free servers that hold no weights load those that their fabric
// domain is likely to need.
func (s *step) stage() {
	for id, l := range s.planner.loading {
		if server, ok := s.fleet.Servers[id]; !ok || s.now-l.at > 2*longestLoad(s.fleet.Engine) || s.now-l.at > loadSeen && !s.onlyOne(server) {
			delete(s.planner.loading, id)
		}
	}
	if !s.fleet.TrafficStarted {
		s.stageOthers()
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
		for _, server := range s.idle[domain] {
			_, loading := s.planner.loading[server.ID]
			if len(server.Staged) > 0 || s.fleet.LastModel[server.ID] != "" || loading || !s.mayLoad() {
				continue
			}
			m := s.spareFor(domain)
			s.load(server, m)
		}
	}
	s.restage()
}

// restage lets servers that can run one model only take the other one onto their
// hosts, beside what they do, so that they can change over later.
func (s *step) restage() {
	for _, idle := range []bool{true, false} {
		for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
			server := s.fleet.Servers[id]
			_, loading := s.planner.loading[id]
			if s.busy[id] == idle || loading || !s.assignable(server) || s.out(server) || !s.mayLoad() {
				continue
			}
			last := s.fleet.LastModel[id]
			if last == "" || server.Member.State == site.Joining || !s.onlyOne(server) {
				continue
			}
			if m, ok := s.other(last); ok {
				s.load(server, m)
			}
		}
	}
}

// stageOthers lets members that have loaded put a model that they do not run onto
// their hosts, so that they can change over without a load, and lets the servers
// that are left over take one. It is free only before callers come. A member that
// rejoins its own model needs no host.
func (s *step) stageOthers() {
	if s.settled() {
		weights := s.weights()
		for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
			spares := s.spares(weights[domain], len(s.idle[domain]))
			for i, server := range s.idle[domain] {
				if len(server.Staged) == 0 {
					s.orderStage(server, spares[i])
				}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
		server := s.fleet.Servers[id]
		if server.Member.State < site.Ready {
			continue
		}
		own := ModelOf(server.Member.Group)
		if m, ok := s.other(own); ok && slices.Contains(server.Staged, own) {
			s.orderStage(server, m)
		}
	}
}

// weights returns what a loss of the servers of each fabric domain costs, by the model that
// they run or are to run: each takes all members of its replica with it.
func (s *step) weights() map[string]map[string]int {
	runs := make(map[string]string, len(s.fleet.Servers))
	for id, server := range s.fleet.Servers {
		runs[id] = ModelOf(server.Member.Group)
	}
	for _, f := range s.planner.forming {
		for _, id := range f.members {
			runs[id] = f.model
		}
	}
	out := make(map[string]map[string]int)
	for id, server := range s.fleet.Servers {
		if out[server.FabricDomain] == nil {
			out[server.FabricDomain] = make(map[string]int)
		}
		if m, ok := s.fleet.Engine.Model(runs[id]); ok {
			out[server.FabricDomain][m.Name] += m.Size
		}
	}
	return out
}

// spares returns the models that n servers which are left over are to hold, in proportion
// to weight.
func (s *step) spares(weight map[string]int, n int) []site.Model {
	models, given := s.needs(), make(map[string]int)
	out := make([]site.Model, 0, n)
	for range n {
		m := slices.MaxFunc(models, func(a, b site.Model) int {
			return cmp.Compare((weight[a.Name]+1)*(given[b.Name]+1), (weight[b.Name]+1)*(given[a.Name]+1))
		})
		given[m.Name]++
		out = append(out, m)
	}
	return out
}

// other returns a model beside the one of the given name, if there is one.
func (s *step) other(name string) (site.Model, bool) {
	i := slices.IndexFunc(s.fleet.Engine.Models, func(m site.Model) bool { return m.Name != name })
	if i < 0 {
		return site.Model{}, false
	}
	return s.fleet.Engine.Models[i], true
}

// spareFor returns the model for a server without weights in domain: the one that is
// needed most for each load that a replica of it still takes there. The need counts
// twice, since servers that change over for good are lost to the other model.
func (s *step) spareFor(domain string) site.Model {
	return slices.MaxFunc(s.needs(), func(a, b site.Model) int {
		return cmp.Compare(s.need(a)*s.need(a)/s.missing(domain, a), s.need(b)*s.need(b)/s.missing(domain, b))
	})
}

// missing returns how many loads a replica of m takes in domain, with the servers
// there that serve in none.
func (s *step) missing(domain string, m site.Model) float64 {
	have := 0
	for id, server := range s.fleet.Servers {
		if server.FabricDomain != domain || s.serving[id] || !s.usable(server) {
			continue
		}
		if s.cost(server, m) < m.Load || s.planner.loading[id].model == m.Name {
			have++
		}
	}
	return float64(max(m.Size-have%max(m.Size, 1), 1))
}

// loadSeen is when an order to load shows in the list at the earliest.
const loadSeen = 2 * time.Second

// onlyOne returns whether server can run one model or none.
func (s *step) onlyOne(server site.Server) bool {
	last := s.fleet.LastModel[server.ID]
	return len(server.Staged) == 0 || last != "" && len(s.fleet.Engine.Models) > 1 && slices.Contains(server.Staged, last)
}

// longestLoad returns the longest time that a load takes.
func longestLoad(e *site.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return longest
}
