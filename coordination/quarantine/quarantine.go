// Package quarantine decides which requests crash backend servers. Requests are identified by a
// fingerprint per organisation. A crash makes the requests that the server was running suspects.
// A request is convicted when two servers crashed under it and it was the only suspect that both
// crashes have in common, or when three servers crashed under it. Suspects run apart from each
// other, so that a second crash shows which of them caused it. A conviction expires, and the
// request may then run again; after a few more crashes it is refused for a day.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Fingerprint identifies the content of an organisation's request, independent of its request
// id and idempotency key.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(organisation, deployment string, content []byte) Fingerprint {
	return Fingerprint(hash(content, organisation, deployment))
}

// hash returns a hash of content within the given scopes.
func hash(content []byte, scopes ...string) uint64 {
	h := xxhash.New()
	for _, scope := range scopes {
		// A Digest never returns an error.
		_, _ = h.WriteString(scope)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(content)
	return h.Sum64()
}

// A Crash is one crash of a backend server as one daemon observed it, with the fingerprints of
// that daemon's own requests that the server was running. Server and Episode identify the crash,
// so that the reports of several daemons can be merged.
type Crash struct {
	Daemon   string        `cbor:"daemon,omitempty" json:"daemon"`
	Server   string        `cbor:"server,omitempty" json:"server"`
	Episode  string        `cbor:"episode"          json:"episode"`
	Suspects []Fingerprint `cbor:"suspects"         json:"suspects"`
	// Weak are requests under which the server may not have crashed: they had received part of
	// their answer, or are only known to be lost. They count towards conviction by three crashes,
	// but not by two.
	Weak []Fingerprint `cbor:"weak,omitempty" json:"weak,omitempty"`
	// Resent is the request that was sent to Server after another server had crashed under it, so
	// that the two crashes are not one incident.
	Resent Fingerprint `cbor:"resent,omitempty" json:"resent,omitempty"`
	// Model is the model that the server served, and Parts are the shared parts in the prompts of
	// the requests that it had not begun to answer.
	Model string        `cbor:"model,omitempty" json:"model,omitempty"`
	Parts []PartSuspect `cbor:"parts,omitempty" json:"parts,omitempty"`
	// Reporters are daemons that saw the crash.
	Reporters []string `cbor:"reporters,omitempty" json:"reporters,omitempty"`
	// Age is the time since the crash was observed, for daemons that receive the report later.
	Age time.Duration `cbor:"age,omitempty" json:"age,omitempty"`
}

// A Finding is what a daemon reports to others about a request under which servers crashed.
type Finding struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Crashes is the number of servers that crashed under it, Age the time since the last crash.
	Crashes   int
	Age       time.Duration
	Convicted bool
}

// A Verdict is the state of a fingerprint in a Register.
type Verdict int

// The verdicts.
const (
	// Clear requests run like any other.
	Clear Verdict = iota
	// Suspect requests run apart from other suspects.
	Suspect
	// Convicted requests are refused.
	Convicted
)

const (
	// IncidentWindow is the time within which crashes count as one incident: servers that crash
	// together have a common cause other than the request. A suspect is not run again before it
	// has passed.
	IncidentWindow = 250 * time.Millisecond
	// convictingCrashes is the number of crashes that convicts a request whatever else the
	// servers ran.
	convictingCrashes = 3
	// longRefusalCrashes is the number of crashes from which a request is refused for
	// convictionTTL.
	longRefusalCrashes = 5
	// reportSkew is the greatest difference between the times at which two daemons record one
	// crash: the interval of a probe and the delay of the report through hubs.
	reportSkew = time.Second
	// suspicionTTL is how long a crash counts that has not led to a conviction, and convictionTTL
	// the longest refusal.
	suspicionTTL  = time.Hour
	convictionTTL = 24 * time.Hour
	// maxEpisodes bounds the crashes whose suspects a Register keeps.
	maxEpisodes = 1024
	// maxSuspects bounds the fingerprints that a Register keeps.
	maxSuspects = 4096
	// evictionDivisor is the inverse of the share of fingerprints that is evicted beyond
	// maxSuspects.
	evictionDivisor = 4
)

// A Register records the requests under which servers crashed. The zero Register is empty;
// QuarantineFor is how long a suspicion and the first convictions of a request last.
type Register struct {
	QuarantineFor time.Duration

	histories    map[Fingerprint]*history
	episodes     map[string][]Fingerprint
	episodeOrder []string
	// explained holds the episodes that have a known cause, with the requests that have it.
	explained map[string]map[Fingerprint]bool
}

