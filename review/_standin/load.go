package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// modelConfiguration returns a config with one model of four workers.
func modelConfiguration(version int) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-draft", "host": host, wire.Prefix: "/draft/", "kind": "streaming", "timeout_ms": 8000, wire.Target: 500,
			"priority": 1, "service": "hawthornrock-pool", wire.MaxAttempts: 2, "anonymous": false, "sticky": true, "resumable": true, "target_gap_ms": 300,
		}},
		"services": []map[string]any{{
			"name": "hawthornrock-pool", "health_path": "/healthz", "max_conns": 374, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 36.0,
			"engine": map[string]any{
				"slots": 26, wire.Capacity: 1400000, "token_kv_bytes": 35136, "link_mbps": 400000.0, "stride": 5,
				"models":  []map[string]any{{"name": "m0", "size": 4, "share": 1.0, "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}},
				"step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
				"report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 1076, "answer": 116},
				"history_limit": 1, "far_x": 4.0, "form_ms": 300.0,
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", wire.Keys: []string{"key-kept"}, "priority": 1}},
	})
	return text
}

// A sample is one request of the load and whether it was served.
type sample struct {
	sentAt time.Time
	served bool
}

// A load sends five requests a second to the daemons in turn.
type load struct {
	mu      sync.Mutex
	samples []sample
	wait    sync.WaitGroup
	done    chan struct{}
}

// startLoad starts a load, which ends with done.
func startLoad(s *system) *load {
	l := &load{done: make(chan struct{})}
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		for n := 0; ; n++ {
			select {
			case <-l.done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			l.wait.Add(1)
			go func() {
				defer l.wait.Done()
				a := s.send(s.daemons[n%len(s.daemons)], call{attempt: fmt.Sprintf("load-%d", n), method: "POST", target: "/draft/x", key: "key-kept", model: "m0", timeout: 8 * time.Second})
				l.mu.Lock()
				defer l.mu.Unlock()
				l.samples = append(l.samples, sample{sentAt: a.sentAt, served: isWhole(a)})
			}()
		}
	}()
	return l
}

// share returns how many requests of a span were sent, and how many of them were served.
func (l *load) share(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.samples {
		if s.sentAt.After(from) && s.sentAt.Before(to) {
			sent++
			if s.served {
				served++
			}
		}
	}
	return sent, served
}
