package fleet

// An InstanceKind is the kind of software that runs on an instance.
type InstanceKind string

// The kinds of instance in the platform's list: model engines and plain services.
const (
	KindEngine  InstanceKind = "engine"
	KindService InstanceKind = "service"
)

// An Instance is one entry of the platform's list of instances. The list may be out of date, so an
// Instance is only a hint and does not prove that the instance is alive.
type Instance struct {
	Name          string       `cbor:"name"           json:"name"`
	Address       string       `cbor:"address"        json:"address"`
	Kind          InstanceKind `cbor:"kind"           json:"kind"`
	Backend       string       `cbor:"backend"        json:"backend"`
	FailureDomain string       `cbor:"failure_domain" json:"failure_domain"`
	FabricDomain  string       `cbor:"fabric_domain"  json:"fabric_domain"`
	Deployment    string       `cbor:"deployment"     json:"deployment,omitempty"`
	Leaving       bool         `cbor:"leaving"        json:"leaving,omitempty"`
}
