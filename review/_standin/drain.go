package main

import (
	"fmt"
	"time"
)

func init() { cases["drain"] = drainCase }

// drainCase lets a worker leave some time after a drill of the store: its entry is removed without a word, and it
// serves on for a while.
func drainCase(s *system, trouble bool) (int, error) {
	workers, err := startWorkers(s)
	if err != nil {
		return unrun, err
	}
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()
	offset := s.store.put(wire.Operators, "config", configuration(3, 1000, "key-kept"))
	s.record.line("operator config version 3 at offset %d", offset)
	if err = startAll(s); err != nil {
		return unrun, err
	}
	time.Sleep(5 * time.Second)
	// The copy from which the store comes back.
	copied, copiedAt := s.store.copyAll(), time.Now()
	time.Sleep(7 * time.Second)
	if trouble {
		s.record.line("store    away; the list of workers ends at %d", s.store.end(wire.Servers))
		s.store.goAway()
		time.Sleep(time.Second)
		s.store.comeBack(copied)
		s.record.line("store    back from the copy, which is %.1f s old; the list of workers ends at %d", time.Since(copiedAt).Seconds(), s.store.end(wire.Servers))
		// What the workers wrote is written again.
		for _, w := range workers {
			w.writeEntry()
		}
	}
	const stableWindow, drain = 3 * time.Second, 2 * time.Second
	time.Sleep(stableWindow + 500*time.Millisecond)
	leaving := workers[0]
	acknowledged := leaving.leave()
	s.record.line("worker   %s leaves; the store has accepted the removal of its entry, the list of workers ends at %d", leaving.id, s.store.end(wire.Servers))
	late, sent := 0, 0
	for time.Since(acknowledged) < 12*time.Second {
		for i, d := range s.daemons {
			attempt := fmt.Sprintf("drain-%d-%d", i, sent)
			a := s.send(d, call{attempt: attempt, method: "GET", target: "/look/x", key: "key-kept", timeout: time.Second})
			sent++
			for _, u := range s.record.runsOf(attempt) {
				// A request that was sent so late was also taken from the requester and sent on so late.
				if u.worker == leaving.id && a.sentAt.Sub(acknowledged) > drain {
					late++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.record.line("sum      %d of %d requests reached %s, sent later than drain_ms after the acknowledgement", late, sent, leaving.id)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
