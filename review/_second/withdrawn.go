package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/platform/standins"
)

const (
	keptKey      = "n2ctnfzs989anu6wsjnb"
	withdrawnOne = "anfqasnmgkcuyj8pjbvk"
	// revokeWithin is revoke_ms of the settings.
	revokeWithin = 5 * time.Second
)

// look sends one request with a key to a daemon.
func look(s *system, d *daemon, attempt, key string) answer {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.settings["front"]+"/look/1", nil)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "ficu95.example"
	req.Header.Set(wire.Header["attempt"], attempt)
	req.Header.Set(wire.Header["deadline"], "2000")
	req.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signed: resp.Header.Get(wire.Header["signature"]) != "", body: string(body), err: err}
}

// withdrawnKey takes a key away. Later the store is away for a moment and comes back from a copy from before that. A machine
// is added as planned, with and without that. The operator writes again what it wrote, one second after the store's return.
func withdrawnKey(ctx context.Context, folder, kind string) int {
	s, err := newSystem(ctx, folder, kind)
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	var (
		mu   sync.Mutex
		away bool
	)
	s.store.Fault = func(*http.Request) standins.StoreFault {
		mu.Lock()
		defer mu.Unlock()
		if away {
			return standins.Reset
		}
		return standins.NoFault
	}
	setAway := func(is bool) {
		mu.Lock()
		defer mu.Unlock()
		away = is
	}
	s.putConfig(configWith(wire.Plain, 7, keptKey, withdrawnOne))
	var workers []*plainWorker
	for n := range 3 {
		p := &plainWorker{id: fmt.Sprintf("i-7f3a91c%d", n), service: "desk", zone: "bayangol", s: s}
		if err := p.start(ctx); err != nil {
			return s.end(exitCannot)
		}
		workers = append(workers, p)
	}
	for range 3 {
		if _, err := s.addDaemon("bayangol", s.address); err != nil {
			s.rec.note("cannot start a daemon: %v", err)
			return s.end(exitCannot)
		}
	}
	if !s.awaitReady(15 * time.Second) {
		s.rec.note("not all daemons became ready")
		return s.end(exitCannot)
	}
	time.Sleep(3 * time.Second)
	for _, key := range []string{keptKey, withdrawnOne} {
		for n, d := range s.daemons {
			if a := look(s, d, fmt.Sprintf("before-%s-%d", key[:4], n), key); a.status != http.StatusOK {
				s.rec.note("key %s before: %s answers %d %v", key[:4], d.name, a.status, a.err)
				return s.end(exitCannot)
			}
		}
	}
	copied := s.store.Copy()
	s.rec.note("store: copy made")
	time.Sleep(300 * time.Millisecond)
	s.putConfig(configWith(wire.Plain, 9, keptKey))
	acked := time.Now()

	time.Sleep(6 * time.Second)
	type sent struct {
		attempt string
		at      time.Time
	}
	var (
		requests []sent
		wait     sync.WaitGroup
		over     = time.Now().Add(9 * time.Second)
		kept     = make([]int, len(s.daemons)+1)
	)
	send := func(n int, d *daemon) {
		for i := 0; time.Now().Before(over); i++ {
			attempt := fmt.Sprintf("after-%d-%d", n, i)
			at := time.Now()
			a := look(s, d, attempt, withdrawnOne)
			mu.Lock()
			requests = append(requests, sent{attempt, at})
			mu.Unlock()
			s.rec.note("%s with the key taken away, sent to %s %.3f s after the acknowledgement: %d %v", attempt, d.name, at.Sub(acked).Seconds(), a.status, a.err)
			if b := look(s, d, fmt.Sprintf("kept-%d-%d", n, i), keptKey); b.status == http.StatusOK {
				mu.Lock()
				kept[n]++
				mu.Unlock()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for n, d := range s.daemons {
		wait.Go(func() { send(n, d) })
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		setAway(true)
		s.rec.note("store: away")
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.store.Restore(copied)
		setAway(false)
		s.rec.note("store: back from the copy")
	}
	added, err := s.addLater("bayangol", s.address)
	if err != nil {
		s.rec.note("cannot start a daemon: %v", err)
		return s.end(exitCannot)
	}
	wait.Go(func() { send(len(kept)-1, added) })
	if s.trouble {
		time.Sleep(time.Second)
		s.putConfig(configWith(wire.Plain, 9, keptKey))
	}
	wait.Wait()
	broken := 0
	for _, q := range requests {
		for _, p := range workers {
			for _, r := range p.ran(q.attempt) {
				if q.at.Sub(acked) > revokeWithin {
					broken++
					s.rec.note("CONFIG broken: %s, sent %.3f s after the acknowledgement, ran at %s for tenant %q", q.attempt, q.at.Sub(acked).Seconds(), p.id, r.tenant)
				}
			}
		}
	}
	s.rec.note("%d requests with the key taken away, %d ran later than %v; with the kept key each daemon answered %v", len(requests), broken, revokeWithin, kept)
	switch {
	case slices.Contains(kept, 0):
		return s.end(exitCannot)
	case broken > 0:
		return s.end(exitBroken)
	}
	return s.end(exitHeld)
}
