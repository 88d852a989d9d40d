package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// A cluster is a complete system on loopback, in which each component is a separate process.
type cluster struct {
	t        *testing.T
	binary   string
	dir      string
	platform string
	engines  []string
	service  string
	daemons  []*daemonProcess
	domains  []string
}

// A daemonProcess is an entry daemon that runs as a separate process.
type daemonProcess struct {
	cmd       *exec.Cmd
	callers   string
	operators string
	peers     string
	file      string
}

// startProcesses starts a log, five engines in each of two failure domains, one plain service and
// three entry daemons. fenced states whether the engines check fencing tokens.
func startProcesses(t *testing.T, fenced bool) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), domains: []string{"bayangol", "sukhbaatar"}}
	c.binary = filepath.Join(c.dir, "hawthornrock")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", c.binary, ".")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	c.platform = freeAddress(t)
	c.start("log", "standin", "log", "-listen", c.platform)
	waitForAnswer(t, "http://"+c.platform+"/v1/instances")
	for _, domain := range c.domains {
		for n := range 5 {
			address := freeAddress(t)
			name := fmt.Sprintf("%s-%d", domain, n)
			c.start(name, "standin", "engine", "-listen", address, "-platform", c.platform, "-name", name, "-load", "200ms",
				"-failure_domain", domain, "-fabric_domain", domain+"-a", fmt.Sprintf("-checks_fencing=%t", fenced))
			c.engines = append(c.engines, address)
		}
	}
	c.service = freeAddress(t)
	c.start("ordering-1", "standin", "service", "-listen", c.service, "-platform", c.platform, "-name", "ordering-1", "-failure_domain", "bayangol", "-deployment", "ordering")
	for range 3 {
		c.daemons = append(c.daemons, &daemonProcess{callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t)})
	}
	for n := range c.daemons {
		c.startDaemon(n)
	}
	c.publish()
	return c
}

