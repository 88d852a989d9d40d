package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A run is one request that a worker ran.
type run struct {
	attempt string
	tenant  string
	at      time.Time
}

// A plainWorker is a worker of a service without models.
type plainWorker struct {
	id, service, zone string
	s                 *system
	address           string
	born              int64
	// handle, if set, answers a request in place of the worker. It returns whether it did.
	handle func(w http.ResponseWriter, r *http.Request) bool

	mu   sync.Mutex
	seq  int
	runs []run
}

// start serves and writes the worker's entry every heartbeat until ctx ends.
func (p *plainWorker) start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address, p.born = l.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		for ctx.Err() == nil {
			p.write()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// write writes the worker's entry.
func (p *plainWorker) write() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	text, _ := json.Marshal(map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
		wire.Field["cold"]: 0, "seq": p.seq, "born": p.born,
	})
	p.s.store.Put(wire.Topic["servers"], p.id, text)
}

// ServeHTTP runs a request and answers it.
func (p *plainWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(wire.Header["instance"], p.id)
		return
	}
	if expect := r.Header.Get(wire.Header["expect"]); expect != "" && expect != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.handle != nil && p.handle(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get(wire.Header["attempt"])
	p.mu.Lock()
	p.runs = append(p.runs, run{attempt: attempt, tenant: r.Header.Get(wire.Header["tenant"]), at: time.Now()})
	p.mu.Unlock()
	p.s.rec.note("%s runs %s for tenant %q", p.id, attempt, r.Header.Get(wire.Header["tenant"]))
	body := "done by " + p.id
	w.Header().Set(wire.Header["attempt"], attempt)
	w.Header().Set(wire.Header["signature"], "signed-by-"+p.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// ran returns the runs of an attempt.
func (p *plainWorker) ran(attempt string) []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []run
	for _, r := range p.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}
