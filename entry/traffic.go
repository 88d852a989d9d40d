package entry

import (
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/admission"
	"github.com/hawthornrock/hawthornrock/coordination/control"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/routing"
)

// A slotKey names what in-flight requests are counted for: the instance that
// heads a replica. Requests of an earlier membership still weigh on it.
type slotKey string

// A slot is one place at a replica that a request holds.
type slot struct {
	replica control.Replica
	suspect bool
	index   *running
}

// A running is one request that a replica is running for this daemon.
type running struct {
	fingerprint quarantine.Fingerprint
	started     bool
}

// traffic counts the requests that this daemon has in flight at each replica.
type traffic struct {
	mu       sync.Mutex
	policy   routing.Policy
	inFlight map[slotKey]map[*running]struct{}
	suspects map[slotKey]int
	waiting  int
	perOrg   map[string]int
	all      int
	changed  chan struct{}

	coldFactor float64
	detectors  map[slotKey]*admission.Detector
}

// newTraffic returns a traffic without requests. A first token that takes
// coldFactor times the usual shows that a server is cold.
func newTraffic(policy routing.Policy, coldFactor float64) *traffic {
	return &traffic{
		policy:     policy,
		coldFactor: coldFactor,
		detectors:  make(map[slotKey]*admission.Detector),
		inFlight:   make(map[slotKey]map[*running]struct{}),
		suspects:   make(map[slotKey]int),
		perOrg:     make(map[string]int),
		changed:    make(chan struct{}),
	}
}

// acquire takes a place at one of replicas, or returns a channel that closes
// when it is worth to try again. A suspect shares no replica with another one.
func (t *traffic) acquire(key, near string, replicas []control.Replica, r *running, suspect bool) (*slot, <-chan struct{}) {
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
	k := keyOf(replicas[i])
	if t.inFlight[k] == nil {
		t.inFlight[k] = make(map[*running]struct{})
	}
	t.inFlight[k][r] = struct{}{}
	if suspect {
		t.suspects[k]++
	}
	return &slot{replica: replicas[i], suspect: suspect, index: r}, nil
}

// candidate returns what routing needs to know of replica. The caller holds the
// lock.
func (t *traffic) candidate(near string, replica control.Replica, suspect bool) routing.Candidate {
	k := keyOf(replica)
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

// enter counts a request of organisation, unless the daemon or the organisation
// has as many as it may.
func (t *traffic) enter(organisation string, limit, limitPerOrg int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all >= limit || t.perOrg[organisation] >= limitPerOrg {
		return false
	}
	t.all++
	t.perOrg[organisation]++
	return true
}

// leave ends the count of a request of organisation.
func (t *traffic) leave(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all--
	if t.perOrg[organisation]--; t.perOrg[organisation] == 0 {
		delete(t.perOrg, organisation)
	}
}

// release gives the place of s back.
func (t *traffic) release(s *slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(s.replica)
	delete(t.inFlight[k], s.index)
	if len(t.inFlight[k]) == 0 {
		delete(t.inFlight, k)
	}
	if s.suspect {
		if t.suspects[k]--; t.suspects[k] == 0 {
			delete(t.suspects, k)
		}
	}
	t.signal()
}

// running returns the fingerprints of the requests that the replica of s was
// running without having answered with a token yet.
func (t *traffic) running(s *slot) []quarantine.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quarantine.Fingerprint
	for r := range t.inFlight[keyOf(s.replica)] {
		if !r.started {
			out = append(out, r.fingerprint)
		}
	}
	return out
}

// start marks that the request of s has answered with its first token after a
// time, and returns whether that shows that a warm server has turned cold.
func (t *traffic) start(s *slot, first time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.index.started = true
	if !s.replica.Warm {
		return false
	}
	k := keyOf(s.replica)
	if t.detectors[k] == nil {
		t.detectors[k] = &admission.Detector{Factor: t.coldFactor}
	}
	return t.detectors[k].Observe(first)
}

// count returns how many requests are in flight at the replica of s.
func (t *traffic) count(s *slot) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight[keyOf(s.replica)])
}

// total returns the number of requests in this daemon.
func (t *traffic) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all
}

// wake lets all waiting requests look at the view again.
func (t *traffic) wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting > 0 {
		t.signal()
	}
}

// wait counts a request that waits for a place, unless limit of them do.
func (t *traffic) wait(limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting >= limit {
		return false
	}
	t.waiting++
	return true
}

// unwait ends the count of a waiting request.
func (t *traffic) unwait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// signal closes the channel that waiting requests read. The caller holds the
// lock.
func (t *traffic) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// keyOf returns the key under which requests at r are counted.
func keyOf(r control.Replica) slotKey { return slotKey(r.Head.Name) }
