package quarantine

import "time"

// maxTrials bounds the trials of a part that end without an answer and without a crash.
const maxTrials = 3

// trialDelays are the times from the last crash under a convicted part to a trial, by the number of
// crashes that came so late after the one before: three trials in a day at most.
var trialDelays = []time.Duration{30 * time.Second, 10 * time.Minute, 2 * time.Hour, convictionTTL}

// A trial is the last trial of a part, and the number of trials since the last crash under it.
type trial struct {
	at    time.Time
	count int
}

// TrialDue returns whether one request with a convicted part may be sent at now, to find out whether
// the part is sound. Only one daemon may send trials of a part.
func (p *Parts) TrialDue(now time.Time, part Part) bool {
	c, ok := p.convicted[part]
	if !ok {
		return true
	}
	t, delay := p.trialOf(part, c), c.trialDelay()
	return now.Sub(c.last) >= delay && t.count < maxTrials && (t.count == 0 || now.Sub(t.at) >= delay)
}

// BeginTrial records that a request with a convicted part is sent at now, and returns whether it may
// be sent.
func (p *Parts) BeginTrial(now time.Time, part Part) bool {
	if !p.TrialDue(now, part) {
		return false
	}
	if c, ok := p.convicted[part]; ok {
		if p.trials == nil {
			p.trials = make(map[Part]trial)
		}
		p.trials[part] = trial{at: now, count: p.trialOf(part, c).count + 1}
	}
	return true
}

// trialOf returns the last trial of a part since the last crash under it.
func (p *Parts) trialOf(part Part, c conviction) trial {
	if t := p.trials[part]; t.at.After(c.last) {
		return t
	}
	return trial{}
}

// trialDelay returns the time from the last crash to the next trial.
func (c conviction) trialDelay() time.Duration { return trialDelays[min(c.late, len(trialDelays)-1)] }
