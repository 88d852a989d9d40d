package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

func init() { cases["revoke"] = revokeCase }

// configuration returns a config of the operator: a service of look-ups with one tenant, whose keys are given.
func configuration(version int, timeoutMS int, keys ...string) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-look", "host": host, wire.Prefix: "/look/", "kind": "idempotent", "timeout_ms": timeoutMS, wire.Target: 100,
			"priority": 2, "service": "registro-app", wire.MaxAttempts: 2, "anonymous": false,
		}},
		"services": []map[string]any{{"name": "registro-app", "health_path": "/healthz", "max_conns": 48, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", wire.Keys: keys, "priority": 1}},
	})
	return text
}

// startWorkers starts one worker of the service in each zone.
func startWorkers(s *system) ([]*worker, error) {
	var out []*worker
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "registro-app", zone: zone, store: s.store, record: s.record, work: 15 * time.Millisecond}
		if err := w.start(); err != nil {
			return out, err
		}
		out = append(out, w)
	}
	return out, nil
}

// startAll starts all daemons as for the first time, and waits until they serve.
func startAll(s *system) error {
	for _, d := range s.daemons {
		if err := s.startDaemon(d, true); err != nil {
			return err
		}
	}
	if !s.awaitReady(20 * time.Second) {
		return errors.New("daemons are not ready")
	}
	for i, d := range s.daemons {
		served := false
		for n := 0; n < 50 && !served; n++ {
			a := s.send(d, call{attempt: fmt.Sprintf("warm-%d-%d", i, n), method: "GET", target: "/look/x", key: "key-kept", timeout: time.Second})
			served = a.status == 200
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			return fmt.Errorf("%s serves no request", d.name)
		}
	}
	return nil
}

// revokeCase takes a key away some time after a drill of the store, and then sends requests with that key.
func revokeCase(s *system, trouble bool) (int, error) {
	workers, err := startWorkers(s)
	if err != nil {
		return unrun, err
	}
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()
	publish := func(version, timeoutMS int, keys ...string) time.Time {
		offset := s.store.put(wire.Operators, "config", configuration(version, timeoutMS, keys...))
		s.record.line("operator config version %d at offset %d, keys %v", version, offset, keys)
		return time.Now()
	}
	publish(3, 1000, "key-kept", "key-taken")
	if err = startAll(s); err != nil {
		return unrun, err
	}
	time.Sleep(2 * time.Second)
	// The copy from which the store comes back.
	copied, copiedAt := s.store.copyAll(), time.Now()
	s.record.line("store    a copy is made; the operator's topic ends at %d", s.store.end(wire.Operators))
	time.Sleep(time.Second)
	publish(5, 1100, "key-kept", "key-taken")
	time.Sleep(time.Second)
	publish(8, 1200, "key-kept", "key-taken")
	time.Sleep(2 * time.Second)
	if trouble {
		s.store.goAway()
		s.record.line("store    away")
		time.Sleep(time.Second)
		s.store.comeBack(copied)
		s.record.line("store    back from the copy, which is %.1f s old; the operator's topic ends at %d", time.Since(copiedAt).Seconds(), s.store.end(wire.Operators))
		// What the operator wrote is written again, and so do the workers with their next check-ins.
		time.Sleep(200 * time.Millisecond)
		publish(8, 1200, "key-kept", "key-taken")
		for _, w := range workers {
			w.writeEntry()
		}
	}
	// Far more than the stable window passes before the next config.
	time.Sleep(10 * time.Second)
	acknowledged := publish(13, 1200, "key-kept")
	const revokeMS = 5000
	time.Sleep(time.Until(acknowledged.Add((revokeMS + 1000) * time.Millisecond)))
	ranAfter, servedKept := 0, 0
	for n := range 20 {
		for i, d := range s.daemons {
			attempt := fmt.Sprintf("taken-%d-%d", i, n)
			a := s.send(d, call{attempt: attempt, method: "GET", target: "/look/x", key: "key-taken", timeout: time.Second})
			if a.sentAt.Sub(acknowledged) > revokeMS*time.Millisecond && len(s.record.runsOf(attempt)) > 0 {
				ranAfter++
			}
			if a = s.send(d, call{attempt: fmt.Sprintf("kept-%d-%d", i, n), method: "GET", target: "/look/x", key: "key-kept", timeout: time.Second}); a.status == 200 {
				servedKept++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.record.line("sum      %d requests with the key that was taken away ran, sent later than revoke_ms after the acknowledgement; %d of 60 with the other key were served", ranAfter, servedKept)
	if ranAfter > 0 {
		return broken, nil
	}
	return held, nil
}
