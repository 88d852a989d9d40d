package control

import (
	"cmp"
	"fmt"
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
	Lease            lease.Terms
	ReportAge        time.Duration
	DeadAfter        time.Duration
	PeerForget       time.Duration
	ColdHold         time.Duration
	SnapshotInterval time.Duration
}

// A Self is what a daemon knows of itself from its settings.
type Self struct {
	Daemon        string
	Incarnation   string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	Weight        int
}

// A sighting is what the daemon knows of one instance.
type sighting struct {
	instance   fleet.Instance
	report     fleet.Report
	reportedAt time.Time
	refused    bool
	brokeAt    time.Time
	coldUntil  time.Time
	ordered    map[string]time.Time
}

// A peer is another daemon as this one last heard it.
type peer struct {
	heartbeat Heartbeat
	heardAt   time.Time
}

// A Core is the control state of one daemon. Make one with New. It is not safe
// for concurrent use.
type Core struct {
	self   Self
	bounds Bounds

	config     configuration.State
	configNext uint64
	held       []Entry
	snapshot   snapshotStanding
	keeper     lease.Keeper
	fresh      freshness.State
	leaving    bool
	instances  map[string]*sighting
	peers      map[string]*peer
	sequence   uint64
	domainTerm map[string]termStart
	drains     map[string][]string
	startedAt  time.Time
	beats      uint64
	beatAt     map[uint64]time.Time
	changed    bool
}

// A termStart is when this daemon first acted under a term.
type termStart struct {
	term  uint64
	since time.Time
}

// A snapshotStanding is the newest configuration snapshot that was read or asked
// for, and when.
type snapshotStanding struct {
	offset uint64
	at     time.Time
}

// New returns the control state of a daemon that has just started.
func New(self Self, bounds Bounds) *Core {
	return &Core{
		self:       self,
		bounds:     bounds,
		keeper:     lease.Keeper{Self: self.Daemon + "#" + self.Incarnation, Terms: bounds.Lease},
		fresh:      freshness.State{Peers: make(map[string]freshness.Peer)},
		instances:  make(map[string]*sighting),
		peers:      make(map[string]*peer),
		domainTerm: make(map[string]termStart),
		drains:     make(map[string][]string),
		beatAt:     make(map[uint64]time.Time),
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
			c.returned(now, before)
		}
	}()
	switch e := event.(type) {
	case LogRead:
		c.logRead(now, e)
	case LogFailed:
		c.fresh.LogDown = true
	case AppendDone:
		c.appendDone(e)
	case Listed:
		c.listed(e)
	case Reported:
		c.reported(e)
	case ReportFailed:
		c.reportFailed(e)
	case Broke:
		c.broke(e)
	case Cooled:
		c.cooled(now, e)
	case OrderDone:
		c.orderDone(now, e)
	case PeerHeard:
		c.peerHeard(now, e.Heartbeat)
	case Leave:
		c.leaving, c.changed = true, true
	case Tick:
		return c.tick(now)
	}
	return nil
}

// returned asks for new reports of the instances that operators have brought back
// into service since before: what they last reported may be from before they left,
// and they may have turned cold.
func (c *Core) returned(now time.Time, before configuration.State) {
	for _, s := range c.instances {
		domain, name := s.instance.FailureDomain, s.instance.Name
		back := before.DomainOut(domain) && !c.config.DomainOut(domain) ||
			before.InstanceCordoned(name) && !c.config.InstanceCordoned(name)
		if back && now.After(s.brokeAt) {
			s.brokeAt = now
		}
	}
}

// View returns the snapshot of the control state for traffic.
func (c *Core) View(now time.Time) *View {
	c.changed = false
	mode, until := c.fresh.Until(now, c.bounds.Freshness)
	v := &View{
		Configuration: c.config,
		Mode:          mode,
		FreshUntil:    until,
		Leaving:       c.leaving,
		Daemons:       c.daemons(now),
		Replicas:      make(map[string][]Replica),
		Services:      c.services(),
		Entries:       c.entries(now),
		Peers:         c.peerViews(now),
	}
	for _, domain := range c.domainsByName() {
		l := c.keeper.Lease(domain)
		v.Leases = append(v.Leases, LeaseView{FailureDomain: domain, Holder: l.Holder, Term: l.Term})
	}
	c.viewReplicas(now, v)
	return v
}

// appendDone forgets a lease claim whose append surely failed.
func (c *Core) appendDone(e AppendDone) {
	if e.Err != nil && e.Append.Entry.Lease != nil {
		c.keeper.Drop(e.Append.Entry.Lease.Scope)
	}
}

