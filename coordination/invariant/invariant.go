// Package invariant counts violations of the invariants that the program checks at run time. Every
// check and every violation is counted in expvar under "invariants".
package invariant

import (
	"expvar"
	"fmt"
	"sync"
)

// A Name identifies an invariant.
type Name string

// The invariants, in the order of the list that users were given.
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

// Names returns all invariants.
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

// Check counts a check of the invariant of the given name and, unless ok, a violation, which it
// reports to OnViolation. It returns ok.
func (m *Monitor) Check(ok bool, name Name, format string, args ...any) bool {
	m.init()
	m.checks.Add(string(name), 1)
	if ok {
		return true
	}
	m.violations.Add(string(name), 1)
	if m.OnViolation != nil {
		m.OnViolation(name, fmt.Sprintf(format, args...))
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

// Violations returns the number of violations of the invariant of the given name.
func (m *Monitor) Violations(name Name) int64 {
	m.init()
	if v, ok := m.violations.Get(string(name)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// TotalViolations returns the number of violations of all invariants.
func (m *Monitor) TotalViolations() int64 {
	var total int64
	for _, p := range Names() {
		total += m.Violations(p)
	}
	return total
}

// init adds the counters of every invariant, so that they are published before the first check.
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
