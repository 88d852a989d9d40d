package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minPartCrashes and minPartRequests are how many crashes, one after the other, and how many of
	// them with another request that they lost, convict a part if no request with it was answered in
	// between; together they must be minPartEvidence. Crashes that lose the same request again count
	// for less, since it takes its bystanders along from server to server.
	minPartCrashes  = 3
	minPartRequests = 2
	minPartEvidence = 6
	// minSimultaneousCrashes is how many crashes under minSimultaneousRequests requests are enough if
	// they follow each other too fast to be told apart.
	minSimultaneousCrashes  = 6
	minSimultaneousRequests = 4
	// maxCoincidences is how many parts without an answer may be expected to have such evidence
	// against them by coincidence, if less than minPartEvidence is to convict one.
	maxCoincidences = 0.01
	// minLost is the least number of requests that a crash is taken to have lost: not all daemons have
	// reported theirs yet.
	minLost = 4
	// resentTogether is the probability that a bystander which is sent again after a crash meets the
	// same request again.
	resentTogether = 0.3
	// answersKnownAfter is how long after the second crash under a part all daemons have reported
	// whether they saw it answered.
	answersKnownAfter = 400 * time.Millisecond
	// knownPartShare and newPartShare are the least share that a part must have in the crashes of
	// its model, so that a series of crashes with other causes convicts no part that some of them
	// have in common.
	knownPartShare = 1.0 / 3
	newPartShare   = 1.0 / 2
	// answerDelay is how long after a crash the answers to other requests with a part may take to
	// become known: a part that was answered before is not convicted earlier, nor before so many
	// other requests were answered that minMissedAnswers with the part were to be expected.
	answerDelay      = 2 * time.Second
	minMissedAnswers = 1.5
	// tieDelay is how long after the last crash a part is not convicted if another part has the same
	// evidence against it: the time until other daemons have reported which of them was answered.
	tieDelay = 500 * time.Millisecond
)

// A conviction is a convicted part with its evidence.
type conviction struct {
	// crashes is the number of crashes one after the other, the last of them at last.
	crashes int
	last    time.Time
	// late is the number of crashes that came later than the trial delay after the one before.
	late    int
	servers []string
	daemons []string
}

// finding returns c in the form that other daemons are sent.
func (c conviction) finding(now time.Time, part Part) PartFinding {
	return PartFinding{Part: part, Crashes: c.crashes, Age: now.Sub(c.last), Late: c.late, Servers: c.servers, Daemons: c.daemons}
}

// judge determines the convicted parts: the part that explains most crashes first, then the one that
// explains most of the others.
func (p *Parts) judge(now time.Time) {
	before := p.convicted
	p.convicted, p.nextVerdict = make(map[Part]conviction), time.Time{}
	explained := make(map[*partCrash]bool)
	for {
		worst, found := p.worstPart(now, before, explained)
		if !found {
			break
		}
		p.convicted[worst.part] = worst.conviction
		for _, c := range p.unanswered[worst.part] {
			explained[c] = true
		}
	}
	for part, c := range p.reported {
		if own, ok := p.convicted[part]; !ok || own.crashes < c.crashes {
			p.convicted[part] = c
		}
	}
}

// A candidate is a part with the evidence that could convict it.
type candidate struct {
	conviction

	part Part
	// answered means that a request with the part was answered before.
	answered bool
	// all are the crashes under the part that are not explained by others, those at the same time
	// included, oldest first.
	all []*partCrash
	// lost is the number of requests with the part that were lost in them, requests the number of
	// crashes, one after the other, that lost one not lost before.
	lost     int
	requests int
}

// compare orders candidates by how well they explain crashes, the best first. Of parts that explain
// as many, one that no request was answered with comes first, then the rarer one: more requests
// that have the other part were at the servers, as bystanders.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.crashes, c.crashes), boolToInt(c.answered)-boolToInt(o.answered), cmp.Compare(c.lost, o.lost))
}

// worstPart returns the part that explains most crashes among those that are not yet explained, and
// whether there is one. Of the parts convicted before, each stays convicted while nothing else explains
// its crashes.
func (p *Parts) worstPart(now time.Time, before map[Part]conviction, explained map[*partCrash]bool) (candidate, bool) {
	var all []candidate
	for part, crashes := range p.unanswered {
		if _, ok := p.convicted[part]; ok || len(crashes) < minPartCrashes {
			continue
		}
		c := p.evidence(part, explained)
		_, convicted := before[part]
		if convicted = convicted && c.crashes >= minPartCrashes; !convicted && !p.sufficient(now, c, explained) {
			continue
		}
		if !convicted && c.answered && !p.missesAnswers(now, c) {
			continue
		}
		all = append(all, c)
	}
	if len(all) == 0 {
		return candidate{}, false
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(a.compare(b), cmp.Compare(a.part, b.part)) })
	worst := all[0]
	tied := slices.ContainsFunc(all[1:], func(c candidate) bool { return c.compare(worst) == 0 && slices.Equal(c.all, worst.all) })
	if settled := worst.last.Add(tieDelay); tied && now.Before(settled) {
		p.judgeAgainAt(settled)
		return candidate{}, false
	}
	return worst, true
}

