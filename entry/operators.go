package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

const (
	// changeTimeout is the time that a change may take to be in force at all daemons.
	changeTimeout = 4 * time.Second
	// changePollInterval is the time between checks of which daemons have applied a change.
	changePollInterval = 20 * time.Millisecond
)

// operatorHandler returns the handler of the operators' interface.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { rest.Reply(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected; there is nobody left to report it to.
		_, _ = fmt.Fprint(w, d.vars().String())
	})
	mux.HandleFunc("GET /v1/status", d.authenticatedOperator(d.serveStatus))
	mux.HandleFunc("POST /v1/changes", d.authenticatedOperator(d.serveChange))
	return mux
}

// authenticatedOperator returns a handler that calls next for requests with an operator's token.
// All tokens are compared, each in constant time.
func (d *Daemon) authenticatedOperator(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		got, found := []byte(hex.EncodeToString(sum[:])), ""
		for _, o := range d.settings.Operators {
			if subtle.ConstantTimeCompare(got, []byte(o.TokenSHA256)) == 1 {
				found = o.Name
			}
		}
		if found == "" {
			http.Error(w, "the operator's token is missing or unknown", http.StatusUnauthorized)
			return
		}
		next(w, r, found)
	}
}

// serveChange appends a change to the log and answers with its result.
func (d *Daemon) serveChange(w http.ResponseWriter, r *http.Request, name string) {
	var record configuration.Record
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, d.settings.Limits.BodyBytes)).Decode(&record); err != nil {
		http.Error(w, "the change is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	if record.ID == "" {
		http.Error(w, "the change has no id", http.StatusBadRequest)
		return
	}
	record.Operator = name
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	rest.Reply(w, http.StatusOK, d.commitChange(ctx, record))
}

// commitChange appends record to the log, again until the log confirms it, and waits until all
// daemons have applied it. It returns what is known when ctx ends.
func (d *Daemon) commitChange(ctx context.Context, record configuration.Record) operator.ChangeResult {
	result := operator.ChangeResult{Verdict: configuration.Verdict{ID: record.ID}}
	command := control.Append{Stream: control.StreamConfiguration, ID: record.ID, Entry: control.Entry{Change: &record}}
	for ctx.Err() == nil && !result.Durable {
		if offset, err := d.appendChange(ctx, command); err != nil {
			result.Error = err.Error()
			clock.Sleep(ctx, logRetryInterval)
		} else {
			result.Durable, result.Offset, result.Error = true, offset, ""
		}
	}
	if !result.Durable {
		return result
	}
	for {
		view := d.view.Load()
		if v, ok := view.Configuration.Verdict(record.ID); ok {
			result.Verdict, result.Decided = v, true
			result.InForce, result.NotInForce = inForce(view, v.Offset)
			if len(result.NotInForce) == 0 {
				return result
			}
		}
		if ctx.Err() != nil {
			return result
		}
		clock.Sleep(ctx, changePollInterval)
	}
}

// appendChange makes one attempt to append a change and returns its offset.
func (d *Daemon) appendChange(ctx context.Context, c control.Append) (uint64, error) {
	var (
		data    []byte
		receipt platform.Receipt
		err     error
	)
	if data, err = cbor.Marshal(c.Entry); err != nil {
		return 0, fmt.Errorf("encode change %s: %w", c.ID, err)
	}
	if receipt, err = d.platform.Append(ctx, string(c.Stream), platform.Submission{ID: c.ID, Data: data}); err != nil {
		return 0, err
	}
	return receipt.Offset, nil
}

// inForce returns the daemons that have applied the change at offset, and those that have not
// reported it yet.
func inForce(view *control.View, offset uint64) (yes, no []string) {
	for _, p := range view.Peers {
		if p.Offset >= offset {
			yes = append(yes, p.Daemon)
		} else {
			no = append(no, p.Daemon)
		}
	}
	return yes, no
}

// serveReady answers whether this daemon accepts new requests.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	view := d.view.Load()
	if r := d.notReady(view); r != nil {
		rest.Reply(w, http.StatusServiceUnavailable, r.body())
		return
	}
	rest.Reply(w, http.StatusOK, string(view.Mode))
}

// serveStatus answers with the state of the system in the view of this daemon.
func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	view := d.view.Load()
	status := operator.Status{
		Daemon: d.settings.Daemon, Mode: string(view.Mode), Leaving: view.Leaving,
		Offset: view.Configuration.Offset, Revision: view.Configuration.Revision,
		DomainsOut: view.Configuration.DomainsOut, Cordoned: view.Configuration.Cordoned,
		Deployments: view.Configuration.Deployments, Peers: view.Peers, Entries: view.Entries,
		NotServing: view.Explanations, Leases: view.Leases, Violations: d.monitor.TotalViolations(), InFlight: d.traffic.totalInFlight(),
	}
	for _, deployment := range view.Configuration.Deployments {
		status.Replicas = append(status.Replicas, view.Replicas[deployment.Name]...)
	}
	rest.Reply(w, http.StatusOK, status)
}