// applyChange folds one configuration record.
func (c *Core) applyChange(offset uint64, record configuration.Record) {
	c.config, _ = c.config.Apply(offset, record)
}

// broke takes first-hand evidence that an instance failed.
func (c *Core) broke(e Broke) {
	if s, ok := c.instances[e.Instance]; ok && e.BrokeAt.After(s.brokeAt) {
		s.brokeAt, c.changed = e.BrokeAt, true
	}
}

// cooled takes first-hand evidence that an instance has turned cold. Its reports,
// which lag, do not count as warm until the hold has passed.
func (c *Core) cooled(now time.Time, e Cooled) {
	if s, ok := c.instances[e.Instance]; ok {
		s.coldUntil, c.changed = now.Add(c.bounds.ColdHold), true
	}
}

// daemons returns how many daemons this one counts as live, itself included.
func (c *Core) daemons(now time.Time) int {
	n := 1
	for _, p := range c.peers {
		if now.Sub(p.heardAt) < c.bounds.PeerForget && !p.heartbeat.Leaving {
			n++
		}
	}
	return n
}

// entries returns the entry instances that callers may use.
func (c *Core) entries(now time.Time) []EntryAddress {
	var out []EntryAddress
	if !c.leaving {
		out = append(out, EntryAddress{c.self.Daemon, c.self.CallerAddress, c.self.FailureDomain, c.self.Weight})
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[name]
		if p.heartbeat.Leaving || now.Sub(p.heardAt) >= c.bounds.Freshness.PeerTimeout {
			continue
		}
		h := p.heartbeat
		out = append(out, EntryAddress{h.Daemon, h.CallerAddress, h.FailureDomain, h.Weight})
	}
	return out
}

