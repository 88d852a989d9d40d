package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/policy"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/serve"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// A Gateway is one daemon. Create it with New and start it with Run.
type Gateway struct {
	// DroppedLines, if set, returns the number of log lines that were dropped.
	DroppedLines func() int64
	// DialServer, if set, replaces the dialer of connections to backend servers.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)

	settings    site.Settings
	startedAt   time.Duration
	incarnation string
	logger      *log.Logger
	tracer      trace.Tracer
	monitor     *invariant.Monitor
	metrics     *metrics

	store   *platform.Store
	engines *platform.EngineClient
	// placeEngines sends each request on a connection of its own, so that no earlier report counts.
	placeEngines *platform.EngineClient
	links        *link.Counters
	peerClient   *http.Client
	// secret is the secret that peers must present to send statuses to this daemon.
	secret string
	// previousSecret is the secret of the previous incarnation of this daemon. Peers use it until
	// they have read the new heartbeat.
	previousSecret     atomic.Pointer[string]
	pooledTransport    *serverTransport
	singleUseTransport *serverTransport
	paths              pathState
	// detours is the number of requests that are being passed on for other daemons.
	detours atomic.Int64

	system *actor.ActorSystem
	pid    *actor.PID
	view   atomic.Pointer[View]
	tasks  task.Group
	work   task.Group

	// confirmedAt is the time, on the boot clock, at which the last successful read of the
	// operators' topic was sent.
	confirmedAt atomic.Int64
	// configurationAt is when, on the boot clock, the current configuration was applied.
	configurationAt atomic.Int64
	leaving         atomic.Bool
	// stopping ends, by stopCalls, shortly before the connections of callers are closed.
	stopping  context.Context //nolint:containedctx // It ends with the drain, which no caller of a method waits for.
	stopCalls context.CancelCauseFunc
	// acceptsUntil is the time, on the boot clock, until which a draining daemon accepts requests, and endsCallsAt when
	// it ends those that are under way.
	acceptsUntil atomic.Int64
	endsCallsAt  atomic.Int64
	// term is the term in which this daemon leads, zero if it does not; lastTerm is the last term
	// in which it led.
	term          atomic.Int64
	lastTerm      atomic.Int64
	tracker       attemptTracker
	crashes       crashTracker
	extra         extraState
	currentBounds atomic.Pointer[site.Bounds]
	currentPolicy atomic.Pointer[policy.Policy]
	peers         peerState
	linkGroup     atomic.Pointer[task.Group]
	// memory is the account of the bytes that requests hold.
	memory  memoryState
	retryMu sync.Mutex
	retries map[string]*budget.Retries
	// daemonsLoaded is closed once the heartbeats of all daemons have been read for the first time.
	daemonsLoaded chan struct{}
	// heartbeatNow requests a heartbeat before the next one is due.
	heartbeatNow chan struct{}
	// statusNow requests a status before the next one is due.
	statusNow chan struct{}
}

// New returns a gateway with the given settings.
func New(s site.Settings, logger *log.Logger, tracer trace.Tracer) *Gateway {
	g := &Gateway{
		settings:      s,
		startedAt:     clock.Boot(),
		incarnation:   uuid.NewString(),
		logger:        logger,
		tracer:        tracer,
		metrics:       newMetrics(),
		links:         new(link.Counters),
		peerClient:    &http.Client{Transport: &integrity.Transport{HTTP: newTransport(dialer().DialContext, false)}},
		secret:        uuid.NewString(),
		retries:       make(map[string]*budget.Retries),
		heartbeatNow:  make(chan struct{}, 1),
		statusNow:     make(chan struct{}, 1),
		daemonsLoaded: make(chan struct{}),
	}
	g.stopping, g.stopCalls = context.WithCancelCause(context.Background())
	g.memory.limitMemory(s.Limits.MemoryMB)
	g.currentBounds.Store(&s.Bounds)
	g.currentPolicy.Store(&s.Policy)
	g.store = &platform.Store{Address: s.Store, HTTP: &http.Client{Transport: &integrity.Transport{HTTP: newTransport(dialer().DialContext, false)}}, PageTimeout: readTimeout}
	var badEra sync.Once
	g.store.BadEra = func(era string) {
		badEra.Do(func() {
			g.logger.Warn().Str("event", "bad_era").Str("era", era[:min(len(era), maxLoggedErrorBytes)]).Msg("store names an era that is not a number; the last known one holds")
		})
	}
	g.singleUseTransport = g.newServerTransport(g.dialServer, true)
	g.pooledTransport = g.newServerTransport(g.dialServer, false)
	orders := g.newServerTransport(g.dialForOrder, false)
	g.engines = &platform.EngineClient{HTTP: &http.Client{Transport: orders, Timeout: orderTimeout}}
	g.placeEngines = &platform.EngineClient{HTTP: &http.Client{Transport: g.newServerTransport(g.dialForOrder, true), Timeout: orderTimeout}}
	g.monitor = &invariant.Monitor{OnViolation: func(p invariant.Name, message string) {
		logger.Error().Str("event", "invariant_violated").Str("promise", string(p)).Msg(message)
	}}
	g.view.Store(&View{Daemons: 1})
	return g
}

