package gateway

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// A Replica is a replica that serves.
type Replica struct {
	Name    string
	Epoch   int64
	Model   site.Model
	Head    site.Server
	Members []string
	// ColdUntil is the time, on the boot clock, until which the head is cold.
	ColdUntil time.Duration
}

// A PlainServer is one server of a service without an engine.
type PlainServer struct {
	Server site.Server
	// ColdUntil is the time, on the boot clock, until which the server is cold.
	ColdUntil time.Duration
}

// A Peer is a daemon as described by its last heartbeat.
type Peer struct {
	Heartbeat  heartbeat
	LastSeenAt time.Duration
	// LastSeenBy is what showed at LastSeenAt that the daemon was alive.
	LastSeenBy evidence
}

// A servedModel is a model as one service runs it.
type servedModel struct{ service, model string }

// A View is the state that requests are served from. It is immutable.
type View struct {
	Configuration *site.Configuration
	// Services holds the services of the configuration, and former ones that are in use.
	Services map[string]*site.Service
	// DomainsOut holds the failure domains that operators took out of service.
	DomainsOut map[string]bool
	// Replicas holds the replicas that serve, by service and model.
	Replicas map[servedModel][]Replica
	// OtherDomainEpochs holds the epochs of the replicas that serve in other failure domains.
	OtherDomainEpochs map[int64]bool
	// PlainServers holds the servers of services without an engine, by service.
	PlainServers map[string][]PlainServer
	// Servers holds all listed servers, by address.
	Servers map[string]site.Server
	// Addresses are the front addresses of the daemons that callers may use.
	Addresses []string
	// Fronts holds the front addresses of all known daemons.
	Fronts []string
	// Daemons is the number of daemons that may be sending requests, at least 1.
	Daemons int
	// Peers holds the other daemons, by incarnation.
	Peers map[string]heartbeat
	// IncarnationByFront holds the incarnations of the other daemons, by front address.
	IncarnationByFront map[string]string
	// FleetLevel is the lowest level of the known daemons.
	FleetLevel level.Level
	// PeersLoaded means that the heartbeats of the other daemons have been read.
	PeersLoaded bool
	// Ready means that this daemon can serve.
	Ready bool
}
