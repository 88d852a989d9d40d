package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// An endedBy says who ended a call that has no complete answer of a server.
type endedBy string

// The parties that end a call, as they appear in logs and metrics.
const (
	// endedByServer means that the last server failed, broke its answer off or declined.
	endedByServer endedBy = "server"
	// endedByDaemon means that this daemon, or the one that passed the request on, gave the last attempt
	// up, although its server may have gone on.
	endedByDaemon endedBy = "daemon"
	// endedByCaller means that the caller closed its connection.
	endedByCaller endedBy = "caller"
	// endedByDeadline means that the time of the call was up.
	endedByDeadline endedBy = "deadline"
)

// endOf returns who ended a call whose context is ctx and whose last attempt failed with err.
func endOf(ctx context.Context, err error) endedBy {
	switch {
	case errors.Is(context.Cause(ctx), errDrainEnded):
		return endedByDaemon
	case errors.Is(ctx.Err(), context.Canceled):
		return endedByCaller
	case ctx.Err() != nil:
		return endedByDeadline
	case errors.Is(err, errConvictedPart) || errors.Is(err, errBufferFull) || isHelperLost(err):
		return endedByDaemon
	}
	return endedByServer
}

// changeSettling is how long after the time within which a configuration must be in force a change
// still counts as under way, as the platform documents it.
const changeSettling = time.Second

// besideChange returns whether a configuration was applied shortly before.
func (g *Gateway) besideChange() bool {
	applied := time.Duration(g.configurationAt.Load())
	return applied != 0 && clock.Boot()-applied <= g.bounds().Apply+changeSettling
}

// countEnd counts the outcome of a call by who ended it, so that calls that end beside a change of the
// configuration can be compared with the others.
func (g *Gateway) countEnd(c *call, outcome string) {
	key := outcome
	if c.endedBy != "" {
		key += "_by_" + string(c.endedBy)
	}
	g.metrics.ends.Add(key, 1)
	if g.besideChange() {
		g.metrics.endsBesideChange.Add(key, 1)
	}
}

// addEnd adds to the line of a call that has no complete answer who ended it, the time that it had left,
// and the configurations of its start and of its end.
func (g *Gateway) addEnd(line *log.Entry, c *call, status int) *log.Entry {
	if c.endedBy == "" {
		return line
	}
	line = line.Str("ended_by", string(c.endedBy)).Dur("left", time.Until(c.deadline)).Int64("configuration", c.version)
	if now := g.view.Load().Configuration; now != nil && now.Version != c.version {
		line = line.Int64("configuration_now", now.Version)
	}
	return line.Bool("beside_change", g.besideChange()).Bool("connection_cut", status == http.StatusOK)
}
