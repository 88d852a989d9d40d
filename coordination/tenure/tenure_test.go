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
