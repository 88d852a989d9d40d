package tenure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/coordination/tenure"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 2000)
	m.Run()
}

var timeouts = tenure.Timeouts{LeaseDuration: 2 * time.Second, ElectionTimeout: 2500 * time.Millisecond}

func ExampleCandidate() {
	c := tenure.Candidate{Timeouts: timeouts}
	c.ObserveEnd(0, 0)
	end, may := c.ClaimableOffset(0, 0)
	fmt.Println(end, may)
	c.ClaimAccepted(0)
	fmt.Println(c.Leads(time.Second))
	fmt.Println(c.Leads(3 * time.Second))
	// Output:
	// 0 true
	// 1 true
	// 1 false
}

func TestClaim(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c *tenure.Candidate)
		at   time.Duration
		want bool
	}{
		{"nothing_observed", func(*tenure.Candidate) {}, time.Hour, false},
		{"first_start", func(c *tenure.Candidate) { c.ObserveEnd(0, 0) }, 0, true},
		{"unknown_holder", func(c *tenure.Candidate) { c.ObserveEnd(0, 3) }, time.Second, false},
		{"unknown_holder_silent", func(c *tenure.Candidate) { c.ObserveEnd(0, 3) }, 3 * time.Second, true},
		{"holder_seen", func(c *tenure.Candidate) { c.ObserveEnd(0, 3); c.ObserveHeartbeat(2*time.Second, 3, false) }, 4 * time.Second, false},
		{"holder_resigned", func(c *tenure.Candidate) { c.ObserveEnd(0, 3); c.ObserveHeartbeat(time.Second, 3, true) }, time.Second, true},
		{"old_holder_seen", func(c *tenure.Candidate) { c.ObserveEnd(0, 3); c.ObserveHeartbeat(2*time.Second, 2, false) }, 3 * time.Second, true},
		{"claim_lost", func(c *tenure.Candidate) { c.ObserveEnd(0, 3); c.ClaimRejected(3*time.Second, 4) }, 4 * time.Second, false},
		{"superseded", func(c *tenure.Candidate) { c.ObserveEnd(0, 0); c.ClaimAccepted(0); c.Superseded(time.Second) }, 3 * time.Second, false},
		{"superseded_and_no_heartbeat_since", func(c *tenure.Candidate) { c.ObserveEnd(0, 0); c.ClaimAccepted(0); c.Superseded(time.Second) }, 4 * time.Second, true},
		{"earlier_era_without_terms", func(c *tenure.Candidate) {
			c.ObserveEra(3)
			c.ObserveEnd(0, 0)
		}, time.Second, false},
		{"copy_without_the_last_claim", func(c *tenure.Candidate) {
			c.ObserveEra(2)
			c.ObserveEnd(0, 4)
			c.ObserveEra(3)
			c.ObserveEnd(time.Second, 3)
		}, 4 * time.Second, true},
		{"copy_not_read_yet", func(c *tenure.Candidate) {
			c.ObserveEra(2)
			c.ObserveEnd(0, 4)
			c.ObserveEra(3)
		}, time.Hour, false},
		{"holder_of_the_earlier_era_seen", func(c *tenure.Candidate) {
			c.ObserveEra(2)
			c.ObserveEnd(0, 4)
			c.ObserveEra(3)
			c.ObserveEnd(time.Second, 3)
			c.ObserveHeartbeat(3*time.Second, 4, false)
		}, 4 * time.Second, false},
		{"own_lease_of_the_earlier_era", func(c *tenure.Candidate) {
			c.ObserveEra(2)
			c.ObserveEnd(0, 0)
			c.ClaimAccepted(0)
			c.ObserveEra(3)
			c.ObserveEnd(time.Second, 0)
		}, time.Second, true},
		{"own_lease_expired", func(c *tenure.Candidate) { c.ObserveEnd(0, 0); c.ClaimAccepted(0) }, 2 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := tenure.Candidate{Timeouts: timeouts}
			tc.do(&c)
			_, may := c.ClaimableOffset(tc.at, tc.at)
			require.Equal(t, tc.want, may)
		})
	}
}

