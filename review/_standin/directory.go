package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["directory"] = directoryCase }

// resolve asks the directory of d where to connect. It returns no addresses if there is no answer within a second.
func (s *system) resolve(d *daemon) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.directory + wire.Resolve + "?name=" + host + "&region=mx-centro&zone=" + d.zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// directoryCase removes a machine for good while the store is down, and asks the others for addresses.
func directoryCase(s *system, trouble bool) (int, error) {
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
	time.Sleep(5 * time.Second)
	const stableWindow, outage = 3 * time.Second, 8 * time.Second
	gone, wrong, asked := s.daemons[2], 0, 0
	var killed, calm time.Time
	ask := func(until time.Time) {
		for time.Now().Before(until) {
			for _, d := range s.daemons[:2] {
				at := time.Now()
				addresses := s.resolve(d)
				named := slices.Contains(addresses, gone.front)
				other := slices.ContainsFunc(addresses, func(address string) bool { return address != gone.front })
				late := at.After(calm) && !killed.IsZero() && at.Sub(killed) > stableWindow+3*time.Second
				s.record.line("resolve  %s: %v", d.name, addresses)
				if late {
					asked++
					if named && other {
						wrong++
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if trouble {
		s.store.goAway()
		s.record.line("store    down")
		start := time.Now()
		time.Sleep(time.Second)
		s.record.line("kill     %s, for good", gone.name)
		gone.cmd.Process.Signal(syscall.SIGKILL)
		gone.cmd.Wait()
		killed = time.Now()
		calm = start.Add(outage + stableWindow)
		ask(start.Add(outage))
		s.store.comeBack(nil)
		s.record.line("store    back")
	} else {
		killed, calm = time.Now(), time.Now().Add(stableWindow)
		s.record.line("kill     %s, for good", gone.name)
		gone.cmd.Process.Signal(syscall.SIGKILL)
		gone.cmd.Wait()
	}
	ask(time.Now().Add(12 * time.Second))
	s.record.line("sum      %d of %d answers by machines in touch name %s beside a running machine, later than the stable window + 3 s after it was killed", wrong, asked, gone.name)
	if wrong > 3 {
		return broken, nil
	}
	return held, nil
}
