package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// stallTime is how long a head stands still without one of its members until it is broken (stall_ms).
const stallTime = 6 * time.Second

// formTime is how long a head takes to open (form_ms).
const formTime = 300 * time.Millisecond

// events is the number of events of a stream.
const events = 5

// A pool holds the model workers of a case. Its lock guards all of them.
type pool struct {
	mu      sync.Mutex
	workers map[string]*engine
	// traffic means that the first request has come, so that loads take their whole time.
	traffic bool
	// early counts the joins of workers whose group had a head that was open, or stood still and was not broken.
	early int
}

// An engine stands in for a model worker.
type engine struct {
	id, zone, domain string
	store            *store
	record           *record
	pool             *pool

	address   string
	born      int64
	seq       int
	fence     int64
	epoch     int64
	lastModel string
	staged    []string
	group     *group
	down      bool
	draining  bool
	// cutUntil is until when the worker is cut off from all others and from the store: it lives, and nothing arrives.
	cutUntil time.Time
	server   *http.Server
	stopped  chan struct{}
}

// cutOff cuts the worker off from all others and from the store for d. Its entry is removed after three check-ins of
// silence.
func (e *engine) cutOff(d time.Duration) {
	e.pool.mu.Lock()
	e.cutUntil = time.Now().Add(d)
	e.pool.mu.Unlock()
	e.record.line("worker   %s is cut off for %v", e.id, d)
	time.AfterFunc(3*checkIn, func() {
		e.record.line("store    the entry of %s lapses", e.id)
		e.store.put(wire.Servers, e.id, nil)
	})
}

// awaitPath waits while the worker is cut off, and returns false if the caller has given up meanwhile.
func (e *engine) awaitPath(r *http.Request) bool {
	e.pool.mu.Lock()
	until := e.cutUntil
	e.pool.mu.Unlock()
	select {
	case <-time.After(time.Until(until)):
		return true
	case <-r.Context().Done():
		return false
	}
}

// A group is the membership of a worker.
type group struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	model   string
	members []string
	// still is since when the head stands still; zero if it does not.
	still time.Time
}

// start starts the worker, which knows nothing of its earlier lives but the models on its host.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.address, e.born, e.seq, e.fence, e.epoch, e.group, e.lastModel, e.down = listener.Addr().String(), time.Now().UnixMilli(), 0, 0, 0, nil, "", false
	e.server, e.stopped = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}, make(chan struct{})
	server, stopped := e.server, e.stopped
	go server.Serve(listener)
	go func() {
		for {
			e.pool.mu.Lock()
			e.writeEntry()
			e.pool.mu.Unlock()
			select {
			case <-stopped:
				return
			case <-time.After(checkIn):
			}
		}
	}()
	return nil
}

// leave makes the worker report that it is draining, serve on for drain, and end.
func (e *engine) leave(drain time.Duration) {
	e.pool.mu.Lock()
	e.draining = true
	e.writeEntry()
	e.pool.mu.Unlock()
	e.record.line("worker   %s reports that it is draining", e.id)
	time.AfterFunc(drain, func() {
		e.pool.mu.Lock()
		e.down = true
		e.store.put(wire.Servers, e.id, nil)
		e.pool.mu.Unlock()
		close(e.stopped)
		e.server.Close()
		e.record.line("worker   %s has left", e.id)
	})
}

// stop ends the worker at the end of the case.
func (e *engine) stop() {
	e.pool.mu.Lock()
	down := e.down
	e.pool.mu.Unlock()
	if !down {
		close(e.stopped)
		e.server.Close()
	}
}

// entry returns what the worker says of itself. The caller holds the lock.
func (e *engine) entry() map[string]any {
	out := map[string]any{
		"service": "hawthornrock-pool", "address": e.address, "zone": e.zone, "domain": e.domain, "version": "v1", "slots": 26, "state": "ready",
		wire.Cold: 0, "seq": e.seq, "born": e.born, "staged": e.staged, "stage": "unified", "models": []any{},
	}
	if e.draining {
		out["state"] = "draining"
	}
	if e.group != nil {
		out["group"] = e.group
		out["models"] = []any{map[string]any{"name": e.group.model, "version": 1, "adapters": []any{}}}
	}
	return out
}

