package budget

import "time"

// slackShare is the part of the common slack that daemons spend; the rest covers
// daemons that have just come and are not counted yet.
const slackShare = 0.7

// Retries decides whether this daemon may send a request to a second server. All
// daemons together may send Ratio times the requests and Slack more in any Span.
// The zero Retries with these three set is ready to use.
type Retries struct {
	Ratio float64
	Slack float64
	Span  time.Duration

	requests Window
	retries  Window
}

// CountRequest counts a request that a caller sent.
func (r *Retries) CountRequest(now time.Duration) {
	r.init()
	r.requests.Add(now, 1)
}

// Allow returns whether one more repeat is within the share of one of daemons
// daemons, and counts it if so.
func (r *Retries) Allow(now time.Duration, daemons int) bool {
	r.init()
	// The current part of the window is not over, so one part more may overlap.
	if r.retries.Sum(now)+1 > r.Ratio*r.requests.Sum(now)+slackShare*r.Slack/float64(max(daemons, 1)) {
		return false
	}
	r.retries.Add(now, 1)
	return true
}

// init gives the windows their span. Repeats are kept for one part longer, so that
// no span of time holds more than was counted.
func (r *Retries) init() {
	r.requests.Span = r.Span
	r.retries.Span = r.Span + r.Span/windowSlots*2
}
