package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestServicesInUse guards against requests that lose their servers as their service or model leaves the
// configuration (P62), and against definitions that are kept without end.
func TestServicesInUse(t *testing.T) {
	plain := func(name string) *site.Service { return &site.Service{Name: name} }
	engine := func(models ...string) *site.Service {
		s := &site.Service{Name: "models", Engine: &site.Engine{}}
		for _, name := range models {
			s.Engine.Models = append(s.Engine.Models, site.Model{Name: name, Size: 2})
		}
		return s
	}
	for _, tc := range []struct {
		name         string
		next, before *site.Service
		used         map[string]bool
		want         *site.Service
	}{
		{"new", plain("a"), nil, nil, plain("a")},
		{"unchanged", plain("a"), &site.Service{Name: "a", ColdPerSecond: 3}, map[string]bool{"a/": true}, plain("a")},
		{"service_went", nil, plain("a"), map[string]bool{"a/": true}, plain("a")},
		{"service_went_with_its_servers", nil, plain("a"), nil, nil},
		{"model_went", engine("large"), engine("small", "large"), map[string]bool{"models/small": true}, engine("large", "small")},
		{"model_went_with_its_replicas", engine("large"), engine("small", "large"), nil, engine("large")},
		{"service_of_models_went", nil, engine("small"), map[string]bool{"models/": true}, engine("small")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := func(s *site.Service) map[string]*site.Service {
				out := make(map[string]*site.Service)
				if s != nil {
					out[s.Name] = s
				}
				return out
			}
			got := servicesInUse(list(tc.next), list(tc.before), func(service, model string) bool { return tc.used[service+"/"+model] })
			require.Equal(t, list(tc.want), got)
		})
	}
}

// TestReplicasOfAnotherService guards against a request that is run by the replica of another service with
// the same model, as where a service gets a new name (ROUTE).
func TestReplicasOfAnotherService(t *testing.T) {
	service := func(name string) *site.Service {
		return &site.Service{Name: name, Engine: &site.Engine{Models: []site.Model{{Name: "small", Size: 1}}}}
	}
	c := newController()
	c.putInForce(&site.Configuration{Services: map[string]*site.Service{"former": service("former")}})
	c.servers.put(0, 1, site.Server{ID: "s", Service: "former", Address: "a", Member: site.Membership{Group: "small/1", Epoch: 1, State: site.Open}}, 0)
	c.putInForce(&site.Configuration{Version: 1, Services: map[string]*site.Service{"latter": service("latter")}})
	c.publish(clock.Boot())
	view := c.gateway.view.Load()
	require.Len(t, view.Replicas[servedModel{service: "former", model: "small"}], 1)
	require.Empty(t, view.Replicas[servedModel{service: "latter", model: "small"}])
}
