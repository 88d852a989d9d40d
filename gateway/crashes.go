package gateway

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// maxReportedCrashes bounds the crashes that a status tells of: all replicas of a few fabric
	// domains, and suspectsKept the requests of each: a server's slots and its queue.
	maxReportedCrashes = 32
	maxSuspects        = 128
	// crashReportTTL is how long a status tells of a crash.
	crashReportTTL = 10 * time.Second
	// maxCompleted bounds the requests whose end is kept: a minute of a busy daemon.
	maxCompleted = 4096
	// convictionDuration is how long a request that crashes servers is refused.
	convictionDuration = time.Minute
	// maxHeartbeatFindings bounds the findings that a heartbeat tells of.
	maxHeartbeatFindings = 16
)

// A reportedCrash is a crash that statuses tell of.
type reportedCrash struct {
	crash  quarantine.Crash
	seenAt time.Time
}

// A crashOutcome says what became of a crash that was heard of or seen.
type crashOutcome struct {
	isNew bool
	// repeated means that it is not the first one under a request.
	repeated  bool
	convicted []quarantine.Fingerprint
}

// crashTracker are what this daemon knows of requests that crash servers. The zero value
// knows of none.
type crashTracker struct {
	mu        sync.Mutex
	register  quarantine.Register
	exposures quarantine.Exposures[notice.Life]
	reported  []reportedCrash
	// completedAt holds when requests last ran to their end here.
	completedAt map[quarantine.Fingerprint]time.Time
}

// episode names the crash of a life of a server.
func episode(l notice.Life) string { return l.Server + "/" + strconv.FormatInt(l.Born, 10) }

// recent returns the latest crashes, to tell others of.
func (c *crashTracker) recent(now time.Time) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = slices.DeleteFunc(c.reported, func(t reportedCrash) bool { return now.Sub(t.seenAt) > crashReportTTL })
	var late []quarantine.Crash
	for _, t := range c.reported[max(0, len(c.reported)-maxReportedCrashes):] {
		t.crash.Age = now.Sub(t.seenAt)
		late = append(late, t.crash)
	}
	return late
}

// record counts a crash that this daemon saw, or heard of from another one, and tells
// others of it if it is news.
func (c *crashTracker) record(now time.Time, crash quarantine.Crash) crashOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.For = convictionDuration
	at := now.Add(-crash.Age)
	crash.Suspects, crash.Weak = c.withoutCompleted(at, crash.Suspects), c.withoutCompleted(at, crash.Weak)
	all := slices.Concat(crash.Suspects, crash.Weak)
	open := slices.DeleteFunc(all, func(f quarantine.Fingerprint) bool { return c.register.Verdict(now, f) == quarantine.Convicted })
	if !c.register.Add(now, crash) {
		return crashOutcome{}
	}
	c.addReported(now, crash)
	return crashOutcome{
		isNew:    true,
		repeated: slices.ContainsFunc(open, func(f quarantine.Fingerprint) bool { return c.register.Crashes(f) > 1 }),
		convicted: slices.DeleteFunc(open, func(f quarantine.Fingerprint) bool {
			return c.register.Verdict(now, f) != quarantine.Convicted
		}),
	}
}

// withoutCompleted returns the suspects that did not run to their end here lately, nor since the
// crash: as a rule, what does so does not crash servers. The caller holds the lock.
func (c *crashTracker) withoutCompleted(at time.Time, suspects []quarantine.Fingerprint) []quarantine.Fingerprint {
	return slices.DeleteFunc(slices.Clone(suspects), func(f quarantine.Fingerprint) bool {
		return c.completedSince(f, at.Add(-convictionDuration))
	})
}

// completedSince returns whether a request last ran to its end here after at. The caller holds the lock.
func (c *crashTracker) completedSince(f quarantine.Fingerprint, at time.Time) bool {
	completed, ok := c.completedAt[f]
	return ok && completed.After(at)
}

