package gateway

import (
	"reflect"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// bounds returns the current bounds.
func (g *Gateway) bounds() site.Bounds { return *g.currentBounds.Load() }

// Reload applies the bounds of s. Addresses and process limits change only on restart.
func (g *Gateway) Reload(s site.Settings) {
	old := *g.currentBounds.Swap(&s.Bounds)
	other := s
	other.Bounds = g.settings.Bounds
	g.logger.Info().Str("event", "reload").Bool("bounds_changed", old != s.Bounds).
		Bool("needs_restart", !reflect.DeepEqual(other, g.settings)).Msg("settings reloaded")
}