// TestClaimAfterACopy guards against a candidate that goes on claiming at an end that the store no longer has, so that
// nobody leads (RECOVER), and against a term that is given out twice.
func TestClaimAfterACopy(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  int64
	}{{"claim_is_lost", 3}, {"all_claims_are_lost", 0}, {"nothing_is_lost", 4}, {"others_have_claimed", 6}} {
		t.Run(tc.name, func(t *testing.T) {
			c := tenure.Candidate{Timeouts: timeouts}
			c.ObserveEra(2)
			c.ObserveEnd(0, 4)
			c.ObserveHeartbeat(0, 4, false)
			c.ObserveEra(3)
			c.ObserveEnd(time.Second, tc.end)
			end, may := c.ClaimableOffset(4*time.Second, 4*time.Second)
			require.True(t, may)
			require.Equal(t, tc.end, end)
			c.ClaimAccepted(4 * time.Second)
			term, leads := c.Leads(4 * time.Second)
			require.True(t, leads)
			require.Greater(t, term, int64(6))
		})
	}
}

func TestRenewalCountsFromBeforeItWasSent(t *testing.T) {
	c := tenure.Candidate{Timeouts: timeouts}
	c.ObserveEnd(0, 0)
	c.ClaimAccepted(0)
	// The response reaches a daemon that was paused for ten seconds.
	c.Renew(10*time.Second, time.Second, 1)
	_, leads := c.Leads(10 * time.Second)
	require.False(t, leads)
	c.Renew(10*time.Second, 9*time.Second, 1)
	_, leads = c.Leads(10 * time.Second)
	require.False(t, leads, "an expired lease cannot be renewed; the term must be claimed again")
}

// A storeModel is a store with a topic of terms and one of heartbeats, and daemons whose calls to
// it are slow, lost or carried out late.
type storeModel struct {
	t          *rapid.T
	now        time.Duration
	end        int64
	heartbeats []int64
	candidates [3]tenure.Candidate
	read       [3]int
	readAt     [3]time.Duration
	inFlight   []heartbeat
}

// A heartbeat is in flight until the store has accepted it.
type heartbeat struct {
	daemon int
	term   int64
	sentAt time.Duration
}

// readHeartbeats makes daemon i read the heartbeats with a call that takes some time.
func (w *storeModel) readHeartbeats(i int) {
	sent := w.now
	seen := len(w.heartbeats)
	w.now += time.Duration(rapid.IntRange(0, 900).Draw(w.t, "answer")) * time.Millisecond
	for _, term := range w.heartbeats[w.read[i]:seen] {
		w.candidates[i].ObserveHeartbeat(w.now, term, false)
	}
	w.read[i], w.readAt[i] = seen, sent
}

// claim makes daemon i claim a term if it may.
func (w *storeModel) claim(i int) {
	at, ok := w.candidates[i].ClaimableOffset(w.now, w.readAt[i])
	switch {
	case !ok:
	case at != w.end:
		w.candidates[i].ClaimRejected(w.now, w.end)
	default:
		w.end++
		if rapid.Bool().Draw(w.t, "answered") {
			w.candidates[i].ClaimAccepted(w.now)
		}
	}
}

// storeHeartbeat makes the store accept the oldest heartbeat in flight, and reports that to its
// daemon.
func (w *storeModel) storeHeartbeat() {
	if len(w.inFlight) == 0 {
		return
	}
	b := w.inFlight[0]
	w.inFlight = w.inFlight[1:]
	w.heartbeats = append(w.heartbeats, b.term)
	w.now += time.Duration(rapid.IntRange(0, 900).Draw(w.t, "answer")) * time.Millisecond
	w.candidates[b.daemon].Renew(w.now, b.sentAt, b.term)
}

// TestOneLeader checks that no two daemons lead at the same time.
func TestOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &storeModel{t: t}
		for i := range w.candidates {
			w.candidates[i].Timeouts = timeouts
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(w.candidates)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				w.candidates[i].ObserveEnd(w.now, w.end)
			case 1:
				w.claim(i)
			case 2:
				if term, leads := w.candidates[i].Leads(w.now); leads {
					w.inFlight = append(w.inFlight, heartbeat{daemon: i, term: term, sentAt: w.now})
				}
			case 3:
				w.readHeartbeats(i)
			case 4:
				w.storeHeartbeat()
			}
			leaders := 0
			for j := range w.candidates {
				if _, ok := w.candidates[j].Leads(w.now); ok {
					leaders++
				}
			}
			require.LessOrEqual(t, leaders, 1)
		}
	})
}

