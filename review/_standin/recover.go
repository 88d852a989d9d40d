package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { cases["recover"] = recoverCase }

// recoverCase kills all daemons right after a config was acknowledged. After they are back, the store has a drill. Then a
// model worker leaves as planned, and the daemons have to form a group again. DRILL=0 leaves out the drill only.
func recoverCase(s *system, trouble bool) (int, error) {
	const recovery, workers = 12 * time.Second, 6
	p := &pool{workers: make(map[string]*engine)}
	for i := range workers {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), zone: "centro-a", domain: "centro-a-d1", store: s.store, record: s.record, pool: p}
		p.workers[e.id] = e
	}
	for _, e := range p.workers {
		if err := e.start(); err != nil {
			return unrun, err
		}
		defer e.stop()
	}
	publish := func(version int) {
		s.record.line("operator config version %d at offset %d", version, s.store.put(wire.Operators, "config", modelConfiguration(version)))
	}
	publish(3)
	for _, d := range s.daemons {
		if err := s.startDaemon(d, true); err != nil {
			return unrun, err
		}
	}
	if !s.awaitReady(20 * time.Second) {
		return unrun, errors.New("daemons are not ready")
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	l := startLoad(s)
	begun := time.Now()
	time.Sleep(5 * time.Second)
	publish(5)
	fault := time.Now()
	copied, terms := s.store.copyAll(), s.store.end("keyed.terms")
	back := fault
	if trouble {
		s.record.line("kill     all daemons")
		for _, d := range s.daemons {
			d.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, d := range s.daemons {
			d.cmd.Wait()
			d.log.Close()
		}
		time.Sleep(1200 * time.Millisecond)
		for _, d := range s.daemons {
			if err := s.startDaemon(d, false); err != nil {
				return unrun, err
			}
		}
		back = time.Now()
		time.Sleep(5 * time.Second)
		s.record.line("store    keyed.terms ended at %d at the kill and ends at %d now", terms, s.store.end("keyed.terms"))
		if s.store.end("keyed.terms") == terms {
			return unrun, errors.New("no daemon has led since the kill")
		}
		if os.Getenv("DRILL") != "0" {
			s.store.goAway()
			s.record.line("store    away")
			time.Sleep(2500 * time.Millisecond)
			s.store.comeBack(copied)
			s.record.line("store    back from the copy made at the kill, which is %.1f s old", time.Since(fault).Seconds())
			for _, e := range p.workers {
				p.mu.Lock()
				e.writeEntry()
				p.mu.Unlock()
			}
		}
		// The store is calm again for more than the stable window.
		time.Sleep(5 * time.Second)
	}
	var member *engine
	p.mu.Lock()
	for _, e := range p.workers {
		if e.group != nil && e.group.Rank == 1 {
			member = e
		}
	}
	p.mu.Unlock()
	if member == nil {
		return unrun, errors.New("there is no group")
	}
	// Planned work, which takes place without the disruptions as well.
	member.leave(3 * time.Second)
	time.Sleep(time.Until(back.Add(recovery + 45*time.Second)))
	close(l.done)
	l.wait.Wait()
	sentBefore, servedBefore := l.share(begun, fault)
	sent, served := l.share(back.Add(recovery), time.Now())
	s.record.line("sum      before the final fault %d of %d requests were served; of those sent later than recovery_s after the machines were back %d of %d", servedBefore, sentBefore, served, sent)
	if servedBefore*4 < sentBefore {
		return unrun, errors.New("too few requests were served before the final fault")
	}
	if served*4 < sent {
		return broken, nil
	}
	return held, nil
}
