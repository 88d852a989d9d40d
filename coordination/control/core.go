package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/freshness"
	"github.com/hawthornrock/hawthornrock/coordination/lease"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// Bounds are the timeouts and intervals that a Core applies. ReportAge is how long a report
// may be used for routing, DeadAfter how long an engine may be silent before its replica is
// placed anew, PeerForget how long a silent peer is remembered, ColdHold how long an instance
// that turned cold counts as cold whatever it reports, and SnapshotInterval how often the
// configuration is written to the log as a whole.
type Bounds struct {
	Freshness        freshness.Bounds
	Lease            lease.Timing
	ReportAge        time.Duration
	DeadAfter        time.Duration
	PeerForget       time.Duration
	ColdHold         time.Duration
	SnapshotInterval time.Duration
}

// An Identity describes a daemon to its peers, as its settings give it.
type Identity struct {
	Daemon        string
	Incarnation   string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	Weight        int
}

// An instanceState is the latest state of one instance as this daemon has received it.
// Reports requested up to failedAt don't count as current.
type instanceState struct {
	instance       fleet.Instance
	report         fleet.Report
	reportedAt     time.Time
	refused        bool
	failedAt       time.Time
	coldUntil      time.Time
	ordersInFlight map[string]time.Time
}

// A peer is another daemon with its last heartbeat.
type peer struct {
	heartbeat Heartbeat
	lastSeen  time.Time
}

// A Core is the control state of one daemon. Make one with New. It is not safe
// for concurrent use.
type Core struct {
	self   Identity
	bounds Bounds

	config         configuration.State
	configNext     uint64
	pendingEntries []Entry
	snapshot       lastSnapshot
	leases         lease.Manager
	freshness      freshness.State
	leaving        bool
	instances      map[string]*instanceState
	peers          map[string]*peer
	generationSeq  uint64
	// orderCount is the number of orders issued since the start; it makes their ids unique.
	orderCount      uint64
	terms           map[string]termStart
	drains          map[string][]string
	startedAt       time.Time
	heartbeatSeq    uint64
	heartbeatSentAt map[uint64]time.Time
	changed         bool
}

// A termStart is when this daemon first acted under a term.
type termStart struct {
	term  uint64
	since time.Time
}

// A lastSnapshot is the offset of the newest configuration snapshot that was read from the
// log or submitted for append, and the time at which that happened.
type lastSnapshot struct {
	offset uint64
	at     time.Time
}

// New returns the control state of a daemon that has just started.
func New(self Identity, bounds Bounds) *Core {
	return &Core{
		self:            self,
		bounds:          bounds,
		leases:          lease.Manager{Self: self.Daemon + "#" + self.Incarnation, Timing: bounds.Lease},
		freshness:       freshness.State{Peers: make(map[string]freshness.Peer)},
		instances:       make(map[string]*instanceState),
		peers:           make(map[string]*peer),
		terms:           make(map[string]termStart),
		drains:          make(map[string][]string),
		heartbeatSentAt: make(map[uint64]time.Time),
	}
}

// Configuration returns the configuration that this daemon has in force.
func (c *Core) Configuration() configuration.State { return c.config }

// Changed returns whether an event since the last View changed something that affects routing
// and must be published at once rather than at the next Tick.
func (c *Core) Changed() bool { return c.changed }

// Step applies event at time now and returns the commands to carry out.
func (c *Core) Step(now time.Time, event Event) []Command {
	before := c.config
	defer func() {
		if c.config.Offset != before.Offset {
			c.changed = true
			c.requireNewReports(now, before)
		}
	}()
	switch e := event.(type) {
	case LogRead:
		c.applyLogRead(now, e)
	case LogReadFailed:
		c.freshness.LogDown = true
	case AppendDone:
		c.applyAppendResult(e)
	case InstancesListed:
		c.applyList(e)
	case ReportReceived:
		c.applyReport(e)
	case ReportFailed:
		c.applyReportFailure(e)
	case InstanceFailed:
		c.applyFailure(e)
	case InstanceCooled:
		c.applyCooled(now, e)
	case OrderDone:
		c.applyOrderResult(now, e)
	case HeartbeatReceived:
		c.applyHeartbeat(now, e.Heartbeat)
	case Leave:
		c.leaving, c.changed = true, true
	case Tick:
		return c.tick(now)
	}
	return nil
}

