package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A Part identifies a part that the prompts of several requests to one model share.
type Part uint64

// PartOf returns the identity of the part with the given id in the prompts of a model.
func PartOf(model, id string) Part { return Part(hash([]byte(id), model)) }

// A PartSuspect is a part with the requests that had it in their prompts and that a server had not
// begun to answer when it crashed.
type PartSuspect struct {
	_        struct{} `cbor:",toarray"`
	Part     Part
	Requests []Fingerprint
}

// A PartAnswer is a part with the age of the last answer to a request that has it.
type PartAnswer struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	Age  time.Duration
}

// A PartFinding is a part that crashes servers, with the evidence for it.
type PartFinding struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	// Crashes is the number of servers that crashed one after the other under requests with the
	// part, Age the time since the last crash.
	Crashes int
	Age     time.Duration
	// Late is the number of crashes that came so long after the one before that they were probably
	// trials.
	Late int
	// Servers are the last servers that crashed, Daemons those that reported the crashes.
	Servers []string
	Daemons []string
}

const (
	// recentCrashes is the time within which answers to requests with suspect parts are reported to
	// other daemons, and maxPartAnswers bounds these reports.
	recentCrashes  = 10 * time.Second
	maxPartAnswers = 64
	// maxPartEpisodes bounds the crashes that a Parts keeps.
	maxPartEpisodes = 512
	// maxAnsweredParts bounds the answered parts in each of two generations, and maxModelAnswers the
	// times of answers that are kept for each model.
	maxAnsweredParts = 4096
	maxModelAnswers  = 512
	// maxEvidence bounds the servers and daemons that a finding names.
	maxEvidence = 4
)

// Parts decides which shared parts of prompts crash the servers that begin to answer requests with
// them. A part is convicted when several servers crashed one after the other under different
// requests that have it, and no request with it was answered since the first of these crashes.
// Crashes that a convicted part explains are no evidence against other parts. The zero value is
// empty.
type Parts struct {
	// Daemons is the number of daemons that have about as many requests each as this one, at least
	// one.
	Daemons int

	crashes map[string]*partCrash
	// order holds the episodes of crashes, oldest first.
	order []string
	// unanswered holds, by part, the crashes since the last answer to a request with it.
	unanswered map[Part][]*partCrash
	// answered and answeredEarlier hold when a request with a part was last answered.
	answered, answeredEarlier map[Part]time.Time
	// modelAnswers holds, by model, when the last requests were answered, oldest first.
	modelAnswers map[string][]time.Time
	// reported are findings of other daemons.
	reported  map[Part]conviction
	convicted map[Part]conviction
	// trials are the trials of convicted parts at this daemon.
	trials map[Part]trial
	// cleared holds when convicted parts were last answered, for reports to other daemons.
	cleared map[Part]time.Time
	// nextVerdict is when the verdicts may change without another report; zero if never.
	nextVerdict time.Time
}

// A partCrash is one crash of a server, as all daemons reported it.
type partCrash struct {
	episode string
	server  string
	model   string
	at      time.Time
	daemons []string
	parts   map[Part]map[Fingerprint]bool
	// requests are all that have one of the parts.
	requests map[Fingerprint]bool
}

// Add records the crash c at now and returns whether it changed the register.
func (p *Parts) Add(now time.Time, c Crash) bool {
	if len(c.Parts) == 0 {
		return false
	}
	crash, at := p.crash(c.Episode), now.Add(-c.Age)
	if crash.at.IsZero() || at.Before(crash.at) {
		crash.at = at
	}
	crash.model, crash.server = cmp.Or(c.Model, crash.model), cmp.Or(c.Server, crash.server)
	crash.daemons = appendNew(crash.daemons, c.Reporters)
	changed := false
	for _, s := range c.Parts {
		changed = p.addSuspect(crash, s) || changed
	}
	p.evict()
	if changed {
		p.judge(now)
	}
	return changed
}

