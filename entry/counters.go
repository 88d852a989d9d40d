package entry

import (
	"expvar"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
)

// counters holds the expvar counters of one daemon. They are not published globally, so that several
// daemons can run in one process.
type counters struct {
	outcomes expvar.Map
	attempts expvar.Map
	events   expvar.Map
	tokens   expvar.Int
}

// newCounters returns counters that are all zero, with an entry for each outcome.
func newCounters() *counters {
	c := &counters{}
	c.outcomes.Init()
	c.attempts.Init()
	c.events.Init()
	for _, o := range []outcome.Outcome{outcome.Completed, outcome.Failed, outcome.NotRun, outcome.Unknown} {
		c.outcomes.Add(string(o), 0)
	}
	return c
}

// vars returns all counters and gauges of d as one expvar.Var.
func (d *Daemon) vars() expvar.Var {
	vars := new(expvar.Map).Init()
	vars.Set("invariants", d.monitor.Vars())
	vars.Set("outcomes", &d.counters.outcomes)
	vars.Set("attempts", &d.counters.attempts)
	vars.Set("events", &d.counters.events)
	vars.Set("tokens", &d.counters.tokens)
	gauge := func(name string, f func() any) { vars.Set(name, expvar.Func(f)) }
	gauge("in_flight", func() any { return d.traffic.totalInFlight() })
	gauge("claims", func() any { return d.claims.len() })
	gauge("peer_bytes_sent", func() any { return d.linkCounters.SentBytes.Load() })
	gauge("peer_bytes_received", func() any { return d.linkCounters.ReceivedBytes.Load() })
	gauge("peer_messages_dropped", func() any { return d.linkCounters.Dropped.Load() })
	gauge("configuration_offset", func() any { return d.view.Load().Configuration.Offset })
	return vars
}
