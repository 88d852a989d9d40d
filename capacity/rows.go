package capacity

import "fmt"

// A Size describes the size and the load of a system, and the intervals at which its
// daemons work.
type Size struct {
	Daemons             float64
	Workers             float64
	FailureDomains      float64
	RequestsPerSecond   float64
	ChangesPerDay       float64
	Deployments         float64
	NonIdempotentShare  float64
	PollsPerSecond      float64
	TicksPerSecond      float64
	ClaimWindowSeconds  float64
	LeaseRenewalSeconds float64
	ClaimBatchesPerSec  float64
	WatchersPerWorker   float64
	GossipFanout        float64
}

// TwoYears returns the size that users expect within two years, with the intervals
// of the default settings. NonIdempotentShare is an assumption.
func TwoYears() Size {
	return Size{
		Daemons: 390, Workers: 2700, FailureDomains: 15, RequestsPerSecond: 3100, ChangesPerDay: 1800, Deployments: 200,
		NonIdempotentShare: 0.02, PollsPerSecond: 4, TicksPerSecond: 5, ClaimWindowSeconds: 3600, LeaseRenewalSeconds: 2.5,
		ClaimBatchesPerSec: 20, WatchersPerWorker: 2, GossipFanout: 3,
	}
}

const (
	// cpuBudget is the share of a core that coordination may use in a daemon.
	cpuBudget = 0.025
	// memoryBudget is the memory in bytes that coordination may use in a daemon.
	memoryBudget = 64 << 20
	// bytesBudget is the coordination traffic, sent and received, that a daemon may have in
	// bytes per second.
	bytesBudget = 5000
	// appendsBudget is the number of appends per second that the platform's log accepts
	// from all daemons together.
	appendsBudget = 300
)

// Rows returns the rows of docs/CAPACITY.md for the size of TwoYears: the cost of the
// current mechanisms, and that of the mechanisms planned for this size.
func Rows(run Run) []string {
	s := TwoYears()
	at := func(name string, x float64) float64 { return run.Slope(name).At(x) }
	claimsInWindow := s.RequestsPerSecond * s.NonIdempotentShare * s.ClaimWindowSeconds
	claimRate := s.RequestsPerSecond * s.NonIdempotentShare
	polls := s.Workers * s.PollsPerSecond
	watcherPolls := s.Workers * s.WatchersPerWorker / s.Daemons * s.PollsPerSecond
	memory := at("core_bytes_by_workers", s.Workers) + run.Slope("core_bytes_by_daemons").Slope*s.Daemons
	return []string{
		row("entry: control state", "memory", "MB", memory/(1<<20), memoryBudget/(1<<20)),
		row("entry: tick of the control state", "share of a core", "%", 100*s.TicksPerSecond*at("tick_seconds", s.Workers), 100*cpuBudget),
		row("entry: view made at each event, every worker polled by every daemon", "share of a core", "%",
			100*polls*(at("view_seconds", s.Workers)+at("report_seconds", s.Workers)), 100*cpuBudget),
		row("entry: every worker polled by every daemon, view made at each tick", "share of a core", "%",
			100*(polls*(at("poll_seconds", 1)+at("report_seconds", s.Workers))+s.TicksPerSecond*at("view_seconds", s.Workers)), 100*cpuBudget),
		row("watcher: every worker watched by two daemons, view made at each tick", "share of a core", "%",
			100*(watcherPolls*(at("poll_seconds", 1)+at("report_seconds", s.Workers))+s.TicksPerSecond*at("view_seconds", s.Workers)), 100*cpuBudget),
		row("entry: heartbeats, each tells all", "sent", "B/s", s.Daemons*s.TicksPerSecond*at("heartbeat_bytes", s.Daemons), bytesBudget),
		row("relay: heartbeats by gossip to three peers a second", "sent", "B/s", s.GossipFanout*at("heartbeat_bytes", s.GossipFanout), bytesBudget),
		row("log reader: claims of all daemons", "received", "B/s", claimRate*2*at("claim_record_bytes", 1), bytesBudget),
		row("entry: claims of the window", "memory", "MB", at("claim_table_bytes", claimsInWindow)/(1<<20), memoryBudget/(1<<20)),
		row("log writer: leases, one chain a failure domain", "appends", "1/s", s.FailureDomains/s.LeaseRenewalSeconds, appendsBudget),
		row("log writer: claims, each daemon its own batches", "appends", "1/s", min(s.Daemons*s.ClaimBatchesPerSec, 2*claimRate), appendsBudget),
		row("log writer: configuration", "appends", "1/s", s.ChangesPerDay/86400, appendsBudget),
		row("log writer: one snapshot of the configuration", "size", "KB", at("snapshot_bytes", s.Deployments)/1000, 1000),
	}
}

// SlopeRows returns the rows of docs/CAPACITY.md that list the slopes.
func SlopeRows(run Run) []string {
	var out []string
	for _, s := range run.Slopes {
		out = append(out, fmt.Sprintf("| %s | %s | %.3g | %.3g per %s | %.1f%% |", s.Name, s.Unit, s.Base, s.Slope, s.Per, 100*s.Residual))
	}
	return out
}

// row formats one row of docs/CAPACITY.md, with a verdict of value against budget.
func row(role, what, unit string, value, budget float64) string {
	verdict := "within"
	if value > budget {
		verdict = "**over**"
	}
	return fmt.Sprintf("| %s | %s | %.3g %s | %.3g %s | %s |", role, what, value, unit, budget, unit, verdict)
}