// requireNewReports invalidates the reports of instances that operators have returned to
// service since the configuration before. The last report may date from before the instance
// was taken out, and the instance may have turned cold since.
func (c *Core) requireNewReports(now time.Time, before configuration.State) {
	for _, s := range c.instances {
		domain, name := s.instance.FailureDomain, s.instance.Name
		back := before.DomainOut(domain) && !c.config.DomainOut(domain) ||
			before.InstanceCordoned(name) && !c.config.InstanceCordoned(name)
		if back && now.After(s.failedAt) {
			s.failedAt = now
		}
	}
}

// applyAppendResult cancels a pending lease claim if its append failed.
func (c *Core) applyAppendResult(e AppendDone) {
	if e.Err != nil && e.Append.Entry.Lease != nil {
		c.leases.CancelClaim(e.Append.Entry.Lease.Scope)
	}
}

// applyChange applies one configuration record.
func (c *Core) applyChange(offset uint64, record configuration.Record) {
	c.config, _ = c.config.Apply(offset, record)
}

// applyFailure records that this daemon itself saw an instance fail.
func (c *Core) applyFailure(e InstanceFailed) {
	if s, ok := c.instances[e.Instance]; ok && e.FailedAt.After(s.failedAt) {
		s.failedAt, c.changed = e.FailedAt, true
	}
}

// applyCooled records that a daemon saw an instance turn cold. Reports lag behind, so the
// instance does not count as warm again until ColdHold has passed.
func (c *Core) applyCooled(now time.Time, e InstanceCooled) {
	if s, ok := c.instances[e.Instance]; ok {
		s.coldUntil, c.changed = now.Add(c.bounds.ColdHold), true
	}
}

// applyList applies the platform's list of instances. The list is only a hint: it adds
// instances, updates their addresses and marks those that are leaving, but an instance that
// is missing from it is removed only if it refuses connections or has never reported.
func (c *Core) applyList(e InstancesListed) {
	listed := make(map[string]bool, len(e.Instances))
	for _, i := range e.Instances {
		listed[i.Name] = true
		s, ok := c.instances[i.Name]
		if !ok {
			s = &instanceState{ordersInFlight: make(map[string]time.Time)}
			c.instances[i.Name] = s
		}
		s.instance = i
	}
	for name, s := range c.instances {
		if !listed[name] && (s.refused || s.reportedAt.IsZero()) {
			delete(c.instances, name)
		}
	}
}

// applyLogRead applies the records that a read of the log returned.
func (c *Core) applyLogRead(now time.Time, e LogRead) {
	c.freshness.LogDown = false
	if e.Stream == StreamConfiguration {
		c.applyConfigurationRead(e)
		return
	}
	for _, entry := range e.Entries {
		switch {
		case entry.Snapshot != nil:
			c.config = c.config.Restore(*entry.Snapshot)
			c.snapshot = lastSnapshot{offset: max(c.snapshot.offset, entry.Snapshot.Offset), at: now}
		case entry.Lease != nil:
			c.leases.Observe(now, entry.Offset, e.Horizon, *entry.Lease)
		}
	}
}

// applyConfigurationRead applies configuration records. If retention has removed records that
// this daemon has not read, later ones are kept pending until a snapshot, from the log or from
// a peer, covers the gap.
func (c *Core) applyConfigurationRead(e LogRead) {
	c.pendingEntries = append(c.pendingEntries, e.Entries...)
	if c.configNext < e.Horizon && c.config.Offset+1 < e.Horizon {
		return
	}
	for _, entry := range c.pendingEntries {
		if entry.Change != nil {
			c.applyChange(entry.Offset, *entry.Change)
		}
	}
	c.pendingEntries = nil
	c.configNext = max(c.configNext, e.Next)
	c.freshness.ConfirmedAt = e.RequestedAt
	c.freshness.Offset = c.config.Offset
}

