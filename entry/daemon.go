package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/freshness"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/coordination/lease"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/routing"
	"github.com/hawthornrock/hawthornrock/protocol/backend"
	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// A Daemon is one entry instance. Create it with New and start it with Run.
type Daemon struct {
	settings     settings.Settings
	incarnation  string
	logger       *log.Logger
	tracer       trace.Tracer
	monitor      *invariant.Monitor
	counters     *counters
	linkCounters *link.Counters

	platform  platform.Client
	engine    backend.Engine
	singleUse *http.Client

	system     *actor.ActorSystem
	controlPID *actor.PID
	view       atomic.Pointer[control.View]
	// tasks are the goroutines that run as long as the daemon, jobs the short ones that they start.
	tasks task.Group
	jobs  task.Group

	traffic *requestTracker
	claims  *claimRegistry
	crashes *crashRegister
	cancels cancelRegistry
	peers   peers
	// inFlight counts the requests in flight. It is not a sync.WaitGroup, since drain reads it
	// while new requests may still arrive.
	inFlight atomic.Int64
	stopped  chan struct{}
}

// New returns a daemon with the given settings.
func New(s settings.Settings, logger *log.Logger, tracer trace.Tracer) (*Daemon, error) {
	var (
		policy routing.Policy
		ok     bool
	)
	if policy, ok = routing.New(s.Policy.Routing); !ok {
		return nil, fmt.Errorf("policy.routing: %q, expected one of %v", s.Policy.Routing, routing.Names())
	}
	var (
		roots *x509.CertPool
		err   error
	)
	if roots, err = loadRootCAs(s.TLS); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:     s,
		incarnation:  uuid.NewString(),
		logger:       logger,
		tracer:       tracer,
		counters:     newCounters(),
		linkCounters: new(link.Counters),
		platform:     platform.Client{Address: s.Platform.Address, HTTP: newClient(platformTimeout)},
		engine:       &backend.Client{HTTP: newClient(0)},
		singleUse:    &http.Client{Transport: newSingleUseTransport(roots)},
		stopped:      make(chan struct{}),
	}
	d.monitor = &invariant.Monitor{OnViolation: func(name invariant.Name, message string) {
		logger.Error().Str("promise", string(name)).Msg(message)
	}}
	d.traffic = newRequestTracker(policy, s.Bounds.ColdFirstTokenFactor)
	d.claims = newClaimRegistry(d)
	d.crashes = &crashRegister{register: quarantine.Register{QuarantineFor: s.Bounds.QuarantineFor}}
	d.view.Store(&control.View{})
	return d, nil
}

// Monitor returns the monitor that counts checks and violations of the invariants.
func (d *Daemon) Monitor() *invariant.Monitor { return d.monitor }

// Run serves until ctx is cancelled. It then shuts down gracefully: it withdraws this instance from
// the list of entry instances, waits for the requests in flight and returns.
func (d *Daemon) Run(ctx context.Context) error {
	var (
		servers []*httpServer
		err     error
	)
	if servers, err = d.openListeners(); err != nil {
		return err
	}
	tasksCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.startControl()
	d.startTasks(tasksCtx)
	for _, s := range servers {
		d.tasks.Go(tasksCtx, s.Name, s.Run)
	}
	d.logger.Info().Str("callers", d.settings.Listen.Callers).Str("incarnation", d.incarnation).Msg("serving")
	<-ctx.Done()
	d.drain()
	cancel()
	for _, s := range servers {
		s.close()
	}
	err = d.tasks.Wait()
	d.system.Shutdown()
	d.logger.Info().Msg("stopped")
	return err
}

// drain withdraws this instance from the list of entry instances, announces the shutdown to the
// peers and waits until the requests in flight are answered, for at most the request timeout.
func (d *Daemon) drain() {
	d.sendEvent(control.Leave{})
	d.sendEvent(control.Tick{})
	// For one more tick, refuse callers with an outdated list and refer them to other instances.
	time.Sleep(d.settings.Bounds.TickInterval)
	for end := time.Now().Add(d.settings.Limits.RequestTimeout); d.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
	left := d.inFlight.Load()
	d.monitor.Check(left == 0, invariant.GracefulStop, "%d requests in flight at the end of a planned stop", left)
}

