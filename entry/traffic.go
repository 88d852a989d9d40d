package entry

import (
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/admission"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/routing"
)

// A replicaKey identifies a replica in the counts of requests in flight: the name of its head
// instance. A request that started under an earlier membership of the replica still counts, since
// it still loads the head.
type replicaKey string

// A slot is the permission to run one request at a replica, held until it is released.
type slot struct {
	replica control.Replica
	suspect bool
	request *runningRequest
}

// A runningRequest is one request that holds a slot. started means that its first token has
// arrived.
type runningRequest struct {
	fingerprint quarantine.Fingerprint
	started     bool
}

// A requestTracker counts the requests that this daemon has in flight at each replica, and bounds
// them. The channel changed is closed and replaced when a slot may have become free.
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

// newRequestTracker returns an empty tracker. A warm server whose first tokens take coldFactor
// times the median counts as having turned cold.
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

// acquire reserves a slot at one of replicas for r. If none is free, it returns a channel that
// closes when another try may succeed. Two suspects never run on one replica at once, so that a
// crash can be attributed to one of them.
func (t *requestTracker) acquire(affinityKey, localDomain string, replicas []control.Replica, r *runningRequest, suspect bool) (*slot, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]routing.Candidate, len(replicas))
	for i, replica := range replicas {
		candidates[i] = t.candidate(localDomain, replica, suspect)
	}
	var i int
	if i = t.policy.Choose(affinityKey, candidates); i < 0 {
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

// candidate returns the input of the routing policy for replica. The caller holds mu.
func (t *requestTracker) candidate(localDomain string, replica control.Replica, suspect bool) routing.Candidate {
	k := replicaKeyOf(replica)
	c := routing.Candidate{
		Name:     replica.Name,
		Local:    replica.FailureDomain == localDomain,
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

// admitRequest counts a request of organisation and returns true, unless the daemon or the
// organisation is at its limit.
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

// endRequest undoes admitRequest.
func (t *requestTracker) endRequest(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total--
	if t.perOrg[organisation]--; t.perOrg[organisation] == 0 {
		delete(t.perOrg, organisation)
	}
}

// release frees the slot s.
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

// unansweredFingerprints returns the fingerprints of the requests at the replica of s that have not
// received a token yet: the suspects if its server crashes.
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

// recordFirstToken records that the first token for s arrived after the given time, and returns
// whether this indicates that a server listed as warm has turned cold.
func (t *requestTracker) recordFirstToken(s *slot, firstToken time.Duration) bool {
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
	return t.detectors[k].Observe(firstToken)
}

// inFlightAt returns the number of requests in flight at the replica of s.
func (t *requestTracker) inFlightAt(s *slot) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight[replicaKeyOf(s.replica)])
}

// totalInFlight returns the number of requests in flight in this daemon.
func (t *requestTracker) totalInFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// wakeWaiting makes all waiting requests evaluate the current view again.
func (t *requestTracker) wakeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting > 0 {
		t.signalChange()
	}
}

// startWaiting counts a request that waits for a slot and returns true, unless limit requests wait
// already.
func (t *requestTracker) startWaiting(limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting >= limit {
		return false
	}
	t.waiting++
	return true
}

// stopWaiting undoes startWaiting.
func (t *requestTracker) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// signalChange wakes the requests that wait on changed. The caller holds mu.
func (t *requestTracker) signalChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// replicaKeyOf returns the key under which requests at r are counted.
func replicaKeyOf(r control.Replica) replicaKey { return replicaKey(r.Head.Name) }
