package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// A runVerified is the result of asking a member of a replica whether it still runs, since server, the entry
// in record, says that it has restarted.
type runVerified struct {
	record relay.Record
	// era is that of the record's offset.
	era       int64
	server    site.Server
	before    site.Server
	stillRuns bool
}

// replacedMember returns the member of a replica that has restarted according to s, if there is one.
func (r *roster) replacedMember(s site.Server) (site.Server, bool) {
	e, known := r.entries[s.ID]
	member := e.server.Member.State >= site.Ready && e.server.Member.State != site.Broken && !e.server.Draining
	return e.server, known && member && e.server.Born != 0 && s.Born > e.server.Born
}

// verifyRun asks the member before whether it still runs. The leader would otherwise close its replica for
// an entry that another writer may have left.
func (c *controller) verifyRun(before, s site.Server, r relay.Record, era int64) {
	g := c.gateway
	g.work.Go(context.Background(), "verify run", func(ctx context.Context) error {
		g.enqueue(runVerified{record: r, era: era, server: s, before: before, stillRuns: g.stillRuns(ctx, before)})
		return nil
	})
}

// stillRuns returns whether the run s of a server answers a request for its report.
func (g *Gateway) stillRuns(ctx context.Context, s site.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.metrics.events.Add("probes", 1)
	now, err := g.engines.Report(ctx, s)
	return err == nil && now.Born == s.Born
}

// applyRunVerified applies an entry that says that a member has restarted, unless the member still runs.
func (c *controller) applyRunVerified(now time.Duration, m runVerified) {
	if m.era != c.topicEras[platform.TopicServers] {
		// The list has been read anew since, with this entry or without it.
		return
	}
	if m.stillRuns {
		c.recordBrokenEntry(now, m.record, fmt.Errorf("entry of server %q: start %d is not its own, it still runs since %d", m.server.ID, m.server.Born, m.before.Born))
		return
	}
	c.applyServer(now, m.record.Offset, m.server)
}