// A history is the record of one fingerprint.
type history struct {
	observations []observation
	// reportedCrashes is the number of crashes that other daemons reported, the last of which was
	// at reportedAt; convicted means that one of them had convicted the request.
	reportedCrashes int
	reportedAt      time.Time
	convicted       bool
}

// An observation is one crash under a fingerprint. A history keeps them in order of time.
type observation struct {
	episode string
	at      time.Time
	weak    bool
	resent  bool
}

// Add records a crash report at now and returns whether it changed the register.
func (r *Register) Add(now time.Time, c Crash) bool {
	r.mergeSuspects(c)
	changed, at := false, now.Add(-c.Age)
	for _, f := range c.Suspects {
		changed = r.add(f, observation{episode: c.Episode, at: at, resent: f == c.Resent}) || changed
	}
	for _, f := range c.Weak {
		changed = r.add(f, observation{episode: c.Episode, at: at, weak: true}) || changed
	}
	r.evict()
	return changed
}

// ApplyFinding records a finding of another daemon at now, and returns whether it changed the
// register.
func (r *Register) ApplyFinding(now time.Time, finding Finding) bool {
	if finding.Crashes <= 0 {
		return false
	}
	h := r.history(finding.Fingerprint)
	changed := finding.Crashes > h.crashes() || finding.Convicted && r.Verdict(now, finding.Fingerprint) != Convicted
	if !changed {
		return false
	}
	h.reportedCrashes, h.convicted = max(h.reportedCrashes, finding.Crashes), h.convicted || finding.Convicted
	if at := now.Add(-min(max(finding.Age, 0), convictionTTL)); at.After(h.reportedAt) {
		h.reportedAt = at
	}
	r.evict()
	return true
}

// Findings returns at most limit findings that are in force at now: convicted requests first,
// then by the number of crashes, then the latest.
func (r *Register) Findings(now time.Time, limit int) []Finding {
	var out []Finding
	for f, h := range r.histories {
		if verdict := r.Verdict(now, f); verdict != Clear {
			out = append(out, Finding{Fingerprint: f, Crashes: h.crashes(), Age: now.Sub(h.last()), Convicted: verdict == Convicted})
		}
	}
	slices.SortFunc(out, func(a, b Finding) int {
		if a.Convicted != b.Convicted {
			return cmp.Compare(boolToInt(b.Convicted), boolToInt(a.Convicted))
		}
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), limit)]
}

// Explain attributes a crash to the given requests, so that it is no evidence against others.
func (r *Register) Explain(episode string, culprits map[Fingerprint]bool) {
	if _, ok := r.episodes[episode]; !ok || maps.Equal(r.explained[episode], culprits) {
		return
	}
	if r.explained == nil {
		r.explained = make(map[string]map[Fingerprint]bool)
	}
	r.explained[episode] = culprits
	for f, h := range r.histories {
		if !culprits[f] {
			h.observations = slices.DeleteFunc(h.observations, func(o observation) bool { return o.episode == episode })
		}
		if len(h.observations) == 0 && h.reportedCrashes == 0 {
			delete(r.histories, f)
		}
	}
}

// boolToInt returns 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Acquit clears a request that completed without crashing its server. That also holds for a
// request that was convicted meanwhile because servers crashed for other reasons.
func (r *Register) Acquit(f Fingerprint) { delete(r.histories, f) }

// Rank returns the position of f among the suspects of its last crash, over all daemons. Suspects
// run one after the other in this order, so that a second crash shows which of them caused it.
func (r *Register) Rank(f Fingerprint) int {
	h := r.histories[f]
	if h == nil || len(h.observations) == 0 {
		return 0
	}
	return max(slices.Index(r.episodes[h.observations[len(h.observations)-1].episode], f), 0)
}

// Verdict returns the verdict on f at now.
func (r *Register) Verdict(now time.Time, f Fingerprint) Verdict {
	h := r.histories[f]
	if h == nil {
		return Clear
	}
	since := now.Sub(h.last())
	switch {
	case r.convicts(f, h) && since < r.refusalPeriod(h.crashes()):
		return Convicted
	case since < r.QuarantineFor:
		return Suspect
	}
	return Clear
}

// MayRetry returns whether a daemon may send f once more, given the number of servers that did
// not answer it and are not known to have ended.
func (r *Register) MayRetry(now time.Time, f Fingerprint, unanswered int) bool {
	verdict := r.Verdict(now, f)
	return verdict == Clear || verdict == Suspect && r.Crashes(f)+unanswered < convictingCrashes
}

// Crashes returns the number of servers that are known to have crashed under f.
func (r *Register) Crashes(f Fingerprint) int {
	h := r.histories[f]
	if h == nil {
		return 0
	}
	return h.crashes()
}

