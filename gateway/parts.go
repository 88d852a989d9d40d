package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
)

const (
	// maxSuspectParts bounds the parts of one request that a crash report names.
	maxSuspectParts = 32
	// answerBeginning is how long after its first event an answer counts as begun only: a server
	// may crash over a request before it has sent much of the answer.
	answerBeginning = 250 * time.Millisecond
	// maxPartFindings bounds the findings on parts in a heartbeat, maxRefusedParts the parts that are
	// refused at the same time.
	maxPartFindings = 16
	maxRefusedParts = 1024
	// findingDelay is how long after the last crash heartbeats report a finding: two statuses over
	// hubs.
	findingDelay = 500 * time.Millisecond
)

// errConvictedPart is the cancellation cause of an attempt that its server has not begun to answer
// and that has a part in its prompt that crashes servers.
var errConvictedPart = errors.New("prompt has a part that crashes servers")

// partsOf returns the shared parts of the prompt of c.
func partsOf(c *call) []quarantine.Part {
	parts := make([]quarantine.Part, 0, len(c.request.SharedParts))
	for _, id := range c.request.SharedParts {
		parts = append(parts, quarantine.PartOf(c.request.Size.Model, id))
	}
	return parts
}

// refuseParts returns the refusal of a request with a part in its prompt that crashes servers, nil
// if there is none.
func (g *Gateway) refuseParts(c *call) *refusal {
	i, f := g.crashes.convictedPart(time.Now(), c.parts)
	if i < 0 {
		return nil
	}
	if c.sent == 0 && !c.trial && g.runsTrials(c.parts[i]) && g.crashes.trialDue(time.Now(), c.parts[i]) {
		c.trial = true
		return nil
	}
	return g.partRefusal(c, i, f)
}

// partRefusal returns the refusal of a request because of f, the finding on its part i.
func (g *Gateway) partRefusal(c *call, i int, f quarantine.PartFinding) *refusal {
	g.metrics.events.Add("parts_refused", 1)
	c.detail = fmt.Sprintf("part %s of the prompt crashed %d servers, last %v ago: servers %s, daemons %s", c.request.SharedParts[i], f.Crashes,
		f.Age.Round(time.Millisecond), strings.Join(f.Servers, " "), strings.Join(f.Daemons, " "))
	if c.ran > 0 {
		return &refusal{status: http.StatusBadGateway, reason: "crashes_servers"}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "crashes_servers", retryAfter: convictionDuration}
}

// runsTrials returns whether this daemon is the one that may send trials of a part: the same one at
// all daemons that know of each other.
func (g *Gateway) runsTrials(part quarantine.Part) bool {
	weight := func(front string) uint64 { return xxhash.Sum64String(front + formatPart(part)) }
	own := weight(g.settings.Front)
	return !slices.ContainsFunc(g.members(g.view.Load()), func(m relay.Member) bool { return weight(m.Name) > own })
}

// trialDue returns whether a request with a convicted part may be sent as a trial.
func (c *crashTracker) trialDue(now time.Time, part quarantine.Part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.TrialDue(now, part)
}

// convictedPart returns the index of the first of parts that is convicted and the finding on it, -1
// if there is none.
func (c *crashTracker) convictedPart(now time.Time, parts []quarantine.Part) (int, quarantine.PartFinding) {
	if len(parts) == 0 {
		return -1, quarantine.PartFinding{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, part := range parts {
		if f, ok := c.parts.Verdict(now, part); ok {
			return i, f
		}
	}
	return -1, quarantine.PartFinding{}
}

// recordAnswer records that a server began to answer a request to a model at a time and did not
// crash. daemons is the number of daemons that callers use.
func (c *crashTracker) recordAnswer(at time.Time, model string, parts []quarantine.Part, daemons int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.Daemons = daemons
	c.parts.RecordAnswer(time.Now(), at, model, parts)
}

// beginTrial records that c is sent, right before it is, if it is a trial of convicted parts. Of the
// requests that are admitted as trials of a part, only the first may be sent; the refusal is for others.
func (g *Gateway) beginTrial(c *call) *refusal {
	if !c.trial {
		return nil
	}
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	now := time.Now()
	for i, part := range c.parts {
		if f, convicted := g.crashes.parts.Verdict(now, part); convicted && !g.crashes.parts.BeginTrial(now, part) {
			return g.partRefusal(c, i, f)
		}
	}
	return nil
}

// suspectParts returns the parts of the requests of attempts that their server had not begun to
// answer: of each request those first with which none was ever answered.
func (c *crashTracker) suspectParts(attempts []*attempt) []quarantine.PartSuspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var (
		out  []quarantine.PartSuspect
		seen = make(map[quarantine.Part]int)
	)
	for _, a := range attempts {
		parts := a.parts
		if len(parts) > maxSuspectParts {
			parts = slices.Clone(parts)
			slices.SortStableFunc(parts, func(a, b quarantine.Part) int {
				return boolToInt(c.parts.Answered(a)) - boolToInt(c.parts.Answered(b))
			})
			parts = parts[:maxSuspectParts]
		}
		for _, part := range parts {
			i, ok := seen[part]
			if !ok {
				i, seen[part], out = len(out), len(out), append(out, quarantine.PartSuspect{Part: part})
			}
			out[i].Requests = append(out[i].Requests, a.fingerprint)
		}
	}
	return out
}

// partChanges returns the parts that were convicted and cleared since the last call, and clears the
// other requests of the crashes that convicted parts explain.
func (c *crashTracker) partChanges(now time.Time) (convicted []quarantine.PartFinding, cleared []quarantine.Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusedParts == nil {
		c.refusedParts = make(map[quarantine.Part]bool)
	}
	inForce := make(map[quarantine.Part]bool)
	for _, f := range c.parts.Findings(now, maxRefusedParts) {
		inForce[f.Part] = true
		if !c.refusedParts[f.Part] {
			convicted = append(convicted, f)
		}
	}
	for part := range c.refusedParts {
		if !inForce[part] {
			cleared = append(cleared, part)
		}
	}
	c.refusedParts = inForce
	if len(inForce) > 0 {
		for episode, culprits := range c.parts.Explained() {
			c.register.Explain(episode, culprits)
		}
	}
	return convicted, cleared
}

// applyPartFindings applies findings of a heartbeat, and returns those that are new.
func (c *crashTracker) applyPartFindings(now time.Time, findings []quarantine.PartFinding) []quarantine.PartFinding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(findings), func(f quarantine.PartFinding) bool { return !c.parts.ApplyFinding(now, f) })
}

