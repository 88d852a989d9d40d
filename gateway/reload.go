package gateway

import (
	"reflect"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// bounds returns the bounds in force.
func (g *Gateway) bounds() site.Bounds { return *g.currentBounds.Load() }

// Reload puts the bounds of s in force. Addresses and limits of the process stay
// until it starts again.
func (g *Gateway) Reload(s site.Settings) {
	old := *g.currentBounds.Swap(&s.Bounds)
	other := s
	other.Bounds = g.settings.Bounds
	g.logger.Info().Str("event", "reload").Bool("bounds_changed", old != s.Bounds).
		Bool("needs_restart", !reflect.DeepEqual(other, g.settings)).Msg("settings were read again")
}
