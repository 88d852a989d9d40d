// Package outcome decides what a caller is told of its request. Only proof that
// a backend server did not run a request makes it not_run; where a non-idempotent
// request may have run and no whole answer came back it is unknown.
package outcome

import "net/http"

// An Outcome is what became of a request.
type Outcome string

// The outcomes that a caller may be told.
const (
	// Completed means that the caller has the whole answer.
	Completed Outcome = "completed"
	// Failed means that the request ran, or may be repeated, and failed.
	Failed Outcome = "failed"
	// NotRun means that the request was not run, and may be sent again.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run; it must not be sent again
	// with another idempotency key before that has been found out.
	Unknown Outcome = "unknown"
)

// An Evidence is how an attempt to run a request ended.
type Evidence int

// The ways in which an attempt ends.
const (
	// Unsent is an attempt that was given up before a connection was made.
	Unsent Evidence = iota
	// Refused is a connection that the address refused.
	Refused
	// Declined is an answer by which an engine says that it did not begin.
	Declined
	// Lost is a connection that broke, or a timeout, after bytes were sent.
	Lost
	// Partial is an answer that broke off.
	Partial
	// Answered is a whole answer.
	Answered
)

// Of returns the outcome of an attempt. status is the HTTP status of an answer.
func Of(e Evidence, idempotent bool, status int) Outcome {
	switch e {
	case Unsent, Refused, Declined:
		return NotRun
	case Answered:
		return answered(idempotent, status)
	case Lost, Partial:
	}
	if idempotent {
		return Failed
	}
	return Unknown
}

// answered returns the outcome of a whole answer with status.
func answered(idempotent bool, status int) Outcome {
	switch {
	case status < http.StatusInternalServerError:
		return Completed
	case idempotent:
		return Failed
	}
	return Unknown
}

// Repeatable returns whether an attempt that ended so may be made again.
func Repeatable(e Evidence, idempotent bool) bool {
	return Of(e, idempotent, http.StatusServiceUnavailable) == NotRun || idempotent && e != Answered
}
