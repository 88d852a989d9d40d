package gateway

import (
	"reflect"

	"github.com/hawthornrock/hawthornrock/state/policy"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// bounds returns the current bounds.
func (g *Gateway) bounds() site.Bounds { return *g.currentBounds.Load() }

// policy returns the operators' current policy.
func (g *Gateway) policy() *policy.Policy { return g.currentPolicy.Load() }

// Reload applies the bounds and the policy of s. Addresses and process limits change only on restart.
func (g *Gateway) Reload(s site.Settings) {
	old := *g.currentBounds.Swap(&s.Bounds)
	oldPolicy := g.currentPolicy.Swap(&s.Policy)
	other := s
	other.Bounds, other.Policy = g.settings.Bounds, g.settings.Policy
	g.logger.Info().Str("event", "reload").Bool("bounds_changed", old != s.Bounds).
		Bool("policy_changed", !reflect.DeepEqual(*oldPolicy, s.Policy)).Bool("needs_restart", !reflect.DeepEqual(other, g.settings)).Msg("settings reloaded")
}
