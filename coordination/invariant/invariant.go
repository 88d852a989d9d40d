// Package invariant counts violations of what must always hold. The program
// checks its own conduct at run time; every check and every violation is counted
// in expvar under "invariants".
package invariant

import (
	"expvar"
	"fmt"
	"sync"
)

// A Name is one thing that must always hold.
type Name string

// The promises, in the order of the users' list.
const (
	CompleteReplica     Name = "complete_replica"
	OneReplica          Name = "one_replica_per_instance"
	ColdLimit           Name = "cold_limit"
	DomainOut           Name = "domain_out"
	WholeAnswer         Name = "whole_answer"
	NotRun              Name = "not_run_means_not_run"
	AtMostOnce          Name = "at_most_once"
	LeavingServer       Name = "leaving_server"
	GracefulStop        Name = "graceful_stop"
	ConfigurationOffset Name = "configuration_never_reverts"
	OneDirector         Name = "one_director_per_term"
	FreshView           Name = "fresh_view"
)

// Names returns all promises.
func Names() []Name {
	return []Name{
		CompleteReplica, OneReplica, ColdLimit, DomainOut, WholeAnswer, NotRun, AtMostOnce,
		LeavingServer, GracefulStop, ConfigurationOffset, OneDirector, FreshView,
	}
}

// A Monitor counts checks and violations. The zero Monitor is ready to use and
// safe for concurrent use.
type Monitor struct {
	// OnViolation is called with each violation, if set.
	OnViolation func(Name, string)

	once       sync.Once
	checks     expvar.Map
	violations expvar.Map
}

// Check counts a check of promise, and a violation unless ok.
func (m *Monitor) Check(ok bool, promise Name, format string, args ...any) bool {
	m.init()
	m.checks.Add(string(promise), 1)
	if ok {
		return true
	}
	m.violations.Add(string(promise), 1)
	if m.OnViolation != nil {
		m.OnViolation(promise, fmt.Sprintf(format, args...))
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
func (m *Monitor) Violations(promise Name) int64 {
	m.init()
	if v, ok := m.violations.Get(string(promise)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// TotalViolations returns the number of violations of all promises.
func (m *Monitor) TotalViolations() int64 {
	var total int64
	for _, p := range Names() {
		total += m.Violations(p)
	}
	return total
}

// init makes every promise visible from the start.
func (m *Monitor) init() {
	m.once.Do(func() {
		m.checks.Init()
		m.violations.Init()
		for _, p := range Names() {
			m.checks.Add(string(p), 0)
			m.violations.Add(string(p), 0)
		}
	})
}
