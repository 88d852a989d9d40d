package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/invariant"
	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

const (
	// logReadWait is how long a read of the log waits for new records.
	logReadWait = 500 * time.Millisecond
	// logRetryInterval is the interval between attempts while the log is unavailable.
	logRetryInterval = 200 * time.Millisecond
	// instancePollInterval is the interval between reads of the platform's list of instances.
	instancePollInterval = 500 * time.Millisecond
	// reportTimeout bounds one request for an engine's report.
	reportTimeout = time.Second
)

// A controlActor owns the control state and applies events to it one at a time.
type controlActor struct {
	daemon *Daemon
	core   *control.Core
	offset uint64
}

// Receive implements actor.Actor.
func (a *controlActor) Receive(c actor.Context) {
	event, ok := c.Message().(control.Event)
	if !ok {
		return
	}
	now := time.Now()
	commands := a.core.Step(now, event)
	if _, tick := event.(control.Tick); tick || a.core.Changed() {
		a.publish(now)
	}
	for _, command := range commands {
		a.daemon.execute(command)
	}
}

// publish stores a view of the control state for request handling and wakes waiting requests.
func (a *controlActor) publish(now time.Time) {
	view := a.core.View(now)
	a.daemon.monitor.Check(view.Configuration.Offset >= a.offset, invariant.ConfigurationOffset,
		"configuration offset decreased from %d to %d", a.offset, view.Configuration.Offset)
	a.offset = view.Configuration.Offset
	a.daemon.view.Store(view)
	a.daemon.traffic.wakeWaiting()
}

// startControl starts the actor that owns the control state.
func (d *Daemon) startControl() {
	noLogs := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	})
	d.system = actor.NewActorSystem(noLogs)
	self := control.Identity{
		Daemon: d.settings.Daemon, Incarnation: d.incarnation, FailureDomain: d.settings.FailureDomain,
		CallerAddress: d.settings.Listen.Callers, PeerAddress: d.settings.Listen.Peers, Weight: d.settings.Weight,
	}
	core := control.New(self, d.controlBounds())
	d.controlPID = d.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &controlActor{daemon: d, core: core}
	}))
}

// sendEvent queues event for the control actor.
func (d *Daemon) sendEvent(event control.Event) { d.system.Root.Send(d.controlPID, event) }

// execute carries out command. Appends and orders run in the background and report their results as
// events.
func (d *Daemon) execute(command control.Command) {
	switch c := command.(type) {
	case control.Append:
		d.startJob("append", func(ctx context.Context) { d.sendEvent(control.AppendDone{Append: c, Err: d.appendEntry(ctx, c)}) })
	case control.Send:
		d.startJob("order", func(ctx context.Context) { d.sendEvent(d.sendOrder(ctx, c)) })
	case control.Broadcast:
		d.peers.broadcast(peerMessage{Version: peerMessageVersion, Heartbeat: &c.Heartbeat})
	}
}

// startJob runs f in the background with a context that ends after platformTimeout. Run waits for
// it before it returns.
func (d *Daemon) startJob(name string, f func(context.Context)) {
	d.jobs.Go(context.Background(), name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		f(ctx)
		return nil
	})
}

// appendEntry appends the entry of c to its stream of the log.
func (d *Daemon) appendEntry(ctx context.Context, c control.Append) error {
	var (
		data []byte
		err  error
	)
	if data, err = cbor.Marshal(c.Entry); err != nil {
		return fmt.Errorf("encode record %s: %w", c.ID, err)
	}
	_, err = d.platform.Append(ctx, string(c.Stream), platform.Submission{ID: c.ID, Data: data})
	return err
}

// sendOrder sends an order, unless its lease has expired or the deadline of the order has passed.
func (d *Daemon) sendOrder(ctx context.Context, c control.Send) control.OrderDone {
	done := control.OrderDone{Order: c.Order}
	if now := time.Now(); !now.Before(c.Until) || now.After(c.Order.Deadline) {
		done.Result.Reason = "the lease or the deadline of the order passed before the order was sent"
		return done
	}
	done.Result, done.Err = d.engine.Order(ctx, c.Address, c.Order)
	d.logger.Info().Str("order", c.Order.ID).Str("instance", c.Order.Instance).Str("replica", c.Order.Assignment.Replica).
		Str("action", string(c.Order.Action)).Bool("accepted", done.Result.Accepted).Str("reason", done.Result.Reason).Msg("order")
	return done
}

// followStream reads a stream of the log and sends its entries to the control state. It skips and
// counts records that cannot be decoded.
func (d *Daemon) followStream(ctx context.Context, stream control.Stream) error {
	from := uint64(1)
	for ctx.Err() == nil {
		requestedAt := time.Now()
		var (
			page platform.Page
			err  error
		)
		if page, err = d.platform.Read(ctx, string(stream), from, logReadWait); err != nil {
			d.sendEvent(control.LogReadFailed{Err: err})
			clock.Sleep(ctx, logRetryInterval)
			continue
		}
		read := control.LogRead{Stream: stream, RequestedAt: requestedAt, Next: page.Next, Horizon: page.Horizon}
		for _, r := range page.Records {
			var e control.Entry
			if err = cbor.Unmarshal(r.Data, &e); err != nil {
				d.counters.events.Add("undecodable_records", 1)
				continue
			}
			e.Offset = r.Offset
			read.Entries = append(read.Entries, e)
		}
		from = page.Next
		d.sendEvent(read)
	}
	return nil
}

// pollInstances reads the platform's list of instances at each instancePollInterval.
func (d *Daemon) pollInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		var (
			instances []fleet.Instance
			err       error
		)
		if instances, err = d.platform.Instances(ctx); err == nil {
			d.peers.setInstances(instances)
			d.sendEvent(control.InstancesListed{Instances: instances})
		}
		clock.Sleep(ctx, instancePollInterval)
	}
	return nil
}

// pollEngines requests a report from every engine at each poll interval, except from those that have
// not answered the previous request yet.
func (d *Daemon) pollEngines(ctx context.Context) error {
	inProgress := make(map[string]chan struct{})
	for ctx.Err() == nil {
		for _, i := range d.peers.engines() {
			if closedOrNil(inProgress[i.Name]) {
				done := make(chan struct{})
				inProgress[i.Name] = done
				d.jobs.Go(ctx, "report", func(ctx context.Context) error {
					defer close(done)
					d.pollEngine(ctx, i)
					return nil
				})
			}
		}
		clock.Sleep(ctx, d.settings.Bounds.PollInterval)
	}
	return nil
}

// pollEngine requests the report of one engine.
func (d *Daemon) pollEngine(ctx context.Context, i fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := time.Now()
	var (
		report fleet.Report
		err    error
	)
	if report, err = d.engine.Report(ctx, i.Address); err != nil {
		d.sendEvent(control.ReportFailed{Instance: i.Name, Refused: rest.Refused(err)})
		return
	}
	if report.Instance == i.Name {
		d.sendEvent(control.ReportReceived{Report: report, RequestedAt: requestedAt})
	}
}

// runTicks sends a Tick to the control state at each tick interval.
func (d *Daemon) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sendEvent(control.Tick{})
		clock.Sleep(ctx, d.settings.Bounds.TickInterval)
	}
	return nil
}

// closedOrNil returns whether done is closed or nil.
func closedOrNil(done <-chan struct{}) bool {
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}
