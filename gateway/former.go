package gateway

import (
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// servicesInUse returns the services of the configuration in force, next, and those services and models of
// before that are no longer in it but are in use: a request is served to its end by the configuration
// under which it was accepted.
func servicesInUse(next, before map[string]*site.Service, inUse func(service, model string) bool) map[string]*site.Service {
	out := make(map[string]*site.Service, len(next))
	maps.Copy(out, next)
	for name, former := range before {
		service, ok := next[name]
		switch {
		case !ok && inUse(name, ""):
			out[name] = former
		case ok && service.Engine != nil && former.Engine != nil:
			out[name] = withFormerModels(service, former, inUse)
		}
	}
	return out
}

// withFormerModels returns service with those models of former that it no longer has but that are in use.
func withFormerModels(service, former *site.Service, inUse func(service, model string) bool) *site.Service {
	out, engine := *service, *service.Engine
	engine.Models = slices.Clone(engine.Models)
	for _, m := range former.Engine.Models {
		if _, ok := service.Engine.Model(m.Name); !ok && inUse(service.Name, m.Name) {
			engine.Models = append(engine.Models, m)
		}
	}
	out.Engine = &engine
	return &out
}

// putInForce makes next the configuration in force.
func (c *controller) putInForce(next *site.Configuration) {
	c.configuration, c.services, c.dirty = next, servicesInUse(next.Services, c.services, c.isInUse), true
}

// isInUse returns whether a server of service is listed, with a membership in a replica of model if one is
// given.
func (c *controller) isInUse(service, model string) bool {
	for _, e := range c.servers.all() {
		if s := e.server; s.Service == service && (model == "" || formation.ModelOf(s.Member.Group) == model) {
			return true
		}
	}
	return false
}