// listed takes the platform's list as a hint: it adds instances and addresses
// and marks those leaving, and removes only instances that are silent as well.
func (c *Core) listed(e Listed) {
	named := make(map[string]bool, len(e.Instances))
	for _, i := range e.Instances {
		named[i.Name] = true
		s, ok := c.instances[i.Name]
		if !ok {
			s = &sighting{ordered: make(map[string]time.Time)}
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

// logRead folds the records that a read of the log returned.
func (c *Core) logRead(now time.Time, e LogRead) {
	c.fresh.LogDown = false
	if e.Stream == StreamConfiguration {
		c.configurationRead(e)
		return
	}
	for _, entry := range e.Entries {
		switch {
		case entry.Snapshot != nil:
			c.config = c.config.Restore(*entry.Snapshot)
			c.snapshot = snapshotStanding{offset: max(c.snapshot.offset, entry.Snapshot.Offset), at: now}
		case entry.Lease != nil:
			c.keeper.Observe(now, entry.Offset, e.Horizon, *entry.Lease)
		}
	}
}

// configurationRead folds configuration records. Records after a gap that
// retention left wait until a snapshot, from the log or a peer, covers the gap.
func (c *Core) configurationRead(e LogRead) {
	c.held = append(c.held, e.Entries...)
	if c.configNext < e.Horizon && c.config.Offset+1 < e.Horizon {
		return
	}
	for _, entry := range c.held {
		if entry.Change != nil {
			c.applyChange(entry.Offset, *entry.Change)
		}
	}
	c.held = nil
	c.configNext = max(c.configNext, e.Next)
	c.fresh.ConfirmedAt = e.AskedAt
	c.fresh.Offset = c.config.Offset
}

// orderDone takes the report that came with an order's answer, and lets an
// order that was not accepted be sent again.
func (c *Core) orderDone(now time.Time, e OrderDone) {
	s, ok := c.instances[e.Order.Instance]
	if !ok {
		return
	}
	if e.Err == nil {
		delete(s.ordered, e.Order.ID)
	}
	if e.Err == nil && e.Result.Report.Instance == e.Order.Instance {
		c.changed = true
		s.report, s.reportedAt = e.Result.Report, now
	}
}

// peerHeard takes a heartbeat and the configuration that came with it. What it
// proves of the present counts from when this daemon sent the heartbeat that it
// echoes, since it may have waited in a queue while this daemon was paused.
func (c *Core) peerHeard(now time.Time, h Heartbeat) {
	if known, ok := c.peers[h.Daemon]; len(h.Drains) > 0 || ok && len(known.heartbeat.Drains) > 0 {
		c.changed = true
	}
	c.peers[h.Daemon] = &peer{heartbeat: h, heardAt: now}
	if h.Configuration != nil {
		c.config = c.config.Restore(*h.Configuration)
		c.fresh.Offset = max(c.fresh.Offset, c.config.Offset)
	}
	if h.Leaving {
		delete(c.fresh.Peers, h.Daemon)
		return
	}
	p := c.fresh.Peers[h.Daemon]
	if sent, ok := c.beatAt[h.Echoes[c.self.Incarnation]]; ok {
		p = freshness.Peer{HeardAt: sent, Offset: h.Offset, LogDown: h.LogDown}
		if h.ConfirmedAge >= 0 {
			p.ConfirmedAt = sent.Add(-h.ConfirmedAge)
		}
	}
	c.fresh.Peers[h.Daemon] = p
}

// peerViews returns this daemon and the live ones that it knows.
func (c *Core) peerViews(now time.Time) []PeerView {
	out := []PeerView{{Daemon: c.self.Daemon, Offset: c.config.Offset, LogDown: c.fresh.LogDown, Leaving: c.leaving}}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[name]
		if now.Sub(p.heardAt) < c.bounds.PeerForget && !p.heartbeat.Leaving {
			out = append(out, PeerView{Daemon: name, Offset: p.heartbeat.Offset, LogDown: p.heartbeat.LogDown})
		}
	}
	return out
}

// reported takes an engine's report, unless a later one is known.
func (c *Core) reported(e Reported) {
	s, ok := c.instances[e.Report.Instance]
	if !ok || e.AskedAt.Before(s.reportedAt) {
		return
	}
	c.changed = c.changed || s.refused || differs(s.report, e.Report)
	s.report, s.reportedAt, s.refused = e.Report, e.AskedAt, false
}

// reportFailed takes the failure of an instance to answer.
func (c *Core) reportFailed(e ReportFailed) {
	if s, ok := c.instances[e.Instance]; ok && e.Refused {
		c.changed = c.changed || !s.refused
		s.refused = true
	}
}

// differs returns whether traffic must know at once that a became b.
func differs(a, b fleet.Report) bool {
	return a.Phase != b.Phase || a.Warm != b.Warm || a.Leaving != b.Leaving || a.Assignment.Generation != b.Assignment.Generation
}

// services returns the plain services by deployment.
func (c *Core) services() map[string][]fleet.Instance {
	out := make(map[string][]fleet.Instance)
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		s := c.instances[name]
		i := s.instance
		if i.Kind != fleet.KindService || i.Leaving || c.barred(i) {
			continue
		}
		out[i.Deployment] = append(out[i.Deployment], i)
	}
	return out
}

// barred returns whether operators have decided that i gets no new work.
func (c *Core) barred(i fleet.Instance) bool {
	return c.config.DomainOut(i.FailureDomain) || c.config.InstanceCordoned(i.Name)
}

// current returns whether s was reported lately enough to give work on.
func (c *Core) current(now time.Time, s *sighting) bool {
	return s.reportedAt.After(s.brokeAt) && !s.refused && now.Sub(s.reportedAt) < c.bounds.ReportAge
}

// viewReplicas adds to v the complete replicas, and an explanation for each one
// that does not serve.
func (c *Core) viewReplicas(now time.Time, v *View) {
	heads := make(map[string]*sighting)
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		s := c.instances[name]
		a := s.report.Assignment
		if a.Free() {
			continue
		}
		if h, ok := heads[a.Replica]; !ok || h.report.Assignment.Generation.Less(a.Generation) {
			heads[a.Replica] = s
		}
	}
	v.Explanations = append(v.Explanations, c.unformed(heads)...)
	draining := c.draining(now)
	for _, id := range slices.Sorted(maps.Keys(heads)) {
		a := heads[id].report.Assignment
		if draining[id] {
			v.Explanations = append(v.Explanations, Explanation{id, "is drained by its director", "its instances are used otherwise once its requests have ended"})
		} else if r, why := c.replica(now, a); why.Reason == "" {
			v.Replicas[a.Deployment] = append(v.Replicas[a.Deployment], r)
		} else {
			v.Explanations = append(v.Explanations, why)
		}
	}
}

