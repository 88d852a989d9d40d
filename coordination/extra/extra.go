// Package extra decides when a request that may be repeated gets an extra attempt at another server because
// its first one is slower than most. How long answers take is kept by route, and extra attempts are bounded by
// a share of the requests of the route.
package extra

import (
	"cmp"
	"slices"
	"time"
)

// A Refusal says why a request gets no extra attempt; it is empty if the request gets one.
type Refusal string

// The refusals.
const (
	// Late means that the answer has begun, that another attempt is under way already, or that the request has ended.
	Late Refusal = "late"
	// Share means that the share of the requests of the route is used up.
	Share Refusal = "share"
	// Repeat means that the request has no attempt left, or that it or a part of its prompt may crash servers.
	Repeat Refusal = "repeat"
	// Room means that no other server has room.
	Room Refusal = "room"
	// Time means that an extra attempt is expected to answer after the target, or has not enough time.
	Time Refusal = "time"
	// Budget means that the retry budget is used up.
	Budget Refusal = "budget"
)

// A Request is what is known of a request whose first attempt is slow.
type Request struct {
	// Elapsed is the time since the request arrived, Left the time until its deadline.
	Elapsed, Left time.Duration
	// Target is the target of its route, zero if there is none.
	Target time.Duration
	// Expected is how long another server is expected to take until the answer or its first event.
	Expected time.Duration
	// Alone means that the first attempt is the only one, that it has not fallen silent and that the caller waits
	// and has got no part of the answer.
	Alone bool
	// Repeatable means that the request may be sent once more, Allowed that the share of its route permits that,
	// and Free that another server has room for it.
	Repeatable, Allowed, Free bool
}

// leftShare is the share of the time left within which the extra attempt must be expected to answer.
const leftShare = 0.5

// Check returns why r gets no extra attempt, apart from the retry budget.
func Check(r Request) Refusal {
	switch {
	case !r.Alone:
		return Late
	case !r.Repeatable:
		return Repeat
	case !r.Allowed:
		return Share
	case !r.Free:
		return Room
	case r.Target > 0 && r.Elapsed+r.Expected > r.Target, float64(r.Expected) > leftShare*float64(r.Left):
		return Time
	}
	return ""
}

const (
	// maxRoutes bounds the routes that are kept, by the memory of a daemon: 21 kB each.
	maxRoutes = 128
	// maxCredit bounds the extra attempts that a route saves up while its answers are fast.
	maxCredit = 5
)

// Routes holds what a daemon knows of the answers of each route. The zero Routes knows of none; it is not safe
// for concurrent use.
type Routes struct {
	routes map[string]*route
}

// A route is what is known of one route.
type route struct {
	window   window
	credit   float64
	requests int
	extra    int
	usedAt   time.Duration
}

// CountRequest counts a request of a route, the given share of which may get an extra attempt.
func (r *Routes) CountRequest(now time.Duration, name string, share float64) {
	if rt := r.route(now, name); rt != nil {
		rt.requests++
		rt.credit = min(rt.credit+share, maxCredit)
	}
}

// Observe records that an attempt of a route was answered after took.
func (r *Routes) Observe(now time.Duration, name string, took time.Duration) {
	if rt := r.route(now, name); rt != nil {
		rt.window.add(now, took, false)
	}
}

// ObserveAtLeast records that an attempt of a route ended without an answer, or was cancelled, after took.
func (r *Routes) ObserveAtLeast(now time.Duration, name string, took time.Duration) {
	if rt := r.route(now, name); rt != nil {
		rt.window.add(now, took, true)
	}
}

// Quantile returns the time within which the fraction q of the recent attempts of a route were answered. It
// returns false while there are too few to tell.
func (r *Routes) Quantile(now time.Duration, name string, q float64) (time.Duration, bool) {
	rt, ok := r.routes[name]
	if !ok {
		return 0, false
	}
	return rt.window.quantile(now, q)
}

// creditError is the rounding error that is allowed for in sums of shares.
const creditError = 1e-9

// Allows returns whether the share of a route permits one more extra attempt.
func (r *Routes) Allows(name string) bool {
	rt, ok := r.routes[name]
	return ok && rt.credit >= 1-creditError
}

// Take counts an extra attempt of a route.
func (r *Routes) Take(name string) {
	if rt, ok := r.routes[name]; ok {
		rt.credit--
		rt.extra++
	}
}

// Used returns the extra attempts of a route as a share of its requests.
func (r *Routes) Used(name string) float64 {
	rt, ok := r.routes[name]
	if !ok {
		return 0
	}
	return float64(rt.extra) / float64(max(rt.requests, 1))
}

// route returns what is known of a route, nil if too many others are in use.
func (r *Routes) route(now time.Duration, name string) *route {
	if rt, ok := r.routes[name]; ok {
		rt.usedAt = now
		return rt
	}
	if r.routes == nil {
		r.routes = make(map[string]*route)
	}
	if len(r.routes) >= maxRoutes && !r.dropUnused(now) {
		return nil
	}
	rt := &route{usedAt: now}
	r.routes[name] = rt
	return rt
}

// dropUnused drops the route that has been unused for longest, if that is longer than a window.
func (r *Routes) dropUnused(now time.Duration) bool {
	names := make([]string, 0, len(r.routes))
	for name := range r.routes {
		names = append(names, name)
	}
	oldest := slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.routes[a].usedAt, r.routes[b].usedAt), cmp.Compare(a, b))
	})
	if now-r.routes[oldest].usedAt < windowSpan {
		return false
	}
	delete(r.routes, oldest)
	return true
}
