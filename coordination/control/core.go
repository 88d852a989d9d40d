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

// Bounds are the times and counts that the control state is judged by.
type Bounds struct {
	Freshness        freshness.Bounds
	Lease            lease.Timing
	ReportAge        time.Duration
	DeadAfter        time.Duration
	PeerForget       time.Duration
	ColdHold         time.Duration
	SnapshotInterval time.Duration
}

// A Identity is what a daemon knows of itself from its settings.
type Identity struct {
	Daemon        string
	Incarnation   string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	Weight        int
}

// A instanceState is what the daemon knows of one instance.
type instanceState struct {
	instance       fleet.Instance
	report         fleet.Report
	reportedAt     time.Time
	refused        bool
	failedAt       time.Time
	coldUntil      time.Time
	ordersInFlight map[string]time.Time
}

// A peer is another daemon as this one last heard it.
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
	// orderCount is the number of orderCount given.
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

// A lastSnapshot is the newest configuration snapshot that was read or asked
// for, and when.
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

// Changed returns whether an event since the last View changed what traffic must
// know at once, and not only at the next Tick.
func (c *Core) Changed() bool { return c.changed }

// Step folds event at now and returns what to do.
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

// requireNewReports asks for new reports of the instances that operators have brought back
// into service since before: what they last reported may be from before they left,
// and they may have turned cold.
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

// applyAppendResult forgets a lease claim whose append surely failed.
func (c *Core) applyAppendResult(e AppendDone) {
	if e.Err != nil && e.Append.Entry.Lease != nil {
		c.leases.CancelClaim(e.Append.Entry.Lease.Scope)
	}
}

// applyChange folds one configuration record.
func (c *Core) applyChange(offset uint64, record configuration.Record) {
	c.config, _ = c.config.Apply(offset, record)
}

// applyFailure takes first-hand evidence that an instance failed.
func (c *Core) applyFailure(e InstanceFailed) {
	if s, ok := c.instances[e.Instance]; ok && e.FailedAt.After(s.failedAt) {
		s.failedAt, c.changed = e.FailedAt, true
	}
}

// applyCooled takes first-hand evidence that an instance has turned cold. Its reports,
// which lag, do not count as warm until the hold has passed.
func (c *Core) applyCooled(now time.Time, e InstanceCooled) {
	if s, ok := c.instances[e.Instance]; ok {
		s.coldUntil, c.changed = now.Add(c.bounds.ColdHold), true
	}
}

// applyList takes the platform's list as a hint: it adds instances and addresses
// and marks those leaving, and removes only instances that are silent as well.
func (c *Core) applyList(e InstancesListed) {
	named := make(map[string]bool, len(e.Instances))
	for _, i := range e.Instances {
		named[i.Name] = true
		s, ok := c.instances[i.Name]
		if !ok {
			s = &instanceState{ordersInFlight: make(map[string]time.Time)}
			c.instances[i.Name] = s
		}
		s.instance = i
	}
	for name, s := range c.instances {
		if !named[name] && (s.refused || s.reportedAt.IsZero()) {
			delete(c.instances, name)
		}
	}
}

// applyLogRead folds the records that a read of the log returned.
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

// applyConfigurationRead folds configuration records. Records after a gap that
// retention left wait until a snapshot, from the log or a peer, covers the gap.
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

// applyOrderResult takes the report that came with an order's answer, and lets an
// order that was not accepted be sent again.
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

// applyHeartbeat takes a heartbeat and the configuration that came with it. What it
// proves of the present counts from when this daemon sent the heartbeat that it
// echoes, since it may have waited in a queue while this daemon was paused.
func (c *Core) applyHeartbeat(now time.Time, h Heartbeat) {
	if known, ok := c.peers[h.Daemon]; len(h.Drains) > 0 || ok && len(known.heartbeat.Drains) > 0 {
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

// applyReport takes an engine's report, unless a later one is known.
func (c *Core) applyReport(e ReportReceived) {
	s, ok := c.instances[e.Report.Instance]
	if !ok || e.RequestedAt.Before(s.reportedAt) {
		return
	}
	c.changed = c.changed || s.refused || reportChanged(s.report, e.Report)
	s.report, s.reportedAt, s.refused = e.Report, e.RequestedAt, false
}

// applyReportFailure takes the failure of an instance to answer.
func (c *Core) applyReportFailure(e ReportFailed) {
	if s, ok := c.instances[e.Instance]; ok && e.Refused {
		c.changed = c.changed || !s.refused
		s.refused = true
	}
}

// reportChanged returns whether traffic must know at once that a became b.
func reportChanged(a, b fleet.Report) bool {
	return a.Phase != b.Phase || a.Warm != b.Warm || a.Leaving != b.Leaving || a.Assignment.Generation != b.Assignment.Generation
}

// excluded returns whether operators have decided that i gets no new work.
func (c *Core) excluded(i fleet.Instance) bool {
	return c.config.DomainOut(i.FailureDomain) || c.config.InstanceCordoned(i.Name)
}

// hasCurrentReport returns whether s was reported lately enough to give work on.
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

// enginesOf returns the sightings of the engines of a failure domain, sorted.
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
