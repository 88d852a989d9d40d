package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// maxReportedCrashes bounds the crashes in a status: all replicas of a few fabric domains.
	// maxSuspects bounds the requests of each: a server's slots and its queue.
	// maxReportedParts bounds the parts of their prompts, and maxReporters the daemons that saw one.
	maxReportedCrashes = 32
	maxSuspects        = 128
	maxReportedParts   = 256
	maxReporters       = 4
	// crashReportTTL is how long statuses report a crash.
	crashReportTTL = 10 * time.Second
	// maxCompleted bounds the completed requests that are remembered: a minute of a busy daemon.
	maxCompleted = 4096
	// convictionDuration is how long a request that crashes servers is refused.
	convictionDuration = time.Minute
	// maxHeartbeatFindings bounds the findings in a heartbeat.
	maxHeartbeatFindings = 16
)

// A reportedCrash is a crash that statuses report.
type reportedCrash struct {
	crash  quarantine.Crash
	seenAt time.Time
}

// A crashOutcome is the result of recording a crash.
type crashOutcome struct {
	isNew bool
	// repeated means that a server had already crashed under one of the requests.
	repeated  bool
	convicted []quarantine.Fingerprint
}

// A crashTracker records the requests that crash servers. The zero value is empty.
type crashTracker struct {
	mu        sync.Mutex
	register  quarantine.Register
	exposures quarantine.Exposures[notice.Incarnation]
	reported  []reportedCrash
	// completedAt holds when requests last completed at this daemon.
	completedAt map[quarantine.Fingerprint]time.Time
	parts       quarantine.Parts
	// refusedParts are the convicted parts, and reportedParts those of them that the last heartbeat
	// reported.
	refusedParts, reportedParts map[quarantine.Part]bool
}

// episode identifies the crash of one incarnation of a server.
func episode(l notice.Incarnation) string { return l.Server + "/" + strconv.FormatInt(l.Born, 10) }

// recent returns the latest crashes, for statuses.
func (c *crashTracker) recent(now time.Time) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = slices.DeleteFunc(c.reported, func(t reportedCrash) bool { return now.Sub(t.seenAt) > crashReportTTL })
	var out []quarantine.Crash
	for _, t := range c.reported[max(0, len(c.reported)-maxReportedCrashes):] {
		t.crash.Age = now.Sub(t.seenAt)
		out = append(out, t.crash)
	}
	return out
}

// record counts a crash that this daemon saw or another one reported, and adds it to the statuses
// if it is new.
func (c *crashTracker) record(now time.Time, crash quarantine.Crash) crashOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.QuarantineFor = convictionDuration
	at := now.Add(-crash.Age)
	crash.Suspects, crash.Weak = c.withoutCompleted(at, crash.Suspects), c.withoutCompleted(at, crash.Weak)
	newParts := c.parts.Add(now, crash)
	all := slices.Concat(crash.Suspects, crash.Weak)
	undecided := slices.DeleteFunc(all, func(f quarantine.Fingerprint) bool { return c.register.Verdict(now, f) == quarantine.Convicted })
	if !c.register.Add(now, crash) && !newParts {
		return crashOutcome{}
	}
	c.addReported(now, crash)
	return crashOutcome{
		isNew:    true,
		repeated: slices.ContainsFunc(undecided, func(f quarantine.Fingerprint) bool { return c.register.Crashes(f) > 1 }),
		convicted: slices.DeleteFunc(undecided, func(f quarantine.Fingerprint) bool {
			return c.register.Verdict(now, f) != quarantine.Convicted
		}),
	}
}

// withoutCompleted returns the suspects that did not complete at this daemon within
// convictionDuration before the crash, nor since: as a rule, a request that completes does not
// crash servers. The caller holds the lock.
func (c *crashTracker) withoutCompleted(at time.Time, suspects []quarantine.Fingerprint) []quarantine.Fingerprint {
	return slices.DeleteFunc(slices.Clone(suspects), func(f quarantine.Fingerprint) bool {
		return c.completedSince(f, at.Add(-convictionDuration))
	})
}

// completedSince returns whether a request last completed at this daemon after at. The caller holds
// the lock.
func (c *crashTracker) completedSince(f quarantine.Fingerprint, at time.Time) bool {
	completed, ok := c.completedAt[f]
	return ok && completed.After(at)
}

// addReported adds a crash to the statuses, merged with earlier reports of the same one. The caller
// holds the lock.
func (c *crashTracker) addReported(now time.Time, crash quarantine.Crash) {
	// Reporters names the daemons that saw it.
	crash.Daemon = ""
	i := slices.IndexFunc(c.reported, func(t reportedCrash) bool { return t.crash.Episode == crash.Episode && t.crash.Resent == crash.Resent })
	if i < 0 {
		c.reported = append(c.reported, reportedCrash{crash: crash, seenAt: now.Add(-crash.Age)})
		return
	}
	known := &c.reported[i].crash
	known.Parts, known.Reporters = mergeParts(known.Parts, crash.Parts), union(known.Reporters, crash.Reporters, maxReporters)
	known.Suspects, known.Weak = union(known.Suspects, crash.Suspects, maxSuspects), union(known.Weak, crash.Weak, maxSuspects)
}

