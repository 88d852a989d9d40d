package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A record is what a case writes to record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	runs  []run
}

// A run is one request that a worker began to run.
type run struct {
	at      time.Time
	worker  string
	attempt string
	target  string
	tenant  string
}

// line writes one line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// ran records that a worker began to run a request.
func (r *record) ran(worker string, req *http.Request) {
	u := run{at: time.Now(), worker: worker, attempt: req.Header.Get(wire.Attempt), target: req.RequestURI, tenant: req.Header.Get(wire.Tenant)}
	r.line("run      %s at %s: %s %s, tenant %q", u.attempt, worker, req.Method, u.target, u.tenant)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, u)
}

// runsOf returns the runs of an attempt.
func (r *record) runsOf(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, u := range r.runs {
		if u.attempt == attempt {
			out = append(out, u)
		}
	}
	return out
}

// allRuns returns all runs.
func (r *record) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// A daemon is one process of the system.
type daemon struct {
	name, zone, ip                   string
	front, ready, control, directory string
	ports                            [2]int
	settings                         string
	cmd                              *exec.Cmd
	log                              *os.File
}

// A system is the store and the daemons of a case.
type system struct {
	dir, program string
	record       *record
	store        *store
	daemons      []*daemon
}

// zones are the zones of the site.
var zones = []string{"centro-a", "centro-b", "centro-c"}

// newSystem starts a store and prepares n daemons. Nothing runs until startDaemon.
func newSystem(dir, program string, r *record, n int) (*system, error) {
	s := &system{dir: dir, program: program, record: r}
	var err error
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	for i := range n {
		d := &daemon{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: "127.0.0.1"}
		if err = d.choosePorts(); err != nil {
			return nil, err
		}
		s.daemons = append(s.daemons, d)
	}
	return s, nil
}

// choosePorts chooses free ports: the first two internal ones are consecutive.
func (d *daemon) choosePorts() error {
	for range 100 {
		base := 12000 + rand.IntN(20000)
		var listeners []net.Listener
		for port := base; port < base+6; port++ {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip, port)); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			l.Close()
		}
		if len(listeners) < 6 {
			continue
		}
		address := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }
		d.ports = [2]int{base, base + 1}
		d.front, d.ready, d.control, d.directory = address(base+2), address(base+3), address(base+4), address(base+5)
		return nil
	}
	return fmt.Errorf("no free ports")
}

// writeSettings writes the settings of d, with the bounds of the site.
func (s *system) writeSettings(d *daemon, bootstrap bool) error {
	var seeds []string
	for _, other := range s.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", other.control))
	}
	text := fmt.Sprintf(settingsTemplate, d.name, d.ip, d.zone, d.ports[0], d.ports[1], strings.Join(seeds, ", "), bootstrap, d.front, d.ready, d.control, d.directory, s.store.address)
	d.settings = filepath.Join(s.dir, d.name+".toml")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// startDaemon starts the process of d with the command of the deploy file.
func (s *system) startDaemon(d *daemon, bootstrap bool) error {
	if err := s.writeSettings(d, bootstrap); err != nil {
		return err
	}
	var err error
	if d.log, err = os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	d.cmd = exec.Command(s.program, "gateway")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "HAWTHORNROCK_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.record.line("start    %s in zone %s, front %s", d.name, d.zone, d.front)
	return d.cmd.Start()
}

// stopDaemons ends the processes that the case started.
func (s *system) stopDaemons() {
	for _, d := range s.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			d.cmd.Process.Signal(syscall.SIGKILL)
			d.cmd.Wait()
			d.log.Close()
		}
	}
	s.store.server.Close()
}

// isReady returns whether d answers its readiness probe with 200.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + d.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (s *system) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(s.daemons) {
			return true
		}
	}
	return false
}

// A call is one request of a requester.
type call struct {
	attempt, method, target, key string
	body                         string
	// raw means that the request is written as it stands, since clients write a path with two leading slashes as
	// a URL.
	raw bool
	// model is set for streams.
	model   string
	timeout time.Duration
}

// An answer is what a requester got. Status is 0 if the channel ended without an answer.
type answer struct {
	sentAt time.Time
	status int
	signed bool
	body   string
	err    error
}

// host is the host of all routes.
const host = "ficu95.example"

// sendRaw writes c to d on a new channel and records both.
func (s *system) sendRaw(d *daemon, c call) answer {
	a := answer{sentAt: time.Now()}
	s.record.line("send     %s to %s: %s %s, key %s", c.attempt, d.name, c.method, c.target, c.key)
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(c.timeout + 500*time.Millisecond))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		c.method, c.target, host, wire.Attempt, c.attempt, wire.Deadline, c.timeout.Milliseconds(), c.key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		s.record.line("answer   %s from %s: none", c.attempt, d.name)
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.signed, a.body, a.err = resp.StatusCode, resp.Header.Get(wire.Signature) != "", string(body), err
	s.record.line("answer   %s from %s: %d", c.attempt, d.name, a.status)
	return a
}

// send sends c to d on a new channel and records both.
func (s *system) send(d *daemon, c call) answer {
	if c.raw {
		return s.sendRaw(d, c)
	}
	client := http.Client{Timeout: c.timeout + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(c.method, "http://"+d.front, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.URL.Opaque, req.Host = c.target, host
	req.Header.Set(wire.Attempt, c.attempt)
	req.Header.Set(wire.Deadline, fmt.Sprint(c.timeout.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.model != "" {
		req.Header.Set(wire.Model, c.model)
		req.Header.Set(wire.Tokens, "1460,80")
		req.Header.Set(wire.Parts, fmt.Sprintf("5c1e07a2:800,%x:660", c.attempt))
	}
	a := answer{sentAt: time.Now()}
	s.record.line("send     %s to %s: %s %s, key %s", c.attempt, d.name, c.method, c.target, c.key)
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		s.record.line("answer   %s from %s: none", c.attempt, d.name)
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.signed, a.body, a.err = resp.StatusCode, resp.Header.Get(wire.Signature) != "", string(body), err
	s.record.line("answer   %s from %s: %d", c.attempt, d.name, a.status)
	return a
}