// addReported lets statuses addReported of a crash, together with what is known of the same one. The caller
// holds the lock.
func (c *crashTracker) addReported(now time.Time, crash quarantine.Crash) {
	// Who saw it does not matter to others.
	crash.Daemon, crash.Server = "", ""
	i := slices.IndexFunc(c.reported, func(t reportedCrash) bool { return t.crash.Episode == crash.Episode && t.crash.Resent == crash.Resent })
	if i < 0 {
		c.reported = append(c.reported, reportedCrash{crash: crash, seenAt: now.Add(-crash.Age)})
		return
	}
	known := &c.reported[i].crash
	known.Suspects, known.Weak = mergeSuspects(known.Suspects, crash.Suspects), mergeSuspects(known.Weak, crash.Weak)
}

// mergeSuspects returns the suspects of a and b, of which there may be a bounded number.
func mergeSuspects(a, b []quarantine.Fingerprint) []quarantine.Fingerprint {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxSuspects)]
}

// verdict returns what is known of a request, and when that ends.
func (c *crashTracker) verdict(now time.Time, f quarantine.Fingerprint) (quarantine.Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Verdict(now, f), c.register.Until(f)
}

// mayRepeat returns whether a request may be sent once more as far as crashes go.
func (c *crashTracker) mayRepeat(now time.Time, f quarantine.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.MayRepeat(now, f, c.exposures.Lives(now, f))
}

// acquit clears a request that ran without crashing its server.
func (c *crashTracker) acquit(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Acquit(f)
	c.exposures.Acquit(f)
	if c.completedAt == nil || len(c.completedAt) >= maxCompleted {
		c.completedAt = make(map[quarantine.Fingerprint]time.Time)
	}
	c.completedAt[f] = time.Now()
}

// recordUnanswered notes that a server did not answer a request, although nothing shows that it ended.
func (c *crashTracker) recordUnanswered(now time.Time, l notice.Life, f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exposures.Add(now, l, f)
}

// resolveUnanswered returns the crashes of the servers that turn out to be over.
func (c *crashTracker) resolveUnanswered(now time.Time, over func(notice.Life) bool) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	for l, weak := range c.exposures.Ended(now, over) {
		out = append(out, quarantine.Crash{Server: l.Server, Episode: episode(l), Weak: weak})
	}
	return out
}

// findings returns what heartbeats tell of, so that it outlives this process.
func (c *crashTracker) findings(now time.Time) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Findings(now, maxHeartbeatFindings)
}

// applyFindings takes findings that are told of in a heartbeat, and returns those that are news.
func (c *crashTracker) applyFindings(now time.Time, told []quarantine.Finding) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.For = convictionDuration
	return slices.DeleteFunc(slices.Clone(told), func(f quarantine.Finding) bool {
		return c.completedSince(f.Fingerprint, now.Add(-f.Age-convictionDuration)) || !c.register.Learn(now, f)
	})
}

// applyPeerCrashes takes crashes that another daemon saw.
func (g *Gateway) applyPeerCrashes(m peerMessage) {
	for _, crash := range m.Crashes {
		g.recordCrash(crash, m.From)
	}
}

// recordCrash counts a crash. From names the daemon that told of it; empty if this one saw it.
func (g *Gateway) recordCrash(crash quarantine.Crash, from string) {
	counted := g.crashes.record(time.Now(), crash)
	if counted.isNew {
		g.metrics.events.Add("crashes_counted", 1)
		g.logger.Info().Str("event", "server_crashed").Str("server", crash.Server).Str("episode", crash.Episode).Str("daemon", crash.Daemon).
			Str("from", from).Strs("suspects", formatFingerprints(crash.Suspects)).Strs("weak", formatFingerprints(crash.Weak)).Dur("age", crash.Age).
			Msg("server crashed under requests")
	}
	if counted.repeated {
		// Its caller may send it to another daemon at once.
		wake(g.tellNow)
	}
	if len(counted.convicted) > 0 && from == "" {
		// It is to be known also after this process has ended.
		wake(g.beatNow)
	}
	for _, f := range counted.convicted {
		g.metrics.events.Add("requests_convicted", 1)
		g.logger.Warn().Str("event", "request_convicted").Str("fingerprint", formatFingerprint(f)).Str("episode", crash.Episode).Str("from", from).
			Msg("request crashes servers and is refused")
	}
}

