// Package quarantine decides which requests crash backend servers. A request is
// known by a fingerprint per organisation. A crash puts the requests that the
// server was running under suspicion; a request is convicted when two servers
// crashed under it and it was the only one that both had in common, or when three
// did. While under suspicion a request runs apart from other suspects, so that the
// second crash tells them from each other. After a term it may run once more; a few more
// crashes, and it is refused for a day.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Fingerprint identifies what an organisation asked for, whatever its request
// id or idempotency key.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(organisation, deployment string, content []byte) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{organisation, deployment} {
		// A Digest never returns an error.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(content)
	return Fingerprint(h.Sum64())
}

// A Crash is one crash of a backend server as one daemon saw it: the
// fingerprints of its own requests that the server was running. Server and
// Episode name the crash, so that reports of several daemons merge.
type Crash struct {
	Daemon   string        `cbor:"daemon,omitempty" json:"daemon"`
	Server   string        `cbor:"server,omitempty" json:"server"`
	Episode  string        `cbor:"episode"          json:"episode"`
	Suspects []Fingerprint `cbor:"suspects"         json:"suspects"`
	// Weak are requests that the server may not have crashed under: they had part of their
	// answer, or were known to be lost only. They count towards the third crash, not
	// towards the second.
	Weak []Fingerprint `cbor:"weak,omitempty" json:"weak,omitempty"`
	// Resent is the request that was sent to Server after another server had crashed
	// under it, so that these crashes did not come together.
	Resent Fingerprint `cbor:"resent,omitempty" json:"resent,omitempty"`
	// Age is the time since the crash was seen, for a daemon that is told of it later.
	Age time.Duration `cbor:"age,omitempty" json:"age,omitempty"`
}

// A Finding is what one daemon tells another of a request that servers crashed under.
type Finding struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Crashes is the number of servers that crashed under it, Age the time since the last one.
	Crashes   int
	Age       time.Duration
	Convicted bool
}

// A Verdict is what a Record says about a fingerprint.
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
	// IncidentWindow is the time within which crashes count as one: servers that crash together
	// have a cause of their own. A suspect is not run again before it has passed.
	IncidentWindow = 250 * time.Millisecond
	// convictingCrashes is the crash that convicts a request whatever else the servers ran.
	convictingCrashes = 3
	// longRefusalCrashes is the number of crashes after which a request is refused until it is
	// forgotten.
	longRefusalCrashes = 5
	// reportSkew is how far the times of one crash may be apart that two daemons saw: a look
	// at the server, and the way through hubs.
	reportSkew = time.Second
	// suspicionTTL is how long a finding that convicts nobody counts, and keptFor a conviction.
	suspicionTTL  = time.Hour
	convictionTTL = 24 * time.Hour
	// maxEpisodes bounds the crashes that a Register keeps the suspects of.
	maxEpisodes = 1024
	// maxSuspects bounds the fingerprints that a Register keeps.
	maxSuspects = 4096
	// evictionDivisor is the part of all fingerprints that is forgotten when there are too many.
	evictionDivisor = 4
)

// A Register holds what is known of crashing requests. The zero Register is
// empty; For is how long the first finding about a request lasts.
type Register struct {
	QuarantineFor time.Duration

	histories    map[Fingerprint]*history
	episodes     map[string][]Fingerprint
	episodeOrder []string
}

// A history is what is known of one fingerprint.
type history struct {
	observations []observation
	// reportedCrashes is the number of crashes that other daemons reportedCrashes of, the last of which was at
	// toldAt; convicted means that they had convicted it.
	reportedCrashes int
	reportedAt      time.Time
	convicted       bool
}

// A observation is one crash under a fingerprint. A history has them in order of time.
type observation struct {
	episode string
	at      time.Time
	weak    bool
	resent  bool
}

// Add takes a crash report at now and returns whether it was news.
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

// ApplyFinding takes a finding that another daemon told of at now, and returns whether it was news.
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

// Findings returns what is known of requests at now, of the given number at most: the convicted
// ones first, then those with most crashes, of these the latest.
func (r *Register) Findings(now time.Time, limit int) []Finding {
	var out []Finding
	for f, h := range r.histories {
		if verdict := r.Verdict(now, f); verdict != Clear {
			out = append(out, Finding{Fingerprint: f, Crashes: h.crashes(), Age: now.Sub(h.last()), Convicted: verdict == Convicted})
		}
	}
	slices.SortFunc(out, func(a, b Finding) int {
		if a.Convicted != b.Convicted {
			return cmp.Compare(toInt(b.Convicted), toInt(a.Convicted))
		}
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), limit)]
}

// toInt returns 1 for true.
func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Acquit clears a request that ran to its end without crashing its server. One that
// was convicted meanwhile by servers that crashed for reasons of their own is innocent
// as well.
func (r *Register) Acquit(f Fingerprint) { delete(r.histories, f) }

// Rank returns the place of f among all suspects of its last crash, of all daemons.
// Suspects run one after the other in this order, so that a second crash tells
// them from each other.
func (r *Register) Rank(f Fingerprint) int {
	h := r.histories[f]
	if h == nil || len(h.observations) == 0 {
		return 0
	}
	return max(slices.Index(r.episodes[h.observations[len(h.observations)-1].episode], f), 0)
}

// Verdict returns what is known of f at now.
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

// MayRetry returns whether f may be sent once more by a daemon of whose sends a number of
// servers neither answered nor are known to have ended.
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

// ExpiresAt returns when the finding about f ends.
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

// refusalPeriod returns how long a request is refused under which servers crashed so often.
func (r *Register) refusalPeriod(crashes int) time.Duration {
	if crashes >= longRefusalCrashes {
		return convictionTTL
	}
	return r.QuarantineFor
}

// crashes returns the number of servers that crashed under a request.
func (h *history) crashes() int {
	unreported := 0
	for _, s := range h.observations {
		if s.at.Sub(h.reportedAt) > reportSkew {
			unreported++
		}
	}
	return max(len(h.observations), h.reportedCrashes+unreported)
}

// last returns when the last server crashed.
func (h *history) last() time.Time {
	last := h.reportedAt
	for _, s := range h.observations {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// convicts returns whether the crashes under f are its own.
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

// history returns what is known of f, to be added to.
func (r *Register) history(f Fingerprint) *history {
	if r.histories == nil {
		r.histories = make(map[Fingerprint]*history)
	}
	if r.histories[f] == nil {
		r.histories[f] = &history{}
	}
	return r.histories[f]
}

// add adds a strike of f and returns whether it is news. A strong one takes the place of a
// weak one of the same crash.
func (r *Register) add(f Fingerprint, s observation) bool {
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

// mergeSuspects adds the suspects of c to those that other daemons reported of the same
// crash, and forgets the oldest crashes beyond the bound.
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
		r.episodeOrder = r.episodeOrder[1:]
	}
}

// evict forgets fingerprints when there are too many: the least guilty first, of these the
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
