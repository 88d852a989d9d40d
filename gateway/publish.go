package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// publish builds a new view and stores it for the requests that follow.
func (c *controller) publish(now time.Duration) {
	c.dirty = false
	v := &View{
		Configuration: c.configuration, Services: c.services, DomainsOut: c.domainsOut, Replicas: make(map[servedModel][]Replica), OtherDomainEpochs: make(map[int64]bool), PlainServers: make(map[string][]PlainServer),
		Peers: make(map[string]heartbeat), IncarnationByFront: make(map[string]string), Daemons: 1, Ready: c.canServe(), PeersLoaded: c.loadedTopics[platform.TopicDaemons],
	}
	c.addDaemons(v)
	c.observeLevels(v)
	if c.configuration != nil {
		listed := c.consistentServers()
		v.Servers = make(map[string]site.Server, len(listed))
		for _, s := range listed {
			// Of two servers at one address, the earlier run has ended, or its entry is one of another writer.
			if other, ok := v.Servers[s.server.Address]; !ok || s.server.Born > other.Born {
				v.Servers[s.server.Address] = s.server
			}
			c.addPlainServer(v, s)
		}
		c.addReplicas(now, v, listed)
	}
	c.announceNewReplicas(now, v)
	old := c.gateway.view.Load()
	c.gateway.monitor.Check(old.Configuration == nil || v.Configuration.Version >= old.Configuration.Version,
		invariant.ConfigurationOffset, "configuration would revert")
	c.gateway.view.Store(v)
	if v.Ready != old.Ready {
		c.gateway.requestHeartbeat()
	}
}

// addDaemons adds what daemons report of themselves in heartbeats.
func (c *controller) addDaemons(v *View) {
	for _, key := range slices.Sorted(maps.Keys(c.daemons)) {
		h := c.daemons[key].Heartbeat
		v.Fronts = append(v.Fronts, key)
		if h.Ready && !h.Leaving && key != c.gateway.settings.Front {
			v.Addresses = append(v.Addresses, h.Front)
		}
		if h.Incarnation == c.gateway.incarnation {
			continue
		}
		v.Daemons++
		v.Peers[h.Incarnation], v.IncarnationByFront[h.Front] = h, h.Incarnation
	}
	if v.Ready {
		v.Addresses = append(v.Addresses, c.gateway.settings.Front)
	}
	if len(v.Addresses) > platform.MaxAddresses {
		v.Addresses = v.Addresses[len(v.Addresses)-platform.MaxAddresses:]
	}
}

// addPlainServer adds a server of a service without an engine, if it may get requests.
func (c *controller) addPlainServer(v *View, e serverEntry) {
	s := e.server
	service := c.services[s.Service]
	if service == nil || service.Engine != nil || s.Draining || c.domainsOut[s.FailureDomain] {
		return
	}
	v.PlainServers[s.Service] = append(v.PlainServers[s.Service], PlainServer{Server: s, ColdUntil: e.coldUntil})
}

// addReplicas adds the replicas that serve: all their members report the same epoch, and the head
// is open.
func (c *controller) addReplicas(now time.Duration, v *View, listed []serverEntry) {
	members := make(map[string][]serverEntry)
	for _, e := range listed {
		if m := e.server.Member; m.State >= site.Ready {
			members[m.Group] = append(members[m.Group], e)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if r, ok := c.buildReplica(now, name, members[name]); ok {
			key := servedModel{service: r.Head.Service, model: r.Model.Name}
			v.Replicas[key] = append(v.Replicas[key], r)
			if r.Head.FailureDomain != c.gateway.settings.FailureDomain {
				v.OtherDomainEpochs[r.Epoch] = true
			}
		}
	}
}

// buildReplica returns the replica of the given members if it serves. A head that is not listed
// gets no new requests; other members may be cut off from the store.
func (c *controller) buildReplica(now time.Duration, name string, members []serverEntry) (Replica, bool) {
	service := c.services[members[0].server.Service]
	if service == nil || service.Engine == nil {
		return Replica{}, false
	}
	model, ok := service.Engine.Model(formation.ModelOf(name))
	if !ok || len(members) != model.Size {
		return Replica{}, false
	}
	r := Replica{Name: name, Model: model, Members: make([]string, model.Size), Epoch: members[0].server.Member.Epoch}
	for _, e := range members {
		s := e.server
		if e.cutOff && s.Member.Rank == 0 || s.Draining || c.domainsOut[s.FailureDomain] || s.Member.Epoch != r.Epoch || s.Member.Rank >= model.Size || r.Members[s.Member.Rank] != "" {
			return Replica{}, false
		}
		if _, dead := c.leadership.dead[s.ID]; dead {
			return Replica{}, false
		}
		r.Members[s.Member.Rank] = s.ID
		if s.Member.Rank == 0 {
			r.Head, r.ColdUntil = s, e.coldUntil
		}
	}
	if r.ColdUntil <= now {
		r.ColdUntil = 0
	}
	return r, r.Head.Member.State == site.Open
}
