// Package dispatch chooses the replica of a model that runs a request: the one with the earliest
// expected first token, computed from the engine's published figures and the load that the
// daemons have reported.
package dispatch

import (
	"math"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// RequestSize is the size of a request in tokens: of its prompt, of the answer expected, and of the longest answer.
type RequestSize struct {
	Model     string
	Prompt    int
	Answer    int
	MaxAnswer int
}

// A Load is the work in progress at a replica: requests that are generating (Writing), requests
// that wait for their first token (Waiting), and the prompt tokens of the latter (Tokens).
type Load struct {
	Writing int
	Waiting int
	Tokens  int
}

// Add returns the sum of l and m.
func (l Load) Add(m Load) Load {
	return Load{Writing: l.Writing + m.Writing, Waiting: l.Waiting + m.Waiting, Tokens: l.Tokens + m.Tokens}
}

// A Candidate is one replica that may run a request. Slowdown is the factor by which it has been
// observed to be slower than the others, 1 if it is not. Remote means that it is in another
// failure domain. SinceEvent is the time since its last stream event, if it is generating.
type Candidate struct {
	Load       Load
	Slowdown   float64
	Remote     bool
	SinceEvent time.Duration
	// ReportAge is the part of SinceEvent that is the age of the report that told it.
	ReportAge time.Duration
}

// Reported returns c as of its report: a replica is not silent because nothing new has been reported of it.
func (c Candidate) Reported() Candidate {
	c.SinceEvent, c.ReportAge = max(c.SinceEvent-c.ReportAge, 0), 0
	return c
}

// defaultAnswerTokens is the assumed length of an answer if the engine's settings do not state
// it.
const defaultAnswerTokens = 100

// FirstToken returns the expected time to the first token of a request at c.
func FirstToken(e *site.Engine, m site.Model, c Candidate, work RequestSize) time.Duration {
	factor := m.Pace * max(c.Slowdown, 1)
	promptTokens := c.Load.Tokens + work.Prompt
	prefill := float64(promptTokens) / max(e.ReadPerSecond, 1) * float64(time.Second)
	total := prefill
	if c.Load.Writing > 0 {
		// An engine prefills one chunk between two strides of decode steps, so each chunk waits
		// for the steps of the requests that are generating.
		chunks := math.Ceil(float64(promptTokens) / float64(max(e.Chunk, 1)))
		total += (chunks + 0.5) * float64(strideTime(e, c.Load.Writing))
	}
	if excess := c.Load.Writing + c.Load.Waiting + 1 - e.Slots; excess > 0 && e.Slots > 0 {
		total += float64(excess) / float64(e.Slots) * float64(answerTime(e, e.Slots))
	}
	if overdue := c.SinceEvent - time.Duration(stallCycles*float64(longestCycle(e, m))); overdue > 0 {
		// The replica may have stalled: the expected time grows with the time since its last
		// event.
		total += stallPenalty * float64(overdue)
	}
	return time.Duration(total * factor)
}

const (
	// stallCycles is the number of cycles of a full batch without an event after which a
	// generating replica is suspected of a stall: one event may be delayed by the network or by a
	// prompt.
	stallCycles = 1.5
	// stallPenalty is the expected delay of the first token per unit of time beyond that.
	stallPenalty = 3
)

// longestCycle returns the time of one chunk of prefill and one stride with a full batch.
func longestCycle(e *site.Engine, m site.Model) time.Duration {
	prefill := float64(e.Chunk) / max(e.ReadPerSecond, 1) * float64(time.Second)
	return time.Duration((prefill + float64(strideTime(e, e.Slots))) * m.Pace)
}

// BusyTime returns how long a request occupies a replica of m that runs a full batch.
func BusyTime(e *site.Engine, m site.Model, work RequestSize) time.Duration {
	prefill := float64(work.Prompt) / max(e.ReadPerSecond, 1) * float64(time.Second)
	step := float64(e.Step)/float64(max(e.Slots, 1)) + float64(e.StepPerRequest)
	return time.Duration((prefill + float64(work.Answer)*step) * m.Pace)
}

// LongestRun returns how long the longest answer to a request takes from its first token on, in a full batch of m.
func LongestRun(e *site.Engine, m site.Model, work RequestSize) time.Duration {
	step := float64(e.Step) + float64(e.Slots)*float64(e.StepPerRequest)
	return time.Duration(float64(work.MaxAnswer) * step * m.Pace)
}

const (
	// unweightedShare is the share of the target time up to which an expected first token adds no
	// weight to the demand of a request.
	unweightedShare = 0.5
	// maxDemandFactor bounds the weight of a request that waits too long.
	maxDemandFactor = 4
)

// DemandFactor returns the weight of a request's work in the demand by which replicas are
// assigned to models: it grows with the expected time to the first token.
func DemandFactor(expected, target time.Duration) float64 {
	if target <= 0 {
		return 1
	}
	return min(1+max(float64(expected)/float64(target)-unweightedShare, 0), maxDemandFactor)
}

// strideTime returns the time of the decode steps that an engine runs between two chunks.
func strideTime(e *site.Engine, writing int) time.Duration {
	return time.Duration(e.Stride) * (e.Step + time.Duration(writing)*e.StepPerRequest)
}

// answerTime returns how long an answer of usual length takes in a batch with writing requests.
func answerTime(e *site.Engine, writing int) time.Duration {
	answer := e.TypicalAnswerTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return time.Duration(answer) * (e.Step + time.Duration(writing)*e.StepPerRequest)
}

// remotePenalty is the time added to a replica of another failure domain: the round trip between
// two domains and some transfer time.
const remotePenalty = 5 * time.Millisecond

// localShare is the share of the target time within which a first token is early enough for a
// request to stay in its failure domain.
const localShare = 0.5

// LocalityThreshold returns the expected time to the first token up to which a request stays in
// its failure domain, given its target.
func LocalityThreshold(target time.Duration) time.Duration {
	return time.Duration(localShare * float64(target))
}

// Choose returns the index and expected time to the first token of the best of a few candidates
// drawn at random, or -1 if there are none. pick returns a random number below its argument. The
// reported load of other daemons is a few tenths of a second old: if every daemon chose the best
// of all candidates, all would choose the same one. Both candidates are of the local failure
// domain, since answers from others travel further, unless the first is expected to take longer
// than enough: then the second is a remote one.
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

// Another returns the index of one of the candidates that suit a request, drawn at random, local ones first, or -1 if none
// does. suits is told the expected time to the first token. Daemons that look at all candidates would all choose the best one.
func Another(e *site.Engine, m site.Model, candidates []Candidate, work RequestSize, pick func(int) int, suits func(i int, expected time.Duration) bool) int {
	chosen, found := -1, 0
	for i, c := range candidates {
		if chosen >= 0 && c.Remote && !candidates[chosen].Remote {
			continue
		}
		expected := FirstToken(e, m, c.Reported(), work)
		if c.Remote {
			expected += remotePenalty
		}
		if !suits(i, expected) {
			continue
		}
		if chosen >= 0 && candidates[chosen].Remote && !c.Remote {
			found = 0
		}
		if found++; pick(found) == 0 {
			chosen = i
		}
	}
	return chosen
}

// A selection is the best of the candidates considered so far.
type selection struct {
	index int
	least time.Duration
	ties  int
}

// consider selects candidate i if its expected time is shorter, or at random if it is about the
// same.
func (s *selection) consider(i int, expected time.Duration, pick func(int) int) {
	switch {
	case s.index < 0 || expected < s.least-tieMargin:
		s.index, s.least, s.ties = i, expected, 1
	case expected <= s.least+tieMargin:
		if s.ties++; pick(s.ties) == 0 {
			s.index, s.least = i, expected
		}
	}
}

// sampleSize is the number of candidates that are compared. Two keep the busiest replica close to
// the mean however stale the reported load is.
const sampleSize = 2

// takeRandom removes one element of all, chosen by pick, and returns it.
func takeRandom(all *[]int, pick func(int) int) int {
	j, last := pick(len(*all)), len(*all)-1
	taken := (*all)[j]
	(*all)[j] = (*all)[last]
	*all = (*all)[:last]
	return taken
}

// tieMargin is the difference of expected times below which daemons choose at random, so that
// they do not all choose the same replica. It is the accuracy of the reported load.
const tieMargin = 4 * time.Millisecond