// writeEntry writes the worker's entry to the store. The caller holds the lock.
func (e *engine) writeEntry() {
	if e.down || time.Now().Before(e.cutUntil) {
		return
	}
	text, _ := json.Marshal(e.entry())
	e.store.put(wire.Servers, e.id, text)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.awaitPath(r) {
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get(wire.Expect); expect != "" && expect != e.id {
		w.Header().Set(wire.Instance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.pool.mu.Lock()
		out := e.entry()
		e.pool.mu.Unlock()
		for name, value := range map[string]any{"busy": false, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1400000, "handles": 0, "pace": 1} {
			out[name] = value
		}
		reply(w, http.StatusOK, out)
	case "/v1/order":
		o, err := decodeOrder(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.pool.mu.Lock()
		status := e.carryOut(o)
		e.writeEntry()
		e.pool.mu.Unlock()
		e.record.line("order    %s to %s: group %q epoch %d fencing token %d: %d", o.Operation, e.id, o.Group, o.Epoch, o.Fence, status)
		w.WriteHeader(status)
	default:
		e.serve(w, r)
	}
}

// An order is the body of POST /v1/order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Fence     int64    `json:"-"`
}

// decodeOrder decodes the body of an order.
func decodeOrder(body io.Reader) (order, error) {
	var o order
	text, err := io.ReadAll(body)
	if err != nil {
		return o, err
	}
	fields := make(map[string]json.RawMessage)
	if err = json.Unmarshal(text, &o); err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if fence, ok := fields[wire.Fence]; ok && err == nil {
		err = json.Unmarshal(fence, &o.Fence)
	}
	return o, err
}

// carryOut carries out an order and returns its status. The caller holds the lock.
func (e *engine) carryOut(o order) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	same := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Operation {
	case "join":
		if o.Epoch < e.epoch || same && !slices.Equal(e.group.members, o.Members) {
			return http.StatusPreconditionFailed
		}
		if same {
			return http.StatusOK
		}
		if e.group != nil {
			if head := e.pool.workers[e.group.members[0]]; head != e && !head.down && head.group != nil && head.group.Name == e.group.Name && head.group.Epoch == e.group.Epoch && head.isOpen() {
				e.pool.early++
				e.record.line("early    %s joins %q while %q of %s, which it has not left, is open or stands still", e.id, o.Group, e.group.Name, head.id)
			}
		}
		e.epoch, e.seq = o.Epoch, e.seq+1
		joined := &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining", model: o.Model, members: o.Members}
		e.group = joined
		time.AfterFunc(e.joinTime(o.Model), func() {
			e.pool.mu.Lock()
			defer e.pool.mu.Unlock()
			if e.group == joined && !e.down {
				joined.State, e.lastModel, e.staged = "ready", o.Model, []string{o.Model}
				e.writeEntry()
			}
		})
	case "open":
		if same && e.group.State == "open" {
			return http.StatusOK
		}
		if !same || e.group.State != "ready" || e.group.Rank != 0 {
			return http.StatusConflict
		}
		e.seq++
		opened := e.group
		time.AfterFunc(formTime, func() {
			e.pool.mu.Lock()
			defer e.pool.mu.Unlock()
			if e.group == opened && opened.State == "ready" && !e.down {
				opened.State = "open"
				e.writeEntry()
			}
		})
	case "close":
		if !same {
			return http.StatusConflict
		}
		if e.group.State == "ready" {
			return http.StatusOK
		}
		e.seq++
		e.group.State = "ready"
	case "leave":
		if !same {
			return http.StatusConflict
		}
		e.seq++
		e.group = nil
	case "stage":
		if slices.Contains(e.staged, o.Model) {
			return http.StatusOK
		}
		e.seq++
		time.AfterFunc(e.joinTime(o.Model), func() {
			e.pool.mu.Lock()
			defer e.pool.mu.Unlock()
			if !e.down {
				e.staged = []string{o.Model}
				e.writeEntry()
			}
		})
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// joinTime returns how long the worker takes until it is ready to run a model. The caller holds the lock.
func (e *engine) joinTime(model string) time.Duration {
	switch {
	case e.lastModel == model:
		return 200 * time.Millisecond
	case slices.Contains(e.staged, model):
		return 1600 * time.Millisecond
	case e.pool.traffic:
		return 16 * time.Second
	}
	return 1600 * time.Millisecond
}

// complete returns whether the worker reaches all members of its group. The caller holds the lock.
func (e *engine) complete() bool {
	if time.Now().Before(e.cutUntil) {
		return false
	}
	for _, id := range e.group.members {
		m := e.pool.workers[id]
		if m == nil || m.down || m.group == nil || m.group.Name != e.group.Name || m.group.Epoch != e.group.Epoch {
			return false
		}
	}
	return true
}

// state returns the state of the head as of now: it breaks when it has stood still for stallTime. The caller holds
// the lock.
func (e *engine) state() (open, still bool) {
	if e.group == nil || e.group.State != "open" || e.group.Rank != 0 {
		return false, false
	}
	if e.complete() {
		e.group.still = time.Time{}
		return true, false
	}
	if e.group.still.IsZero() {
		e.group.still = time.Now()
	}
	if time.Since(e.group.still) >= stallTime {
		e.group.State = "broken"
		e.writeEntry()
		return false, false
	}
	return true, true
}

// isOpen returns whether the worker is an open head that is not broken. The caller holds the lock.
func (e *engine) isOpen() bool {
	open, _ := e.state()
	return open
}

// serve serves a request for a stream.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(wire.Attempt)
	w.Header().Set(wire.Attempt, attempt)
	refuse := func(status int) {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(status)
	}
	e.pool.mu.Lock()
	e.pool.traffic = true
	member := e.group != nil && e.group.Rank != 0
	e.pool.mu.Unlock()
	if member {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	for {
		e.pool.mu.Lock()
		open, still := e.state()
		e.pool.mu.Unlock()
		if !open {
			refuse(http.StatusServiceUnavailable)
			return
		}
		if !still {
			break
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	e.record.ran(e.id, r)
	w.Header().Set(wire.Signature, "signed-by-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= events; id++ {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", id, id)
		http.NewResponseController(w).Flush()
	}
}

// isWhole returns whether a is a whole stream.
func isWhole(a answer) bool {
	return a.status == http.StatusOK && a.err == nil && strings.Count(a.body, "data: token") == events
}
