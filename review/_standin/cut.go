package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["cut"] = cutCase }

// cutCase cuts the head of the only group off from all others and from the store for some seconds.
func cutCase(s *system, trouble bool) (int, error) {
	const cut = 8 * time.Second
	p := &pool{workers: make(map[string]*engine)}
	for i := range 7 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), zone: "centro-a", domain: "centro-a-d1", store: s.store, record: s.record, pool: p}
		p.workers[e.id] = e
	}
	for _, e := range p.workers {
		if err := e.start(); err != nil {
			return unrun, err
		}
		defer e.stop()
	}
	s.store.put(wire.Operators, "config", modelConfiguration(3))
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
	time.Sleep(10 * time.Second)
	if trouble {
		var head *engine
		p.mu.Lock()
		for _, e := range p.workers {
			if e.group != nil && e.group.Rank == 0 {
				head = e
			}
		}
		p.mu.Unlock()
		if head == nil {
			return unrun, errors.New("there is no group")
		}
		head.cutOff(cut)
	}
	time.Sleep(cut + 12*time.Second)
	close(l.done)
	l.wait.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.record.line("sum      %d workers took a join of another group while the head of their group, which they had not left, was open", p.early)
	if p.early > 0 {
		return broken, nil
	}
	return held, nil
}