// ExpiresAt returns when the verdict on f expires.
func (r *Register) ExpiresAt(f Fingerprint) time.Time {
	h := r.histories[f]
	switch {
	case h == nil:
		return time.Time{}
	case r.convicts(f, h):
		return h.last().Add(r.refusalPeriod(h.crashes()))
	}
	return h.last().Add(r.QuarantineFor)
}

// refusalPeriod returns how long a request with this number of crashes is refused.
func (r *Register) refusalPeriod(crashes int) time.Duration {
	if crashes >= longRefusalCrashes {
		return convictionTTL
	}
	return r.QuarantineFor
}

// crashes returns the number of servers that crashed under the request. Observations within
// reportSkew of the last reported crash are taken to be included in the report.
func (h *history) crashes() int {
	unreported := 0
	for _, s := range h.observations {
		if s.at.Sub(h.reportedAt) > reportSkew {
			unreported++
		}
	}
	return max(len(h.observations), h.reportedCrashes+unreported)
}

// last returns the time of the last crash.
func (h *history) last() time.Time {
	last := h.reportedAt
	for _, s := range h.observations {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// convicts returns whether h attributes the crashes to f itself.
func (r *Register) convicts(f Fingerprint, h *history) bool {
	if h.convicted || h.crashes() >= convictingCrashes {
		return true
	}
	for i, later := range h.observations {
		for _, earlier := range h.observations[:i] {
			together := later.at.Sub(earlier.at) < IncidentWindow && !later.resent
			if !together && !later.weak && !earlier.weak && r.soleCommonSuspect(f, earlier.episode, later.episode) {
				return true
			}
		}
	}
	return false
}

// soleCommonSuspect returns whether f is the only suspect that two crashes have in common.
func (r *Register) soleCommonSuspect(f Fingerprint, earlier, later string) bool {
	return !slices.ContainsFunc(r.episodes[later], func(other Fingerprint) bool {
		return other != f && r.histories[other] != nil && slices.Contains(r.episodes[earlier], other)
	})
}

// history returns the history of f and creates it if there is none.
func (r *Register) history(f Fingerprint) *history {
	if r.histories == nil {
		r.histories = make(map[Fingerprint]*history)
	}
	if r.histories[f] == nil {
		r.histories[f] = &history{}
	}
	return r.histories[f]
}

// add records an observation of f and returns whether it changed the history. A strong one
// replaces a weak one of the same crash.
func (r *Register) add(f Fingerprint, s observation) bool {
	if culprits, ok := r.explained[s.episode]; ok && !culprits[f] {
		return false
	}
	h := r.history(f)
	if i := slices.IndexFunc(h.observations, func(o observation) bool { return o.episode == s.episode }); i >= 0 {
		if s.weak || !h.observations[i].weak {
			return false
		}
		h.observations[i].weak, h.observations[i].resent = false, s.resent
		return true
	}
	if !r.convicts(f, h) {
		h.observations = slices.DeleteFunc(h.observations, func(old observation) bool { return s.at.Sub(old.at) > suspicionTTL })
	}
	h.observations = append(h.observations, s)
	slices.SortStableFunc(h.observations, func(a, b observation) int { return a.at.Compare(b.at) })
	return true
}

// mergeSuspects adds the suspects of c to those that other daemons reported for the same crash,
// and drops the oldest crashes beyond maxEpisodes.
func (r *Register) mergeSuspects(c Crash) {
	if r.episodes == nil {
		r.episodes = make(map[string][]Fingerprint)
	}
	suspects, ok := r.episodes[c.Episode]
	if !ok {
		r.episodeOrder = append(r.episodeOrder, c.Episode)
	}
	suspects = append(suspects, c.Suspects...)
	slices.Sort(suspects)
	r.episodes[c.Episode] = slices.Compact(suspects)
	for len(r.episodeOrder) > maxEpisodes {
		delete(r.episodes, r.episodeOrder[0])
		delete(r.explained, r.episodeOrder[0])
		r.episodeOrder = r.episodeOrder[1:]
	}
}

// evict removes fingerprints beyond maxSuspects: those with the fewest crashes first, then the
// oldest.
func (r *Register) evict() {
	if len(r.histories) <= maxSuspects {
		return
	}
	type ranked struct {
		fingerprint Fingerprint
		crashes     int
		last        time.Time
	}
	all := make([]ranked, 0, len(r.histories))
	for f, h := range r.histories {
		all = append(all, ranked{f, h.crashes(), h.last()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.last.Compare(b.last), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, old := range all[:len(all)/evictionDivisor] {
		delete(r.histories, old.fingerprint)
	}
}
