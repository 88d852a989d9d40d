package inspection

import (
	"fmt"
	"maps"
	"slices"
)

// ofPolicy adds a finding about a field of the policy.
func (i *inspector) ofPolicy(weight Weight, field, format string, args ...any) {
	i.Add(Finding{Weight: weight, Source: Policy, At: NoPlace, Field: field, Text: fmt.Sprintf(format, args...)})
}

// policy compares the operators' policy with the configuration.
func (i *inspector) policy() {
	if i.Policy.ExtraAttempts.Share > 0 {
		i.extraAttempts()
	}
	organisations := make(map[string]bool, len(i.Next.Organisations))
	ranked := make(map[int64]bool)
	for k := range i.Next.Organisations {
		o := &i.Next.Organisations[k]
		organisations[o.Name.Value] = true
		if o.Priority.Set {
			ranked[o.Priority.Value] = true
		}
	}
	for k := range i.Next.Routes {
		ranked[i.Next.Routes[k].Priority.Value] = true
	}
	shares := i.Policy.Organisations
	for _, name := range slices.Sorted(maps.Keys(shares.Weights)) {
		if !organisations[name] {
			i.ofPolicy(NeverMatches, "organisations.weights", "organisation %s does not exist", Quote(name))
		}
	}
	switch {
	case shares.FairShares && len(i.Next.Organisations) == 0:
		i.ofPolicy(Contradiction, "organisations.fair_shares", "the configuration has no organisations: all callers count as one")
	case !shares.FairShares && len(shares.Weights) > 0:
		i.ofPolicy(NeverMatches, "organisations.weights", "weights have no effect while fair_shares is off")
	}
	if i.Policy.Admission.ByUrgency && len(ranked) < 2 {
		i.ofPolicy(NeverMatches, "admission.by_urgency", "all routes and organisations have the same priority: none is refused before another")
	}
}

// extraAttempts compares the routes of extra attempts with the configuration.
func (i *inspector) extraAttempts() {
	extra := i.Policy.ExtraAttempts
	eligible := 0
	routes := make(map[string]*Route, len(i.Next.Routes))
	for k := range i.Next.Routes {
		r := &i.Next.Routes[k]
		routes[r.Name.Value] = r
		if r.repeatable() && r.Attempts.Value > 1 && (len(extra.Routes) == 0 || slices.Contains(extra.Routes, r.Name.Value)) {
			eligible++
		}
	}
	for k, name := range extra.Routes {
		field := fmt.Sprintf("extra_attempts.routes[%d]", k)
		switch r := routes[name]; {
		case r == nil:
			i.ofPolicy(NeverMatches, field, "route %s does not exist", Quote(name))
		case !r.repeatable():
			i.ofPolicy(NeverMatches, field, "a request of route %s runs at most once: it gets no extra attempt", Quote(name))
		case r.Attempts.Value <= 1:
			i.ofPolicy(NeverMatches, field, "a request of route %s may run on one server only (%s.%s): it gets no extra attempt", Quote(name), r.Entry, r.Attempts.Name)
		}
	}
	if eligible == 0 && len(extra.Routes) == 0 {
		i.ofPolicy(NeverMatches, "extra_attempts.share", "no route has requests that may run on a second server")
	}
	if d := i.Deployment; d != nil && extra.Share > d.RetryRatio {
		i.ofPolicy(Contradiction, "extra_attempts.share", "%g of the requests are more than the %g that the retry budget allows beyond its slack of %g: retries after failures find it used up", extra.Share, d.RetryRatio, d.RetrySlack)
	}
}
