// Package invariant counts violations of what must always hold. The program
// checks its own conduct at run time; every check and every violation is counted
// in expvar under "invariants".
package invariant

import (
	"expvar"
	"fmt"
	"sync"
)

// A Promise is one thing that must always hold.
type Promise string

// The promises, in the order of the users' list.
const (
	CompleteReplica     Promise = "complete_replica"
	OneReplica          Promise = "one_replica_per_instance"
	ColdLimit           Promise = "cold_limit"
	DomainOut           Promise = "domain_out"
	WholeAnswer         Promise = "whole_answer"
	NotRun              Promise = "not_run_means_not_run"
	AtMostOnce          Promise = "at_most_once"
	LeavingServer       Promise = "leaving_server"
	GracefulStop        Promise = "graceful_stop"
	ConfigurationOffset Promise = "configuration_never_reverts"
	OneDirector         Promise = "one_director_per_term"
	FreshView           Promise = "fresh_view"
)

// Promises returns all promises.
func Promises() []Promise {
	return []Promise{
		CompleteReplica, OneReplica, ColdLimit, DomainOut, WholeAnswer, NotRun, AtMostOnce,
		LeavingServer, GracefulStop, ConfigurationOffset, OneDirector, FreshView,
	}
}

// A Monitor counts checks and violations. The zero Monitor is ready to use and
// safe for concurrent use.
type Monitor struct {
	// Report is called with each violation, if set.
	Report func(Promise, string)

	once       sync.Once
	checks     expvar.Map
	violations expvar.Map
}

// Check counts a check of promise, and a violation unless ok.
func (m *Monitor) Check(ok bool, promise Promise, format string, args ...any) bool {
	m.init()
	m.checks.Add(string(promise), 1)
	if ok {
		return true
	}
	m.violations.Add(string(promise), 1)
	if m.Report != nil {
		m.Report(promise, fmt.Sprintf(format, args...))
	}
	return false
}

// Vars returns the counters for publication.
func (m *Monitor) Vars() expvar.Var {
	m.init()
	vars := new(expvar.Map).Init()
	vars.Set("checks", &m.checks)
	vars.Set("violations", &m.violations)
	return vars
}

// Violations returns how often promise was violated.
func (m *Monitor) Violations(promise Promise) int64 {
	m.init()
	if v, ok := m.violations.Get(string(promise)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Total returns the number of violations of all promises.
func (m *Monitor) Total() int64 {
	var total int64
	for _, p := range Promises() {
		total += m.Violations(p)
	}
	return total
}

// init makes every promise visible from the start.
func (m *Monitor) init() {
	m.once.Do(func() {
		m.checks.Init()
		m.violations.Init()
		for _, p := range Promises() {
			m.checks.Add(string(p), 0)
			m.violations.Add(string(p), 0)
		}
	})
}
