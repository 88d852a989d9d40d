package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// newServingView returns a view with a replica and a server of a plain service, both in the failure
// domain north, of which the latter is cold.
func newServingView() *View {
	model := site.Model{Name: "small", Size: 1, Pace: 1}
	head := site.Server{ID: "m0", Address: "127.0.0.1:1", Service: "models", FailureDomain: "north"}
	plain := site.Server{ID: "p0", Address: "127.0.0.1:2", Service: "plain", FailureDomain: "north"}
	return &View{
		Configuration: &site.Configuration{},
		Services: map[string]*site.Service{
			"models": {Name: "models", Engine: &site.Engine{Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadPerSecond: 10000, Models: []site.Model{model}}},
			"plain":  {Name: "plain", ColdPerSecond: 4},
		},
		Replicas:     map[servedModel][]Replica{{service: "models", model: "small"}: {{Name: "small-1", Epoch: 1, Model: model, Head: head, Members: []string{"m0"}}}},
		PlainServers: map[string][]PlainServer{"plain": {{Server: plain, ColdUntil: clock.Boot() + time.Minute}}},
		Servers:      map[string]site.Server{head.Address: head, plain.Address: plain},
		Daemons:      1,
	}
}

// TestChoiceReadsOneView guards against a choice of a server that mixes two views, where the controller
// has published one without that server meanwhile.
func TestChoiceReadsOneView(t *testing.T) {
	newGateway := func() *Gateway {
		g := newController().gateway
		g.currentBounds.Store(&site.Bounds{ColdOverage: 1.5, ColdSlack: 5, Revoke: time.Hour})
		g.confirmedAt.Store(int64(clock.Boot()))
		g.view.Store(&View{Configuration: &site.Configuration{}, DomainsOut: map[string]bool{"north": true}, Daemons: 1})
		return g
	}
	t.Run("replica", func(t *testing.T) {
		g, view := newGateway(), newServingView()
		c := &call{request: platform.Request{Size: dispatch.RequestSize{Model: "small", Prompt: 10, Answer: 10}}, service: view.Services["models"]}
		c.route, c.deadline = &site.Route{Target: time.Second}, time.Now().Add(time.Minute)
		replica, refused := g.chooseReplica(view, &stream{call: c})
		require.Nil(t, refused)
		g.checkDispatch(view, replica)
		require.Zero(t, g.monitor.TotalViolations())
	})
	t.Run("cold_plain_server", func(t *testing.T) {
		g, view := newGateway(), newServingView()
		sent := 0
		for range 50 {
			if _, ok, _ := g.choosePlain(view, &call{service: view.Services["plain"]}, nil); ok {
				sent++
			}
		}
		require.LessOrEqual(t, sent, 11)
		require.Positive(t, sent)
	})
}
