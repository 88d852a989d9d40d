package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// newRunningStream returns a stream with two live attempts, at the replicas "a" and "b".
func newRunningStream(g *Gateway) (s *stream, a, b *streamRun) {
	s = newStream(httptest.NewRecorder(), &call{service: &site.Service{}, route: &site.Route{MaxAttempts: 2}})
	start := func(replica string) *streamRun {
		now := time.Now()
		run := &streamRun{
			number: s.race.Start(), replica: Replica{Name: replica}, resp: &http.Response{StatusCode: http.StatusOK}, written: make(chan error, 1),
			attempt: &attempt{target: replica, sentAt: now, lastEventAt: now, cancel: func(error) {}},
		}
		s.runs[run.number], s.tried = run, append(s.tried, replica)
		g.tracker.add(run.attempt)
		return run
	}
	return s, start("a"), start("b")
}

// TestOvertakenAttemptCounts guards against one attempt more than the route permits, as a faster one breaks off
// before the end of the overtaken one has been reported.
func TestOvertakenAttemptCounts(t *testing.T) {
	g := newController().gateway
	s, a, b := newRunningStream(g)
	s.call.mayHaveRun(&a.try)
	require.False(t, g.handleMessage(t.Context(), s, runMessage{run: a, events: []byte("id: 1\ndata: x\n\n"), lastID: "1"}))
	require.Equal(t, 2, s.call.ran)
	require.False(t, g.handleMessage(t.Context(), s, runMessage{run: b, ended: true, result: notRun}))
	require.Equal(t, 1, s.call.ran, "the server proves that it did not run it")
}

// TestSilentServerMayHaveEnded guards against requests that end one server after the other without a sign, as
// a server that falls silent under one is known only when the call ends.
func TestSilentServerMayHaveEnded(t *testing.T) {
	g := newController().gateway
	g.startController()
	defer g.system.Shutdown()
	s, a, _ := newRunningStream(g)
	// The controller lists no servers, so that this one counts as ended.
	a.replica.Head = site.Server{ID: "head", Born: 1}
	g.handleSilence(t.Context(), s, silence{number: a.number, since: a.attempt.lastEventAt, why: errStalled})
	require.Eventually(t, func() bool { return len(g.crashes.recent(time.Now())) == 1 }, 5*time.Second, 5*time.Millisecond)
}
