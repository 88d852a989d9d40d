// Package dispatch decides which replica of a model runs a request: the one whose
// first token is expected first, by the engine's own published figures and the
// work that the daemons know to be there.
package dispatch

import (
	"math"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// RequestSize is what a request asks of an engine, in tokens.
type RequestSize struct {
	Model  string
	Prompt int
	Answer int
}

// A Load is the work that a replica has: requests that are writing, and requests
// that wait for their first token with the tokens of their prompts.
type Load struct {
	Writing int
	Waiting int
	Tokens  int
}

// Add returns the sum of l and m.
func (l Load) Add(m Load) Load {
	return Load{Writing: l.Writing + m.Writing, Waiting: l.Waiting + m.Waiting, Tokens: l.Tokens + m.Tokens}
}

// A Candidate is one replica that may run a request. Slowness is how much slower
// than the others it has shown itself, 1 if not. Far means that it is in another
// failure domain. Silent is the time since its last event, if it writes.
type Candidate struct {
	Load       Load
	Slowdown   float64
	Remote     bool
	SinceEvent time.Duration
}

// defaultAnswerTokens stands for the length of answers where a request does not tell, in
// tokens.
const defaultAnswerTokens = 100

// FirstToken returns how long a request with work takes to its first token at c.
func FirstToken(e *site.Engine, m site.Model, c Candidate, work RequestSize) time.Duration {
	factor := m.Pace * max(c.Slowdown, 1)
	promptTokens := c.Load.Tokens + work.Prompt
	reading := float64(promptTokens) / max(e.ReadPerSecond, 1) * float64(time.Second)
	total := reading
	if c.Load.Writing > 0 {
		// Between its steps an engine reads one chunk, so that each chunk waits for
		// the steps of those that write.
		chunks := math.Ceil(float64(promptTokens) / float64(max(e.Chunk, 1)))
		total += (chunks + 0.5) * float64(strideTime(e, c.Load.Writing))
	}
	if excess := c.Load.Writing + c.Load.Waiting + 1 - e.Slots; excess > 0 && e.Slots > 0 {
		total += float64(excess) / float64(e.Slots) * float64(answerTime(e, e.Slots))
	}
	if overdue := c.SinceEvent - time.Duration(stallCycles*float64(longestCycle(e, m))); overdue > 0 {
		// It may have stalled: the longer it is silent, the less is expected of it.
		total += stallPenalty * float64(overdue)
	}
	return time.Duration(total * factor)
}

const (
	// stallCycles is the number of passes of a full batch that a replica which
	// writes may be without an event before it is doubted: one may be held up by the
	// network or by a prompt.
	stallCycles = 1.5
	// stallPenalty is how much later a first token is expected for each unit of silence.
	stallPenalty = 3
)

// longestCycle returns the time of the longest pass of a replica of m.
func longestCycle(e *site.Engine, m site.Model) time.Duration {
	reading := float64(e.Chunk) / max(e.ReadPerSecond, 1) * float64(time.Second)
	return time.Duration((reading + float64(strideTime(e, e.Slots))) * m.Pace)
}

// BusyTime returns how long work keeps a replica of m busy that runs a full batch.
func BusyTime(e *site.Engine, m site.Model, work RequestSize) time.Duration {
	reading := float64(work.Prompt) / max(e.ReadPerSecond, 1) * float64(time.Second)
	step := float64(e.Step)/float64(max(e.Slots, 1)) + float64(e.StepPerRequest)
	return time.Duration((reading + float64(work.Answer)*step) * m.Pace)
}

const (
	// unweightedShare is the part of its target within which a first token may be expected
	// for a request to press no more than its work.
	unweightedShare = 0.5
	// maxDemandFactor bounds how much a request that waits too long counts for.
	maxDemandFactor = 4
)

// DemandFactor returns how many times its work a request counts for where replicas are
// given to models: the more, the later its first token is expected.
func DemandFactor(expected, target time.Duration) float64 {
	if target <= 0 {
		return 1
	}
	return min(1+max(float64(expected)/float64(target)-unweightedShare, 0), maxDemandFactor)
}

// strideTime returns the time of the steps that an engine makes between two chunks.
func strideTime(e *site.Engine, writing int) time.Duration {
	return time.Duration(e.Stride) * (e.Step + time.Duration(writing)*e.StepPerRequest)
}

// answerTime returns how long an answer of usual length takes beside writing others.
func answerTime(e *site.Engine, writing int) time.Duration {
	answer := e.UsualAnswer
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return time.Duration(answer) * (e.Step + time.Duration(writing)*e.StepPerRequest)
}

// remotePenalty is what a replica in another failure domain must be faster by to be
// chosen: the round trip between two domains and a little for its bytes.
const remotePenalty = 5 * time.Millisecond

// localShare is the part of its target within which a first token is early enough for a
// request to stay in its failure domain.
const localShare = 0.5

// LocalityThreshold returns when a first token is early enough for a request to stay in its failure
// domain, given the target for it.
func LocalityThreshold(target time.Duration) time.Duration {
	return time.Duration(localShare * float64(target))
}

// Choose returns the index of the candidate with the earliest first token among a
// few that pick draws, and that time, -1 if there is none. pick returns a random
// number below its argument. What is known of the work of others is a few tenths of
// a second old: if all daemons took the best of all, they would all take the same.
// Both are of the own failure domain, as what others answer has a longer way, unless the
// first is expected to take longer than enough: then the other one is of another.
func Choose(e *site.Engine, m site.Model, candidates []Candidate, work RequestSize, enough time.Duration, pick func(int) int) (int, time.Duration) {
	var local, remote []int
	for i, c := range candidates {
		if c.Remote {
			remote = append(remote, i)
		} else {
			local = append(local, i)
		}
	}
	chosen := selection{index: -1, least: time.Duration(math.MaxInt64)}
	for n := range sampleSize {
		from := &local
		if len(local) == 0 || n > 0 && chosen.least > enough && len(remote) > 0 {
			from = &remote
		}
		if len(*from) == 0 {
			break
		}
		i := takeRandom(from, pick)
		expected := FirstToken(e, m, candidates[i], work)
		if candidates[i].Remote {
			expected += remotePenalty
		}
		chosen.consider(i, expected, pick)
	}
	return chosen.index, chosen.least
}

// A selection is the candidate that is expected first of those that were considered.
type selection struct {
	index int
	least time.Duration
	ties  int
}

// consider takes candidate i if it is expected earlier, and by chance if at about the same
// time.
func (b *selection) consider(i int, expected time.Duration, pick func(int) int) {
	switch {
	case b.index < 0 || expected < b.least-tieMargin:
		b.index, b.least, b.ties = i, expected, 1
	case expected <= b.least+tieMargin:
		if b.ties++; pick(b.ties) == 0 {
			b.index, b.least = i, expected
		}
	}
}

// sampleSize is the number of candidates that are compared. Two keep the busiest replica
// close to the mean however old the news are.
const sampleSize = 2

// takeRandom takes one of all out, drawn by pick.
func takeRandom(all *[]int, pick func(int) int) int {
	j, last := pick(len(*all)), len(*all)-1
	drawn := (*all)[j]
	(*all)[j] = (*all)[last]
	*all = (*all)[:last]
	return drawn
}

// tieMargin is the difference of expected times below which daemons choose at random,
// so that they do not all choose the same replica: the accuracy of what is known
// of the work of others.
const tieMargin = 4 * time.Millisecond
