package site

import (
	"time"

	"github.com/hawthornrock/hawthornrock/state/policy"
)

// Settings are the settings of one daemon and the bounds of its deployment.
type Settings struct {
	Daemon        string
	FailureDomain string
	// Region is where requests may be passed on to other daemons.
	Region string
	// Front is the listen address for callers, Ready for readiness checks, Directory for lookups of
	// daemon addresses, Metrics for counters. There is no listener for an empty address.
	Front     string
	Ready     string
	Directory string
	Metrics   string
	// Peer is the listen address for messages of other daemons.
	Peer string
	// Store is the address of the platform's store.
	Store  string
	Limits ProcessLimits
	Bounds Bounds
	// SlowPeers means that callers may read and send slowly, and that what a daemon holds for them counts towards its
	// memory.
	SlowPeers bool
	// Policy is what operators chose for the deployment beside the platform's configuration.
	Policy policy.Policy
	// FirstRun is set if the daemon starts together with all others for the first time.
	FirstRun bool
}

// ProcessLimits are the resources that the process may use. CPUShare is a fraction of a processor.
type ProcessLimits struct {
	CPUShare float64
	MemoryMB int
}

// Bounds are the timeouts and budgets that hold for all daemons of a deployment.
type Bounds struct {
	// Grace bounds the time that a daemon takes to drain.
	Grace time.Duration
	// Revoke is the time within which a withdrawn key must be refused everywhere.
	Revoke time.Duration
	// Apply is the time within which all daemons must have applied a configuration.
	Apply time.Duration
	// Stall is how long a replica stalls after it has lost a member.
	Stall time.Duration
	// DirectoryTTL bounds how long a client of the directory may cache the addresses of daemons.
	DirectoryTTL time.Duration
	// RetryRatio bounds the retries of all daemons to a fraction of the requests within RetryWindow,
	// plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage is the factor by which the request rate of a cold server may exceed the rate that
	// it can serve; ColdSlack is added to the result.
	ColdOverage float64
	ColdSlack   float64
	// CeilingWindow is the window in which loads of weights are counted against their rate limit.
	CeilingWindow time.Duration
	// ServerHeartbeat is the interval between two heartbeats of a server. Its entry in the store
	// expires after three missed heartbeats.
	ServerHeartbeat time.Duration
}
