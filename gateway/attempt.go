package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
)

// targetRequest is a request on its way to a target.
type targetRequest struct {
	// message is what the target gets, but for the headers that the guard sets.
	message exchange.Request
	// service is the service whose target is to run it.
	service string
	// admission is what the gate goes by.
	admission gate.Request
	// objective is the latency within which an answer is of full use.
	objective time.Duration
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	// answer is the target's answer, or nil.
	answer *exchange.Answer
	// outcome tells what is known of the run if there is no answer.
	outcome request.Outcome
	// reason says in a word why there is no answer.
	reason string
	// retryAfter is when a refused request may come back.
	retryAfter time.Duration
	// arrived tells that a target got the request, though it may not have run it.
	arrived bool
	// load is the target's load at the end, if loaded is set.
	load    fleet.Load
	hasLoad bool
	// err is the cause, for the log.
	err error
}

// isTargetError reports whether the answer is a target's own failure.
func (r *attemptResult) isTargetError() bool {
	return r.answer != nil && r.answer.Status >= http.StatusInternalServerError
}

// declined reports whether a target refused the request only because it could go
// elsewhere.
func (r *attemptResult) declined() bool {
	return r.reason == string(gate.RefusedBusy) || r.reason == string(gate.RefusedSlow)
}

// refusedResult returns the result of an attempt that no target ran.
func refusedResult(reason string, retryAfter time.Duration) attemptResult {
	return attemptResult{outcome: request.NotRun, reason: reason, retryAfter: retryAfter}
}
