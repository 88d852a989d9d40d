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
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/serve"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

// A Gateway is one daemon. Make one with New and run it with Run.
type Gateway struct {
	// DroppedLines returns the number of log lines that were dropped, if set.
	DroppedLines func() int64

	settings    site.Settings
	startedAt   time.Duration
	incarnation string
	logger      *log.Logger
	tracer      trace.Tracer
	monitor     *invariant.Monitor
	metrics     *metrics

	store      *platform.Store
	engines    *platform.EngineClient
	links      *link.Counters
	peerClient *http.Client
	// secret is what peers must carry to send statuses to this daemon.
	secret string
	// formerSecret is that of the life of this daemon before, by which others know it until
	// they have read its heartbeat.
	formerSecret atomic.Pointer[string]
	kept         *http.Transport
	fresh        *http.Transport

	system *actor.ActorSystem
	pid    *actor.PID
	view   atomic.Pointer[View]
	tasks  task.Group
	work   task.Group

	// confirmed is the time, on the boot clock, at which the last successful read
	// of what operators ask for was sent.
	confirmed atomic.Int64
	leaving   atomic.Bool
	// takesUntil is the time, on the boot clock, until which a leaving daemon takes requests.
	takesUntil atomic.Int64
	// term is the term under which this daemon leads, zero if it does not; led is
	// the last one.
	term          atomic.Int64
	led           atomic.Int64
	board         attemptTracker
	crashes       crashTracker
	boundsInForce atomic.Pointer[site.Bounds]
	neighbours    peerState
	linkGroup     atomic.Pointer[task.Group]
	// heldAnswers is the memory that large answers take, in bytes.
	heldAnswers atomic.Int64
	retryMu     sync.Mutex
	retries     map[string]*budget.Retries
	// acquainted is closed when the heartbeats of the daemons have been read once.
	acquainted chan struct{}
	// beatNow asks for a heartbeat before the next one is due.
	beatNow chan struct{}
	// tellNow asks for a status before the next one is due.
	tellNow chan struct{}
}

// New returns a gateway with the given settings.
func New(s site.Settings, logger *log.Logger, tracer trace.Tracer) *Gateway {
	g := &Gateway{
		settings:    s,
		startedAt:   clock.Boot(),
		incarnation: uuid.NewString(),
		logger:      logger,
		tracer:      tracer,
		metrics:     newMetrics(),
		links:       new(link.Counters),
		peerClient:  &http.Client{Transport: newTransport(false)},
		secret:      uuid.NewString(),
		kept:        newTransport(false),
		fresh:       newTransport(true),
		retries:     make(map[string]*budget.Retries),
		beatNow:     make(chan struct{}, 1),
		tellNow:     make(chan struct{}, 1),
		acquainted:  make(chan struct{}),
	}
	g.boundsInForce.Store(&s.Bounds)
	g.store = &platform.Store{Address: s.Store, HTTP: &http.Client{Transport: newTransport(false)}}
	g.engines = &platform.EngineClient{HTTP: &http.Client{Transport: newTransport(false), Timeout: orderTimeout}}
	g.monitor = &invariant.Monitor{OnViolation: func(p invariant.Name, message string) {
		logger.Error().Str("event", "invariant_violated").Str("promise", string(p)).Msg(message)
	}}
	g.view.Store(&View{Daemons: 1})
	return g
}

const (
	// dialTimeout bounds the wait for a connection to a backend server or the
	// store: many round trips within a region.
	dialTimeout = 400 * time.Millisecond
	// idleConnection is how long an unused connection is kept.
	idleConnection = 30 * time.Second
	// idlePerServer is the number of unused connections kept to one server: the
	// requests that one daemon has there at once on a busy day.
	idlePerServer = 16
	// maxAnswerHead bounds the head of an answer, in bytes: the same as for a request.
	maxAnswerHead = maxHeaderBytes
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 700 * time.Millisecond
	// unsentTimeout is how long written bytes may go without acknowledgement
	// before a connection counts as broken.
	unsentTimeout = 2 * time.Second
)

// newTransport returns a transport to servers. One that is fresh uses each
// connection once, so that it never sends a request twice.
func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUnsentTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleConnection,
		MaxResponseHeaderBytes: maxAnswerHead,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
	}
}

// Run serves until ctx ends, then stops as planned: callers are sent elsewhere,
// requests in flight get their answers, and Run returns.
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
		Str("front", g.settings.Front).Str("store", g.settings.Store).Bool("first_run", g.settings.FirstRun).Msg("daemon starts")
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
	// drainTakes is how long a leaving daemon goes on taking requests from callers that
	// hold an old list of addresses. Those that come later would be cut at its end, and are
	// told to go elsewhere.
	drainTakes = 3 * time.Second
	// drainListen is how long a leaving daemon tells callers so that come without need.
	drainListen = 4 * time.Second
	// drainMargin is kept free of the time that the platform gives a process to end.
	drainMargin = 500 * time.Millisecond
	// drainPoll is the time between looks at what is in flight.
	drainPoll = 50 * time.Millisecond
)

// drain sends callers elsewhere and waits until the requests in flight have their
// answers.
func (g *Gateway) drain(servers []*serve.Server) {
	began := clock.Boot()
	end := g.bounds().Grace - drainMargin
	g.takesUntil.Store(int64(began + min(drainTakes, end/2)))
	g.leaving.Store(true)
	g.logger.Info().Str("event", "drain").Int("in_flight", g.board.requestsInFlight()).Msg("daemon leaves")
	g.enqueue(tick{})
	g.requestHeartbeat()
	for since := time.Duration(0); since < end; since = clock.Boot() - began {
		if since >= min(drainListen, end/2) && g.board.requestsInFlight() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	left := g.board.requestsInFlight()
	g.monitor.Check(left == 0, invariant.GracefulStop, "%d requests in flight at the end of a planned stop", left)
	for _, s := range servers {
		s.Close(closeTimeout)
	}
}

// takesRequests returns whether this daemon takes requests still, as one that does not leave
// does.
func (g *Gateway) takesRequests() bool {
	return !g.leaving.Load() || clock.Boot() < time.Duration(g.takesUntil.Load())
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
}

// Monitor returns the counts of what must always hold.
func (g *Gateway) Monitor() *invariant.Monitor { return g.monitor }