// formatFingerprint returns f as log lines show it.
func formatFingerprint(f quarantine.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// maxLoggedSuspects bounds the suspects that a log line names.
const maxLoggedSuspects = 16

// formatFingerprints returns the first of all as log lines show them.
func formatFingerprints(all []quarantine.Fingerprint) []string {
	var out []string
	for _, f := range all[:min(len(all), maxLoggedSuspects)] {
		out = append(out, formatFingerprint(f))
	}
	return out
}

// crashReport returns the crash of server under a, with all requests that it had not answered
// to their end: those that had part of their answer are weak crashReport.
func (b *attemptTracker) crashReport(daemon string, server site.Server, a *attempt) quarantine.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	crash := quarantine.Crash{Daemon: daemon, Server: server.ID, Episode: episode(lifeOf(server))}
	if a.resentAfterCrash && !a.started {
		crash.Resent = a.fingerprint
	}
	running := b.target(a.target).attempts
	for other := range running {
		if other.started {
			crash.Weak = append(crash.Weak, other.fingerprint)
		} else {
			crash.Suspects = append(crash.Suspects, other.fingerprint)
		}
	}
	return crash
}

// handleLostAttempt finds out what became of server, which did not answer an attempt at c to its end.
func (g *Gateway) handleLostAttempt(ctx context.Context, c *call, a *attempt, server site.Server) {
	found := "unknown"
	if ctx.Err() == nil {
		found = g.probeAfterLoss(c, a, server)
	} else {
		// The caller left, or the server was silent for too long.
		g.crashes.recordUnanswered(time.Now(), lifeOf(server), c.fingerprint)
		g.enqueue(unansweredCheck{})
	}
	g.metrics.events.Add("attempts_lost", 1)
	g.logger.Info().Str("event", "attempt_lost").Str("request", c.request.Attempt).Str("fingerprint", formatFingerprint(c.fingerprint)).
		Str("server", server.ID).Int64("born", server.Born).Bool("started", a.started).Str("found", found).Msg("no whole answer")
}

// probeAfterLoss looks at a server whose connection broke under an attempt, and returns what it
// found. One that lives has lost an answer only, and may get new work at once.
func (g *Gateway) probeAfterLoss(c *call, a *attempt, server site.Server) string {
	crash := g.board.crashReport(g.settings.Daemon, server, a)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if g.stillAlive(ctx, c, server) {
		if c.service.Engine != nil {
			g.board.clearSuspect(a.target)
		}
		return "lives"
	}
	c.crashes++
	g.recordCrash(crash, "")
	return "crashed"
}

// stillAlive returns whether a server still lives as it is listed. Servers of plain services tell
// no more than whether they listen.
func (g *Gateway) stillAlive(ctx context.Context, c *call, server site.Server) bool {
	if c.service.Engine == nil {
		dialer := net.Dialer{}
		conn, err := dialer.DialContext(ctx, "tcp", server.Address)
		if err != nil {
			return false
		}
		g.metrics.events.Add("connections", 1)
		// Nothing was sent.
		_ = conn.Close()
		return true
	}
	g.metrics.events.Add("probes", 1)
	now, err := g.engines.Report(ctx, server)
	return err == nil && now.Born == server.Born
}

// An unansweredCheck asks the control state to look whether servers that did not answer are over.
type unansweredCheck struct{}

// recordUnansweredCrashes counts the end of servers against the requests that they did not answer.
func (c *controller) recordUnansweredCrashes() {
	g := c.gateway
	for _, crash := range g.crashes.resolveUnanswered(time.Now(), func(l notice.Life) bool { return !c.lists(l) }) {
		crash.Daemon = g.settings.Daemon
		g.recordCrash(crash, "")
	}
}

// learnFindings takes the findings of another daemon, or of the life before, from a heartbeat.
func (g *Gateway) learnFindings(h heartbeat) {
	age := max(time.Duration(time.Now().UnixMilli()-h.FindingsAt)*time.Millisecond, 0)
	told := slices.Clone(h.Findings)
	for i := range told {
		told[i].Age += age
	}
	for _, f := range g.crashes.applyFindings(time.Now(), told) {
		g.metrics.events.Add("findings_learned", 1)
		g.logger.Info().Str("event", "finding_learned").Str("fingerprint", formatFingerprint(f.Fingerprint)).Int("crashes", f.Crashes).
			Bool("convicted", f.Convicted).Dur("age", f.Age).Str("from", h.Daemon).Msg("another daemon knows of a request that crashes servers")
	}
}
