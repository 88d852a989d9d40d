// Package quarantine decides which requests crash backend servers. A request is
// known by a fingerprint per organisation. A crash puts the requests that the
// server was running under suspicion; a request is convicted when two servers
// crashed under it and it was the only one that both had in common. While under
// suspicion a request runs apart from other suspects, so that the second crash
// tells them from each other.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Fingerprint identifies what an organisation asked for, whatever its request
// id or idempotency key.
type Fingerprint uint64

// Of returns the fingerprint of a request.
func Of(organisation, deployment string, content []byte) Fingerprint {
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
// Generation name the crash, so that reports of several daemons merge.
type Crash struct {
	Daemon   string        `cbor:"daemon"   json:"daemon"`
	Server   string        `cbor:"server"   json:"server"`
	Episode  string        `cbor:"episode"  json:"episode"`
	Suspects []Fingerprint `cbor:"suspects" json:"suspects"`
	// Resent is the request that was sent to Server after another server had crashed
	// under it, so that these crashes did not come together.
	Resent Fingerprint `cbor:"resent,omitempty" json:"resent,omitempty"`
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

// Apart is the time within which crashes count as one: servers that crash together
// have a cause of their own. A suspect is not run again before it has passed.
const Apart = 250 * time.Millisecond

// maxEpisodes bounds the crashes that a Register keeps the suspects of.
const maxEpisodes = 256

// maxSuspects bounds the fingerprints that a Register keeps.
const maxSuspects = 4096

// A Register holds what is known of crashing requests. The zero Register is
// empty; For is how long a finding lasts.
type Register struct {
	For time.Duration

	strikes  map[Fingerprint][]strike
	order    []Fingerprint
	episodes map[string][]Fingerprint
	recent   []string
}

// A strike is one crash under a fingerprint.
type strike struct {
	episode string
	alone   bool
	at      time.Time
}

// Add takes a crash report at now and returns whether it was news.
func (r *Register) Add(now time.Time, c Crash) bool {
	if r.strikes == nil {
		r.strikes = make(map[Fingerprint][]strike)
		r.episodes = make(map[string][]Fingerprint)
	}
	r.merge(c)
	news := false
	under := 0
	for _, f := range c.Suspects {
		if r.Verdict(now, f) != Clear {
			under++
		}
	}
	for _, f := range c.Suspects {
		known := slices.ContainsFunc(r.strikes[f], func(s strike) bool {
			return s.episode == c.Episode || f != c.Resent && now.Sub(s.at) < Apart
		})
		if known {
			continue
		}
		news = true
		alone := len(c.Suspects) == 1 || under == 1 && r.Verdict(now, f) != Clear
		r.add(f, strike{episode: c.Episode, alone: alone, at: now})
	}
	return news
}

// Acquit clears a request that ran to its end without crashing its server. One that
// was convicted meanwhile by servers that crashed for reasons of their own is innocent
// as well.
func (r *Register) Acquit(f Fingerprint) { delete(r.strikes, f) }

// Rank returns the place of f among all suspects of its last crash, of all daemons.
// Suspects run one after the other in this order, so that a second crash tells
// them from each other.
func (r *Register) Rank(f Fingerprint) int {
	strikes := r.strikes[f]
	if len(strikes) == 0 {
		return 0
	}
	return max(slices.Index(r.episodes[strikes[len(strikes)-1].episode], f), 0)
}

// Verdict returns what is known of f at now.
func (r *Register) Verdict(now time.Time, f Fingerprint) Verdict {
	recent, alone := 0, false
	for _, s := range r.strikes[f] {
		if now.Sub(s.at) < r.For {
			recent++
			alone = s.alone
		}
	}
	switch {
	case recent == 0:
		return Clear
	case recent >= 2 && alone:
		return Convicted
	}
	return Suspect
}

// Until returns when the finding about f ends.
func (r *Register) Until(f Fingerprint) time.Time {
	s := r.strikes[f]
	if len(s) == 0 {
		return time.Time{}
	}
	return s[len(s)-1].at.Add(r.For)
}

// merge adds the suspects of c to those that other daemons reported of the same
// crash, and forgets the oldest crashes beyond the bound.
func (r *Register) merge(c Crash) {
	known, ok := r.episodes[c.Episode]
	if !ok {
		r.recent = append(r.recent, c.Episode)
	}
	known = append(known, c.Suspects...)
	slices.Sort(known)
	r.episodes[c.Episode] = slices.Compact(known)
	for len(r.recent) > maxEpisodes {
		delete(r.episodes, r.recent[0])
		r.recent = r.recent[1:]
	}
}

// add adds a strike and forgets the oldest fingerprints beyond the bound.
func (r *Register) add(f Fingerprint, s strike) {
	if _, ok := r.strikes[f]; !ok {
		r.order = append(r.order, f)
	}
	r.strikes[f] = append(r.strikes[f], s)
	for len(r.order) > maxSuspects {
		delete(r.strikes, r.order[0])
		r.order = r.order[1:]
	}
}
