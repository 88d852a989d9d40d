package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// checkIn is the time between two check-ins of a worker, as in the settings (heartbeat_ms).
const checkIn = 1200 * time.Millisecond

// A worker stands in for a worker of a service that runs no models.
type worker struct {
	id, service, zone string
	store             *store
	record            *record
	// work is how long a request runs.
	work time.Duration

	mu       sync.Mutex
	address  string
	born     int64
	seq      int
	state    string
	unlisted bool
	ended    bool
	// base is the id of the first life, deadly the target of requests that crash the worker.
	base, deadly string
	crashes      []time.Time
	server       *http.Server
	stopped      chan struct{}
}

// start starts the worker and writes its entry until stop is called.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.base == "" {
		w.base = w.id
	}
	w.address, w.born, w.state, w.stopped = listener.Addr().String(), time.Now().UnixMilli(), "ready", make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	server, stopped := w.server, w.stopped
	go server.Serve(listener)
	go func() {
		for {
			w.writeEntry()
			select {
			case <-stopped:
				return
			case <-time.After(checkIn):
			}
		}
	}()
	return nil
}

// stop ends the worker.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.ended = true
		close(w.stopped)
		w.server.Close()
	}
}

// writeEntry writes the worker's entry to the store.
func (w *worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unlisted {
		return
	}
	w.seq++
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": w.state,
		wire.Cold: 0, "seq": w.seq, "born": w.born,
	})
	w.store.put(wire.Servers, w.id, text)
}

// leave removes the worker's entry. It goes on serving. It returns when the store had accepted the removal.
func (w *worker) leave() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unlisted = true
	w.store.put(wire.Servers, w.id, nil)
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(wire.Attempt)
	rw.Header().Set(wire.Attempt, attempt)
	w.mu.Lock()
	id, deadly := w.id, w.deadly
	w.mu.Unlock()
	if expect := r.Header.Get(wire.Expect); expect != "" && expect != id {
		rw.Header().Set(wire.Instance, id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		rw.Header().Set(wire.Instance, id)
		return
	}
	w.record.ran(id, r)
	if deadly != "" && r.RequestURI == deadly {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(w.work)
	body := fmt.Sprintf("%s of %s", attempt, id)
	rw.Header().Set(wire.Signature, "signed-by-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.Write([]byte(body))
}

// downTime is how long a worker that crashed is away.
const downTime = 3 * time.Second

// setDeadly makes requests with a target crash the worker.
func (w *worker) setDeadly(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly = target
}

// crashTimes returns when the worker crashed.
func (w *worker) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.crashes)
}

// crash ends the worker without a word, and starts it again after downTime under a new id.
func (w *worker) crash() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended, w.unlisted = true, true
	w.crashes = append(w.crashes, time.Now())
	id, lives := w.id, len(w.crashes)
	w.mu.Unlock()
	w.record.line("worker   %s crashes", id)
	close(w.stopped)
	w.server.Close()
	time.AfterFunc(3*checkIn, func() { w.store.put(wire.Servers, id, nil) })
	time.AfterFunc(downTime, func() {
		w.mu.Lock()
		w.id, w.ended, w.unlisted, w.seq = fmt.Sprintf("%s-%d", w.base, lives), false, false, 0
		w.mu.Unlock()
		w.start()
	})
}

// thirdOf returns the third of some times, zero if there are fewer.
func thirdOf(times []time.Time) time.Time {
	if len(times) < 3 {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[2]
}