// applyOrderResult ends an order whose result is known and applies the report that came with
// it. An order that failed stays in flight until its deadline, as it may still take effect.
func (c *Core) applyOrderResult(now time.Time, e OrderDone) {
	s, ok := c.instances[e.Order.Instance]
	if !ok {
		return
	}
	if e.Err == nil {
		delete(s.ordersInFlight, e.Order.ID)
	}
	if e.Err == nil && e.Result.Report.Instance == e.Order.Instance {
		c.changed = true
		s.report, s.reportedAt = e.Result.Report, now
	}
}

// applyHeartbeat applies a peer's heartbeat and the configuration that came with it. For
// freshness, the heartbeat is dated to the time at which this daemon sent the heartbeat that
// it echoes, not to its receipt: it may have waited in a queue while this daemon was paused.
func (c *Core) applyHeartbeat(now time.Time, h Heartbeat) {
	if last, ok := c.peers[h.Daemon]; len(h.Drains) > 0 || ok && len(last.heartbeat.Drains) > 0 {
		c.changed = true
	}
	c.peers[h.Daemon] = &peer{heartbeat: h, lastSeen: now}
	if h.Configuration != nil {
		c.config = c.config.Restore(*h.Configuration)
		c.freshness.Offset = max(c.freshness.Offset, c.config.Offset)
	}
	if h.Leaving {
		delete(c.freshness.Peers, h.Daemon)
		return
	}
	p := c.freshness.Peers[h.Daemon]
	if sent, ok := c.heartbeatSentAt[h.Echoes[c.self.Incarnation]]; ok {
		p = freshness.Peer{LastSeen: sent, Offset: h.Offset, LogDown: h.LogDown}
		if h.ConfirmedAge >= 0 {
			p.ConfirmedAt = sent.Add(-h.ConfirmedAge)
		}
	}
	c.freshness.Peers[h.Daemon] = p
}

// applyReport applies an engine's report unless a later one has been applied.
func (c *Core) applyReport(e ReportReceived) {
	s, ok := c.instances[e.Report.Instance]
	if !ok || e.RequestedAt.Before(s.reportedAt) {
		return
	}
	c.changed = c.changed || s.refused || reportChanged(s.report, e.Report)
	s.report, s.reportedAt, s.refused = e.Report, e.RequestedAt, false
}

// applyReportFailure records that an instance refuses connections. Other failures change
// nothing: the last report expires by its age.
func (c *Core) applyReportFailure(e ReportFailed) {
	if s, ok := c.instances[e.Instance]; ok && e.Refused {
		c.changed = c.changed || !s.refused
		s.refused = true
	}
}

// reportChanged returns whether the step from report a to report b affects routing, so that it
// must be published at once.
func reportChanged(a, b fleet.Report) bool {
	return a.Phase != b.Phase || a.Warm != b.Warm || a.Leaving != b.Leaving || a.Assignment.Generation != b.Assignment.Generation
}

// excluded returns whether operators have taken i out of service, by itself or with its
// failure domain.
func (c *Core) excluded(i fleet.Instance) bool {
	return c.config.DomainOut(i.FailureDomain) || c.config.InstanceCordoned(i.Name)
}

// hasCurrentReport returns whether the last report of s is recent enough for routing.
func (c *Core) hasCurrentReport(now time.Time, s *instanceState) bool {
	return s.reportedAt.After(s.failedAt) && !s.refused && now.Sub(s.reportedAt) < c.bounds.ReportAge
}

// failureDomains returns the failure domains of all engines, sorted.
func (c *Core) failureDomains() []string {
	domains := make(map[string]bool)
	for _, s := range c.instances {
		if s.instance.Kind == fleet.KindEngine {
			domains[s.instance.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// enginesOf returns the engines of a failure domain, sorted by name.
func (c *Core) enginesOf(domain string) []*instanceState {
	var out []*instanceState
	for _, s := range c.instances {
		if s.instance.FailureDomain == domain && s.instance.Kind == fleet.KindEngine {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *instanceState) int { return cmp.Compare(a.instance.Name, b.instance.Name) })
	return out
}
