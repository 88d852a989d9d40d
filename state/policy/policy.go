// Package policy holds what operators choose for a deployment beside the platform's configuration. All of it
// is off by default, so that a deployment without a policy is served as before.
package policy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"

	"gopkg.in/yaml.v3"
)

// A Policy is the content of a policy file.
type Policy struct {
	ExtraAttempts ExtraAttempts `yaml:"extra_attempts"`
	Organisations Organisations `yaml:"organisations"`
	Admission     Admission     `yaml:"admission"`
	Models        Models        `yaml:"models"`
}

// ExtraAttempts configures second attempts at requests that may be repeated, against slow answers.
type ExtraAttempts struct {
	// Share is the fraction of the requests of a route that may get an extra attempt, 0 for none.
	Share float64 `yaml:"share"`
	// Quantile is the fraction of the answers of a route that are faster than the time after which an extra
	// attempt starts.
	Quantile float64 `yaml:"quantile"`
	// Routes are the names of the routes whose requests may get extra attempts, all if there are none.
	Routes []string `yaml:"routes"`
}

// For returns whether requests of a route may get extra attempts.
func (e ExtraAttempts) For(route string) bool {
	return e.Share > 0 && (len(e.Routes) == 0 || slices.Contains(e.Routes, route))
}

// Organisations configures how organisations share what the servers can do while that is short.
type Organisations struct {
	// FairShares turns max-min fair shares on.
	FairShares bool `yaml:"fair_shares"`
	// Weights are the weights of organisations by name. The default is 1.
	Weights map[string]float64 `yaml:"weights"`
}

// Admission configures which requests are refused while room is short.
type Admission struct {
	// ByUrgency lets a shortage fall on the least urgent requests first.
	ByUrgency bool `yaml:"by_urgency"`
	// SpillOver looks for room at all replicas before a request is refused.
	SpillOver bool `yaml:"spill_over"`
	// OnTime refuses first tries that would be answered later than their target while room is short.
	OnTime bool `yaml:"on_time"`
}

// Models configures how many replicas each model has.
type Models struct {
	// Balance gives models replicas by the spare ones that they need, and not in proportion to their work.
	Balance bool `yaml:"balance"`
}

const (
	// maxShare is the largest share of requests that may get an extra attempt: beyond it the servers do more
	// extra work than the slowest answers are worth.
	maxShare = 0.2
	// minQuantile is the lowest quantile after which an extra attempt may start.
	minQuantile = 0.5
)

// Parse decodes a policy. Errors name file as the source of text.
func Parse(file string, text []byte) (Policy, error) {
	var p Policy
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&p); err != nil && !errors.Is(err, io.EOF) {
		return Policy{}, fmt.Errorf("%s: %w", file, err)
	}
	if err := decoder.Decode(new(Policy)); !errors.Is(err, io.EOF) {
		return Policy{}, fmt.Errorf("%s: only one document is expected", file)
	}
	if err := p.Validate(); err != nil {
		return Policy{}, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

// Read reads the policy from file; an empty name stands for the empty policy.
func Read(file string) (Policy, error) {
	if file == "" {
		return Policy{}, nil
	}
	var (
		text []byte
		err  error
	)
	if text, err = os.ReadFile(file); err != nil {
		return Policy{}, fmt.Errorf("read policy: %w", err)
	}
	return Parse(file, text)
}

// Validate returns an error that names every invalid field.
func (p Policy) Validate() error {
	var errs []error
	e := p.ExtraAttempts
	if !(e.Share >= 0 && e.Share <= maxShare) {
		errs = append(errs, fmt.Errorf("extra_attempts.share: %g is not between 0 and %g", e.Share, maxShare))
	}
	if e.Share > 0 && !(e.Quantile >= minQuantile && e.Quantile < 1) {
		errs = append(errs, fmt.Errorf("extra_attempts.quantile: %g is not at least %g and below 1", e.Quantile, minQuantile))
	}
	for i, route := range e.Routes {
		if route == "" || slices.Contains(e.Routes[:i], route) {
			errs = append(errs, fmt.Errorf("extra_attempts.routes[%d]: %q is empty or named twice", i, route))
		}
	}
	for name, weight := range p.Organisations.Weights {
		if !(weight > 0) || math.IsInf(weight, 0) {
			errs = append(errs, fmt.Errorf("organisations.weights.%s: %g is not a positive number", name, weight))
		}
	}
	return errors.Join(errs...)
}
