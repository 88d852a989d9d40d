package gateway

import (
	"net/http"
	"time"
)

// The types below are those of messages and records in builds 2fa4cdc and 6988018, as they were there. They must
// not change.

// heartbeat2fa4cdc is a heartbeat as 2fa4cdc knows it.
type heartbeat2fa4cdc struct {
	Daemon        string               `cbor:"1,keyasint"`
	Incarnation   string               `cbor:"2,keyasint"`
	Front         string               `cbor:"3,keyasint"`
	FailureDomain string               `cbor:"4,keyasint"`
	Ready         bool                 `cbor:"5,keyasint"`
	Leaving       bool                 `cbor:"6,keyasint"`
	Peer          string               `cbor:"7,keyasint"`
	Secret        string               `cbor:"8,keyasint"`
	CPUShare      float64              `cbor:"11,keyasint"`
	HadTraffic    bool                 `cbor:"9,keyasint"`
	Term          int64                `cbor:"10,keyasint"`
	Findings      []finding2fa4cdc     `cbor:"12,keyasint,omitempty"`
	FindingsAt    int64                `cbor:"13,keyasint,omitempty"`
	PartFindings  []partFinding2fa4cdc `cbor:"14,keyasint,omitempty"`
}

// heartbeat6988018 is a heartbeat as 6988018 knows it.
type heartbeat6988018 struct {
	heartbeat2fa4cdc
	Region string `cbor:"15,keyasint,omitempty"`
}

type finding2fa4cdc struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     int
	Age         time.Duration
	Convicted   bool
}

type partFinding2fa4cdc struct {
	_       struct{} `cbor:",toarray"`
	Part    uint64
	Crashes int
	Age     time.Duration
	Late    int
	Servers []string
	Daemons []string
}

// message2fa4cdc is a message between daemons as 2fa4cdc and 6988018 know it.
type message2fa4cdc struct {
	From             string                       `cbor:"1,keyasint"`
	PeerAddress      string                       `cbor:"2,keyasint,omitempty"`
	Secret           string                       `cbor:"3,keyasint,omitempty"`
	Offsets          map[string]int64             `cbor:"4,keyasint,omitempty"`
	Timestamp        time.Duration                `cbor:"5,keyasint,omitempty"`
	EchoTimestamp    time.Duration                `cbor:"6,keyasint,omitempty"`
	Updates          map[string]update2fa4cdc     `cbor:"7,keyasint,omitempty"`
	Summary          summary2fa4cdc               `cbor:"8,keyasint"`
	Crashes          []crash2fa4cdc               `cbor:"9,keyasint,omitempty"`
	ProbeTargets     []probeTarget2fa4cdc         `cbor:"10,keyasint,omitempty"`
	Alive            []string                     `cbor:"11,keyasint,omitempty"`
	Leaving          []incarnation2fa4cdc         `cbor:"12,keyasint,omitempty"`
	FromHub          bool                         `cbor:"13,keyasint,omitempty"`
	OtherDomainLoads map[int64]replicaLoad2fa4cdc `cbor:"14,keyasint,omitempty"`
	Changes          []replicaChange2fa4cdc       `cbor:"15,keyasint,omitempty"`
	AnsweredParts    []partAnswer2fa4cdc          `cbor:"16,keyasint,omitempty"`
}

type update2fa4cdc struct {
	Records []record2fa4cdc
	Whole   bool
	From    int64
	End     int64
	ReadAt  time.Duration
}

type record2fa4cdc struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset int64
	Idle   time.Duration
}

type summary2fa4cdc struct {
	_       struct{} `cbor:",toarray"`
	Loads   map[int64]replicaLoad2fa4cdc
	Demand  map[string]float64
	Daemons []uint64
	Traffic bool
}

type replicaLoad2fa4cdc struct {
	_          struct{} `cbor:",toarray"`
	Load       load2fa4cdc
	SinceEvent time.Duration
	Stalled    int
}

type load2fa4cdc struct {
	Writing int
	Waiting int
	Tokens  int
}

type crash2fa4cdc struct {
	Daemon    string               `cbor:"daemon,omitempty"`
	Server    string               `cbor:"server,omitempty"`
	Episode   string               `cbor:"episode"`
	Suspects  []uint64             `cbor:"suspects"`
	Weak      []uint64             `cbor:"weak,omitempty"`
	Resent    uint64               `cbor:"resent,omitempty"`
	Model     string               `cbor:"model,omitempty"`
	Parts     []partSuspect2fa4cdc `cbor:"parts,omitempty"`
	Reporters []string             `cbor:"reporters,omitempty"`
	Age       time.Duration        `cbor:"age,omitempty"`
}

type partSuspect2fa4cdc struct {
	_        struct{} `cbor:",toarray"`
	Part     uint64
	Requests []uint64
}

type partAnswer2fa4cdc struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	Age  time.Duration
}

type incarnation2fa4cdc struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
}

type probeTarget2fa4cdc struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Born    int64
}

type replicaChange2fa4cdc struct {
	_       struct{} `cbor:",toarray"`
	Group   string
	Epoch   int64
	Members []incarnation2fa4cdc
}

// detour6988018 and part6988018 are the messages of detours as 6988018 knows them.
type detour6988018 struct {
	Address    string        `cbor:"1,keyasint"`
	Server     string        `cbor:"2,keyasint"`
	Method     string        `cbor:"3,keyasint,omitempty"`
	Target     string        `cbor:"4,keyasint,omitempty"`
	Host       string        `cbor:"5,keyasint,omitempty"`
	Header     http.Header   `cbor:"6,keyasint,omitempty"`
	Body       []byte        `cbor:"7,keyasint,omitempty"`
	SendWithin time.Duration `cbor:"8,keyasint,omitempty"`
	Call       bool          `cbor:"9,keyasint,omitempty"`
	SingleUse  bool          `cbor:"10,keyasint,omitempty"`
}

type part6988018 struct {
	Received bool        `cbor:"1,keyasint,omitempty"`
	Refusal  int         `cbor:"2,keyasint,omitempty"`
	Status   int         `cbor:"3,keyasint,omitempty"`
	Header   http.Header `cbor:"4,keyasint,omitempty"`
	Body     []byte      `cbor:"5,keyasint,omitempty"`
	End      bool        `cbor:"6,keyasint,omitempty"`
	Broken   bool        `cbor:"7,keyasint,omitempty"`
}