// mergeParts returns the union of a and b by part.
func mergeParts(a, b []quarantine.PartSuspect) []quarantine.PartSuspect {
	merged := slices.Clone(a)
	for _, s := range b {
		if i := slices.IndexFunc(merged, func(known quarantine.PartSuspect) bool { return known.Part == s.Part }); i >= 0 {
			merged[i].Requests = union(merged[i].Requests, s.Requests, maxSuspects)
		} else if len(merged) < maxReportedParts {
			merged = append(merged, s)
		}
	}
	return merged
}

// union returns the union of a and b in order, with at most limit elements.
func union[T cmp.Ordered](a, b []T, limit int) []T {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), limit)]
}

// verdict returns the verdict on a request and when it expires.
func (c *crashTracker) verdict(now time.Time, f quarantine.Fingerprint) (quarantine.Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Verdict(now, f), c.register.ExpiresAt(f)
}

// mayRepeat returns whether the crashes under a request and its parts allow it to be sent once more.
func (c *crashTracker) mayRepeat(now time.Time, f quarantine.Fingerprint, parts []quarantine.Part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(parts, func(part quarantine.Part) bool {
		_, convicted := c.parts.Verdict(now, part)
		return convicted || c.parts.Suspicious(part, f)
	}) {
		return false
	}
	return c.register.MayRetry(now, f, c.exposures.Incarnations(now, f))
}

// acquit clears a request that completed without crashing its server.
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

// recordUnanswered records that a server did not answer a request, although nothing shows that the
// server has ended.
func (c *crashTracker) recordUnanswered(now time.Time, l notice.Incarnation, f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exposures.Add(now, l, f)
}

// resolveUnanswered returns the crashes of the servers with unanswered requests that turn out to
// have ended.
func (c *crashTracker) resolveUnanswered(now time.Time, hasEnded func(notice.Incarnation) bool) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	for l, weak := range c.exposures.Ended(now, hasEnded) {
		out = append(out, quarantine.Crash{Server: l.Server, Episode: episode(l), Weak: weak})
	}
	return out
}

// findings returns the findings for heartbeats, which preserve them beyond the end of this process.
func (c *crashTracker) findings(now time.Time) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Findings(now, maxHeartbeatFindings)
}

// applyFindings applies findings from a heartbeat, and returns those that are new.
func (c *crashTracker) applyFindings(now time.Time, findings []quarantine.Finding) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.QuarantineFor = convictionDuration
	return slices.DeleteFunc(slices.Clone(findings), func(f quarantine.Finding) bool {
		return c.completedSince(f.Fingerprint, now.Add(-f.Age-convictionDuration)) || !c.register.ApplyFinding(now, f)
	})
}

// applyPeerCrashes records crashes that another daemon saw.
func (g *Gateway) applyPeerCrashes(m peerMessage) {
	for _, crash := range m.Crashes {
		g.recordCrash(crash, m.From)
	}
}

// recordCrash records a crash. from is the daemon that reported it; empty if this one saw it.
func (g *Gateway) recordCrash(crash quarantine.Crash, from string) {
	outcome := g.crashes.record(time.Now(), crash)
	if outcome.isNew {
		g.metrics.events.Add("crashes_counted", 1)
		g.logger.Info().Str("event", "server_crashed").Str("server", crash.Server).Str("episode", crash.Episode).Str("daemon", crash.Daemon).
			Str("from", from).Strs("suspects", formatFingerprints(crash.Suspects)).Strs("weak", formatFingerprints(crash.Weak)).Dur("age", crash.Age).
			Msg("server crashed while running requests")
	}
	if outcome.repeated || outcome.isNew && from == "" && len(crash.Parts) > 0 {
		// The caller may send the request, or another one with the same part, to another daemon at
		// once, which must know of the crash.
		wake(g.statusNow)
	}
	if outcome.isNew {
		g.recordPartChanges()
	}
	if len(outcome.convicted) > 0 && from == "" {
		// The finding must survive the end of this process.
		wake(g.heartbeatNow)
	}
	for _, f := range outcome.convicted {
		g.metrics.events.Add("requests_convicted", 1)
		g.logger.Warn().Str("event", "request_convicted").Str("fingerprint", formatFingerprint(f)).Str("episode", crash.Episode).Str("from", from).
			Msg("request crashes servers; refused from now on")
	}
}

