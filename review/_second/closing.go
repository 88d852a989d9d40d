package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// foreignAnswer has a member of a group leave as planned while the head is at work. The head leaves the first order to
// stop its work unanswered and carries it out late. Where that answer is due, it sends its answer before once more.
func foreignAnswer(ctx context.Context, folder, kind string) int {
	s, err := newSystem(ctx, folder, kind)
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	s.putConfig(configWith(wire.Model, 7, keptKey))
	c := &cluster{s: s, workers: make(map[string]*modelWorker)}
	late := 0
	for n := range 3 {
		w := &modelWorker{id: fmt.Sprintf("i-02d9e6b%d", n), zone: "bayangol", domain: "fabric-1", c: c}
		if s.trouble {
			w.late = func(o order) bool {
				if o.Operation != "close" || o.CloseMode != "preempt" {
					return false
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				late++
				return late == 1
			}
			// With TROUBLE=late only the order is late, and nothing arrives in place of its answer.
			w.again = kind != "late"
		}
		c.workers[w.id] = w
	}
	for _, w := range c.workers {
		if err := w.start(ctx); err != nil {
			return s.end(exitCannot)
		}
	}
	for range 3 {
		if _, err := s.addDaemon("bayangol", s.address); err != nil {
			return s.end(exitCannot)
		}
	}
	if !s.awaitReady(15 * time.Second) {
		s.rec.note("not all daemons became ready")
		return s.end(exitCannot)
	}
	var head, member *modelWorker
	for deadline := time.Now().Add(20 * time.Second); head == nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.rec.note("no group opened")
			return s.end(exitCannot)
		}
		c.mu.Lock()
		for _, w := range c.workers {
			if w.group.State == "open" {
				head, member = w, c.workers[w.members[1]]
			}
		}
		c.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	for i := range 8 {
		for n, d := range s.daemons {
			if status, events, _ := plan(s, d, fmt.Sprintf("before-%d-%d", n, i), 1); status != 200 || events != 1 {
				s.rec.note("before: %s answers %d with %d events", d.name, status, events)
				return s.end(exitCannot)
			}
		}
	}
	var wait sync.WaitGroup
	for n, d := range s.daemons {
		wait.Go(func() {
			status, events, whole := plan(s, d, fmt.Sprintf("during-%d", n), 30)
			s.rec.note("during-%d at %s: %d, %d of 30 events, whole %v", n, d.name, status, events, whole)
		})
	}
	time.Sleep(time.Second)
	c.mu.Lock()
	member.draining = true
	member.write()
	s.rec.note("%s, a member of the group of %s, is draining", member.id, head.id)
	c.mu.Unlock()
	wait.Wait()
	time.Sleep(6 * time.Second)
	c.mu.Lock()
	broken, orders := len(c.broken), late
	c.mu.Unlock()
	switch {
	case broken > 0:
		return s.end(exitBroken)
	case s.trouble && orders == 0:
		s.rec.note("no order was left unanswered")
		return s.end(exitCannot)
	}
	return s.end(exitHeld)
}
