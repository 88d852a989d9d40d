package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["slashes"] = slashesCase }

// slashesCase sends requests whose path begins with two slashes, on a route with the prefix "/".
func slashesCase(s *system, trouble bool) (int, error) {
	workers, err := startWorkers(s)
	if err != nil {
		return unrun, err
	}
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()
	text := strings.Replace(string(configuration(3, 1000, "key-kept")), `"/look/"`, `"/"`, 1)
	s.record.line("operator config version 3 at offset %d, with the path prefix /", s.store.put(wire.Operators, "config", []byte(text)))
	if err = startAll(s); err != nil {
		return unrun, err
	}
	targets := []string{"/lo20/cuti104?of=7", "/lo20//cuti104"}
	if trouble {
		targets = []string{"//lo20/cuti104?of=7", "//lo20//cuti104"}
	}
	changed, ran := 0, 0
	for n := range 10 {
		for i, d := range s.daemons {
			for k, target := range targets {
				attempt := fmt.Sprintf("path-%d-%d-%d", i, n, k)
				s.send(d, call{attempt: attempt, method: "GET", target: target, raw: true, key: "key-kept", timeout: time.Second})
				for _, u := range s.record.runsOf(attempt) {
					ran++
					if u.target != target {
						changed++
					}
				}
			}
		}
	}
	s.record.line("sum      %d requests ran, %d of them with another path than the requester sent", ran, changed)
	if ran == 0 && !trouble {
		return unrun, errors.New("no request ran")
	}
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
