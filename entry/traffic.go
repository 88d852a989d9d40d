package entry

import (
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/admission"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/routing"
)

// A replicaKey names what in-flight requests are counted for: the instance that
// heads a replica. Requests of an earlier membership still weigh on it.
type replicaKey string

// A slot is one place at a replica that a request holds.
type slot struct {
	replica control.Replica
	suspect bool
	request *runningRequest
}

// A runningRequest is one request that a replica is runningRequest for this daemon.
type runningRequest struct {
	fingerprint quarantine.Fingerprint
	started     bool
}

// requestTracker counts the requests that this daemon has in flight at each replica.
type requestTracker struct {
	mu       sync.Mutex
	policy   routing.Policy
	inFlight map[replicaKey]map[*runningRequest]struct{}
	suspects map[replicaKey]int
	waiting  int
	perOrg   map[string]int
	total    int
	changed  chan struct{}

	coldFactor float64
	detectors  map[replicaKey]*admission.Detector
}

// newRequestTracker returns a traffic without requests. A first token that takes
// coldFactor times the usual shows that a server is cold.
func newRequestTracker(policy routing.Policy, coldFactor float64) *requestTracker {
	return &requestTracker{
		policy:     policy,
		coldFactor: coldFactor,
		detectors:  make(map[replicaKey]*admission.Detector),
		inFlight:   make(map[replicaKey]map[*runningRequest]struct{}),
		suspects:   make(map[replicaKey]int),
		perOrg:     make(map[string]int),
		changed:    make(chan struct{}),
	}
}

// acquire takes a place at one of replicas, or returns a channel that closes
// when it is worth to try again. A suspect shares no replica with another one.
func (t *requestTracker) acquire(key, near string, replicas []control.Replica, r *runningRequest, suspect bool) (*slot, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]routing.Candidate, len(replicas))
	for i, replica := range replicas {
		candidates[i] = t.candidate(near, replica, suspect)
	}
	var i int
	if i = t.policy.Choose(key, candidates); i < 0 {
		return nil, t.changed
	}
	k := replicaKeyOf(replicas[i])
	if t.inFlight[k] == nil {
		t.inFlight[k] = make(map[*runningRequest]struct{})
	}
	t.inFlight[k][r] = struct{}{}
	if suspect {
		t.suspects[k]++
	}
	return &slot{replica: replicas[i], suspect: suspect, request: r}, nil
}

// candidate returns what routing needs to know of replica. The caller holds the
// lock.
func (t *requestTracker) candidate(near string, replica control.Replica, suspect bool) routing.Candidate {
	k := replicaKeyOf(replica)
	c := routing.Candidate{
		Name:     replica.Name,
		Local:    replica.FailureDomain == near,
		Warming:  !replica.Warm && replica.Directed,
		InFlight: len(t.inFlight[k]),
		Limit: admission.Limit(admission.Replica{
			Warm: replica.Warm, Directed: replica.Directed, Slots: replica.Slots, ColdLimit: replica.ColdLimit,
		}),
	}
	if !replica.Warm {
		c.InFlight = max(c.InFlight, replica.Running)
	}
	if suspect && t.suspects[k] > 0 {
		c.Limit = 0
	}
	return c
}

// admitRequest counts a request of organisation, unless the daemon or the organisation
// has as many as it may.
func (t *requestTracker) admitRequest(organisation string, limit, limitPerOrg int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total >= limit || t.perOrg[organisation] >= limitPerOrg {
		return false
	}
	t.total++
	t.perOrg[organisation]++
	return true
}

// endRequest ends the count of a request of organisation.
func (t *requestTracker) endRequest(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total--
	if t.perOrg[organisation]--; t.perOrg[organisation] == 0 {
		delete(t.perOrg, organisation)
	}
}

// release gives the place of s back.
func (t *requestTracker) release(s *slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := replicaKeyOf(s.replica)
	delete(t.inFlight[k], s.request)
	if len(t.inFlight[k]) == 0 {
		delete(t.inFlight, k)
	}
	if s.suspect {
		if t.suspects[k]--; t.suspects[k] == 0 {
			delete(t.suspects, k)
		}
	}
	t.signalChange()
}

// unansweredFingerprints returns the fingerprints of the requests that the replica of s was
// unansweredFingerprints without having answered with a token yet.
func (t *requestTracker) unansweredFingerprints(s *slot) []quarantine.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quarantine.Fingerprint
	for r := range t.inFlight[replicaKeyOf(s.replica)] {
		if !r.started {
			out = append(out, r.fingerprint)
		}
	}
	return out
}

// recordFirstToken marks that the request of s has answered with its first token after a
// time, and returns whether that shows that a warm server has turned cold.
func (t *requestTracker) recordFirstToken(s *slot, first time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.request.started = true
	if !s.replica.Warm {
		return false
	}
	k := replicaKeyOf(s.replica)
	if t.detectors[k] == nil {
		t.detectors[k] = &admission.Detector{Factor: t.coldFactor}
	}
	return t.detectors[k].Observe(first)
}

// inFlightAt returns how many requests are in flight at the replica of s.
func (t *requestTracker) inFlightAt(s *slot) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight[replicaKeyOf(s.replica)])
}

// totalInFlight returns the number of requests in this daemon.
func (t *requestTracker) totalInFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// wakeWaiting lets all waiting requests look at the view again.
func (t *requestTracker) wakeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting > 0 {
		t.signalChange()
	}
}

// startWaiting counts a request that waits for a place, unless limit of them do.
func (t *requestTracker) startWaiting(limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting >= limit {
		return false
	}
	t.waiting++
	return true
}

// stopWaiting ends the count of a waiting request.
func (t *requestTracker) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// signalChange closes the channel that waiting requests read. The caller holds the
// lock.
func (t *requestTracker) signalChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// replicaKeyOf returns the key under which requests at r are counted.
func replicaKeyOf(r control.Replica) replicaKey { return replicaKey(r.Head.Name) }