// formatFingerprint formats f for log lines.
func formatFingerprint(f quarantine.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// maxLoggedSuspects and maxLoggedParts bound the suspects and the parts of a prompt in a log line.
const (
	maxLoggedSuspects = 16
	maxLoggedParts    = 8
)

// formatFingerprints formats the first maxLoggedSuspects fingerprints for log lines.
func formatFingerprints(all []quarantine.Fingerprint) []string {
	var out []string
	for _, f := range all[:min(len(all), maxLoggedSuspects)] {
		out = append(out, formatFingerprint(f))
	}
	return out
}

// crashReport returns the crash of server under a, with all requests that the server had not
// answered completely: those with part of their answer are weak suspects. The attempts are those
// that the server had not begun to answer.
func (b *attemptTracker) crashReport(daemon string, server site.Server, a *attempt) (quarantine.Crash, []*attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	crash := quarantine.Crash{Daemon: daemon, Server: server.ID, Episode: episode(incarnationOf(server)), Model: a.model.Name, Reporters: []string{daemon}}
	if a.resentAfterCrash && !a.started {
		crash.Resent = a.fingerprint
	}
	var unanswered []*attempt
	for other := range b.target(a.target).attempts {
		if !other.started || time.Since(other.startedAt) < answerBeginning {
			unanswered = append(unanswered, other)
		}
		if other.started {
			crash.Weak = append(crash.Weak, other.fingerprint)
		} else {
			crash.Suspects = append(crash.Suspects, other.fingerprint)
		}
	}
	return crash, unanswered
}

// handleLostAttempt determines the state of server, which did not answer an attempt at c
// completely.
func (g *Gateway) handleLostAttempt(ctx context.Context, c *call, a *attempt, server site.Server) {
	found := "unknown"
	switch {
	case ctx.Err() == nil && !g.tracker.fellSilent(a):
		found = g.probeAfterLoss(c, a, server)
	case errors.Is(context.Cause(ctx), errConvictedPart):
		found = "not_probed"
	case errors.Is(context.Cause(ctx), errOvertaken):
		g.crashes.recordUnanswered(time.Now(), incarnationOf(server), c.fingerprint)
		found = "overtaken"
	case g.paths.reachedAround(server.Address):
		found = "path_lost"
	default:
		// The caller left, or the server was silent before: it may have failed long after it got the request.
		g.crashes.recordUnanswered(time.Now(), incarnationOf(server), c.fingerprint)
		g.enqueue(unansweredCheck{})
	}
	g.metrics.events.Add("attempts_lost", 1)
	g.logger.Info().Str("event", "attempt_lost").Str("request", c.request.Attempt).Str("fingerprint", formatFingerprint(c.fingerprint)).
		Strs("parts", c.request.SharedParts[:min(len(c.request.SharedParts), maxLoggedParts)]).
		Str("server", server.ID).Int64("born", server.Born).Bool("started", a.started).Str("found", found).Msg("attempt ended without a complete answer")
}

// probeAfterLoss probes a server whose connection broke under an attempt, and returns what it
// found. A server that is alive has lost only this answer, and may get new work at once.
func (g *Gateway) probeAfterLoss(c *call, a *attempt, server site.Server) string {
	crash, unanswered := g.tracker.crashReport(g.settings.Daemon, server, a)
	crash.Parts = g.crashes.suspectParts(unanswered)
	began := clock.Boot()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if g.stillAlive(ctx, c, server) {
		if c.service.Engine != nil {
			g.tracker.clearSuspect(a.target)
		}
		return "lives"
	}
	if !g.ownLinksWork(context.Background(), server.Address, began) {
		g.crashes.recordUnanswered(time.Now(), incarnationOf(server), c.fingerprint)
		return "links_lost"
	}
	c.crashes.Add(1)
	g.recordCrash(crash, "")
	return "crashed"
}

// stillAlive returns whether the listed incarnation of a server is alive. Servers of plain services
// show only whether they accept connections.
func (g *Gateway) stillAlive(ctx context.Context, c *call, server site.Server) bool {
	if c.service.Engine == nil {
		return g.testPath(ctx, server.Address) || g.testAround(ctx, server.Address)
	}
	g.metrics.events.Add("probes", 1)
	now, err := g.engines.Report(ctx, server)
	return err == nil && now.Born == server.Born
}

// An unansweredCheck asks the controller to check whether servers with unanswered requests have
// ended.
type unansweredCheck struct{}

// recordUnansweredCrashes records a crash for each server that ended with unanswered requests.
func (c *controller) recordUnansweredCrashes() {
	g := c.gateway
	for _, crash := range g.crashes.resolveUnanswered(time.Now(), func(l notice.Incarnation) bool { return !c.isListed(l) }) {
		crash.Daemon = g.settings.Daemon
		g.recordCrash(crash, "")
	}
}

// learnFindings applies the findings in a heartbeat of another daemon, or of the previous
// incarnation of this one.
func (g *Gateway) learnFindings(h heartbeat) {
	age := max(time.Duration(time.Now().UnixMilli()-h.FindingsAt)*time.Millisecond, 0)
	g.learnPartFindings(h, age)
	findings := slices.Clone(h.Findings)
	for i := range findings {
		findings[i].Age += age
	}
	for _, f := range g.crashes.applyFindings(time.Now(), findings) {
		g.metrics.events.Add("findings_learned", 1)
		g.logger.Info().Str("event", "finding_learned").Str("fingerprint", formatFingerprint(f.Fingerprint)).Int("crashes", f.Crashes).
			Bool("convicted", f.Convicted).Dur("age", f.Age).Str("from", h.Daemon).Msg("heartbeat reports a request that crashes servers")
	}
}
