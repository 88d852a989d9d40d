package site

import "time"

// Settings are what one daemon is told of itself and of its deployment.
type Settings struct {
	Daemon        string
	FailureDomain string
	// Front takes callers, Ready health checks, Directory questions for addresses and
	// Metrics those for counters. An empty address is not served.
	Front     string
	Ready     string
	Directory string
	Metrics   string
	// Peer takes messages of other daemons.
	Peer string
	// Store is the address of the platform's store.
	Store    string
	Limits   ProcessLimits
	Bounds   Bounds
	FirstRun bool
}

// ProcessLimits are what the process may use.
type ProcessLimits struct {
	CPUShare float64
	MemoryMB int
}

// Bounds are the times and shares that all daemons of a deployment keep to.
type Bounds struct {
	Grace  time.Duration
	Revoke time.Duration
	// Apply is the time within which a configuration must be in force everywhere.
	Apply         time.Duration
	Stall         time.Duration
	DirectoryTTL  time.Duration
	RetryRatio    float64
	RetrySlack    float64
	RetryWindow   time.Duration
	ColdOverage   float64
	ColdSlack     float64
	CeilingWindow time.Duration
	// ServerHeartbeat is the time between two heartbeats of a server. Its entry lapses
	// after three that are missing.
	ServerHeartbeat time.Duration
}
