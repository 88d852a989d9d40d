package main

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["deadly"] = deadlyCase }

// deadlyTarget is the request that crashes workers from some moment on.
const deadlyTarget = "/look/lo20"

// deadlyCase sends a request that runs whole at first and then crashes each worker that begins to run it. FIRST=0
// leaves out the runs before.
func deadlyCase(s *system, trouble bool) (int, error) {
	workers, err := startWorkers(s)
	if err != nil {
		return unrun, err
	}
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()
	s.store.put(wire.Operators, "config", configuration(3, 1000, "key-kept"))
	if err = startAll(s); err != nil {
		return unrun, err
	}
	sent := 0
	send := func(d *daemon) {
		sent++
		go s.send(d, call{attempt: fmt.Sprintf("deadly-%d", sent), method: "GET", target: deadlyTarget, key: "key-kept", timeout: time.Second})
	}
	if os.Getenv("FIRST") != "0" {
		for _, d := range s.daemons {
			send(d)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.record.line("request  GET %s crashes workers from now on", deadlyTarget)
		for _, w := range workers {
			w.setDeadly(deadlyTarget)
		}
	}
	for n := range 60 {
		send(s.daemons[n%len(s.daemons)])
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	const stableWindow = 3 * time.Second
	var crashes []time.Time
	for _, w := range workers {
		crashes = append(crashes, w.crashTimes()...)
	}
	third, late, repeats := thirdOf(crashes), 0, 0
	reached := make(map[string]bool)
	if !third.IsZero() {
		for _, u := range s.record.allRuns() {
			if u.target != deadlyTarget {
				continue
			}
			if u.at.Sub(third) > stableWindow {
				late++
				if reached[u.attempt] {
					repeats++
				}
			}
			reached[u.attempt] = true
		}
	}
	s.record.line("sum      %d requests sent; it crashed workers %d times; it reached workers %d times later than the stable window after the third crash, %d of them as repeats by the daemons", sent, len(crashes), late, repeats)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
