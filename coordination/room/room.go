// Package room decides whether a request to a model is accepted at the replica that was chosen for it or refused
// at once, and when a caller that was refused may come back. Refusals keep the wait of the accepted requests
// within what callers can use, and a shortage away from urgent requests and from organisations within their shares.
package room

import (
	"fmt"
	"math"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/coordination/shares"
)

// Rules say which of the decisions are made. The zero value refuses only what comes far too late.
type Rules struct {
	// OnTime refuses requests that would be late while that leaves room for others to be in time.
	OnTime bool
	// ByUrgency keeps room for requests that are more urgent.
	ByUrgency bool
	// SpillOver looks for another replica with room before a request is refused.
	SpillOver bool
	// FairShares keeps room for organisations within their shares.
	FairShares bool
}

// A Request is a request that asks for room.
type Request struct {
	// Target is the target for the first token, Left the time that the caller still waits.
	Target time.Duration
	Left   time.Duration
	// Returns means that the caller was refused before and sends the request again.
	Returns bool
	// Share is the work that the organisation asked for lately, as a multiple of its fair share.
	Share float64
	// Draw is a random number from 0 up to 1. It decides which requests of an organisation over its share fit the
	// share, and which part of the less urgent ones is taken in any case.
	Draw float64
}

// An Offer is what the chosen replica offers to a request.
type Offer struct {
	// Expected is the time to the first token, and Wait the part of it that other prompts cause, by what was reported
	// of the replica.
	Expected time.Duration
	Wait     time.Duration
	// Urgent is what would then be the time to the first token of the next more urgent request, and UrgentTarget its
	// target; zero if none have come lately.
	Urgent       time.Duration
	UrgentTarget time.Duration
}

// A Reason says why a request is refused.
type Reason string

// The reasons for refusals.
const (
	// Accepted requests are not refused.
	Accepted Reason = ""
	// Overload means that the first token would come too late.
	Overload Reason = "overload"
	// LessUrgent means that the room that is left is kept for more urgent requests.
	LessUrgent Reason = "less_urgent"
	// OverShare means that the room that is left is kept for organisations within their shares.
	OverShare Reason = "over_share"
)

const (
	// LateFactor is the multiple of the target beyond which a first try is refused even without OnTime.
	LateFactor = 1.5
	// onTimeFactor is the same with OnTime: a request that is expected later does not meet its target, and the
	// next one would not either if it were accepted.
	onTimeFactor = 1.0
	// returnFactor is the multiple of the target within which a request has to be expected that returns, with
	// OnTime. Its answer is late in any case, so that a longer queue for its sake makes more answers late.
	returnFactor = 1.5
	// leftShare is the share of the time that is left within which the first token must be expected. The rest is
	// for the answer.
	leftShare = 0.5
	// urgentFactor is the multiple of the target of more urgent requests that less urgent ones may use up.
	urgentFactor = 0.6
	// queueFactor is the multiple of the target that a request may wait for others whatever its own prompt takes:
	// large ones are not refused for their size.
	queueFactor = 0.25
	// keptShare is the share of the requests of an organisation or a rank that are accepted as if nobody else went
	// first, so that none is starved: a little more than the quarter that operators ask for.
	keptShare = 0.3
)

// A Verdict is the decision about a request.
type Verdict struct {
	Reason Reason
	// Limit is the longest time to the first token with which the request is accepted.
	Limit time.Duration
	// Excess is how much longer than accepted the wait is.
	Excess time.Duration
}

// Decide returns the verdict on a request that was made an offer.
func (r Rules) Decide(q Request, o Offer) Verdict {
	limit, wait := r.limit(q, o), o.Wait
	if o.Expected > limit {
		return Verdict{Reason: Overload, Limit: limit, Excess: o.Expected - limit}
	}
	if q.Draw < keptShare {
		return Verdict{Limit: limit}
	}
	if r.FairShares && q.Share > 1 {
		if fair := shares.WaitLimit(q.Share, q.Draw, min(limit, q.Target)); wait > fair {
			return Verdict{Reason: OverShare, Limit: fair, Excess: wait - fair}
		}
	}
	if kept := scale(o.UrgentTarget, urgentFactor); r.ByUrgency && o.Urgent > kept && wait > scale(o.UrgentTarget, queueFactor) {
		return Verdict{Reason: LessUrgent, Limit: limit, Excess: o.Urgent - kept}
	}
	return Verdict{Limit: limit}
}

