// Package demo runs a complete system on loopback in one process: real entry daemons, with stand-ins for
// all external components.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/entry"
	"github.com/hawthornrock/hawthornrock/load"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// startTimeout limits the wait until all daemons have started.
const startTimeout = 10 * time.Second

// Token is the operator token that the daemons of a System accept.
const Token = "operator-token"

// A Plan describes a System. Services is the deployment of the plain service; if empty, none is started.
// Adjust, if set, modifies the settings of each daemon before it starts. Logs are discarded if LogOutput
// is nil, traces if Tracer is nil.
type Plan struct {
	FailureDomains   []string
	FabricsPerDomain int
	EnginesPerFabric int
	DaemonsPerDomain int
	Services         string
	Organisations    []string
	Engine           standin.EngineSettings
	Adjust           func(*settings.Settings)
	LogOutput        io.Writer
	Tracer           trace.Tracer
}

// A Member is one daemon of a System.
type Member struct {
	Settings settings.Settings
	Daemon   *entry.Daemon

	stop context.CancelFunc
	done chan error
}

// A System is a running system on loopback. Use Start to create one.
type System struct {
	Plan       Plan
	Log        *standin.Log
	LogAddress string
	Engines    []*standin.Engine
	Services   []*standin.Service
	Ledger     *standin.Ledger
	Daemons    []*Member

	http    *http.Client
	stop    context.CancelFunc
	tasks   task.Group
	servers []*http.Server
	mu      sync.Mutex
}

