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
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// A Daemon is one entry instance. Make one with New and run it with Run.
type Daemon struct {
	settings    settings.Settings
	incarnation string
	logger      *log.Logger
	tracer      trace.Tracer
	monitor     *invariant.Monitor
	counters    *counters
	links       *link.Counters

	platform platform.Client
	engine   backend.Engine
	fresh    *http.Client

	system *actor.ActorSystem
	pid    *actor.PID
	view   atomic.Pointer[control.View]
	tasks  task.Group
	work   task.Group

	traffic *traffic
	claims  *claims
	crashes *crashes
	cancels cancels
	peers   peers
	// serving counts the requests in flight. A planned stop looks at it while requests
	// still come, which a wait group does not allow.
	serving atomic.Int64
	stopped chan struct{}
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
	if roots, err = rootsOf(s.TLS); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:    s,
		incarnation: uuid.NewString(),
		logger:      logger,
		tracer:      tracer,
		counters:    newCounters(),
		links:       new(link.Counters),
		platform:    platform.Client{Address: s.Platform.Address, HTTP: newClient(platformTimeout)},
		engine:      &backend.Client{HTTP: newClient(0)},
		fresh:       &http.Client{Transport: freshTransport(roots)},
		stopped:     make(chan struct{}),
	}
	d.monitor = &invariant.Monitor{OnViolation: func(p invariant.Name, message string) {
		logger.Error().Str("promise", string(p)).Msg(message)
	}}
	d.traffic = newTraffic(policy, s.Bounds.ColdFirstTokenMul)
	d.claims = newClaims(d)
	d.crashes = &crashes{register: quarantine.Register{QuarantineFor: s.Bounds.QuarantineFor}}
	d.view.Store(&control.View{})
	return d, nil
}

// Monitor returns the counts of what must always hold.
func (d *Daemon) Monitor() *invariant.Monitor { return d.monitor }

// Run serves until ctx ends, then stops as planned: it leaves the directory,
// lets requests in flight finish and returns.
func (d *Daemon) Run(ctx context.Context) error {
	var (
		servers []*server
		err     error
	)
	if servers, err = d.listen(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.startControl()
	d.startTasks(work)
	for _, s := range servers {
		d.tasks.Go(work, s.Name, s.Run)
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

// drain leaves the directory, tells the peers and waits until the requests in
// flight have their answers.
func (d *Daemon) drain() {
	d.tell(control.Leave{})
	d.tell(control.Tick{})
	// Callers that hold an old list of addresses are still told where to go.
	time.Sleep(d.settings.Bounds.TickInterval)
	for end := time.Now().Add(d.settings.Limits.RequestTimeout); d.serving.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
	left := d.serving.Load()
	d.monitor.Check(left == 0, invariant.GracefulStop, "%d requests in flight at the end of a planned stop", left)
}

// drainPoll is the time between looks at the requests in flight of a planned stop.
const drainPoll = 20 * time.Millisecond

// listen opens all listeners.
func (d *Daemon) listen() ([]*server, error) {
	l := d.settings.Listen
	var servers []*server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", l.Callers, d.callerHandler()},
		{"operators", l.Operators, d.operatorHandler()},
		{"peers", l.Peers, d.peerHandler()},
	} {
		var (
			srv *server
			err error
		)
		if srv, err = newServer(d.settings, s.name, s.address, s.handler); err != nil {
			return nil, errors.Join(append(closeAll(servers), err)...)
		}
		servers = append(servers, srv)
	}
	return servers, nil
}

// startTasks starts the goroutines that feed the control state.
func (d *Daemon) startTasks(ctx context.Context) {
	d.tasks.Go(ctx, "work", d.work.Reap)
	d.tasks.Go(ctx, "tick", d.runTicks)
	d.tasks.Go(ctx, "configuration", func(ctx context.Context) error { return d.follow(ctx, control.StreamConfiguration) })
	d.tasks.Go(ctx, "system", func(ctx context.Context) error { return d.follow(ctx, control.StreamSystem) })
	d.tasks.Go(ctx, "instances", d.runListing)
	d.tasks.Go(ctx, "reports", d.runReports)
	d.tasks.Go(ctx, "claims", d.claims.follow)
	d.tasks.Go(ctx, "claim writer", d.claims.write)
	for _, seed := range d.settings.Peers.Seeds {
		if seed == d.settings.Listen.Peers {
			continue
		}
		sender := link.NewSender[message](d.scheme()+seed+link.Path, d.settings.Peers.Secret, d.fresh, d.links)
		d.peers.add(seed, sender)
		d.tasks.Go(ctx, "peer "+seed, sender.Run)
	}
}

// bounds returns the bounds of the control state.
func (d *Daemon) bounds() control.Bounds {
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

// closeAll closes servers that were opened before another one failed.
func closeAll(servers []*server) []error {
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Listener.Close())
	}
	return errs
}

// rootsOf returns the authorities that peers are trusted by, nil for those of the
// machine.
func rootsOf(s settings.TLS) (*x509.CertPool, error) {
	if s.CAFile == "" {
		return nil, nil //nolint:nilnil // A nil pool stands for the machine's.
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
		return nil, fmt.Errorf("tls.ca_file %s: no certificate in PEM", s.CAFile)
	}
	return roots, nil
}

// newClient returns an HTTP client that keeps its connections.
func newClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
	}
	return &http.Client{Transport: transport, Timeout: timeout}
}

// freshTransport returns a transport that uses each connection once, so that it
// never sends a request a second time. It trusts roots, or those of the machine if
// there are none.
func freshTransport(roots *x509.CertPool) *http.Transport {
	return &http.Transport{
		TLSClientConfig:        &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
	}
}
