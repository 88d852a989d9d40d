package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the model workers, as their service's engine states them.
const (
	rejoinTime = 200 * time.Millisecond
	warmTime   = 1100 * time.Millisecond
	loadTime   = 1200 * time.Millisecond // A tenth of load_s, before the first request.
	formTime   = 300 * time.Millisecond
	stallTime  = 6 * time.Second
	eventPause = 200 * time.Millisecond
)

// An order is the body of POST /v1/order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"-"`
	Fence     int64    `json:"-"`
}

// decodeOrder decodes an order.
func decodeOrder(body []byte) (order, error) {
	var (
		o    order
		rest map[string]json.RawMessage
	)
	if err := json.Unmarshal(body, &o); err != nil {
		return o, err
	}
	if err := json.Unmarshal(body, &rest); err != nil {
		return o, err
	}
	if text, ok := rest[wire.Field["mode"]]; ok {
		if err := json.Unmarshal(text, &o.CloseMode); err != nil {
			return o, err
		}
	}
	return o, json.Unmarshal(rest[wire.Field["fence"]], &o.Fence)
}

// A group is what a worker reports of its membership.
type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// A cluster is the workers of a model service. Its lock guards all of them, so that what one of them takes can be judged by
// the state of the others.
type cluster struct {
	s       *system
	mu      sync.Mutex
	workers map[string]*modelWorker
	// broken lists what broke TWO.
	broken []string
}

// A modelWorker is a worker that runs models in groups.
type modelWorker struct {
	id, zone, domain string
	c                *cluster
	address          string
	born             int64
	seq              int
	draining         bool
	group            group
	members          []string
	lastModel        string
	staged           []string
	fence, epoch     int64
	active           int
	// cut ends the streams in flight when it is closed.
	cut chan struct{}
	// late returns whether an order is left unanswered and carried out later. again means that the answer before on that
	// channel is then sent once more.
	late  func(o order) bool
	again bool
}

// start serves and writes the worker's entry every heartbeat until ctx ends.
func (w *modelWorker) start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.born, w.cut = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	go func() {
		for ctx.Err() == nil {
			w.c.mu.Lock()
			w.write()
			w.c.mu.Unlock()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// entry returns what the worker says of itself. The caller holds the lock.
func (w *modelWorker) entry() map[string]any {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": "models", "address": w.address, "zone": w.zone, "domain": w.domain, "version": "v1", "slots": 26, "state": state,
		wire.Field["cold"]: 0, "seq": w.seq, "born": w.born, "staged": w.staged, "stage": "unified",
		"models": []any{}, "busy": false, "queued": 0, "active": w.active, "kv_used": 0, "kv_total": 1400000, "pace": 1.0,
	}
	if w.group.Name != "" {
		e["group"] = w.group
		if w.group.State != "joining" {
			e["models"] = []any{map[string]any{"name": w.lastModel, "version": 1, "adapters": []string{}}}
		}
	}
	return e
}

// write writes the worker's entry. The caller holds the lock.
func (w *modelWorker) write() {
	w.seq++
	text, _ := json.Marshal(w.entry())
	w.c.s.store.Put(wire.Topic["servers"], w.id, text)
}

// change sets the state of the worker in its group, if it is still the one that is meant, and writes it. The caller holds
// the lock.
func (w *modelWorker) change(g group, from []string, to string) {
	if w.group.Name != g.Name || w.group.Epoch != g.Epoch || !slices.Contains(from, w.group.State) {
		return
	}
	w.group.State = to
	w.c.s.rec.note("%s is %s in %s", w.id, to, g.Name)
	w.write()
}

// after calls do with the lock after d.
func (c *cluster) after(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		do()
	})
}

// judgeJoin notes a join that breaks TWO. The caller holds the lock.
func (w *modelWorker) judgeJoin(o order) {
	if w.group.Name == "" || w.group.Name == o.Group {
		return
	}
	head := w.c.workers[w.members[0]]
	if head == nil || head.group.Name != w.group.Name || head.group.Epoch != w.group.Epoch {
		return
	}
	if head.group.State != "open" && head.group.State != "closing" {
		return
	}
	text := fmt.Sprintf("TWO broken: %s takes a join of %s while %s, the head of its group %s, is %s with %d requests", w.id, o.Group, head.id, w.group.Name, head.group.State, head.active)
	w.c.broken = append(w.c.broken, text)
	w.c.s.rec.note("%s", text)
}

// carryOut carries out an order and returns the status of the answer. The caller holds the lock.
func (w *modelWorker) carryOut(o order) int {
	if o.Fence < w.fence || o.Operation == "join" && (o.Epoch < w.epoch || o.Epoch == w.epoch && o.Group == w.group.Name && !slices.Equal(o.Members, w.members)) {
		return http.StatusPreconditionFailed
	}
	w.fence = o.Fence
	same := w.group.Name == o.Group && w.group.Epoch == o.Epoch && o.Group != ""
	g := group{Name: o.Group, Epoch: o.Epoch}
	switch o.Operation {
	case "join":
		if same {
			return http.StatusOK
		}
		w.judgeJoin(o)
		took := loadTime
		if w.lastModel == o.Model {
			took = rejoinTime
		} else if slices.Contains(w.staged, o.Model) {
			took = warmTime
		}
		close(w.cut)
		w.cut = make(chan struct{})
		w.epoch, w.members, w.lastModel, w.staged = o.Epoch, o.Members, o.Model, []string{o.Model}
		w.group = group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.id), State: "joining"}
		w.c.after(took, func() { w.change(g, []string{"joining"}, "ready") })
	case "open":
		switch {
		case same && w.group.State == "open":
			return http.StatusOK
		case !same || w.group.State != "ready" || w.group.Rank != 0:
			return http.StatusConflict
		}
		w.c.after(formTime, func() { w.change(g, []string{"ready"}, "open") })
	case "close":
		if !same || w.group.State != "open" && w.group.State != "closing" {
			return http.StatusConflict
		}
		if o.CloseMode == "preempt" {
			close(w.cut)
			w.cut = make(chan struct{})
			w.change(g, []string{"open", "closing"}, "ready")
			return http.StatusAccepted
		}
		if w.active == 0 {
			w.change(g, []string{"open"}, "ready")
		} else {
			w.change(g, []string{"open"}, "closing")
		}
	case "leave":
		if !same {
			return http.StatusConflict
		}
		close(w.cut)
		w.cut = make(chan struct{})
		w.group, w.members = group{}, nil
	case "stage":
		w.staged = []string{o.Model}
	default:
		return http.StatusBadRequest
	}
	w.write()
	return http.StatusAccepted
}