// partFindings returns the findings on parts for a heartbeat.
func (c *crashTracker) partFindings(now time.Time) []quarantine.PartFinding {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.settledFindings(now)
	c.reportedParts = make(map[quarantine.Part]bool)
	for _, f := range found {
		c.reportedParts[f.Part] = true
	}
	return found
}

// partAnswers returns when requests with suspect parts were last answered, for statuses.
func (c *crashTracker) partAnswers(now time.Time) []quarantine.PartAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Answers(now)
}

// applyPartAnswers applies the answers that another daemon reports.
func (c *crashTracker) applyPartAnswers(now time.Time, answers []quarantine.PartAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range answers {
		c.parts.Acquit(now, now.Add(-max(a.Age, 0)), a.Part)
	}
}

// recordPartChanges logs the parts that were convicted or cleared, and cancels the attempts with
// convicted parts that no server has begun to answer.
func (g *Gateway) recordPartChanges() {
	now := time.Now()
	convicted, cleared := g.crashes.partChanges(now)
	for _, f := range convicted {
		cancelled := g.tracker.cancelPart(f.Part)
		g.metrics.events.Add("parts_convicted", 1)
		g.logger.Warn().Str("event", "part_convicted").Str("part", formatPart(f.Part)).Int("crashes", f.Crashes).Strs("servers", f.Servers).
			Strs("daemons", f.Daemons).Dur("age", f.Age).Int("late", f.Late).Int("cancelled", cancelled).
			Msg("part of prompts crashes servers; requests with it are refused from now on")
	}
	for _, part := range cleared {
		g.metrics.events.Add("parts_cleared", 1)
		g.logger.Info().Str("event", "part_cleared").Str("part", formatPart(part)).Msg("part of prompts is no longer refused")
	}
	if g.crashes.findingsDue(now) {
		// The findings must survive the end of this process.
		wake(g.heartbeatNow)
	}
}

// formatPart formats a part for log lines.
func formatPart(p quarantine.Part) string { return formatFingerprint(quarantine.Fingerprint(p)) }

// findingsDue returns whether there are findings on parts that heartbeats have not reported yet.
func (c *crashTracker) findingsDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.settledFindings(now), func(f quarantine.PartFinding) bool { return !c.reportedParts[f.Part] })
}

// settledFindings returns the findings on parts that other daemons can no longer refute with an
// answer that this one has not heard of. The caller holds the lock.
func (c *crashTracker) settledFindings(now time.Time) []quarantine.PartFinding {
	return slices.DeleteFunc(c.parts.Findings(now, maxPartFindings), func(f quarantine.PartFinding) bool { return f.Age < findingDelay })
}

// cancelPart cancels the attempts with a part that their servers have not begun to answer, and
// returns their number.
func (b *attemptTracker) cancelPart(part quarantine.Part) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, target := range b.targets {
		for a := range target.attempts {
			if !a.started && a.cancel != nil && slices.Contains(a.parts, part) {
				a.cancel(errConvictedPart)
				n++
			}
		}
	}
	return n
}

// learnPartFindings applies the findings on parts in a heartbeat.
func (g *Gateway) learnPartFindings(h heartbeat, age time.Duration) {
	findings := slices.Clone(h.PartFindings)
	for i := range findings {
		findings[i].Age += age
	}
	learned := g.crashes.applyPartFindings(time.Now(), findings)
	for _, f := range learned {
		g.metrics.events.Add("findings_learned", 1)
		g.logger.Info().Str("event", "finding_learned").Str("part", formatPart(f.Part)).Int("crashes", f.Crashes).
			Strs("servers", f.Servers).Strs("daemons", f.Daemons).Dur("age", f.Age).Str("from", h.Daemon).
			Msg("heartbeat reports a part of prompts that crashes servers")
	}
	if len(learned) > 0 {
		g.recordPartChanges()
	}
}
