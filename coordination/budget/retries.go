package budget

import "time"

// slackShare is the share of the common slack that daemons spend; the rest covers new daemons
// that are not counted yet.
const slackShare = 0.7

// Retries is this daemon's share of the retry budget: all daemons together may retry Ratio times
// the requests, and Slack more, in any Span. The zero Retries with these three set is ready to
// use.
type Retries struct {
	Ratio float64
	Slack float64
	Span  time.Duration

	requests Window
	retries  Window
}

// SetBounds sets the bounds of the budget. With another span, the retries of the last one count as made at
// now and its requests are forgotten, so that no more are allowed than with either.
func (r *Retries) SetBounds(now time.Duration, ratio, slack float64, span time.Duration) {
	r.Ratio, r.Slack = ratio, slack
	if span == r.Span {
		return
	}
	r.init()
	retries := r.retries.Sum(now)
	r.Span, r.requests, r.retries = span, Window{}, Window{}
	r.init()
	r.retries.Add(now, retries)
}

// CountRequest counts a request that a caller sent.
func (r *Retries) CountRequest(now time.Duration) {
	r.init()
	r.requests.Add(now, 1)
}

// Allow returns whether one more retry is within this daemon's share, given the number of
// daemons, and counts it if so.
func (r *Retries) Allow(now time.Duration, daemons int) bool {
	r.init()
	// The current slot of the window is not complete, so one more slot may overlap.
	if r.retries.Sum(now)+1 > r.Ratio*r.requests.Sum(now)+slackShare*r.Slack/float64(max(daemons, 1)) {
		return false
	}
	r.retries.Add(now, 1)
	return true
}

// init sets the spans of the windows. Retries are kept for two tenths of Span longer, because the
// current slot is incomplete, so that no period of Span
// contains more than were counted.
func (r *Retries) init() {
	r.requests.Span = r.Span
	r.retries.Span = r.Span + r.Span/windowSlots*2
}