// A restoredStore is a storeModel whose store comes back from copies, which lack the newest terms and heartbeats.
type restoredStore struct {
	storeModel
	era     int64
	seen    [3]int64
	holders map[int64]int
	claims  []claim
	// pending counts the claims of each daemon that it still waits for.
	pending [3]int
}

// A claim is in flight until the store has accepted or refused it.
type claim struct {
	daemon  int
	era, at int64
	sentAt  time.Duration
}

// observe makes daemon i see the era of the store, as it does with each answer.
func (w *restoredStore) observe(i int) {
	w.seen[i] = w.era
	w.candidates[i].ObserveEra(w.era)
}

// answerClaim makes the store carry out the oldest claim.
func (w *restoredStore) answerClaim() {
	if len(w.claims) == 0 {
		return
	}
	c := w.claims[0]
	w.claims = w.claims[1:]
	accepted := c.at == w.end
	if accepted {
		w.end++
	}
	if w.pending[c.daemon]--; !rapid.Bool().Draw(w.t, "answered") {
		return
	}
	w.observe(c.daemon)
	switch {
	case c.era != w.era:
	case accepted:
		w.candidates[c.daemon].ClaimAccepted(c.sentAt)
	default:
		w.candidates[c.daemon].ClaimRejected(w.now, w.end)
	}
}

// restore makes the store come back from a copy, which lacks some of the newest records. What was lost is not read any
// more.
func (w *restoredStore) restore() {
	w.era++
	w.end = rapid.Int64Range(0, w.end).Draw(w.t, "end")
	w.heartbeats = w.heartbeats[:rapid.IntRange(0, len(w.heartbeats)).Draw(w.t, "heartbeats")]
	for j := range w.read {
		w.read[j] = min(w.read[j], len(w.heartbeats))
	}
}

// step makes daemon i or the store do something.
func (w *restoredStore) step(i int) {
	c := &w.candidates[i]
	switch rapid.IntRange(0, 7).Draw(w.t, "what") {
	case 0:
		w.observe(i)
		c.ObserveEnd(w.now, w.end)
	case 1:
		if at, ok := c.ClaimableOffset(w.now, w.readAt[i]); ok && w.pending[i] == 0 {
			w.pending[i]++
			w.claims = append(w.claims, claim{daemon: i, era: w.seen[i], at: at, sentAt: w.now})
		}
	case 2, 3:
		w.answerClaim()
	case 4:
		if term, leads := c.Leads(w.now); leads {
			w.inFlight = append(w.inFlight, heartbeat{daemon: i, term: term, sentAt: w.now})
		}
	case 5:
		w.observe(i)
		w.readHeartbeats(i)
	case 6:
		if len(w.inFlight) > 0 {
			w.observe(w.inFlight[0].daemon)
		}
		w.storeHeartbeat()
	case 7:
		if rapid.IntRange(0, 5).Draw(w.t, "drill") == 0 {
			w.restore()
		}
	}
}

// TestOneLeaderOverEras checks that no two daemons lead at the same time, and none with the term of another, although the
// store loses claims and heartbeats and gives their offsets out again (P48).
func TestOneLeaderOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &restoredStore{storeModel: storeModel{t: t}, era: 2, holders: make(map[int64]int)}
		for i := range w.candidates {
			w.candidates[i].Timeouts = timeouts
		}
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			w.step(rapid.IntRange(0, len(w.candidates)-1).Draw(t, "daemon"))
			leaders := 0
			for j := range w.candidates {
				if term, ok := w.candidates[j].Leads(w.now); ok {
					leaders++
					holder, known := w.holders[term]
					require.True(t, !known || holder == j, "term %d has two holders", term)
					w.holders[term] = j
				}
			}
			require.LessOrEqual(t, leaders, 1)
		}
	})
}