// crash returns the crash with the given episode and creates it if there is none.
func (p *Parts) crash(episode string) *partCrash {
	if p.crashes == nil {
		p.crashes, p.unanswered = make(map[string]*partCrash), make(map[Part][]*partCrash)
	}
	c, ok := p.crashes[episode]
	if !ok {
		c = &partCrash{episode: episode, parts: make(map[Part]map[Fingerprint]bool), requests: make(map[Fingerprint]bool)}
		p.crashes[episode], p.order = c, append(p.order, episode)
	}
	return c
}

// addSuspect records the requests of s as lost in a crash, and returns whether that is new.
func (p *Parts) addSuspect(crash *partCrash, s PartSuspect) bool {
	requests := crash.parts[s.Part]
	if requests == nil {
		requests = make(map[Fingerprint]bool)
		crash.parts[s.Part] = requests
	}
	known := len(requests)
	for _, f := range s.Requests {
		requests[f], crash.requests[f] = true, true
	}
	if known == 0 && crash.at.After(p.answeredAt(s.Part)) {
		p.unanswered[s.Part] = append(p.unanswered[s.Part], crash)
	}
	return len(requests) > known
}

// evict drops the oldest crashes beyond maxPartEpisodes. What they convicted stays convicted.
func (p *Parts) evict() {
	for len(p.order) > maxPartEpisodes {
		oldest := p.crashes[p.order[0]]
		for part := range oldest.parts {
			if c, ok := p.convicted[part]; ok {
				p.report(part, c)
			}
			p.keepUnanswered(part, func(c *partCrash) bool { return c != oldest })
		}
		delete(p.crashes, p.order[0])
		p.order = p.order[1:]
	}
}

// keepUnanswered keeps the crashes under a part that keep returns true for.
func (p *Parts) keepUnanswered(part Part, keep func(*partCrash) bool) {
	kept := slices.DeleteFunc(p.unanswered[part], func(c *partCrash) bool { return !keep(c) })
	if p.unanswered[part] = kept; len(kept) == 0 {
		delete(p.unanswered, part)
	}
}

// report keeps c as the finding on a part.
func (p *Parts) report(part Part, c conviction) {
	if p.reported == nil {
		p.reported = make(map[Part]conviction)
	}
	if known, ok := p.reported[part]; !ok || c.last.After(known.last) {
		p.reported[part] = c
	}
}

// RecordAnswer records that a server began to answer a request to a model at the given time and did
// not crash.
func (p *Parts) RecordAnswer(now, at time.Time, model string, parts []Part) {
	if p.modelAnswers == nil {
		p.modelAnswers = make(map[string][]time.Time)
	}
	answers := append(p.modelAnswers[model], at)
	p.modelAnswers[model] = answers[max(0, len(answers)-maxModelAnswers):]
	for _, part := range parts {
		p.Acquit(now, at, part)
	}
}

// answersSince returns the number of answers of a model that began later than t, up to
// maxModelAnswers.
func (p *Parts) answersSince(model string, t time.Time) int {
	n := 0
	for _, at := range p.modelAnswers[model] {
		if at.After(t) {
			n++
		}
	}
	return n
}

// Acquit records that a server began to answer a request with a part at the given time and did not
// crash.
func (p *Parts) Acquit(now, at time.Time, part Part) {
	if !at.After(p.answeredAt(part)) {
		return
	}
	if p.answered == nil || len(p.answered) >= maxAnsweredParts {
		p.answered, p.answeredEarlier = make(map[Part]time.Time), p.answered
	}
	p.answered[part] = at
	if len(p.unanswered[part]) > 0 {
		p.keepUnanswered(part, func(c *partCrash) bool { return c.at.After(at) })
	}
	if c, ok := p.reported[part]; ok && !c.last.After(at) {
		delete(p.reported, part)
	}
	if _, ok := p.convicted[part]; ok {
		p.cleared = keepRecent(p.cleared, now)
		p.cleared[part] = at
		delete(p.trials, part)
		p.judge(now)
	}
}