// serve serves the requests of one connection, one after the other.
func (w *modelWorker) serve(conn net.Conn) {
	defer conn.Close()
	var before string
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expect := r.Header.Get(wire.Header["expect"]); expect != "" && expect != w.id {
			fmt.Fprint(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		var answer string
		switch r.URL.Path {
		case "/v1/order":
			o, err := decodeOrder(body)
			if err != nil {
				return
			}
			if w.late != nil && w.late(o) {
				w.leave(conn, in, o, before)
				return
			}
			w.c.mu.Lock()
			status := w.carryOut(o)
			w.c.mu.Unlock()
			w.c.s.rec.note("%s gets order %s%s of %s, fence %d: %d", w.id, o.Operation, mode(o), o.Group, o.Fence, status)
			answer = fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
		case "/v1/report":
			w.c.mu.Lock()
			text, _ := json.Marshal(w.entry())
			w.c.mu.Unlock()
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		default:
			if !w.stream(conn, r) {
				return
			}
			continue
		}
		if _, err = io.WriteString(conn, answer); err != nil {
			return
		}
		before = answer
	}
}

// mode returns how an order closes, for the record.
func mode(o order) string {
	if o.CloseMode == "" {
		return ""
	}
	return " (" + o.CloseMode + ")"
}

// lateBy is when an order without an answer is carried out: the pages name 2 to 12 s.
const lateBy = 8 * time.Second

// leave leaves an order unanswered and carries it out later. What arrives in its place is the answer before, if there was
// a success, once more.
func (w *modelWorker) leave(conn net.Conn, in *bufio.Reader, o order, before string) {
	w.c.s.rec.note("%s gets order %s%s of %s, fence %d: no answer, to be carried out in %v", w.id, o.Operation, mode(o), o.Group, o.Fence, lateBy)
	w.c.after(lateBy, func() {
		status := w.carryOut(o)
		w.c.s.rec.note("%s carries out order %s%s of %s late: %d", w.id, o.Operation, mode(o), o.Group, status)
	})
	if before != "" && w.again {
		head, _, _ := strings.Cut(before, "\r\n")
		w.c.s.rec.note("%s sends its answer before on that channel once more: %s", w.id, head)
		_, _ = io.WriteString(conn, before)
	}
	// The channel returns nothing further.
	_, _ = io.Copy(io.Discard, in)
}

// stream runs a request, and returns whether its connection can be used again.
func (w *modelWorker) stream(conn net.Conn, r *http.Request) bool {
	attempt := r.Header.Get(wire.Header["attempt"])
	w.c.mu.Lock()
	cut, serves := w.cut, w.group.State == "open" && w.group.Rank == 0
	if !serves {
		w.c.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.Header["attempt"], attempt, wire.Header["not_run"])
		return true
	}
	w.active++
	name := w.group.Name
	w.c.mu.Unlock()
	w.c.s.rec.note("%s runs %s in %s", w.id, attempt, name)
	defer func() {
		w.c.mu.Lock()
		defer w.c.mu.Unlock()
		if w.active--; w.active == 0 && w.group.State == "closing" {
			w.change(w.group, []string{"closing"}, "ready")
		}
	}()
	_, answerTokens, _ := strings.Cut(r.Header.Get(wire.Header["tokens"]), ",")
	tokens, _ := strconv.Atoi(answerTokens)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-by-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", wire.Header["attempt"], attempt, wire.Header["signature"], w.id)
	for id := after + 1; id <= tokens/5; id++ {
		select {
		case <-cut:
			w.c.s.rec.note("%s cuts %s off at event %d", w.id, attempt, id)
			return false
		case <-time.After(eventPause):
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// plan requests one stream of a number of events from a daemon, and returns its status and how many events arrived.
func plan(s *system, d *daemon, attempt string, events int) (status, arrived int, whole bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.settings["front"]+"/plan/1", strings.NewReader("x"))
	if err != nil {
		return 0, 0, false
	}
	req.Host = "ficu95.example"
	req.Header.Set(wire.Header["attempt"], attempt)
	req.Header.Set(wire.Header["deadline"], "8000")
	req.Header.Set(wire.Header["model"], "daka510000")
	req.Header.Set(wire.Header["tokens"], fmt.Sprintf("500,%d", 5*events))
	req.Header.Set(wire.Header["parts"], "5c1e07a2:400,"+fmt.Sprintf("%x:100", time.Now().UnixNano()))
	req.Header.Set("Authorization", "Bearer "+keptKey)
	c := http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(text), "\n\n"), err == nil
}
