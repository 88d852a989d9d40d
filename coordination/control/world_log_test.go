package control_test

import (
	"fmt"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A record is one record of the simulated log.
type record struct {
	offset uint64
	at     time.Time
	entry  control.Entry
}

// A simLog is the log of a simulation. down means that it is unavailable, and loseAnswers that some
// responses to appends are lost.
type simLog struct {
	streams     map[control.Stream][]record
	next        map[control.Stream]uint64
	down        bool
	loseAnswers bool
}

// append appends a record for d. The response may be lost although the append took effect.
func (sim *simulation) append(d *simDaemon, life int, c control.Append) {
	var err error
	if sim.log.down || sim.partitioned(d.name, "log") {
		err = fmt.Errorf("log unavailable")
	} else {
		sim.publish(c.Stream, c.Entry)
		if sim.log.loseAnswers && sim.random.IntN(3) == 0 {
			err = fmt.Errorf("the answer was lost")
		}
	}
	sim.after(sim.delay(), func() { sim.deliver(d, life, func() { sim.step(d, control.AppendDone{Append: c, Err: err}) }) })
}

// publish appends an entry to the log.
func (sim *simulation) publish(s control.Stream, e control.Entry) {
	e.Offset = sim.log.next[s]
	sim.log.next[s]++
	sim.log.streams[s] = append(sim.log.streams[s], record{offset: e.Offset, at: sim.now, entry: e})
}

// read lets d read a stream.
func (sim *simulation) read(d *simDaemon, s control.Stream) {
	asked, life := sim.now, d.incarnation
	sim.after(sim.delay(), func() {
		if sim.log.down || sim.partitioned(d.name, "log") {
			sim.after(sim.delay(), func() { sim.deliver(d, life, func() { sim.step(d, control.LogReadFailed{}) }) })
			return
		}
		read := control.LogRead{Stream: s, RequestedAt: asked, Next: sim.log.next[s], Horizon: sim.log.next[s]}
		if records := sim.log.streams[s]; len(records) > 0 {
			read.Horizon = records[0].offset
		}
		for _, r := range sim.log.streams[s] {
			if r.offset >= d.nextOffset[s] {
				read.Entries = append(read.Entries, r.entry)
			}
		}
		sim.after(sim.delay(), func() {
			sim.deliver(d, life, func() {
				// Reads overlap, so a read may return records again or out of order.
				d.nextOffset[s] = max(d.nextOffset[s], read.Next)
				sim.step(d, read)
			})
		})
	})
}

// list lets d read the list of instances. It never shows an engine as leaving or gone, as the
// platform's list may lag.
func (sim *simulation) list(d *simDaemon) {
	var all []fleet.Instance
	for _, name := range sim.names {
		all = append(all, sim.engines[name].instance)
	}
	sim.step(d, control.InstancesListed{Instances: all})
}

// poll lets d ask the engines of a failure domain for their reports.
func (sim *simulation) poll(d *simDaemon, domain string) {
	asked, life := sim.now, d.incarnation
	sim.after(sim.delay(), func() {
		var answers []control.Event
		for _, name := range sim.names {
			if e := sim.engines[name]; e.instance.FailureDomain == domain {
				answers = append(answers, sim.answer(d, e, asked))
			}
		}
		sim.after(sim.delay(), func() {
			sim.deliver(d, life, func() {
				for _, answer := range answers {
					sim.step(d, answer)
				}
			})
		})
	})
}

// answer returns the event that results from asking e for its report.
func (sim *simulation) answer(d *simDaemon, e *simEngine, asked time.Time) control.Event {
	if e.up && !sim.now.Before(e.paused) && !sim.partitioned(d.name, e.instance.Name) {
		return control.ReportReceived{Report: e.member.Report, RequestedAt: asked}
	}
	return control.ReportFailed{Instance: e.instance.Name, Refused: !e.up && !sim.partitioned(d.name, e.instance.Name)}
}

// send sends an order unless the lease has ended. The daemon may have been paused between the
// decision and the send.
func (sim *simulation) send(d *simDaemon, life int, c control.Send) {
	if !sim.now.Before(c.Until) {
		return
	}
	sim.after(sim.delay(), func() {
		done := control.OrderDone{Order: c.Order, Err: fmt.Errorf("no answer")}
		if !sim.partitioned(d.name, c.Order.Instance) {
			if result, ok := sim.carryOut(c.Order.Instance, c.Order); ok {
				done.Result, done.Err = result, nil
			}
		}
		if sim.random.IntN(10) == 0 {
			done.Err = fmt.Errorf("the answer was lost")
		}
		sim.after(sim.delay(), func() { sim.deliver(d, life, func() { sim.step(d, done) }) })
	})
}

// heartbeat delivers a heartbeat from one daemon to another, and loses some.
func (sim *simulation) heartbeat(from, to *simDaemon, h control.Heartbeat) {
	if sim.partitioned(from.name, to.name) || sim.random.IntN(20) == 0 {
		return
	}
	life := to.incarnation
	sim.after(sim.delay(), func() { sim.deliver(to, life, func() { sim.step(to, control.HeartbeatReceived{Heartbeat: h}) }) })
}
