package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A load is the start of loading the weights of a model onto a server.
type load struct {
	model string
	at    time.Duration
}

// mayLoad returns whether another load may start now.
func (s *step) mayLoad() bool {
	p, atOnce := s.planner, s.fleet.Engine.LoadsAtOnce
	if atOnce > 0 && len(p.loading) >= atOnce {
		return false
	}
	p.loadStarts = slices.DeleteFunc(p.loadStarts, func(at time.Duration) bool { return s.now-at > s.fleet.LoadWindow })
	limit := s.fleet.LoadLimit
	if s.now-p.termStart < s.fleet.LoadWindow {
		// The previous leader may have used up a part of the limit.
		limit /= 2
	}
	return float64(len(p.loadStarts)+1) <= limit
}

// load orders server to load m onto its host, and counts it against the limits.
func (s *step) load(server site.Server, m site.Model) {
	if s.orderStage(server, m) {
		s.planner.loading[server.ID] = load{model: m.Name, at: s.now}
		s.planner.loadStarts = append(s.planner.loadStarts, s.now)
	}
}

// stageModels orders idle servers without weights to load the model that their fabric domain is
// likely to need.
func (s *step) stageModels() {
	for id, l := range s.planner.loading {
		server, ok := s.fleet.Servers[id]
		if ok && s.now-l.at > 2*longestLoadTime(s.fleet.Engine) && s.fleet.TrafficStarted && len(server.Staged) == 0 {
			s.planner.recordFailure(s.now, id)
		}
		if !ok || s.now-l.at > 2*longestLoadTime(s.fleet.Engine) || s.now-l.at > loadVisibleAfter && !s.runsAtMostOneModel(server) {
			delete(s.planner.loading, id)
		}
	}
	if !s.fleet.TrafficStarted {
		s.stageBeforeTraffic()
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
		for _, server := range s.idle[domain] {
			_, loading := s.planner.loading[server.ID]
			if len(server.Staged) > 0 || s.fleet.LastModel[server.ID] != "" || loading || !s.mayLoad() {
				continue
			}
			m := s.modelToStage(domain)
			s.load(server, m)
		}
	}
	s.stageSecondModels()
}

// stageSecondModels orders servers that can run only one model to load the other one onto their
// hosts while they go on serving, so that they can switch later. Idle servers go first.
func (s *step) stageSecondModels() {
	for _, idle := range []bool{true, false} {
		for _, id := range slices.Sorted(maps.Keys(s.fleet.Servers)) {
			server := s.fleet.Servers[id]
			_, loading := s.planner.loading[id]
			if s.busy[id] == idle || loading || !s.assignable(server) || s.outOfService(server) || !s.mayLoad() {
				continue
			}
			last := s.fleet.LastModel[id]
			if last == "" || server.Member.State == site.Joining || !s.runsAtMostOneModel(server) {
				continue
			}
			if m, ok := s.otherModel(last); ok {
				s.load(server, m)
			}
		}
	}
}

// stageBeforeTraffic orders members that are ready to load a model that they do not run onto their
// hosts, so that they can switch without a load, and idle servers to load one. This has no cost
// only before traffic starts. A member that rejoins a replica of its own model does not need the
// host's copy.
func (s *step) stageBeforeTraffic() {
	if s.listSettled() {
		costs := s.lossCosts()
		for _, domain := range slices.Sorted(maps.Keys(s.idle)) {
			spares := s.spareModels(costs[domain], len(s.idle[domain]))
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
		if m, ok := s.otherModel(own); ok && slices.Contains(server.Staged, own) {
			s.orderStage(server, m)
		}
	}
}

// lossCosts returns what server losses are likely to cost, by fabric domain and model: each server
// counts with the size of its replica, since its loss stops all members. Servers count for the
// model that they run or are about to run.
func (s *step) lossCosts() map[string]map[string]int {
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

// spareModels returns the models that n spare servers are to hold, in proportion to cost.
func (s *step) spareModels(cost map[string]int, n int) []site.Model {
	models, assigned := s.modelsByNeed(), make(map[string]int)
	out := make([]site.Model, 0, n)
	for range n {
		m := slices.MaxFunc(models, func(a, b site.Model) int {
			return cmp.Compare((cost[a.Name]+1)*(assigned[b.Name]+1), (cost[b.Name]+1)*(assigned[a.Name]+1))
		})
		assigned[m.Name]++
		out = append(out, m)
	}
	return out
}

// otherModel returns a model other than the one with the given name, if there is one.
func (s *step) otherModel(name string) (site.Model, bool) {
	i := slices.IndexFunc(s.fleet.Engine.Models, func(m site.Model) bool { return m.Name != name })
	if i < 0 {
		return site.Model{}, false
	}
	return s.fleet.Engine.Models[i], true
}

// modelToStage returns the model for a server without weights in domain: the one with the greatest
// need for each load that a replica of it still requires there. The need is squared, since servers
// that switch permanently are lost to the other model.
func (s *step) modelToStage(domain string) site.Model {
	return slices.MaxFunc(s.modelsByNeed(), func(a, b site.Model) int {
		return cmp.Compare(s.need(a)*s.need(a)/s.missingLoads(domain, a), s.need(b)*s.need(b)/s.missingLoads(domain, b))
	})
}

// missingLoads returns how many loads another replica of m requires in domain, given the servers
// there that serve in no replica.
func (s *step) missingLoads(domain string, m site.Model) float64 {
	have := 0
	for id, server := range s.fleet.Servers {
		if server.FabricDomain != domain || s.serving[id] || !s.usable(server) {
			continue
		}
		if s.timeToReady(server, m) < m.Load || s.planner.loading[id].model == m.Name {
			have++
		}
	}
	return float64(max(m.Size-have%max(m.Size, 1), 1))
}

// loadVisibleAfter is the earliest time after an order to load at which the list shows its effect.
const loadVisibleAfter = 2 * time.Second

// runsAtMostOneModel returns whether server can run at most one model without a load.
func (s *step) runsAtMostOneModel(server site.Server) bool {
	last := s.fleet.LastModel[server.ID]
	return len(server.Staged) == 0 || last != "" && len(s.fleet.Engine.Models) > 1 && slices.Contains(server.Staged, last)
}

func longestLoadTime(e *site.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return longest
}
