package gateway

import (
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

// The values below are those that earlier builds have recorded in testdata/messages, with every field that they
// know. They must not change.

// recordedHeartbeat is a heartbeat with findings.
func recordedHeartbeat() heartbeat {
	return heartbeat{
		Daemon: "d1", Incarnation: "d1-1", Front: "10.0.0.1:80", FailureDomain: "north", Ready: true, Leaving: true, Peer: "10.0.0.1:9001", Secret: "secret",
		CPUShare: 0.4, HadTraffic: true, Term: 7,
		Findings:   []quarantine.Finding{{Fingerprint: 11, Crashes: 2, Age: time.Second, Convicted: true}, {Fingerprint: 12, Crashes: 1, Age: 3 * time.Second}},
		FindingsAt: 1764892800000,
		PartFindings: []quarantine.PartFinding{
			{Part: 21, Crashes: 6, Age: 2 * time.Second, Late: 1, Servers: []string{"s1", "s2"}, Daemons: []string{"d1"}},
		},
	}
}

// recordedStatus is the status of a hub that asks for updates.
func recordedStatus() peerMessage {
	return peerMessage{
		From: "d1-1", PeerAddress: "10.0.0.1:9001", Secret: "secret", Offsets: map[string]int64{"servers": 41, "daemons": -1}, Timestamp: 5 * time.Second,
		Summary: relay.Summary{
			Loads:  map[int64]relay.ReplicaLoad{3: {Load: dispatch.Load{Writing: 1, Waiting: 2, Tokens: 300}, SinceEvent: 40 * time.Millisecond, Stalled: 1}},
			Demand: map[string]float64{"small": 1.5}, Daemons: []uint64{31, 32}, Traffic: true,
		},
		Crashes: []quarantine.Crash{{
			Daemon: "d1", Server: "s1", Episode: "s1 1000", Suspects: []quarantine.Fingerprint{11}, Weak: []quarantine.Fingerprint{12}, Resent: 13, Model: "small",
			Parts: []quarantine.PartSuspect{{Part: 21, Requests: []quarantine.Fingerprint{11, 12}}}, Reporters: []string{"d2"}, Age: time.Second,
		}},
		Leaving: []notice.Incarnation{{Server: "s2", Born: 1000}}, FromHub: true,
		Changes: []replicaChange{
			{Group: "small/1/3", Epoch: 3, Members: []notice.Incarnation{{Server: "s1", Born: 999}, {Server: "s2", Born: 1000}}}, {Group: "small/1/2", Epoch: 2},
		},
		AnsweredParts: []quarantine.PartAnswer{{Part: 22, Age: 2 * time.Second}},
	}
}

// recordedHubAnswer is the answer of a hub to a request for updates.
func recordedHubAnswer() peerMessage {
	return peerMessage{
		From: "d2-1", EchoTimestamp: 5 * time.Second,
		Updates: map[string]relay.Update{"servers": {
			Records: []relay.Record{{Key: "s1", Value: []byte("entry"), Offset: 41, Idle: time.Second}, {Key: "s3", Offset: 42}},
			Whole:   true, From: 40, End: 43, ReadAt: -100 * time.Millisecond,
		}},
		OtherDomainLoads: map[int64]relay.ReplicaLoad{4: {Load: dispatch.Load{Writing: 2}, SinceEvent: time.Second}},
	}
}

// recordedProbe asks a hub to probe a server.
func recordedProbe() peerMessage {
	return peerMessage{From: "d1-1", PeerAddress: "10.0.0.1:9001", Secret: "secret", ProbeTargets: []probeTarget{{ID: "s1", Address: "10.0.1.1:80", Born: 999}}}
}

// recordedAlive is the answer to recordedProbe.
func recordedAlive() peerMessage {
	return peerMessage{From: "d2-1", PeerAddress: "10.0.0.2:9001", Secret: "secret", Alive: []string{"s1"}}
}

// recordedDetour asks another daemon to pass on a request of a caller.
func recordedDetour() detourRequest {
	return detourRequest{
		Address: "10.0.1.1:80", Server: "s1", Method: http.MethodPost, Target: "/buy/x?a=%20", Host: "h", Header: http.Header{"Accept": {"a", "b"}}, Body: []byte("body"),
		SendWithin: 150 * time.Millisecond, Call: true, SingleUse: true,
	}
}

// recordedParts are the messages of answers to recordedDetour.
func recordedParts() []detourPart {
	return []detourPart{
		{Received: true}, {Refusal: refusedBusy}, {Refusal: refusedLinks}, {Refusal: refusedUnreachable}, {Refusal: refusedAbsent}, {Refusal: refusedServer},
		{Status: http.StatusOK, Header: http.Header{"Accept": {"a"}}}, {Body: []byte("data")}, {End: true}, {Broken: true},
	}
}
