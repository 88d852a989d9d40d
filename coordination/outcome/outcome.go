// Package outcome determines the outcome of a request that is reported to its caller. It is not_run
// only if there is proof that no backend server ran the request. It is unknown if a non-idempotent
// request may have run and no complete answer was received.
package outcome

import "net/http"

// An Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	// Completed means that the caller received the complete answer.
	Completed Outcome = "completed"
	// Failed means that the request failed, and either ran or is safe to repeat.
	Failed Outcome = "failed"
	// NotRun means that the request did not run and may be sent again.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run. It must not be sent again with another
	// idempotency key before its outcome has been determined.
	Unknown Outcome = "unknown"
)

// An Evidence is what is known about the end of an attempt to run a request.
type Evidence int

// The ways in which an attempt ends.
const (
	// Unsent is an attempt that was abandoned before a connection was established.
	Unsent Evidence = iota
	// Refused is an attempt whose connection was refused.
	Refused
	// Declined is an answer in which the engine states that it did not start the request.
	Declined
	// Lost is an attempt that ended in a broken connection or a timeout after bytes were sent.
	Lost
	// Partial is a truncated answer.
	Partial
	// Answered is a complete answer.
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

// answered returns the outcome of a complete answer with status.
func answered(idempotent bool, status int) Outcome {
	switch {
	case status < http.StatusInternalServerError:
		return Completed
	case idempotent:
		return Failed
	}
	return Unknown
}

// Repeatable returns whether a request may be sent again after an attempt that ended with e.
func Repeatable(e Evidence, idempotent bool) bool {
	return Of(e, idempotent, http.StatusServiceUnavailable) == NotRun || idempotent && e != Answered
}
