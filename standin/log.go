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

// maxLogWait bounds how long a read of the log waits for a record.
const maxLogWait = 10 * time.Second

// LogFaults are the faults that a Log shows. LoseAnswers is the number of
// appends that take effect but whose answer is lost.
type LogFaults struct {
	Outage      bool          `json:"outage"`
	Delay       time.Duration `json:"delay"`
	LoseAnswers int           `json:"lose_answers"`
}

// A Log is a stand-in for the platform's log and its list of instances. Retain
// is how many records of a stream it keeps; zero keeps all.
type Log struct {
	Retain int

	mu        sync.Mutex
	faults    LogFaults
	streams   map[string]*stream
	instances map[string]fleet.Instance
	changed   chan struct{}
	appends   int
}

// A stream is the retained part of one stream.
type stream struct {
	records []platform.Record
	next    uint64
}

// NewLog returns an empty Log that keeps retain records of each stream.
func NewLog(retain int) *Log {
	return &Log{
		Retain:    retain,
		streams:   make(map[string]*stream),
		instances: make(map[string]fleet.Instance),
		changed:   make(chan struct{}),
	}
}

// Appends returns how many records were appended to all streams.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Handler returns the HTTP interface of the platform, with /standin/faults
// beside it to set faults and PUT and DELETE of an instance to change the list.
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

// SetFaults sets the faults from now on.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Register puts instance on the list.
func (l *Log) Register(instance fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[instance.Name] = instance
}

// append adds one record and returns its offset.
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

// fault applies the present faults to a call and returns whether it may go on.
func (l *Log) fault(w http.ResponseWriter) bool {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Outage {
		http.Error(w, "the log is out of service", http.StatusServiceUnavailable)
	}
	return !faults.Outage
}

// loseAnswer returns whether the answer to this append is to be lost.
func (l *Log) loseAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseAnswers == 0 {
		return false
	}
	l.faults.LoseAnswers--
	return true
}

// page returns the records of a stream from an offset on, and the channel that
// closes at the next append.
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

// serveAppend answers an append.
func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !l.fault(w) {
		return
	}
	var s platform.Submission
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := l.append(r.PathValue("stream"), s)
	if l.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	rest.Reply(w, http.StatusOK, platform.Receipt{Offset: offset})
}

// serveFaults sets the faults.
func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(faults)
}

// serveInstances answers with the list of instances.
func (l *Log) serveInstances(w http.ResponseWriter, _ *http.Request) {
	if !l.fault(w) {
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

// serveRead answers a read, waiting for a record if there is none.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.fault(w) {
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
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxLogWait))
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

// serveRegister puts an instance on the list.
func (l *Log) serveRegister(w http.ResponseWriter, r *http.Request) {
	var instance fleet.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Register(instance)
}

// serveRemove takes an instance off the list.
func (l *Log) serveRemove(_ http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances, r.PathValue("name"))
}

// stream returns the named stream, which starts at offset one. The caller holds
// the lock.
func (l *Log) stream(name string) *stream {
	st, ok := l.streams[name]
	if !ok {
		st = &stream{next: 1}
		l.streams[name] = st
	}
	return st
}
