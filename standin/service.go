package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// A ServiceAnswer is the response of the stand-in service: it describes the call as
// the service received it.
type ServiceAnswer struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
	// Authorization is the Authorization header, if the call had one.
	Authorization string `json:"authorization,omitempty"`
}

// A Ledger counts how often each call was executed, by the value of its header
// Stand-In-Call. The services of one deployment share a Ledger as they would share
// a database.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// Run records one execution of call.
func (l *Ledger) Run(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[call]++
}

// Runs returns how often call was executed.
func (l *Ledger) Runs(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[call]
}

// Repeated returns the number of calls that were executed more than once. Calls
// without the header are left out.
func (l *Ledger) Repeated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for call, runs := range l.runs {
		if call != "" && runs > 1 {
			n++
		}
	}
	return n
}

// A Service is a stand-in for a plain service on one instance.
type Service struct {
	Instance fleet.Instance
	Ledger   *Ledger
	Delay    time.Duration
}

// slowCallDelay is the delay before a call with the fault "slow" is executed.
const slowCallDelay = 500 * time.Millisecond

// Handler returns the HTTP interface of the service, which answers every call with
// a ServiceAnswer. The header Stand-In-Fault injects a fault: "drop" executes the
// call and closes the connection without a response, "refuse" responds 503 without
// executing it, and "slow" executes it after slowCallDelay unless the connection is
// closed before.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /standin/repeated", func(w http.ResponseWriter, _ *http.Request) {
		rest.Reply(w, http.StatusOK, s.Ledger.Repeated())
	})
	mux.HandleFunc("GET /standin/runs/{call}", func(w http.ResponseWriter, r *http.Request) {
		rest.Reply(w, http.StatusOK, s.Ledger.Runs(r.PathValue("call")))
	})
	return mux
}

// serve executes one call.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := r.Header.Get("Stand-In-Fault")
	if fault == "refuse" {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if fault == "slow" {
		// Like most servers, abandon a call whose connection is closed.
		select {
		case <-r.Context().Done():
			return
		case <-time.After(slowCallDelay):
		}
	}
	s.Ledger.Run(r.Header.Get("Stand-In-Call"))
	time.Sleep(s.Delay)
	if fault == "drop" {
		panic(http.ErrAbortHandler)
	}
	rest.Reply(w, http.StatusOK, ServiceAnswer{
		Instance: s.Instance.Name, Method: r.Method, Path: r.URL.RequestURI(), BodyHash: hex.EncodeToString(hash.Sum(nil)),
		Authorization: r.Header.Get("Authorization"),
	})
}
