package gateway

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// admitsCold returns whether server, which is cold until a time on the boot clock, bears one more
// request of this daemon; with take set the request is counted. The caller holds the board's
// lock.
func (g *Gateway) admitsCold(s *targetState, server site.Server, coldUntil time.Duration, take bool) bool {
	now, view := clock.Boot(), g.view.Load()
	service := view.Configuration.Services[server.Service]
	if now >= coldUntil || service == nil || service.ColdPerSecond <= 0 {
		return true
	}
	bounds := g.bounds()
	if !budget.SendsCold(g.settings.Front, server.ID, view.Fronts) {
		return false
	}
	s.coldBucket.Rate, s.coldBucket.Burst = budget.ColdShare(service.ColdPerSecond*bounds.ColdOverage+bounds.ColdSlack, view.Daemons)
	if take {
		return s.coldBucket.Take(now)
	}
	trial := s.coldBucket
	return trial.Take(now)
}