// Short returns whether room is short for a request with a target, so that shares matter: it would have to wait longer
// than the organisation that is furthest over its share may.
func Short(target, wait time.Duration) bool {
	return wait > shares.WaitLimit(math.Inf(1), 1, target)
}

// limit returns the longest time to the first token with which q is accepted at o, whoever else asks for room.
func (r Rules) limit(q Request, o Offer) time.Duration {
	left := scale(q.Left, leftShare)
	if r.OnTime {
		factor := onTimeFactor
		if q.Returns {
			factor = returnFactor
		}
		size := min(o.Expected-o.Wait+scale(q.Target, queueFactor), scale(q.Target, LateFactor))
		return min(left, max(scale(q.Target, factor), size))
	}
	if q.Returns {
		return left
	}
	return min(left, scale(q.Target, LateFactor))
}

// scale returns a multiple of d.
func scale(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

// String returns v for log lines.
func (v Verdict) String() string {
	if v.Reason == Accepted {
		return fmt.Sprintf("accepted within %v", v.Limit.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s: %v beyond the limit of %v", v.Reason, v.Excess.Round(time.Millisecond), v.Limit.Round(time.Millisecond))
}

const (
	// MinReturn is the shortest time after which a caller that was refused is told to come back, unless it has less
	// than three times as much left.
	MinReturn = 400 * time.Millisecond
	// minSpread is the least time over which the returns of callers are spread that were refused together.
	minSpread = 600 * time.Millisecond
	// returnShare is the share of the time that is left to a caller within which it must come back: callers
	// honour no longer time, and the rest is for the answer.
	returnShare = 1.0 / 3
	// backlogWindow is the time over which refusals and accepted requests are compared.
	backlogWindow = 2 * time.Second
)

// A Backlog measures the work that was refused lately for lack of room, beside the work that was accepted. The zero value
// is ready to use; it is not safe for concurrent use.
type Backlog struct {
	accepted, refused budget.Window
}

// Record counts a request for work, at now.
func (b *Backlog) Record(now, work time.Duration, accepted bool) {
	b.accepted.Span, b.refused.Span = backlogWindow, backlogWindow
	if accepted {
		b.accepted.Add(now, work.Seconds())
	} else {
		b.refused.Add(now, work.Seconds())
	}
}

// Drain returns how long it takes to serve what was refused lately, at the rate at which work was accepted.
func (b *Backlog) Drain(now time.Duration) time.Duration {
	b.accepted.Span, b.refused.Span = backlogWindow, backlogWindow
	refused, accepted := b.refused.Sum(now), b.accepted.Sum(now)
	if refused <= 0 {
		return 0
	}
	// Where next to nothing was accepted, no caller waits long enough.
	return time.Duration(min(refused/max(accepted, refused/maxDrainWindows), maxDrainWindows) * float64(backlogWindow))
}

// maxDrainWindows bounds the drain, in windows.
const maxDrainWindows = 10

// ReturnAfter returns when a caller may come back that was refused for lack of room and still waits for the time left:
// when there is likely to be room, after wait, but while there is time to serve it. Returns are spread over as long as
// that takes. jitter is a random number of at least 0 and below 1.
func ReturnAfter(wait, left time.Duration, jitter float64) time.Duration {
	earliest, spread := max(wait, MinReturn), max(wait, minSpread)
	if latest := max(scale(left, returnShare), 0); earliest+spread > latest {
		earliest, spread = latest/2, latest/2
	}
	return earliest + scale(spread, jitter)
}
