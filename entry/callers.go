package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"

	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/freshness"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// defaultRetryAfter is the Retry-After time of refusals whose cause may pass soon, such as a view
// that is not fresh.
const defaultRetryAfter = time.Second

// An entryList is the response to GET /v1/entries. Callers cache it for MaxAgeSeconds and choose an
// address with a probability proportional to its weight.
type entryList struct {
	Entries       []control.EntryAddress `json:"entries"`
	MaxAgeSeconds float64                `json:"max_age_seconds"`
}

// A modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// A model is one deployment in the format of the OpenAI API.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// callerHandler returns the handler of the API for callers.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", d.serveEntries)
	mux.HandleFunc("GET /v1/models", d.authenticated(d.serveModels))
	mux.HandleFunc("POST /v1/chat/completions", d.authenticated(d.serveChat))
	mux.HandleFunc("POST /v1/completions", d.authenticated(d.serveCompletion))
	mux.HandleFunc("POST /v1/requests/{request}/cancel", d.authenticated(d.serveCancel))
	mux.HandleFunc("/services/{deployment}/{path...}", d.authenticated(d.serveService))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { rest.Reply(w, http.StatusOK, "ok") })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		d.refuse(w, invalid(http.StatusNotFound, "not_found", "", "no such interface: "+r.URL.Path))
	})
	return mux
}

// A call is one authenticated request of an organisation.
type call struct {
	requestID    string
	organisation string
	startedAt    time.Time
}

// authenticated returns a handler that calls next for requests with the API key of an organisation.
// It refuses other requests, and those beyond the limits of requests in flight.
func (d *Daemon) authenticated(next func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		var span trace.Span
		ctx, span = d.tracer.Start(ctx, "entry "+r.Pattern, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		c := call{requestID: d.settings.Daemon + "." + uuid.NewString(), startedAt: time.Now()}
		w.Header().Set(requestHeader, c.requestID)
		r.Body = http.MaxBytesReader(w, r.Body, d.settings.Limits.BodyBytes)
		var ok bool
		if c.organisation, ok = d.organisationByKey(r); !ok {
			d.refuse(w, invalid(http.StatusUnauthorized, "invalid_api_key", "", "the API key is missing or unknown"))
			return
		}
		if !d.traffic.admitRequest(c.organisation, d.settings.Limits.InFlight, d.settings.Limits.InFlightPerOrg) {
			r := unavailable("overloaded", "too many requests in flight")
			r.Status, r.Type = http.StatusTooManyRequests, "rate_limit_error"
			d.refuse(w, r)
			return
		}
		defer d.traffic.endRequest(c.organisation)
		next(w, r.WithContext(ctx), c)
	}
}

// organisationByKey returns the organisation whose API key r carries. It compares all keys, each in
// constant time, so that the duration reveals nothing about them.
func (d *Daemon) organisationByKey(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	keySum := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for _, o := range d.settings.Organisations {
		for _, knownSum := range o.KeySHA256 {
			if subtle.ConstantTimeCompare(keySum, []byte(knownSum)) == 1 {
				found = o.Name
			}
		}
	}
	return found, ok && found != ""
}

// lookUpDeployment returns the deployment with the given name and kind, or the refusal of the
// request. A deployment that organisation may not use looks like one that does not exist.
func (d *Daemon) lookUpDeployment(organisation, name string, kind fleet.InstanceKind) (fleet.Deployment, *refusal) {
	view := d.view.Load()
	if r := d.notReady(view); r != nil {
		return fleet.Deployment{}, r
	}
	deployment, ok := view.Configuration.Deployment(name)
	if !ok || deployment.Kind != kind || !deployment.Admits(organisation) {
		return fleet.Deployment{}, invalid(http.StatusNotFound, "model_not_found", "model", "no such model for this key")
	}
	return deployment, nil
}

// notReady returns the refusal of new work if view is not fresh or the daemon is shutting down, or
// nil.
func (d *Daemon) notReady(view *control.View) *refusal {
	switch {
	case view.Leaving:
		return unavailable("leaving", "this entry instance is leaving; use another address")
	case view.Mode == "" || view.Mode == freshness.ModeIsolated || !time.Now().Before(view.FreshUntil):
		return unavailable("not_fresh", "this entry instance has heard neither from the log nor from enough peers lately")
	}
	return nil
}

// readBody returns the body of r, or a refusal if it is too large or incomplete.
func (d *Daemon) readBody(r *http.Request) ([]byte, *refusal) {
	var (
		body []byte
		err  error
	)
	if body, err = io.ReadAll(r.Body); err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalid(http.StatusRequestEntityTooLarge, "body_too_large", "", "the body is larger than this entry instance takes")
	}
	return nil, invalid(http.StatusBadRequest, "body_unreadable", "", "the body broke off")
}

// serveCancel cancels a request. If it is not in flight here, all peers are asked to cancel it.
func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request, c call) {
	request := r.PathValue("request")
	if !d.cancels.cancel(request, c.organisation) {
		d.peers.broadcast(peerMessage{Version: peerMessageVersion, Cancel: &cancelRequest{Request: request, Organisation: c.organisation}})
	}
	rest.Reply(w, http.StatusAccepted, map[string]string{"request": request})
}

// serveEntries returns the entry instances that callers may use.
func (d *Daemon) serveEntries(w http.ResponseWriter, _ *http.Request) {
	maxAge := d.settings.Bounds.EntriesMaxAge.Seconds()
	w.Header().Set("Cache-Control", "max-age="+wholeSeconds(maxAge))
	rest.Reply(w, http.StatusOK, entryList{Entries: d.view.Load().Entries, MaxAgeSeconds: maxAge})
}

// serveModels lists the models that the caller's organisation may use.
func (d *Daemon) serveModels(w http.ResponseWriter, _ *http.Request, c call) {
	list := modelList{Object: "list", Data: []model{}}
	for _, deployment := range d.view.Load().Configuration.Deployments {
		if deployment.Kind == fleet.KindEngine && deployment.Admits(c.organisation) {
			list.Data = append(list.Data, model{ID: deployment.Name, Object: "model", OwnedBy: "hawthornrock"})
		}
	}
	rest.Reply(w, http.StatusOK, list)
}

// wholeSeconds formats a number of seconds, rounded down.
func wholeSeconds(s float64) string {
	return strconv.Itoa(int(s))
}
