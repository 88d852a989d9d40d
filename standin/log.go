package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"encoding/json"

	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// maxReadWait is the longest time that a read of the log waits for a record.
const maxReadWait = 10 * time.Second

// LogFaults are the faults that a Log injects. Outage answers every call with 503,
// Delay is added to every call, and LoseAnswers is the number of appends that take
// effect but whose connection is closed without a response.
type LogFaults struct {
	Outage      bool          `json:"outage"`
	Delay       time.Duration `json:"delay"`
	LoseAnswers int           `json:"lose_answers"`
}

// A Log is a stand-in for the platform's log and its list of instances. Retain is
// the number of records that it keeps of each stream; zero keeps all.
type Log struct {
	Retain int

	mu        sync.Mutex
	faults    LogFaults
	streams   map[string]*stream
	instances map[string]fleet.Instance
	changed   chan struct{}
	appends   int
}

// A stream holds the retained records of one stream and its next offset.
type stream struct {
	records []platform.Record
	next    uint64
}

// NewLog returns an empty Log that keeps the last retain records of each stream.
func NewLog(retain int) *Log {
	return &Log{
		Retain:    retain,
		streams:   make(map[string]*stream),
		instances: make(map[string]fleet.Instance),
		changed:   make(chan struct{}),
	}
}

// Appends returns the number of records appended to all streams together.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Handler returns the HTTP interface of the platform. In addition, PUT
// /standin/faults sets the faults, and PUT and DELETE of an instance change the list.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("GET /v1/instances", l.serveInstances)
	mux.HandleFunc("PUT /v1/instances/{name}", l.serveRegister)
	mux.HandleFunc("DELETE /v1/instances/{name}", l.serveRemove)
	mux.HandleFunc("PUT /standin/faults", l.serveFaults)
	return mux
}

// SetFaults replaces the faults, with effect for later calls.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Register adds instance to the list, or replaces the one of the same name.
func (l *Log) Register(instance fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[instance.Name] = instance
}

// append adds one record, wakes all waiting reads and returns the offset.
func (l *Log) append(name string, s platform.Submission) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	offset := st.next
	st.next++
	st.records = append(st.records, platform.Record{Offset: offset, ID: s.ID, Time: time.Now().UTC(), Data: s.Data})
	if l.Retain > 0 && len(st.records) > l.Retain {
		st.records = slices.Clone(st.records[len(st.records)-l.Retain:])
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// applyFaults delays or rejects a call according to the current faults, and returns
// whether the call may proceed.
func (l *Log) applyFaults(w http.ResponseWriter) bool {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Outage {
		http.Error(w, "the log is out of service", http.StatusServiceUnavailable)
	}
	return !faults.Outage
}

// dropResponse returns whether to close the connection of this append without a
// response, and decrements LoseAnswers if so.
func (l *Log) dropResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseAnswers == 0 {
		return false
	}
	l.faults.LoseAnswers--
	return true
}

// page returns the records of a stream from an offset on, and a channel that is
// closed at the next append to any stream.
func (l *Log) page(name string, from uint64) (platform.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	page := platform.Page{Next: st.next, Horizon: st.next}
	if len(st.records) > 0 {
		page.Horizon = st.records[0].Offset
	}
	for _, r := range st.records {
		if r.Offset >= from {
			page.Records = append(page.Records, r)
		}
	}
	return page, l.changed
}

// serveAppend handles an append.
func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w) {
		return
	}
	var s platform.Submission
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := l.append(r.PathValue("stream"), s)
	if l.dropResponse() {
		panic(http.ErrAbortHandler)
	}
	rest.Reply(w, http.StatusOK, platform.Receipt{Offset: offset})
}

// serveFaults handles a request that sets the faults.
func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(faults)
}

// serveInstances handles a request for the list of instances.
func (l *Log) serveInstances(w http.ResponseWriter, _ *http.Request) {
	if !l.applyFaults(w) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]fleet.Instance, 0, len(l.instances))
	for _, i := range l.instances {
		list = append(list, i)
	}
	rest.Reply(w, http.StatusOK, list)
}

// serveRead handles a read as a long poll: without a record from the offset on, it
// waits up to wait_ms for one, at most maxReadWait.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w) {
		return
	}
	var (
		from uint64
		wait int64
		err  error
	)
	if from, err = strconv.ParseUint(r.FormValue("from"), 10, 64); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if wait, err = strconv.ParseInt(r.FormValue("wait_ms"), 10, 64); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	defer timer.Stop()
	for {
		page, changed := l.page(r.PathValue("stream"), from)
		if len(page.Records) > 0 {
			rest.Reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			page, _ = l.page(r.PathValue("stream"), from)
			rest.Reply(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveRegister handles a request that adds an instance to the list.
func (l *Log) serveRegister(w http.ResponseWriter, r *http.Request) {
	var instance fleet.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Register(instance)
}

// serveRemove handles a request that removes an instance from the list.
func (l *Log) serveRemove(_ http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances, r.PathValue("name"))
}

// stream returns the named stream, and creates it with first offset 1 if needed.
// The caller must hold mu.
func (l *Log) stream(name string) *stream {
	st, ok := l.streams[name]
	if !ok {
		st = &stream{next: 1}
		l.streams[name] = st
	}
	return st
}
