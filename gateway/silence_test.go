package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// TestSilentServerIsNotDead guards against a sound server that is silent for a second and counted as dead
// (LOST), and against a dead one that is waited for.
func TestSilentServerIsNotDead(t *testing.T) {
	type probe struct {
		sentAt, endedAt time.Duration
		finding         probeFinding
	}
	const s, ms = time.Second, time.Millisecond
	for _, tc := range []struct {
		name   string
		probes []probe
		want   bool
	}{
		{"unreached", []probe{{0, 600 * ms, probeUnreached}}, true},
		{"replaced", []probe{{0, 10 * ms, probeReplaced}}, true},
		{"silent", []probe{{0, 600 * ms, probeSilent}}, false},
		{"silent_for_too_long", []probe{{0, 600 * ms, probeSilent}, {s, 1600 * ms, probeSilent}}, true},
		{"silent_then_unreached", []probe{{0, 600 * ms, probeSilent}, {s, 1300 * ms, probeUnreached}}, true},
		{"answered_between", []probe{{0, 600 * ms, probeSilent}, {s, s, probeAlive}, {2 * s, 2600 * ms, probeSilent}}, false},
		{"silent_twice_for_a_moment", []probe{{0, 600 * ms, probeSilent}, {2400 * ms, 3 * s, probeSilent}}, false},
		{"silent_long_ago", []probe{{0, 600 * ms, probeSilent}, {5 * s, 5600 * ms, probeSilent}}, false},
		{"dead_and_silent", []probe{{0, 600 * ms, probeUnreached}, {s, 1600 * ms, probeSilent}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			c.leadership.dead, c.leadership.aliveAt = make(map[string]deadServer), make(map[string]time.Duration)
			c.leadership.silent = make(map[string]silentServer)
			for _, p := range tc.probes {
				c.applyProbe(time.Hour+p.endedAt, probeResult{server: site.Server{ID: "s", Born: 1}, finding: p.finding, sentAt: time.Hour + p.sentAt})
			}
			_, dead := c.leadership.dead["s"]
			require.Equal(t, tc.want, dead)
		})
	}
}

// TestSilentAttemptsAccuseNobody guards against requests that are suspected because their server ended long
// after it had fallen silent, for another reason.
func TestSilentAttemptsAccuseNobody(t *testing.T) {
	for name, want := range map[string]int{"silent": 0, "cut_off": 1} {
		t.Run(name, func(t *testing.T) {
			g, now := newController().gateway, time.Now()
			g.startController()
			defer g.system.Shutdown()
			a := &attempt{target: "r", engine: &site.Engine{}, sentAt: now.Add(-time.Second), lastEventAt: now.Add(-time.Second)}
			if name == "cut_off" {
				a.sentAt, a.lastEventAt = now, now
			}
			g.tracker.add(a)
			g.tracker.checkStalls(now, func(string) bool { return false })
			g.handleLostAttempt(context.Background(), &call{service: &site.Service{Engine: &site.Engine{}}}, a, site.Server{ID: "s", Address: "127.0.0.1:1"})
			suspects := 0
			for _, crash := range g.crashes.recent(time.Now()) {
				suspects += len(crash.Suspects)
			}
			require.Equal(t, want, suspects)
		})
	}
}

// TestSilentAttemptsSayNothingNew guards against a replica that gets no work because of requests that have
// been silent for long, after another daemon or a new connection has reached it.
func TestSilentAttemptsSayNothingNew(t *testing.T) {
	var (
		b      attemptTracker
		now    = time.Now()
		silent []string
		notify = func(_ time.Time, why error) { silent = append(silent, fmt.Sprint(why)) }
		sound  = func(string) bool { return false }
	)
	b.add(&attempt{target: "r", address: "a", epoch: 1, started: true, sentAt: now, lastEventAt: now, silent: notify})
	stalled, _ := b.checkStalls(now.Add(time.Second), sound)
	require.Equal(t, []string{"r"}, stalled)
	require.Equal(t, []string{errStalled.Error()}, silent)
	require.Equal(t, []string{"r"}, b.suspectTargets())
	b.clearSuspectAt("a")
	stalled, _ = b.checkStalls(now.Add(1100*time.Millisecond), sound)
	require.Empty(t, stalled)
	require.Len(t, silent, 2, "the call is still told")
	require.Empty(t, b.suspectTargets())
	require.Zero(t, b.targets["r"].load())
}

// A slowWriter is a connection to a caller that reads nothing until it is released.
type slowWriter struct {
	*httptest.ResponseRecorder
	writing, release chan struct{}
}

// Write implements io.Writer.
func (w *slowWriter) Write(p []byte) (int, error) {
	close(w.writing)
	<-w.release
	return len(p), nil
}

// TestSlowCallerIsNoSilentServer guards against a replica that counts as stalled, and a request that is sent once
// more, because the caller reads its answer slowly.
func TestSlowCallerIsNoSilentServer(t *testing.T) {
	g := newController().gateway
	s, a, b := newRunningStream(g)
	g.tracker.remove(b.attempt)
	w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), release: make(chan struct{})}
	s.w, s.rc = w, http.NewResponseController(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.handleMessage(context.Background(), s, runMessage{run: a, events: []byte("id: 1\ndata: x\n\n"), lastID: "1"})
	}()
	<-w.writing
	stalled, _ := g.tracker.checkStalls(time.Now().Add(2*time.Second), func(string) bool { return false })
	close(w.release)
	<-done
	require.Empty(t, stalled)
}

// TestOddEntryEndsNoRun guards against silent attempts that are cancelled because another writer listed an entry
// with the address of their server, which is still listed itself (LOST).
func TestOddEntryEndsNoRun(t *testing.T) {
	c := newController()
	c.configuration = &site.Configuration{}
	head := site.Server{ID: "head", Address: "127.0.0.1:1", Born: 1, Member: site.Membership{Epoch: 3}}
	c.servers.put(0, 1, head, 0)
	c.servers.put(0, 2, site.Server{ID: "odd", Address: "127.0.0.1:1", Born: 2}, 0)
	c.publish(0)
	require.False(t, c.gateway.view.Load().hasEnded(head, 3))
}
