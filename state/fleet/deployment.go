package fleet

import "slices"

// A Priority orders deployments when capacity is short.
type Priority string

// The priorities that a sheet may name, highest first.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityStandard Priority = "standard"
	PriorityDraft    Priority = "draft"
)

// Priorities returns all priorities, highest first.
func Priorities() []Priority {
	return []Priority{PriorityUrgent, PriorityStandard, PriorityDraft}
}

// Rank returns zero for the highest priority and more for lower ones.
func (p Priority) Rank() int {
	if i := slices.Index(Priorities(), p); i >= 0 {
		return i
	}
	return len(Priorities())
}

// A Deployment is one row of a sheet: which model, adapter and version serves,
// for whom and where. An empty list of organisations admits nobody. For a plain
// service, IdempotentMethods lists the HTTP methods that may be repeated.
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

// Quota returns how many replicas of d belong in failureDomain. Replicas are
// spread evenly over the domains that are in service, the remainder going to those
// that are listed first. A domain that is out keeps what belongs there when all
// are in, so that it returns with its weights.
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