// missesAnswers returns whether there was time for an answer to a request with the part c that was
// answered before.
func (p *Parts) missesAnswers(now time.Time, c candidate) bool {
	first, lostInAll := c.all[0], 0
	if known := first.at.Add(answerDelay); now.Before(known) {
		p.judgeAgainAt(known)
		return false
	}
	for _, crash := range c.all {
		lostInAll += len(crash.requests)
	}
	answers := float64(p.answersSince(first.model, first.at) * max(p.Daemons, 1))
	if answers*float64(c.lost) < minMissedAnswers*float64(lostInAll) {
		p.judgeAgainAt(now.Add(tieDelay))
		return false
	}
	return true
}

// judgeAgainAt makes the verdicts expire at a time, if they do not expire earlier.
func (p *Parts) judgeAgainAt(at time.Time) {
	if p.nextVerdict.IsZero() || at.Before(p.nextVerdict) {
		p.nextVerdict = at
	}
}

// sufficient returns whether the evidence convicts c.
func (p *Parts) sufficient(now time.Time, c candidate, explained map[*partCrash]bool) bool {
	if len(c.all) < minPartCrashes {
		return false
	}
	share := newPartShare
	if c.answered {
		share = knownPartShare
	}
	inAll := p.modelCrashes(c, explained)
	if float64(len(c.all)) < share*float64(inAll) {
		return false
	}
	apart := c.crashes >= minPartCrashes && c.requests >= minPartRequests && c.crashes+c.requests >= minPartEvidence
	together := len(c.all) >= minSimultaneousCrashes && c.lost >= minSimultaneousRequests
	unlikely := !c.answered && c.lost >= minPartRequests && p.coincidences(now, c, inAll) <= maxCoincidences
	return apart || together || unlikely
}

// evidence returns the evidence against a part from the crashes that are not explained by others.
func (p *Parts) evidence(part Part, explained map[*partCrash]bool) candidate {
	e := candidate{part: part, answered: p.Answered(part)}
	e.all = slices.DeleteFunc(slices.Clone(p.unanswered[part]), func(c *partCrash) bool { return explained[c] })
	slices.SortFunc(e.all, func(a, b *partCrash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.episode, b.episode)) })
	lost, lastNew := make(map[Fingerprint]bool), time.Time{}
	for _, c := range e.all {
		known := len(lost)
		maps.Copy(lost, c.parts[part])
		if len(lost) > known && (e.requests == 0 || c.at.Sub(lastNew) >= IncidentWindow) {
			e.requests, lastNew = e.requests+1, c.at
		}
		e.servers, e.daemons = append(e.servers, c.server), appendNew(e.daemons, c.daemons)
		// Servers that crash together may have a common cause.
		if e.crashes > 0 && c.at.Sub(e.last) < IncidentWindow {
			continue
		}
		if e.crashes > 0 && c.at.Sub(e.last) >= e.trialDelay() {
			e.late++
		}
		e.crashes, e.last = e.crashes+1, c.at
	}
	e.lost, e.servers = len(lost), e.servers[max(0, len(e.servers)-maxEvidence):]
	return e
}

// appendNew appends those of more that list lacks, up to maxEvidence in all.
func appendNew(list, more []string) []string {
	for _, s := range more {
		if len(list) < maxEvidence && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// coincidences returns how many parts that no request was answered with may be expected to be in as
// many of the model's crashes as c, if these had other causes. Such a part is in fewer than one of so
// many requests as were answered.
func (p *Parts) coincidences(now time.Time, c candidate, inAll int) float64 {
	answers := len(p.modelAnswers[c.all[0].model])
	if len(c.all) > 1 && now.Sub(c.all[1].at) >= answersKnownAfter {
		answers *= max(p.Daemons, 1)
	}
	expected, lost := 1.0, make(map[Fingerprint]bool)
	for i, crash := range c.all {
		known, inCrash := len(lost), float64(max(len(crash.requests), minLost))
		maps.Copy(lost, crash.parts[c.part])
		switch {
		case i == 0:
			expected = inCrash
		case len(lost) > known:
			expected *= min(1, inCrash/float64(max(answers, 1)))
		default:
			expected *= resentTogether
		}
		// The crashes can be chosen from all of the model.
		expected *= float64(inAll-i) / float64(i+1)
	}
	return expected
}

// modelCrashes returns the number of crashes of servers of the model of c that are not yet explained,
// from the first to the last under c.
func (p *Parts) modelCrashes(c candidate, explained map[*partCrash]bool) int {
	first, last, n := c.all[0], c.all[len(c.all)-1], 0
	for _, crash := range p.crashes {
		if crash.model == first.model && !explained[crash] && !crash.at.Before(first.at) && !crash.at.After(last.at) {
			n++
		}
	}
	return n
}
