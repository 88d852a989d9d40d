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

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/demo"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// processes is a system of separate processes on loopback.
type processes struct {
	t        *testing.T
	binary   string
	dir      string
	platform string
	engines  []string
	service  string
	daemons  []*process
	domains  []string
}

// A process is one daemon as a process of its own.
type process struct {
	cmd       *exec.Cmd
	callers   string
	operators string
	peers     string
	file      string
}

// startProcesses starts a log, engines in two failure domains, one plain service
// and three daemons.
func startProcesses(t *testing.T, fenced bool) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir(), domains: []string{"bayangol", "sukhbaatar"}}
	p.binary = filepath.Join(p.dir, "hawthornrock")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", p.binary, ".")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	p.platform = freeAddress(t)
	p.start("standin", "log", "-listen", p.platform)
	requireAnswer(t, "http://"+p.platform+"/v1/instances")
	for _, domain := range p.domains {
		for n := range 5 {
			address := freeAddress(t)
			p.start("standin", "engine", "-listen", address, "-platform", p.platform, "-name", fmt.Sprintf("%s-%d", domain, n), "-load", "200ms",
				"-failure_domain", domain, "-fabric_domain", domain+"-a", fmt.Sprintf("-checks_fencing=%t", fenced))
			p.engines = append(p.engines, address)
		}
	}
	p.service = freeAddress(t)
	p.start("standin", "service", "-listen", p.service, "-platform", p.platform, "-name", "ordering-1", "-failure_domain", "bayangol", "-deployment", "ordering")
	for range 3 {
		p.daemons = append(p.daemons, &process{callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t)})
	}
	for n := range p.daemons {
		p.startDaemon(n)
	}
	p.publish()
	return p
}

