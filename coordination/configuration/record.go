package configuration

import "github.com/hawthornrock/hawthornrock/state/fleet"

// A Kind is the type of change that a Record requests.
type Kind string

// The kinds of record.
const (
	KindSheet     Kind = "sheet"
	KindDomainOut Kind = "domain_out"
	KindDomainIn  Kind = "domain_in"
	KindCordon    Kind = "cordon"
	KindRelease   Kind = "release"
	KindRollback  Kind = "rollback"
)

// A Record is one change requested by an operator, as stored on the log. ID identifies the change
// across retries. Base, on sheets and rollbacks, is the revision that the change was made from.
// Target names the failure domain or instance of a decision.
type Record struct {
	ID             string             `cbor:"id"              json:"id"`
	Kind           Kind               `cbor:"kind"            json:"kind"`
	Operator       string             `cbor:"operator"        json:"operator"`
	Base           uint64             `cbor:"base"            json:"base,omitempty"`
	Target         string             `cbor:"target"          json:"target,omitempty"`
	ConfirmRemoval bool               `cbor:"confirm_removal" json:"confirm_removal,omitempty"`
	Deployments    []fleet.Deployment `cbor:"deployments"     json:"deployments,omitempty"`
}
