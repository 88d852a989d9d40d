package control

import (
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/freshness"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A Replica is one complete replica that may receive new work until ValidUntil. Directed means
// that this daemon holds the lease of its failure domain; only the holder may send it work
// while it is cold. Director is the peer address of the holder if that is another daemon.
type Replica struct {
	Name          string           `json:"name"`
	Deployment    string           `json:"deployment"`
	Model         string           `json:"model"`
	Adapter       string           `json:"adapter"`
	Version       string           `json:"version"`
	FailureDomain string           `json:"failure_domain"`
	Generation    fleet.Generation `json:"generation"`
	Head          fleet.Instance   `json:"head"`
	Members       []string         `json:"members"`
	Warm          bool             `json:"warm"`
	Directed      bool             `json:"directed"`
	Director      string           `json:"director"`
	Slots         int              `json:"slots"`
	ColdLimit     int              `json:"cold_limit"`
	Running       int              `json:"running"`
	ValidUntil    time.Time        `json:"valid_until"`
}

// An Explanation states why a replica does not serve and what happens next.
type Explanation struct {
	Replica string `json:"replica"`
	Reason  string `json:"reason"`
	Next    string `json:"next"`
}

// An EntryAddress is one entry instance that callers may use.
type EntryAddress struct {
	Daemon        string `json:"daemon"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Weight        int    `json:"weight"`
}

// A PeerView is the state of one daemon, this one included. Offset is the configuration offset
// that it has applied.
type PeerView struct {
	Daemon  string `json:"daemon"`
	Offset  uint64 `json:"offset"`
	LogDown bool   `json:"log_down"`
	Leaving bool   `json:"leaving"`
}

// A LeaseView is the holder and the term of the lease of a failure domain.
type LeaseView struct {
	FailureDomain string `json:"failure_domain"`
	Holder        string `json:"holder"`
	Term          uint64 `json:"term"`
}

// A View is an immutable snapshot of the control state for routing. It may be used to send new
// work until FreshUntil, by a clock that advances while the process is paused.
type View struct {
	Configuration configuration.State
	Mode          freshness.Mode
	FreshUntil    time.Time
	Leaving       bool
	Replicas      map[string][]Replica
	Services      map[string][]fleet.Instance
	Entries       []EntryAddress
	Explanations  []Explanation
	Peers         []PeerView
	Leases        []LeaseView
}
