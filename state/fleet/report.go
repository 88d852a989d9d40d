package fleet

// A Phase tells whether an engine has loaded its weights.
type Phase string

// The phases in an engine's report.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
)

// An Assignment is the membership of one instance in one replica. Members are the names of all
// instances of the replica in rank order, and Addresses their addresses. The instance of rank zero
// receives the requests. A free instance has the zero Assignment.
type Assignment struct {
	Replica    string     `cbor:"replica"    json:"replica"`
	Deployment string     `cbor:"deployment" json:"deployment"`
	Model      string     `cbor:"model"      json:"model"`
	Adapter    string     `cbor:"adapter"    json:"adapter"`
	Version    string     `cbor:"version"    json:"version"`
	Generation Generation `cbor:"generation" json:"generation"`
	Rank       int        `cbor:"rank"       json:"rank"`
	Members    []string   `cbor:"members"    json:"members"`
	Addresses  []string   `cbor:"addresses"  json:"addresses"`
}

// Free returns whether a is the assignment of an instance that belongs to no replica.
func (a Assignment) Free() bool { return a.Generation.IsZero() }

// A Report is the state of an instance as its engine reports it on request. Incarnation changes
// with every restart of the engine process. A replica is warm if Warm is set in the report of its
// instance of rank zero. Slots is the number of concurrent requests that a warm replica can serve,
// ColdLimit the number for a replica that is not warm. HighestFence is the highest fencing token
// that the instance has seen in an order.
type Report struct {
	Instance     string     `cbor:"instance"      json:"instance"`
	Incarnation  uint64     `cbor:"incarnation"   json:"incarnation"`
	Assignment   Assignment `cbor:"assignment"    json:"assignment"`
	Phase        Phase      `cbor:"phase"         json:"phase"`
	Warm         bool       `cbor:"warm"          json:"warm"`
	Leaving      bool       `cbor:"leaving"       json:"leaving"`
	Running      int        `cbor:"running"       json:"running"`
	Waiting      int        `cbor:"waiting"       json:"waiting"`
	Slots        int        `cbor:"slots"         json:"slots"`
	ColdLimit    int        `cbor:"cold_limit"    json:"cold_limit"`
	HighestFence uint64     `cbor:"highest_fence" json:"highest_fence"`
}
