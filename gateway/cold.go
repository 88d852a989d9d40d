package gateway

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// admitsCold returns whether this daemon may send one more request to a server of view, which is cold
// until coldUntil on the boot clock. If take is set, the request is counted. The caller holds the lock of
// the attempt tracker.
func (g *Gateway) admitsCold(view *View, s *targetState, server site.Server, coldUntil time.Duration, take bool) bool {
	now := clock.Boot()
	service := view.Services[server.Service]
	if now >= coldUntil || service == nil || service.ColdPerSecond <= 0 {
		return true
	}
	bounds := g.bounds()
	if !budget.MaySendToCold(g.settings.Front, server.ID, view.Fronts) {
		return false
	}
	s.coldBucket.Rate, s.coldBucket.Burst = budget.ColdShare(service.ColdPerSecond*bounds.ColdOverage+bounds.ColdSlack, view.Daemons)
	if take {
		return s.coldBucket.Allow(now)
	}
	trial := s.coldBucket
	return trial.Allow(now)
}
