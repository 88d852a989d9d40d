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
	// followWait is how long a read of the log waits for a record.
	followWait = 500 * time.Millisecond
	// retryInterval is the time between attempts while the log is away.
	retryInterval = 200 * time.Millisecond
	// listInterval is the time between reads of the list of instances.
	listInterval = 500 * time.Millisecond
	// reportTimeout bounds one question to an engine.
	reportTimeout = time.Second
)

// A controlActor owns the control state: it folds one event at a time.
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

// publish makes the control state at now visible to traffic.
func (a *controlActor) publish(now time.Time) {
	view := a.core.View(now)
	a.daemon.monitor.Check(view.Configuration.Offset >= a.offset, invariant.ConfigurationOffset,
		"configuration went back from offset %d to %d", a.offset, view.Configuration.Offset)
	a.offset = view.Configuration.Offset
	a.daemon.view.Store(view)
	a.daemon.traffic.wake()
}

// startControl starts the actor that owns the control state.
func (d *Daemon) startControl() {
	quiet := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	})
	d.system = actor.NewActorSystem(quiet)
	self := control.Identity{
		Daemon: d.settings.Daemon, Incarnation: d.incarnation, FailureDomain: d.settings.FailureDomain,
		CallerAddress: d.settings.Listen.Callers, PeerAddress: d.settings.Listen.Peers, Weight: d.settings.Weight,
	}
	core := control.New(self, d.bounds())
	d.pid = d.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &controlActor{daemon: d, core: core}
	}))
}

// tell gives event to the control state.
func (d *Daemon) tell(event control.Event) { d.system.Root.Send(d.pid, event) }

// execute starts what a command asks for, and reports its end as an event.
func (d *Daemon) execute(command control.Command) {
	switch c := command.(type) {
	case control.Append:
		d.spawn("append", func(ctx context.Context) { d.tell(control.AppendDone{Append: c, Err: d.append(ctx, c)}) })
	case control.Send:
		d.spawn("order", func(ctx context.Context) { d.tell(d.send(ctx, c)) })
	case control.Broadcast:
		d.peers.broadcast(message{Version: messageVersion, Heartbeat: &c.Heartbeat})
	}
}

// spawn runs f for a short piece of control work, bounded in time. A planned stop
// waits for it.
func (d *Daemon) spawn(name string, f func(context.Context)) {
	d.work.Go(context.Background(), name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		f(ctx)
		return nil
	})
}

// append appends the entry of c to the log.
func (d *Daemon) append(ctx context.Context, c control.Append) error {
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

// send sends an order, unless the lease ended meanwhile.
func (d *Daemon) send(ctx context.Context, c control.Send) control.OrderDone {
	done := control.OrderDone{Order: c.Order}
	if now := time.Now(); !now.Before(c.Until) || now.After(c.Order.Deadline) {
		done.Result.Reason = "the lease ended before the order was sent"
		return done
	}
	done.Result, done.Err = d.engine.Order(ctx, c.Address, c.Order)
	d.logger.Info().Str("order", c.Order.ID).Str("instance", c.Order.Instance).Str("replica", c.Order.Assignment.Replica).
		Str("action", string(c.Order.Action)).Bool("accepted", done.Result.Accepted).Str("reason", done.Result.Reason).Msg("order")
	return done
}

// follow reads a stream of the log and gives its records to the control state.
func (d *Daemon) follow(ctx context.Context, stream control.Stream) error {
	from := uint64(1)
	for ctx.Err() == nil {
		asked := time.Now()
		var (
			page platform.Page
			err  error
		)
		if page, err = d.platform.Read(ctx, string(stream), from, followWait); err != nil {
			d.tell(control.LogReadFailed{Err: err})
			clock.Sleep(ctx, retryInterval)
			continue
		}
		read := control.LogRead{Stream: stream, RequestedAt: asked, Next: page.Next, Horizon: page.Horizon}
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
		d.tell(read)
	}
	return nil
}

// runListing reads the platform's list of instances.
func (d *Daemon) runListing(ctx context.Context) error {
	for ctx.Err() == nil {
		var (
			instances []fleet.Instance
			err       error
		)
		if instances, err = d.platform.Instances(ctx); err == nil {
			d.peers.setInstances(instances)
			d.tell(control.InstancesListed{Instances: instances})
		}
		clock.Sleep(ctx, listInterval)
	}
	return nil
}

// runReports asks every engine for its report at each poll interval.
func (d *Daemon) runReports(ctx context.Context) error {
	asking := make(map[string]chan struct{})
	for ctx.Err() == nil {
		for _, i := range d.peers.engines() {
			if free(asking[i.Name]) {
				done := make(chan struct{})
				asking[i.Name] = done
				d.work.Go(ctx, "report", func(ctx context.Context) error {
					defer close(done)
					d.ask(ctx, i)
					return nil
				})
			}
		}
		clock.Sleep(ctx, d.settings.Bounds.PollInterval)
	}
	return nil
}

// ask asks one engine for its report.
func (d *Daemon) ask(ctx context.Context, i fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	var (
		report fleet.Report
		err    error
	)
	if report, err = d.engine.Report(ctx, i.Address); err != nil {
		d.tell(control.ReportFailed{Instance: i.Name, Refused: rest.Refused(err)})
		return
	}
	if report.Instance == i.Name {
		d.tell(control.ReportReceived{Report: report, RequestedAt: asked})
	}
}

// runTicks gives the control state the time.
func (d *Daemon) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		d.tell(control.Tick{})
		clock.Sleep(ctx, d.settings.Bounds.TickInterval)
	}
	return nil
}

// free returns whether the work that done ends is over, or never began.
func free(done <-chan struct{}) bool {
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