// keepRecent returns the entries of times that are recent at now.
func keepRecent(times map[Part]time.Time, now time.Time) map[Part]time.Time {
	if times == nil {
		return make(map[Part]time.Time)
	}
	maps.DeleteFunc(times, func(_ Part, at time.Time) bool { return now.Sub(at) > recentCrashes })
	return times
}

// answeredAt returns when a request with a part was last answered; zero if that is not known.
func (p *Parts) answeredAt(part Part) time.Time {
	if at, ok := p.answered[part]; ok {
		return at
	}
	return p.answeredEarlier[part]
}

// Answered returns whether a request with a part is known to have been answered.
func (p *Parts) Answered(part Part) bool { return !p.answeredAt(part).IsZero() }

// Verdict returns whether requests with a part are refused at now, and the evidence.
func (p *Parts) Verdict(now time.Time, part Part) (PartFinding, bool) {
	if !p.nextVerdict.IsZero() && !now.Before(p.nextVerdict) {
		p.judge(now)
	}
	c, ok := p.convicted[part]
	if !ok || now.Sub(c.last) >= convictionTTL {
		return PartFinding{}, false
	}
	return c.finding(now, part), true
}

// Suspicious returns whether a server crashed under another request than f with a part that no request
// was ever answered with.
func (p *Parts) Suspicious(part Part, f Fingerprint) bool {
	return !p.Answered(part) && slices.ContainsFunc(p.unanswered[part], func(c *partCrash) bool { return !c.parts[part][f] })
}

// Findings returns at most limit parts that are refused at now, the latest crash first.
func (p *Parts) Findings(now time.Time, limit int) []PartFinding {
	var out []PartFinding
	for part := range p.convicted {
		if f, ok := p.Verdict(now, part); ok {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b PartFinding) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	return out[:min(len(out), limit)]
}

// ApplyFinding records a finding of another daemon at now, and returns whether requests with the
// part are refused only from now on. A daemon that knows as many crashes as the finding judges by
// these.
func (p *Parts) ApplyFinding(now time.Time, f PartFinding) bool {
	last := now.Add(-max(f.Age, 0))
	own := p.evidence(f.Part, nil)
	if f.Age >= convictionTTL || !last.After(p.answeredAt(f.Part)) || f.Crashes <= own.crashes && !last.After(own.last.Add(reportSkew)) {
		return false
	}
	_, known := p.Verdict(now, f.Part)
	p.report(f.Part, conviction{crashes: f.Crashes, last: last, late: f.Late, servers: f.Servers, daemons: f.Daemons})
	p.judge(now)
	return !known
}

// Answers returns when requests with the suspect parts of recent crashes were last answered, for
// other daemons that may not have seen an answer. Parts of a single crash are left out.
func (p *Parts) Answers(now time.Time) []PartAnswer {
	crashes := make(map[Part]int)
	for _, episode := range slices.Backward(p.order) {
		c := p.crashes[episode]
		if now.Sub(c.at) > recentCrashes {
			continue
		}
		for part := range c.parts {
			crashes[part]++
		}
	}
	var out []PartAnswer
	for part := range keepRecent(p.cleared, now) {
		crashes[part] = 2
	}
	for part, n := range crashes {
		if answered := p.answeredAt(part); n > 1 && !answered.IsZero() {
			out = append(out, PartAnswer{Part: part, Age: now.Sub(answered)})
		}
	}
	slices.SortFunc(out, func(a, b PartAnswer) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	return out[:min(len(out), maxPartAnswers)]
}

// Explained returns the crashes that the convicted parts explain, with the requests that have one of
// these parts.
func (p *Parts) Explained() map[string]map[Fingerprint]bool {
	out := make(map[string]map[Fingerprint]bool)
	for part := range p.convicted {
		for _, c := range p.unanswered[part] {
			if out[c.episode] == nil {
				out[c.episode] = make(map[Fingerprint]bool)
			}
			maps.Copy(out[c.episode], c.parts[part])
		}
	}
	return out
}