// start starts a process of the binary under test, which is killed when the test ends. Its log goes to a
// file of the given name.
func (c *cluster) start(name string, args ...string) *exec.Cmd {
	c.t.Helper()
	cmd := exec.Command(c.binary, args...)
	cmd.Stderr = c.log(name)
	// In a group of its own a paused process is not hung up on when the shell that runs the tests exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(c.t, cmd.Start())
	c.t.Cleanup(func() {
		// The process may be paused by SIGSTOP or have exited already, so errors are ignored.
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// log opens the log file of the process with the given name.
func (c *cluster) log(name string) *os.File {
	file, err := os.OpenFile(filepath.Join(c.dir, name+logSuffix), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { require.NoError(c.t, file.Close()) })
	return file
}

// startDaemon starts the n-th daemon and waits until it is healthy.
func (c *cluster) startDaemon(n int) {
	c.t.Helper()
	d := c.daemons[n]
	var seeds []string
	for _, other := range c.daemons {
		seeds = append(seeds, other.peers)
	}
	d.file = filepath.Join(c.dir, fmt.Sprintf("entry-%d.yaml", n))
	text := fmt.Sprintf(`
daemon: entry-%d
failure_domain: %s
listen: {callers: %q, operators: %q, peers: %q}
platform: {address: %q}
peers: {secret: s, seeds: [%s]}
operators: [{name: planner, token_sha256: %s}]
organisations: [{name: bakery, key_sha256: [%s]}]
backends: [{name: standin}]
`, n, c.domains[n%len(c.domains)], d.callers, d.operators, d.peers, c.platform, strings.Join(seeds, ", "), demo.Hash(demo.Token), demo.Hash("key"))
	require.NoError(c.t, os.WriteFile(d.file, []byte(text), 0o600))
	d.cmd = c.start(fmt.Sprintf("entry-%d", n), "serve", "-settings", d.file)
	waitForAnswer(c.t, "http://"+d.operators+"/healthz")
}

// publish publishes a model deployment of two replicas with two instances each and a plain service,
// and waits until all daemons report both replicas as serving.
func (c *cluster) publish() {
	c.t.Helper()
	sheet := []fleet.Deployment{
		{
			Name: "decoration", Kind: fleet.KindEngine, Model: "m", Version: "1", Replicas: 2, InstancesPerReplica: 2,
			FailureDomains: c.domains, Organisations: []string{"bakery"}, Priority: fleet.PriorityUrgent,
		},
		{Name: "ordering", Kind: fleet.KindService, FailureDomains: c.domains, Organisations: []string{"bakery"}, Priority: fleet.PriorityUrgent},
	}
	result, err := c.operator(0).Change(c.t.Context(), configuration.Record{ID: "first", Kind: configuration.KindSheet, Deployments: sheet})
	require.NoError(c.t, err)
	require.True(c.t, result.Verdict.Accepted)
	for n := range c.daemons {
		c.waitServing(n, 2)
	}
}

// operator returns a client of the n-th daemon's operator API.
func (c *cluster) operator(n int) *operator.Client {
	return &operator.Client{Address: c.daemons[n].operators, Token: demo.Token, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

// waitServing waits until the n-th daemon reports at least want serving replicas.
func (c *cluster) waitServing(n, want int) {
	c.t.Helper()
	if !assert.Eventually(c.t, func() bool {
		status, err := c.operator(n).Status(c.t.Context())
		return err == nil && len(status.Replicas) >= want
	}, 30*time.Second, 50*time.Millisecond, "entry-%d does not report %d serving replicas", n, want) {
		c.logState()
		c.t.FailNow()
	}
}

// directorOf returns the daemon that holds the lease of a failure domain and the term, according to
// the status of the daemon via.
func (c *cluster) directorOf(via int, domain string) (int, uint64) {
	c.t.Helper()
	status, err := c.operator(via).Status(c.t.Context())
	require.NoError(c.t, err)
	for _, l := range status.Leases {
		for n := range c.daemons {
			if l.FailureDomain == domain && strings.HasPrefix(l.Holder, fmt.Sprintf("entry-%d#", n)) {
				return n, l.Term
			}
		}
	}
	require.Fail(c.t, "no daemon directs "+domain)
	return 0, 0
}

// requireInvariants requires that no daemon counted a violation, no engine accepted an order of an
// earlier term or exceeded its request limit, and no service call ran twice.
func (c *cluster) requireInvariants() {
	c.t.Helper()
	for n := range c.daemons {
		status, err := c.operator(n).Status(c.t.Context())
		require.NoError(c.t, err)
		require.Zero(c.t, status.Violations)
	}
	for _, address := range c.engines {
		var counts standin.EngineCounts
		require.NoError(c.t, rest.Call(c.t.Context(), http.DefaultClient, http.MethodGet, "http://"+address+"/standin/counts", nil, &counts))
		require.Zero(c.t, counts.StaleOrders)
		require.Zero(c.t, counts.OverLimit)
	}
	var repeated int
	require.NoError(c.t, rest.Call(c.t.Context(), http.DefaultClient, http.MethodGet, "http://"+c.service+"/standin/repeated", nil, &repeated))
	require.Zero(c.t, repeated)
}

// sendRequests starts three callers of the model and one of the plain service, which send requests
// until stop is closed.
func (c *cluster) sendRequests(report, orders *load.Report, stop <-chan struct{}) *sync.WaitGroup {
	var (
		group     sync.WaitGroup
		addresses []string
	)
	for _, d := range c.daemons {
		addresses = append(addresses, d.callers)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 20 * time.Second}
	for n := range 4 {
		group.Go(func() {
			caller := &load.Caller{Addresses: addresses, Key: "key", HTTP: client, Random: rand.New(rand.NewPCG(uint64(n), 7))}
			for i := 0; isOpen(stop); i++ {
				name := fmt.Sprintf("call %d %d", n, i)
				if n == 0 {
					key := strings.ReplaceAll(name, " ", "-")
					header := http.Header{"Idempotency-Key": {key}, "Stand-In-Call": {key}}
					orders.Add(caller.Service(context.Background(), http.MethodPost, "ordering", "/orders", header, []byte("{}")), "")
					continue
				}
				report.Add(caller.Chat(context.Background(), "decoration", name, 30), standin.Answer("m", "", "1", load.Prompt(name), 30))
			}
		})
	}
	return &group
}

// isOpen reports whether stop has not been closed yet.
func isOpen(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// freeAddress returns a loopback address that is not in use at the moment.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := demo.FreeAddress()
	require.NoError(t, err)
	return address
}

// waitForAnswer waits until a GET request to url succeeds.
func waitForAnswer(t *testing.T, url string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return rest.Call(t.Context(), http.DefaultClient, http.MethodGet, url, nil, nil) == nil
	}, 10*time.Second, 20*time.Millisecond, url)
}

func TestDirectorPausedAndResumed(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced_%t", fenced), func(t *testing.T) {
			t.Parallel()
			c := startProcesses(t, fenced)
			director, term := c.directorOf(0, "bayangol")
			other := (director + 1) % 3
			require.NoError(t, c.daemons[director].cmd.Process.Signal(syscall.SIGSTOP))
			// While the director is paused, one of its replicas loses a member and another daemon takes over.
			require.NoError(t, rest.Call(t.Context(), http.DefaultClient, http.MethodPost, "http://"+c.engines[1]+"/standin/fault/crash", nil, nil))
			time.Sleep(30 * time.Second)
			next, later := c.directorOf(other, "bayangol")
			require.NotEqual(t, director, next)
			require.Greater(t, later, term)
			require.NoError(t, c.daemons[director].cmd.Process.Signal(syscall.SIGCONT))
			time.Sleep(5 * time.Second)
			for n := range c.daemons {
				c.waitServing(n, 2)
			}
			c.requireInvariants()
		})
	}
}

func TestDaemonsKilledAndStopped(t *testing.T) {
	c := startProcesses(t, true)
	var report, orders load.Report
	stop := make(chan struct{})
	group := c.sendRequests(&report, &orders, stop)
	time.Sleep(2 * time.Second)
	t.Run("killed", func(t *testing.T) {
		require.NoError(t, c.daemons[1].cmd.Process.Kill())
		time.Sleep(2 * time.Second)
		c.startDaemon(1)
	})
	time.Sleep(2 * time.Second)
	before := report.Summary()
	t.Run("planned_stop_of_each_in_turn", func(t *testing.T) {
		for n, d := range c.daemons {
			require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, d.cmd.Wait(), "entry-%d", n)
			c.startDaemon(n)
			c.waitServing(n, 1)
		}
	})
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	all := report.Summary()
	require.Zero(t, all.WrongAnswers)
	require.Equal(t, all.Requests, all.WholeAnswers, "%+v before the planned stops %+v", all, before)
	require.Positive(t, orders.Summary().WholeAnswers)
	require.Zero(t, orders.Summary().WrongAnswers)
	for n := range c.daemons {
		c.waitServing(n, 2)
	}
	c.requireInvariants()
}
