package fleet

// A Phase is the state of an engine's weights.
type Phase string

// The phases that an engine reports.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
)

// An Assignment is the membership of one instance in one replica. Members lists
// the names of all instances of the replica in rank order; the instance of rank
// zero takes the requests. The zero Assignment is that of a free instance.
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

// Free returns whether a belongs to no replica.
func (a Assignment) Free() bool { return a.Generation.IsZero() }

// A Report is what an engine says of itself when asked. Incarnation changes
// whenever the engine process restarts. Warm of the instance of
// rank zero speaks for its replica. ColdLimit is the number of concurrent
// requests that a replica bears while it is not warm, and Slots the number that
// it bears when it is.
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
