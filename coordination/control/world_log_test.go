package control_test

import (
	"fmt"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// A record is one record of a world's log.
type record struct {
	offset uint64
	at     time.Time
	entry  control.Entry
}

// A simLog is the log of a world.
type simLog struct {
	streams     map[control.Stream][]record
	next        map[control.Stream]uint64
	down        bool
	loseAnswers bool
}

// append lets the log take a record, and loses the answer where faults say so.
func (w *simulation) append(d *simDaemon, life int, c control.Append) {
	var err error
	if w.log.down || w.partitioned(d.name, "log") {
		err = fmt.Errorf("the log does not answer")
	} else {
		w.publish(c.Stream, c.Entry)
		if w.log.loseAnswers && w.random.IntN(3) == 0 {
			err = fmt.Errorf("the answer was lost")
		}
	}
	w.after(w.delay(), func() { w.deliver(d, life, func() { w.step(d, control.AppendDone{Append: c, Err: err}) }) })
}

// publish appends an entry to the log.
func (w *simulation) publish(s control.Stream, e control.Entry) {
	e.Offset = w.log.next[s]
	w.log.next[s]++
	w.log.streams[s] = append(w.log.streams[s], record{offset: e.Offset, at: w.now, entry: e})
}

// read lets d read a stream.
func (w *simulation) read(d *simDaemon, s control.Stream) {
	asked, life := w.now, d.incarnation
	w.after(w.delay(), func() {
		if w.log.down || w.partitioned(d.name, "log") {
			w.after(w.delay(), func() { w.deliver(d, life, func() { w.step(d, control.LogReadFailed{}) }) })
			return
		}
		read := control.LogRead{Stream: s, RequestedAt: asked, Next: w.log.next[s], Horizon: w.log.next[s]}
		if records := w.log.streams[s]; len(records) > 0 {
			read.Horizon = records[0].offset
		}
		for _, r := range w.log.streams[s] {
			if r.offset >= d.nextOffset[s] {
				read.Entries = append(read.Entries, r.entry)
			}
		}
		w.after(w.delay(), func() {
			w.deliver(d, life, func() {
				// Reads overlap here, so that one may bring records twice or late.
				d.nextOffset[s] = max(d.nextOffset[s], read.Next)
				w.step(d, read)
			})
		})
	})
}

// list lets d read the list of instances, which shows an engine as leaving late.
func (w *simulation) list(d *simDaemon) {
	var all []fleet.Instance
	for _, name := range w.names {
		all = append(all, w.engines[name].instance)
	}
	w.step(d, control.InstancesListed{Instances: all})
}

// poll lets d ask the engines of a failure domain for their reports.
func (w *simulation) poll(d *simDaemon, domain string) {
	asked, life := w.now, d.incarnation
	w.after(w.delay(), func() {
		var answers []control.Event
		for _, name := range w.names {
			if e := w.engines[name]; e.instance.FailureDomain == domain {
				answers = append(answers, w.answer(d, e, asked))
			}
		}
		w.after(w.delay(), func() {
			w.deliver(d, life, func() {
				for _, answer := range answers {
					w.step(d, answer)
				}
			})
		})
	})
}

// answer returns what comes of asking e for its report.
func (w *simulation) answer(d *simDaemon, e *simEngine, asked time.Time) control.Event {
	if e.up && !w.now.Before(e.paused) && !w.partitioned(d.name, e.instance.Name) {
		return control.ReportReceived{Report: e.member.Report, RequestedAt: asked}
	}
	return control.ReportFailed{Instance: e.instance.Name, Refused: !e.up && !w.partitioned(d.name, e.instance.Name)}
}

// send sends an order, unless the lease has ended; a pause may fall between.
func (w *simulation) send(d *simDaemon, life int, c control.Send) {
	if !w.now.Before(c.Until) {
		return
	}
	w.after(w.delay(), func() {
		done := control.OrderDone{Order: c.Order, Err: fmt.Errorf("no answer")}
		if !w.partitioned(d.name, c.Order.Instance) {
			if result, ok := w.carryOut(c.Order.Instance, c.Order); ok {
				done.Result, done.Err = result, nil
			}
		}
		if w.random.IntN(10) == 0 {
			done.Err = fmt.Errorf("the answer was lost")
		}
		w.after(w.delay(), func() { w.deliver(d, life, func() { w.step(d, done) }) })
	})
}

// heartbeat carries a heartbeat from one daemon to another.
func (w *simulation) heartbeat(from, to *simDaemon, h control.Heartbeat) {
	if w.partitioned(from.name, to.name) || w.random.IntN(20) == 0 {
		return
	}
	life := to.incarnation
	w.after(w.delay(), func() { w.deliver(to, life, func() { w.step(to, control.HeartbeatReceived{Heartbeat: h}) }) })
}