// unformed explains, for each deployment and failure domain, how many replicas the
// sheet wants there that no instance reports to belong to.
func (c *Core) unformed(heads map[string]*sighting) []Explanation {
	formed := make(map[string]int)
	for _, s := range heads {
		formed[s.report.Assignment.Deployment+"\x00"+s.instance.FailureDomain]++
	}
	var out []Explanation
	for _, d := range c.config.Deployments {
		for _, domain := range d.FailureDomains {
			missing := d.Quota(domain, c.config.DomainsOut) - formed[d.Name+"\x00"+domain]
			if d.Kind != fleet.KindEngine || missing <= 0 {
				continue
			}
			why := fmt.Sprintf("%d replicas of %d instances are not formed", missing, d.InstancesPerReplica)
			next := "the director of " + domain + " forms them when a fabric domain has that many free instances"
			out = append(out, Explanation{d.Name + "/" + domain, why, next})
		}
	}
	return out
}

// draining returns the replicas that this daemon or a live peer drains.
func (c *Core) draining(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, ids := range c.drains {
		for _, id := range ids {
			out[id] = true
		}
	}
	for _, p := range c.peers {
		if now.Sub(p.heardAt) >= c.bounds.Freshness.PeerTimeout {
			continue
		}
		for _, id := range p.heartbeat.Drains {
			out[id] = true
		}
	}
	return out
}

// replica returns the replica of assignment a if all its members are complete,
// current and permitted, or the reason why it does not serve.
func (c *Core) replica(now time.Time, a fleet.Assignment) (Replica, Explanation) {
	r := Replica{
		Name: a.Replica, Deployment: a.Deployment, Model: a.Model, Adapter: a.Adapter, Version: a.Version,
		Generation: a.Generation, Members: a.Members,
	}
	for rank, name := range a.Members {
		s, ok := c.instances[name]
		if !ok {
			return r, Explanation{a.Replica, name + " is not listed", "the director replaces it"}
		}
		if why, next := c.unfit(now, s, a); why != "" {
			return r, Explanation{a.Replica, name + " " + why, next}
		}
		until := s.reportedAt.Add(c.bounds.ReportAge)
		if rank == 0 {
			r.Head, r.FailureDomain, r.ValidUntil = s.instance, s.instance.FailureDomain, until
			r.Warm = s.report.Warm && !now.Before(s.coldUntil)
			r.Slots, r.ColdLimit, r.Running = s.report.Slots, s.report.ColdLimit, s.report.Running
		}
		if until.Before(r.ValidUntil) {
			r.ValidUntil = until
		}
	}
	_, r.Directed = c.keeper.Holds(now, r.FailureDomain)
	r.Director = c.directorAddress(now, r.FailureDomain)
	return r, Explanation{}
}

// directorAddress returns the address for peers of the daemon that directs domain,
// if it is a live peer.
func (c *Core) directorAddress(now time.Time, domain string) string {
	holder := c.keeper.Lease(domain).Holder
	for _, p := range c.peers {
		h := p.heartbeat
		if h.Daemon+"#"+h.Incarnation == holder && now.Sub(p.heardAt) < c.bounds.Freshness.PeerTimeout && !h.Leaving {
			return h.PeerAddress
		}
	}
	return ""
}

// unfit returns why s keeps the replica of a from serving, and what happens
// next; empty strings if it does not.
func (c *Core) unfit(now time.Time, s *sighting, a fleet.Assignment) (why, next string) {
	switch {
	case c.config.DomainOut(s.instance.FailureDomain):
		return "is in failure domain " + s.instance.FailureDomain + ", which is out", "domain in returns it"
	case c.config.InstanceCordoned(s.instance.Name):
		return "is cordoned", "the director replaces it"
	case s.instance.Leaving || s.report.Leaving:
		return "is leaving", "the director replaces it"
	case !c.current(now, s):
		return "does not answer", "the director replaces it when a spare is free"
	case s.report.Assignment.Generation != a.Generation || s.report.Assignment.Replica != a.Replica:
		return fmt.Sprintf("has generation %s instead of %s", s.report.Assignment.Generation, a.Generation), "the director orders it to join"
	case s.report.Phase != fleet.PhaseReady:
		return "is " + string(s.report.Phase), "it serves when its weights are loaded"
	}
	return "", ""
}

// domainsByName returns the failure domains of all engines, sorted.
func (c *Core) domainsByName() []string {
	domains := make(map[string]bool)
	for _, s := range c.instances {
		if s.instance.Kind == fleet.KindEngine {
			domains[s.instance.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// byName returns the sightings of the engines of a failure domain, sorted.
func (c *Core) byName(domain string) []*sighting {
	var out []*sighting
	for _, s := range c.instances {
		if s.instance.FailureDomain == domain && s.instance.Kind == fleet.KindEngine {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *sighting) int { return cmp.Compare(a.instance.Name, b.instance.Name) })
	return out
}