// start starts one process, which ends with the test.
func (p *processes) start(args ...string) *exec.Cmd {
	p.t.Helper()
	cmd := exec.Command(p.binary, args...)
	cmd.Stderr = p.log()
	require.NoError(p.t, cmd.Start())
	p.t.Cleanup(func() {
		// The process may be stopped or have ended already.
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// log returns the file that all processes log to.
func (p *processes) log() *os.File {
	file, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { require.NoError(p.t, file.Close()) })
	return file
}

// startDaemon starts the n-th daemon and waits until it takes new work.
func (p *processes) startDaemon(n int) {
	p.t.Helper()
	d := p.daemons[n]
	var seeds []string
	for _, other := range p.daemons {
		seeds = append(seeds, other.peers)
	}
	d.file = filepath.Join(p.dir, fmt.Sprintf("entry-%d.yaml", n))
	text := fmt.Sprintf(`
daemon: entry-%d
failure_domain: %s
listen: {callers: %q, operators: %q, peers: %q}
platform: {address: %q}
peers: {secret: s, seeds: [%s]}
operators: [{name: planner, token_sha256: %s}]
organisations: [{name: bakery, key_sha256: [%s]}]
backends: [{name: standin}]
`, n, p.domains[n%len(p.domains)], d.callers, d.operators, d.peers, p.platform, strings.Join(seeds, ", "), demo.Hash(demo.Token), demo.Hash("key"))
	require.NoError(p.t, os.WriteFile(d.file, []byte(text), 0o600))
	d.cmd = p.start("serve", "-settings", d.file)
	requireAnswer(p.t, "http://"+d.operators+"/healthz")
}

// publish publishes two replicas of two instances and waits until they serve.
func (p *processes) publish() {
	p.t.Helper()
	sheet := []fleet.Deployment{
		{
			Name: "decoration", Kind: fleet.KindEngine, Model: "m", Version: "1", Replicas: 2, InstancesPerReplica: 2,
			FailureDomains: p.domains, Organisations: []string{"bakery"}, Priority: fleet.PriorityUrgent,
		},
		{Name: "ordering", Kind: fleet.KindService, FailureDomains: p.domains, Organisations: []string{"bakery"}, Priority: fleet.PriorityUrgent},
	}
	result, err := p.operator(0).Change(p.t.Context(), configuration.Record{ID: "first", Kind: configuration.KindSheet, Deployments: sheet})
	require.NoError(p.t, err)
	require.True(p.t, result.Verdict.Accepted)
	for n := range p.daemons {
		p.waitServing(n, 2)
	}
}

// operator returns a client of the n-th daemon's interface for operators.
func (p *processes) operator(n int) *operator.Client {
	return &operator.Client{Address: p.daemons[n].operators, Token: demo.Token, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

// waitServing waits until the n-th daemon serves want replicas.
func (p *processes) waitServing(n, want int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		status, err := p.operator(n).Status(p.t.Context())
		return err == nil && len(status.Replicas) >= want
	}, 30*time.Second, 50*time.Millisecond)
}

// directorOf returns which daemon directs a failure domain, and the term.
func (p *processes) directorOf(ask int, domain string) (int, uint64) {
	p.t.Helper()
	status, err := p.operator(ask).Status(p.t.Context())
	require.NoError(p.t, err)
	for _, l := range status.Leases {
		for n := range p.daemons {
			if l.FailureDomain == domain && strings.HasPrefix(l.Holder, fmt.Sprintf("entry-%d#", n)) {
				return n, l.Term
			}
		}
	}
	require.Fail(p.t, "nobody directs "+domain)
	return 0, 0
}

// requireNothingBroken requires that no daemon counted a violation, no engine took
// an order of an earlier term and no call ran twice.
func (p *processes) requireNothingBroken() {
	p.t.Helper()
	for n := range p.daemons {
		status, err := p.operator(n).Status(p.t.Context())
		require.NoError(p.t, err)
		require.Zero(p.t, status.Violations)
	}
	for _, address := range p.engines {
		var counts standin.EngineCounts
		require.NoError(p.t, rest.Call(p.t.Context(), http.DefaultClient, http.MethodGet, "http://"+address+"/standin/counts", nil, &counts))
		require.Zero(p.t, counts.StaleOrders)
		require.Zero(p.t, counts.OverLimit)
	}
	var repeated int
	require.NoError(p.t, rest.Call(p.t.Context(), http.DefaultClient, http.MethodGet, "http://"+p.service+"/standin/repeated", nil, &repeated))
	require.Zero(p.t, repeated)
}

// callers sends requests of both kinds until stop closes.
func (p *processes) callers(report, orders *load.Report, stop <-chan struct{}) *sync.WaitGroup {
	var (
		group     sync.WaitGroup
		addresses []string
	)
	for _, d := range p.daemons {
		addresses = append(addresses, d.callers)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 20 * time.Second}
	for n := range 4 {
		group.Go(func() {
			caller := &load.Caller{Addresses: addresses, Key: "key", HTTP: client, Random: rand.New(rand.NewPCG(uint64(n), 7))}
			for i := 0; open(stop); i++ {
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

// open returns whether stop has not closed yet.
func open(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// freeAddress returns an address on loopback that is free now.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := demo.FreeAddress()
	require.NoError(t, err)
	return address
}

// requireAnswer waits until url answers.
func requireAnswer(t *testing.T, url string) {
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
			p := startProcesses(t, fenced)
			director, term := p.directorOf(0, "bayangol")
			other := (director + 1) % 3
			require.NoError(t, p.daemons[director].cmd.Process.Signal(syscall.SIGSTOP))
			// While it is paused, its replica loses a member, and another takes over.
			require.NoError(t, rest.Call(t.Context(), http.DefaultClient, http.MethodPost, "http://"+p.engines[1]+"/standin/fault/crash", nil, nil))
			time.Sleep(30 * time.Second)
			next, later := p.directorOf(other, "bayangol")
			require.NotEqual(t, director, next)
			require.Greater(t, later, term)
			require.NoError(t, p.daemons[director].cmd.Process.Signal(syscall.SIGCONT))
			time.Sleep(5 * time.Second)
			for n := range p.daemons {
				p.waitServing(n, 2)
			}
			p.requireNothingBroken()
		})
	}
}

func TestDaemonsKilledAndStopped(t *testing.T) {
	p := startProcesses(t, true)
	var report, orders load.Report
	stop := make(chan struct{})
	group := p.callers(&report, &orders, stop)
	time.Sleep(2 * time.Second)
	t.Run("killed", func(t *testing.T) {
		require.NoError(t, p.daemons[1].cmd.Process.Kill())
		time.Sleep(2 * time.Second)
		p.startDaemon(1)
	})
	time.Sleep(2 * time.Second)
	before := report.Summary()
	t.Run("planned_stop_of_each_in_turn", func(t *testing.T) {
		for n, d := range p.daemons {
			require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, d.cmd.Wait(), "entry-%d", n)
			p.startDaemon(n)
			p.waitServing(n, 1)
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
	for n := range p.daemons {
		p.waitServing(n, 2)
	}
	p.requireNothingBroken()
}
