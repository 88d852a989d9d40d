// Command second runs the scripts of the second review: daemons as separate processes, in front of small stand-ins of the
// users' platform and its workers, on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hawthornrock/hawthornrock/platform/standins"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// scriptTimeout bounds a script.
const scriptTimeout = 110 * time.Second

// A record is the file in which a script notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// note adds a line with the time since the start of the script.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// A daemon is one process of the system.
type daemon struct {
	name     string
	settings map[string]string
	file     string
	log      *os.File
	cmd      *exec.Cmd
	ended    chan struct{}
}

// A system is a store, workers and daemons.
type system struct {
	dir     string
	rec     *record
	store   *standins.Store
	address string
	daemons []*daemon
	// kind is the value of TROUBLE; trouble means that there is some.
	kind    string
	trouble bool
}

// newSystem starts an empty store.
func newSystem(ctx context.Context, folder, kind string) (*system, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, rec: &record{file: file, start: time.Now()}, store: &standins.Store{}, kind: kind, trouble: kind != "0"}
	s.rec.note("trouble: %s", kind)
	if s.address, _, err = s.store.Start(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// freePort returns a loopback port that is free.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// addDaemon starts a daemon together with all others.
func (s *system) addDaemon(zone, store string) (*daemon, error) {
	return s.newDaemon(zone, store, true)
}

// addLater starts a daemon on a machine that is added.
func (s *system) addLater(zone, store string) (*daemon, error) {
	return s.newDaemon(zone, store, false)
}

// newDaemon prepares a daemon and starts it. bootstrap is what its settings say of the whole system's start.
func (s *system) newDaemon(zone, store string, bootstrap bool) (*daemon, error) {
	n := len(s.daemons)
	ip := fmt.Sprintf("127.0.0.%d", 10+n)
	d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, n+1), settings: map[string]string{}}
	first := 0
	for first == 0 {
		// Two ports in a row for the traffic between daemons.
		p := freePort(ip)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+1))
		if err == nil {
			_ = l.Close()
			first = p
		}
	}
	front, ready, directory := freePort(ip), freePort(ip), freePort(ip)
	d.settings["front"] = fmt.Sprintf("%s:%d", ip, front)
	d.settings["ready"] = fmt.Sprintf("%s:%d", ip, ready)
	d.settings["directory"] = fmt.Sprintf("%s:%d", ip, directory)
	for _, boot := range []bool{true, false} {
		d.settings[fmt.Sprint(boot)] = strings.NewReplacer("{{name}}", d.name, "{{ip}}", ip, "{{zone}}", zone, "{{port}}", fmt.Sprint(first),
			"{{next_port}}", fmt.Sprint(first+1), "{{first}}", fmt.Sprint(boot), "{{front}}", fmt.Sprint(front), "{{ready}}", fmt.Sprint(ready),
			"{{directory}}", fmt.Sprint(directory), "{{store}}", store).Replace(settingsTemplate)
	}
	d.file = filepath.Join(s.dir, d.name+".toml")
	var err error
	if d.log, err = os.Create(filepath.Join(s.dir, d.name+".log")); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, s.startDaemon(d, bootstrap)
}

// startDaemon starts the process of d with the command of the deploy file.
func (s *system) startDaemon(d *daemon, first bool) error {
	if err := os.WriteFile(d.file, []byte(d.settings[fmt.Sprint(first)]), 0o600); err != nil {
		return err
	}
	d.cmd = exec.Command("target/hawthornrock", "gateway", "-policy", "deploy/policy.yaml")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "HAWTHORNROCK_SETTINGS=" + d.file}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.ended = ended
	cmd := d.cmd
	go func() {
		// The exit status is of no use: the process is killed.
		_ = cmd.Wait()
		close(ended)
	}()
	s.rec.note("%s starts, process %d", d.name, d.cmd.Process.Pid)
	return nil
}

// ready returns whether the daemon answers the platform's check with 200.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.settings["ready"] + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (s *system) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, d := range s.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// end ends all processes.
func (s *system) end(code int) int {
	for _, d := range s.daemons {
		_ = d.cmd.Process.Kill()
		<-d.ended
		_ = d.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, d := range s.daemons {
			if text, err := os.ReadFile(d.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
	s.rec.note("exit %d", code)
	_ = s.rec.file.Close()
	return code
}

// An answer is what a client sees of one request.
type answer struct {
	status int
	signed bool
	body   string
	err    error
}

// putConfig writes a configuration as the operator does.
func (s *system) putConfig(c map[string]any) {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	s.store.Put(wire.Topic["operators"], "config", text)
	s.rec.note("operator: configuration %v acknowledged", c["version"])
}

func main() {
	cases := map[string]func(context.Context, string, string) int{"withdrawn": withdrawnKey, "foreign": foreignAnswer, "star": starTarget}
	if len(os.Args) < 4 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER TROUBLE; cases:", strings.Join(names, ", "))
		os.Exit(exitCannot)
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	// A script that hangs could not run; its daemons end with this process.
	time.AfterFunc(scriptTimeout, func() { os.Exit(exitCannot) })
	code := cases[os.Args[1]](ctx, os.Args[2], os.Args[3])
	cancel()
	os.Exit(code)
}