// Start starts the system that plan describes.
func Start(plan Plan) (*System, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &System{
		Plan: plan, Log: standin.NewLog(0), Ledger: &standin.Ledger{}, stop: cancel,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// start starts the stand-ins, then one daemon after the other.
func (s *System) start(ctx context.Context) error {
	var err error
	if s.LogAddress, err = s.open(ctx, func(string) http.Handler { return s.Log.Handler() }); err != nil {
		return err
	}
	for _, domain := range s.Plan.FailureDomains {
		if err = s.startDomain(ctx, domain); err != nil {
			return err
		}
	}
	var all []settings.Settings
	if all, err = s.settings(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, one := range all {
		if err = s.StartDaemon(one); err != nil {
			return err
		}
		if err = s.waitOK(ctx, one.Listen.Operators, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// startDomain starts the backend servers of a failure domain.
func (s *System) startDomain(ctx context.Context, domain string) error {
	for f := range s.Plan.FabricsPerDomain {
		fabric := fmt.Sprintf("%s-%c", domain, 'a'+f)
		for n := range s.Plan.EnginesPerFabric {
			if err := s.startEngine(ctx, domain, fabric, n+1); err != nil {
				return err
			}
		}
	}
	if s.Plan.Services == "" {
		return nil
	}
	i := fleet.Instance{
		Name: domain + "-service", Kind: fleet.KindService, Backend: "standin", FailureDomain: domain, Deployment: s.Plan.Services,
	}
	_, err := s.open(ctx, func(address string) http.Handler {
		i.Address = address
		service := &standin.Service{Instance: i, Ledger: s.Ledger}
		s.Services = append(s.Services, service)
		s.Log.Register(i)
		return service.Handler()
	})
	return err
}

// startEngine starts the n-th engine of a fabric domain.
func (s *System) startEngine(ctx context.Context, domain, fabric string, n int) error {
	i := fleet.Instance{
		Name: fmt.Sprintf("%s-%d", fabric, n), Kind: fleet.KindEngine, Backend: "standin",
		FailureDomain: domain, FabricDomain: fabric,
	}
	_, err := s.open(ctx, func(address string) http.Handler {
		i.Address = address
		engine := standin.NewEngine(i, s.Plan.Engine)
		s.Engines = append(s.Engines, engine)
		s.Log.Register(i)
		s.tasks.Go(ctx, i.Name, engine.Watch)
		return engine.Handler()
	})
	return err
}

// open listens on a free loopback address and serves the handler that newHandler returns for it until
// the system stops. It returns the address.
func (s *System) open(ctx context.Context, newHandler func(address string) http.Handler) (string, error) {
	var (
		listener net.Listener
		err      error
	)
	if listener, err = listen(); err != nil {
		return "", err
	}
	address := listener.Addr().String()
	s.serve(ctx, listener, newHandler(address))
	return address, nil
}

// serve serves handler on listener until the system stops.
func (s *System) serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, srv)
	s.tasks.Go(ctx, "server", func(context.Context) error {
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// settings returns the settings of all daemons.
func (s *System) settings() ([]settings.Settings, error) {
	var (
		all   []settings.Settings
		seeds []string
	)
	for _, domain := range s.Plan.FailureDomains {
		for n := range s.Plan.DaemonsPerDomain {
			one := settings.Default()
			one.Daemon, one.FailureDomain = fmt.Sprintf("entry-%s-%d", domain, n+1), domain
			one.Platform.Address, one.Peers.Secret = s.LogAddress, "shared-secret"
			one.Operators = []settings.Operator{{Name: "operator", TokenSHA256: Hash(Token)}}
			one.Backends = []settings.Backend{{Name: "standin", ChecksFencing: s.Plan.Engine.ChecksFencing}}
			for _, o := range s.Plan.Organisations {
				one.Organisations = append(one.Organisations, settings.Organisation{Name: o, KeySHA256: []string{Hash(Key(o))}})
			}
			for _, address := range []*string{&one.Listen.Callers, &one.Listen.Operators, &one.Listen.Peers} {
				var err error
				if *address, err = FreeAddress(); err != nil {
					return nil, err
				}
			}
			seeds = append(seeds, one.Listen.Peers)
			all = append(all, one)
		}
	}
	for i := range all {
		all[i].Peers.Seeds = seeds
		if s.Plan.Adjust != nil {
			s.Plan.Adjust(&all[i])
		}
	}
	return all, nil
}

// StartDaemon starts a daemon with the given settings and adds it to s.Daemons. It does not wait until
// the daemon is ready.
func (s *System) StartDaemon(one settings.Settings) error {
	output := s.Plan.LogOutput
	if output == nil {
		output = io.Discard
	}
	logger := &log.Logger{Level: log.ParseLevel(one.Log.Level), Writer: &log.IOWriter{Writer: output}}
	tracer := s.Plan.Tracer
	if tracer == nil {
		tracer = noop.NewTracerProvider().Tracer("")
	}
	var (
		daemon *entry.Daemon
		err    error
	)
	if daemon, err = entry.New(one, logger, tracer); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{Settings: one, Daemon: daemon, stop: cancel, done: make(chan error, 1)}
	go func() { m.done <- daemon.Run(ctx) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Daemons = append(s.Daemons, m)
	return nil
}

// Stop shuts m down gracefully and returns the error of its run. It may be called more than once.
func (m *Member) Stop() error {
	m.stop()
	err := <-m.done
	m.done <- err
	return err
}

// Stop stops all daemons, then the stand-ins.
func (s *System) Stop() error {
	var errs []error
	for _, m := range s.Daemons {
		errs = append(errs, m.Stop())
	}
	s.stop()
	for _, srv := range s.servers {
		errs = append(errs, srv.Close())
	}
	s.http.CloseIdleConnections()
	return errors.Join(append(errs, s.tasks.Wait())...)
}

// Caller returns a client of organisation that starts with the addresses of all daemons. seed is for its
// random selection of addresses.
func (s *System) Caller(organisation string, seed uint64) *load.Caller {
	c := &load.Caller{Key: Key(organisation), HTTP: s.http, Random: rand.New(rand.NewPCG(seed, seed))}
	for _, m := range s.Daemons {
		c.Addresses = append(c.Addresses, m.Settings.Listen.Callers)
	}
	return c
}

// Change submits a configuration record to the n-th daemon. A record without an ID gets a random one.
func (s *System) Change(ctx context.Context, n int, record configuration.Record) (operator.ChangeResult, error) {
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	return s.operator(n).Change(ctx, record)
}

// Status returns the status that the n-th daemon reports.
func (s *System) Status(ctx context.Context, n int) (operator.Status, error) {
	return s.operator(n).Status(ctx)
}

// operator returns a client for the operator API of the n-th daemon.
func (s *System) operator(n int) *operator.Client {
	return &operator.Client{Address: s.Daemons[n].Settings.Listen.Operators, Token: Token, HTTP: s.http}
}

// Violations returns the number of invariant violations counted by all daemons.
func (s *System) Violations() int64 {
	var total int64
	for _, m := range s.Daemons {
		total += m.Daemon.Monitor().TotalViolations()
	}
	return total
}

// WaitServing waits until every daemon reports at least want serving replicas.
func (s *System) WaitServing(ctx context.Context, want int) error {
	for {
		most := 0
		ready := 0
		for n := range s.Daemons {
			if status, err := s.Status(ctx, n); err == nil {
				most = max(most, len(status.Replicas))
				if len(status.Replicas) >= want {
					ready++
				}
			}
		}
		if ready == len(s.Daemons) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d replicas serving, want %d: %w", most, want, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// WaitReady waits until the daemon whose operator API listens at the given address accepts new work.
func (s *System) WaitReady(ctx context.Context, operators string) error {
	return s.waitOK(ctx, operators, "/readyz")
}

// waitOK waits until the daemon responds to a GET of path with status 200.
func (s *System) waitOK(ctx context.Context, operators, path string) error {
	for {
		var (
			req  *http.Request
			resp *http.Response
			err  error
		)
		if req, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+path, http.NoBody); err != nil {
			return err
		}
		if resp, err = s.http.Do(req); err == nil {
			err = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("daemon at %s did not respond with status 200: %w", operators, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Hash returns the SHA-256 hash of a key or token in hexadecimal, as stored in the settings.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Key returns the API key of organisation that the daemons of a System accept.
func Key(organisation string) string { return "key-of-" + organisation }

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) {
	var (
		listener net.Listener
		err      error
	)
	if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}
