// Package operator is the client for the operators' interface of a daemon, which the commands use.
//
//	GET  /v1/status                         -> Status
//	POST /v1/changes configuration.Record   -> ChangeResult
package operator

import (
	"context"
	"fmt"
	"net/http"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// A ChangeResult is the outcome of a change. Durable means that the change has been appended to the
// log, Decided that the verdict on it has been read back from the log. InForce are the daemons that
// have applied it, NotInForce those that have not confirmed it yet.
type ChangeResult struct {
	Verdict    configuration.Verdict `json:"verdict"`
	Decided    bool                  `json:"known"`
	Durable    bool                  `json:"lasting"`
	Offset     uint64                `json:"offset"`
	InForce    []string              `json:"in_force"`
	NotInForce []string              `json:"not_in_force"`
	Error      string                `json:"error,omitempty"`
}

// A Status is the state of the system in the view of one daemon.
type Status struct {
	Daemon      string                 `json:"daemon"`
	Mode        string                 `json:"mode"`
	Leaving     bool                   `json:"leaving"`
	Offset      uint64                 `json:"offset"`
	Revision    uint64                 `json:"revision"`
	DomainsOut  []string               `json:"domains_out"`
	Cordoned    []string               `json:"cordoned"`
	Deployments []fleet.Deployment     `json:"deployments"`
	Replicas    []control.Replica      `json:"replicas"`
	NotServing  []control.Explanation  `json:"not_serving"`
	Leases      []control.LeaseView    `json:"leases"`
	Peers       []control.PeerView     `json:"peers"`
	Entries     []control.EntryAddress `json:"entries"`
	Violations  int64                  `json:"violations"`
	InFlight    int                    `json:"in_flight"`
}

// A Client calls the operators' interface of the daemon at Address.
type Client struct {
	Address string
	Token   string
	HTTP    *http.Client
}

// Change submits a change of the configuration and returns its outcome.
func (c *Client) Change(ctx context.Context, record configuration.Record) (ChangeResult, error) {
	var result ChangeResult
	if err := rest.CallWith(ctx, c.HTTP, http.MethodPost, "http://"+c.Address+"/v1/changes", c.header(), record, &result); err != nil {
		return ChangeResult{}, fmt.Errorf("submit change %s: %w", record.ID, err)
	}
	return result, nil
}

// Status returns the state of the system in the view of the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	if err := rest.CallWith(ctx, c.HTTP, http.MethodGet, "http://"+c.Address+"/v1/status", c.header(), nil, &status); err != nil {
		return Status{}, fmt.Errorf("get status of daemon at %s: %w", c.Address, err)
	}
	return status, nil
}

// header returns the header that authenticates the operator.
func (c *Client) header() http.Header { return http.Header{"Authorization": {"Bearer " + c.Token}} }