// drainPollInterval is the interval at which drain checks the number of requests in flight.
const drainPollInterval = 20 * time.Millisecond

// openListeners opens the listeners for callers, operators and peers.
func (d *Daemon) openListeners() ([]*httpServer, error) {
	l := d.settings.Listen
	var servers []*httpServer
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", l.Callers, d.callerHandler()},
		{"operators", l.Operators, d.operatorHandler()},
		{"peers", l.Peers, d.peerHandler()},
	} {
		var (
			srv *httpServer
			err error
		)
		if srv, err = newHTTPServer(d.settings, s.name, s.address, s.handler); err != nil {
			return nil, errors.Join(append(closeListeners(servers), err)...)
		}
		servers = append(servers, srv)
	}
	return servers, nil
}

// startTasks starts the goroutines that send events to the control state, write claims and send
// messages to peers.
func (d *Daemon) startTasks(ctx context.Context) {
	d.tasks.Go(ctx, "work", d.jobs.Reap)
	d.tasks.Go(ctx, "tick", d.runTicks)
	d.tasks.Go(ctx, "configuration", func(ctx context.Context) error { return d.followStream(ctx, control.StreamConfiguration) })
	d.tasks.Go(ctx, "system", func(ctx context.Context) error { return d.followStream(ctx, control.StreamSystem) })
	d.tasks.Go(ctx, "instances", d.pollInstances)
	d.tasks.Go(ctx, "reports", d.pollEngines)
	d.tasks.Go(ctx, "claims", d.claims.follow)
	d.tasks.Go(ctx, "claim writer", d.claims.writeBatches)
	for _, seed := range d.settings.Peers.Seeds {
		if seed == d.settings.Listen.Peers {
			continue
		}
		sender := link.NewSender[peerMessage](d.peerScheme()+seed+link.Path, d.settings.Peers.Secret, d.singleUse, d.linkCounters)
		d.peers.add(seed, sender)
		d.tasks.Go(ctx, "peer "+seed, sender.Run)
	}
}

// controlBounds returns the time limits of the control state from the settings.
func (d *Daemon) controlBounds() control.Bounds {
	b := d.settings.Bounds
	return control.Bounds{
		Freshness:        freshness.Bounds{MaxAge: b.FreshnessAge, PeerTimeout: b.PeerTimeout},
		Lease:            lease.Timing{Duration: b.LeaseDuration, Guard: b.LeaseGuard, LongestOrder: b.LongestOrder},
		ReportAge:        b.ReportAge,
		DeadAfter:        b.DeadAfter,
		PeerForget:       b.PeerForget,
		ColdHold:         b.ColdHold,
		SnapshotInterval: b.SnapshotInterval,
	}
}

// closeListeners closes the listeners of servers and returns the errors, for when opening another
// listener has failed.
func closeListeners(servers []*httpServer) []error {
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Listener.Close())
	}
	return errs
}

// loadRootCAs returns the certificate authorities that peer certificates are verified against, or
// nil for those of the machine.
func loadRootCAs(s settings.TLS) (*x509.CertPool, error) {
	if s.CAFile == "" {
		return nil, nil //nolint:nilnil // A nil pool selects the machine's authorities.
	}
	var (
		text []byte
		err  error
	)
	if text, err = os.ReadFile(s.CAFile); err != nil {
		return nil, fmt.Errorf("read tls.ca_file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("tls.ca_file %s: no PEM-encoded certificate found", s.CAFile)
	}
	return roots, nil
}

// newClient returns an HTTP client that reuses connections.
func newClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	return &http.Client{Transport: &integrity.Transport{HTTP: transport}, Timeout: timeout}
}

// newSingleUseTransport returns a transport that uses each connection for one request only.
// http.Transport may resend a request when a reused connection fails; this one never does. It
// trusts roots, or the authorities of the machine if roots is nil.
func newSingleUseTransport(roots *x509.CertPool) *integrity.Transport {
	return &integrity.Transport{HTTP: &http.Transport{
		TLSClientConfig:        &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}}
}
