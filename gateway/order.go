package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
)

// order is a request on its way to a target.
type order struct {
	// message is what the target gets, but for the headers that the guard sets.
	message exchange.Request
	// service is the service whose target is to run it.
	service string
	// work is what the gate goes by.
	work gate.Request
	// objective is the latency within which an answer is of full use.
	objective time.Duration
}

// result is the end of one attempt.
type result struct {
	// answer is the target's answer, or nil.
	answer *exchange.Response
	// outcome tells what is known of the run if there is no answer.
	outcome request.Outcome
	// reason says in a word why there is no answer.
	reason string
	// retryAfter is when a refused request may come back.
	retryAfter time.Duration
	// arrived tells that a target got the request, though it may not have run it.
	arrived bool
	// load is the target's load at the end, if loaded is set.
	load   fleet.Load
	loaded bool
	// err is the cause, for the log.
	err error
}

// failedRun reports whether the answer is a target's own failure.
func (r *result) failedRun() bool {
	return r.answer != nil && r.answer.Status >= http.StatusInternalServerError
}

// sentOn reports whether a target refused the request only because it could go
// elsewhere.
func (r *result) sentOn() bool {
	return r.reason == string(gate.RefusedBusy) || r.reason == string(gate.RefusedSlow)
}

// refused returns the result of an attempt that no target ran.
func refused(reason string, after time.Duration) result {
	return result{outcome: request.NotRun, reason: reason, retryAfter: after}
}
