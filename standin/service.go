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

// A ServiceAnswer is what the stand-in service says about one call.
type ServiceAnswer struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
	// Authorization is the caller's key, if it came with the call.
	Authorization string `json:"authorization,omitempty"`
}

// A Ledger counts the runs of calls by the key that they carry in the header
// Stand-In-Call. Services of one deployment share a Ledger as they would share a
// database.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// Run counts one run of call.
func (l *Ledger) Run(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[call]++
}

// Runs returns how often call ran.
func (l *Ledger) Runs(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[call]
}

// Repeated returns how many calls ran more than once.
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

// slowCall is how long a call takes that asks to be slow.
const slowCall = 500 * time.Millisecond

// Handler returns the HTTP interface of the service: every call is answered with
// a ServiceAnswer. Header Stand-In-Fault "drop" runs the call and cuts the
// connection, "refuse" answers 503 without running it, "slow" runs it after a while
// unless the connection closes before.
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

// serve runs one call.
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
		// As most servers do, it drops a call whose connection closes.
		select {
		case <-r.Context().Done():
			return
		case <-time.After(slowCall):
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
