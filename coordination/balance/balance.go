// Package balance decides which of several models needs one more replica most, so that the requests of none of
// them wait much longer than those of the others.
package balance

import "math"

// Need returns the need for one more replica of a model that has a number of replicas for work that keeps some of
// them busy. It is the probability, up to a factor, that a request has to wait, by the rule of square-root staffing:
// the spare replicas that a model needs grow with the square root of its work, so that a model with a few large
// replicas needs more of them to spare, in proportion, than one with many small ones. The first replica of a model that
// is asked for goes before all others.
func Need(busy float64, replicas int) float64 {
	if replicas <= 0 && busy > 0 {
		return math.Inf(1)
	}
	busy = max(busy, minBusy)
	return math.Exp((busy - float64(replicas)) / math.Sqrt(busy))
}

// minBusy is the least work that a model is assumed to have, in replicas: one whose requests have paused for a while
// is asked for again.
const minBusy = 0.1

// assumedUtilisation is the part of the servers that are busy on a usual day, for models whose requests have not been
// seen yet.
const assumedUtilisation = 0.5

// AssumedWork returns the work of a model before its requests have been seen, in replicas of the given size that it
// keeps busy: a share of what a number of servers do.
func AssumedWork(share float64, size, servers int) float64 {
	return assumedUtilisation * share * float64(servers) / float64(max(size, 1))
}