const (
	// dialTimeout bounds connecting to the store, to another daemon or to a server for an order: many
	// round trips within a region, and the time that a leader takes to connect to hundreds of servers.
	dialTimeout = 400 * time.Millisecond
	// serverDialTimeout bounds connecting to a server for a request of a caller. It is shorter, as
	// another daemon may still reach the server.
	serverDialTimeout = 150 * time.Millisecond
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerServer is the number of unused connections kept to one server: as many as one
	// daemon has requests in flight there at once on a busy day.
	maxIdleConnsPerServer = 16
	// maxResponseHeaderBytes is the limit for the headers of a response, the same as for a request.
	maxResponseHeaderBytes = maxHeaderBytes
	// orderTimeout bounds the wait for a server's answer to an order.
	orderTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as
	// broken.
	unackedTimeout = 2 * time.Second
)

// dialer returns the dialer of all connections to servers, the store and other daemons.
func dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUnackedTimeout}
}

// A dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport whose connections dial opens. With singleUse set, each connection
// carries one request only, so that the transport never sends a request twice.
func newTransport(dial dialFunc, singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		DisableKeepAlives:      singleUse,
	}
}

// Run serves until ctx ends, then drains: it directs callers to other daemons, waits for the
// requests in flight, and returns.
func (g *Gateway) Run(ctx context.Context) error {
	var (
		servers []*serve.Server
		err     error
	)
	if servers, err = g.listen(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.logger.Info().Str("event", "start").Str("daemon", g.settings.Daemon).Str("incarnation", g.incarnation).
		Str("front", g.settings.Front).Str("store", g.settings.Store).Bool("first_run", g.settings.FirstRun).Msg("starting daemon")
	g.startController()
	g.startTasks(work)
	for _, s := range servers {
		g.tasks.Go(work, s.Name, s.Run)
	}
	<-ctx.Done()
	g.drain(servers)
	cancel()
	err = errors.Join(g.tasks.Wait(), g.work.Wait())
	g.system.Shutdown()
	g.logger.Info().Str("event", "stop").Str("daemon", g.settings.Daemon).Msg("daemon stopped")
	return err
}

const (
	// drainAcceptPeriod is how long a draining daemon still accepts requests from callers that hold
	// an old list of addresses. Later requests could be cut off when the drain ends, and are
	// refused so that callers use another daemon.
	drainAcceptPeriod = 3 * time.Second
	// minDrainPeriod is how long a draining daemon keeps listening even if idle, to refuse callers
	// that still hold its address.
	minDrainPeriod = 4 * time.Second
	// drainMargin is the part of the platform's shutdown grace period that is kept in reserve.
	drainMargin = 500 * time.Millisecond
	// drainAnswerTime is the end of the drain, in which calls that still wait for a server are answered.
	drainAnswerTime = 300 * time.Millisecond
	// drainPollInterval is the time between checks of the requests in flight.
	drainPollInterval = 50 * time.Millisecond
)

// drain directs callers to other daemons and waits for the requests in flight to complete.
func (g *Gateway) drain(servers []*serve.Server) {
	start := clock.Boot()
	end := g.bounds().Grace - drainMargin
	g.acceptsUntil.Store(int64(start + min(drainAcceptPeriod, end/2)))
	g.endsCallsAt.Store(int64(start + end - drainAnswerTime))
	g.leaving.Store(true)
	g.logger.Info().Str("event", "drain").Int("in_flight", g.tracker.requestsInFlight()).Msg("draining: directing callers to other daemons")
	g.enqueue(tick{})
	g.requestHeartbeat()
	for since := time.Duration(0); since < end; since = clock.Boot() - start {
		if since >= min(minDrainPeriod, end/2) && g.tracker.requestsInFlight() == 0 {
			break
		}
		if since >= end-drainAnswerTime && g.stopping.Err() == nil {
			g.logger.Warn().Str("event", "drain_ends").Int("in_flight", g.tracker.requestsInFlight()).Msg("drain ends; ending calls whose servers have not answered")
			g.stopCalls(errDrainEnded)
		}
		time.Sleep(drainPollInterval)
	}
	left := g.tracker.requestsInFlight()
	g.monitor.Check(left == 0, invariant.GracefulStop, "%d requests still in flight at the end of the drain", left)
	for _, s := range servers {
		s.Close(closeTimeout)
	}
}

// errDrainEnded is the cancellation cause of calls that are under way at the end of a planned stop.
var errDrainEnded = errors.New("planned stop ended")

// acceptsRequests returns whether this daemon still accepts requests: always, unless it is draining
// and its accept period has ended.
func (g *Gateway) acceptsRequests() bool {
	return !g.leaving.Load() || clock.Boot() < time.Duration(g.acceptsUntil.Load())
}

// canEnd returns whether a request that may take as long as longest can end before this daemon stops.
func (g *Gateway) canEnd(longest time.Duration) bool {
	return !g.leaving.Load() || clock.Boot()+longest <= time.Duration(g.endsCallsAt.Load())
}

// startTasks starts the goroutines that feed the control state.
func (g *Gateway) startTasks(ctx context.Context) {
	g.tasks.Go(ctx, "orders", g.work.Reap)
	g.tasks.Go(ctx, "ticks", g.runTicks)
	g.tasks.Go(ctx, "operators", g.followOperators)
	g.tasks.Go(ctx, "servers", g.followServers)
	g.tasks.Go(ctx, "daemons", g.followDaemons)
	g.tasks.Go(ctx, "heartbeats", g.runHeartbeats)
	g.tasks.Go(ctx, "watch", g.runStallChecks)
	g.tasks.Go(ctx, "peers", g.runPeers)
	g.tasks.Go(ctx, "paths", g.runPathTests)
}

// Monitor returns the invariant monitor of this daemon.
func (g *Gateway) Monitor() *invariant.Monitor { return g.monitor }
