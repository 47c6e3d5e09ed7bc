package gateway

import (
	"net/http"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// targetRequest is a request to be sent to a target.
type targetRequest struct {
	// message is the request as the target receives it, without the headers
	// that localTarget sets.
	message exchange.Request
	// caller is the caller of the request.
	caller version.Caller
	// service is the service whose target should run the request.
	service string
	// admission holds the properties by which the gate decides on the request.
	admission gate.Request
	// objective is the latency objective of the route. Later responses are
	// counted as late. Only the ingress sets it.
	objective time.Duration
}

// setCaller sets the caller, whose priority the gate uses.
func (r *targetRequest) setCaller(caller version.Caller) {
	r.caller = caller
	r.admission.OrganisationPriority = caller.Priority
}

// fingerprintOf returns the fingerprint of a request: of the service that calls, the path
// with query, and the body. On the platform these make requests equal, whatever their
// method and host.
func fingerprintOf(r *pipeline.Request, caller string) request.Fingerprint {
	return request.NewFingerprint(caller, r.RequestURI, r.Body)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// response is the response of the target, or nil if there is none to pass
	// on.
	response *exchange.Response
	// outcome says whether the target ran the request, if there is no response.
	outcome request.Outcome
	// reason names the cause of a missing response. It is logged and sent as the
	// step of a problem document.
	reason string
	// retryAfter is the delay after which a refused request may be sent again.
	retryAfter time.Duration
	// arrived is set if the request reached a target or may have reached one,
	// whether or not it ran. It may have if a part of it may have been sent and
	// no response came.
	arrived bool
	// load is the load of the target after the attempt. It is valid if hasLoad
	// is set.
	load    fleet.Load
	hasLoad bool
	// err is the error behind reason, or nil.
	err error
}

// isTargetError reports whether the target responded with a 5xx status.
func (r *attemptResult) isTargetError() bool {
	return r.response != nil && r.response.Status >= http.StatusInternalServerError
}

// declined reports whether the target refused the request only because the
// sender had other targets to try.
func (r *attemptResult) declined() bool {
	return r.reason == string(gate.RefusedBusy) || r.reason == string(gate.RefusedSlow)
}

// refusedResult returns the result of an attempt that was refused before it
// reached a target.
func refusedResult(reason string, retryAfter time.Duration) attemptResult {
	return attemptResult{outcome: request.NotRun, reason: reason, retryAfter: retryAfter}
}
