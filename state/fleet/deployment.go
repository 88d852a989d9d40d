package fleet

import "slices"

// A Priority determines which deployments are preferred when capacity is short.
type Priority string

// The priorities, highest first.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityStandard Priority = "standard"
	PriorityDraft    Priority = "draft"
)

// Priorities returns all priorities, highest first.
func Priorities() []Priority {
	return []Priority{PriorityUrgent, PriorityStandard, PriorityDraft}
}

// Rank returns zero for the highest priority and larger numbers for lower ones. An unknown priority
// ranks last.
func (p Priority) Rank() int {
	if i := slices.Index(Priorities(), p); i >= 0 {
		return i
	}
	return len(Priorities())
}

// A Deployment is one row of a sheet: a model, adapter and version, the organisations that may use
// it and the failure domains in which it runs. An empty list of organisations admits no one. For a
// plain service, IdempotentMethods lists the HTTP methods that may be retried.
type Deployment struct {
	Name                string       `cbor:"name"                  json:"name"`
	Kind                InstanceKind `cbor:"kind"                  json:"kind"`
	Model               string       `cbor:"model"                 json:"model,omitempty"`
	Adapter             string       `cbor:"adapter"               json:"adapter,omitempty"`
	Version             string       `cbor:"version"               json:"version,omitempty"`
	Replicas            int          `cbor:"replicas"              json:"replicas"`
	InstancesPerReplica int          `cbor:"instances_per_replica" json:"instances_per_replica"`
	FailureDomains      []string     `cbor:"failure_domains"       json:"failure_domains"`
	Organisations       []string     `cbor:"organisations"         json:"organisations"`
	Priority            Priority     `cbor:"priority"              json:"priority"`
	IdempotentMethods   []string     `cbor:"idempotent_methods"    json:"idempotent_methods,omitempty"`
}

// Admits returns whether organisation may use d.
func (d Deployment) Admits(organisation string) bool {
	return slices.Contains(d.Organisations, organisation)
}

// Quota returns how many replicas of d failureDomain should have, while the domains in out are out
// of service. Replicas are spread evenly over the domains in service; the first ones in the list
// get the remainder. A domain that is out of service keeps the quota that it has when all domains
// are in service, so that its weights are still loaded when it returns.
func (d Deployment) Quota(failureDomain string, out []string) int {
	domains := d.FailureDomains
	if !slices.Contains(out, failureDomain) {
		domains = slices.DeleteFunc(slices.Clone(domains), func(name string) bool { return slices.Contains(out, name) })
	}
	i := slices.Index(domains, failureDomain)
	if i < 0 {
		return 0
	}
	n := len(domains)
	quota := d.Replicas / n
	if i < d.Replicas%n {
		quota++
	}
	return quota
}
