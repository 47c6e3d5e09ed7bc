package admission

import (
	"net/http"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// Target is what a target announces about itself.
type Target struct {
	// Instance identifies one run of the target's process.
	Instance string
	// StartedMillis is the start of the process, in Unix milliseconds. Zero means that the
	// target didn't announce it.
	StartedMillis int64
	// Slots is how many requests the target can run at once when it is warm.
	Slots int
	// Connections is how many connections the target accepts. Zero means no
	// limit.
	Connections int
	// ColdLimit is how many requests the target can run at once when it is cold.
	ColdLimit int
}

// Report is an answer of the target's load endpoint. It may be late or wrong.
type Report struct {
	// Instance is the instance that reports. An empty one stands for the
	// current one.
	Instance string
	// State is the state that the target reports.
	State load.State
	// Slots is how many requests the target can run at once according to the
	// report. Zero means that the report doesn't contain the number.
	Slots int
}

// Request describes a request that is to be admitted.
type Request struct {
	// Caller identifies the fair share that the request uses.
	Caller request.ShareKey
	// Fingerprint identifies the request in the quarantine.
	Fingerprint request.Fingerprint
	// Suspect is set if the request was in flight when a target crashed.
	Suspect bool
	// Expiry is the wall-clock time from which on the request must not reach
	// the target. Zero means that it never expires.
	Expiry time.Time
	// Deadline is when the caller stops waiting. Zero means never.
	Deadline time.Time
}

// Permit proves that a request was admitted. Done releases it.
type Permit struct {
	id uint64
	// Instance is the instance that the request was admitted to.
	Instance string
	// AdmittedAt is when the request was admitted.
	AdmittedAt time.Time
}

// ResultKind classifies how an admitted request ended.
type ResultKind uint8

const (
	// Answered means that the target answered without a failure of its own.
	Answered ResultKind = iota
	// Shed means that the target refused the request without running it.
	Shed
	// Failed means that the target answered with a failure of its own.
	Failed
	// Broken means that the connection ended before the whole answer.
	Broken
	// Cancelled means that the caller gave up or that the time ran out.
	Cancelled
	// NotSent means that the request never reached the target.
	NotSent
)

// Result describes how an admitted request ended.
type Result struct {
	Kind ResultKind
	// Cold is set if the answer of the target reports that it is cold.
	Cold bool
	// Instance is the instance that answered, or empty if the answer doesn't
	// name it.
	Instance string
}

// Crash reports that an instance of the target ended with requests in flight.
type Crash struct {
	Instance string
	InFlight []quarantine.InFlightRequest
}

// Reason is why a request was refused.
type Reason uint8

const (
	// NoTarget means that no target has announced itself or that it is lost.
	NoTarget Reason = iota
	// Draining means that the target finishes its requests before it stops.
	Draining
	// OutOfService means that an operator took the target or its data centre
	// out of service.
	OutOfService
	// EjectedFull means that the target is ejected and that the few requests
	// which it is still given are in flight.
	EjectedFull
	// ColdFull means that the target is cold and its limit is reached.
	ColdFull
	// Full means that the limit of the target is reached.
	Full
	// Connecting means that too few connections are open yet.
	Connecting
	// OverShare means that the free slots are reserved for other callers that
	// are below their fair share.
	OverShare
	// SuspectRunning means that another suspect request is in flight or may
	// just have crashed the target.
	SuspectRunning
	// Expired means that the expiry or the deadline of the request has passed.
	Expired
	// InsufficientTime means that the time left until the deadline is below the
	// lowest latency of the target.
	InsufficientTime
	reasonCount
)

var reasonNames = [reasonCount]string{
	"no target", "draining", "taken out", "ejected", "cold target is full", "target is full",
	"connections are opening", "over the fair share", "another suspect runs", "expired", "too little time left",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown reason"
	}
	return reasonNames[r]
}

// Refusal is the error for a request that was not admitted. It proves that the
// target did not run the request and won't run it.
type Refusal struct {
	Reason Reason
	// Sample is the load of the target, with its exact number of requests in
	// flight.
	Sample load.Sample
	// RetryAfter is the time after which the target is expected to have room, or
	// 0 if a retry is pointless.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return "admit: " + r.Reason.String()
}

// Failure returns the answer for the caller if no other endpoint is tried.
// Peer is the name of the node beside the target.
func (r *Refusal) Failure(peer string) *request.Failure {
	status := http.StatusServiceUnavailable
	if r.Reason == Expired || r.Reason == InsufficientTime {
		status = http.StatusGatewayTimeout
	}
	return &request.Failure{
		Status:     status,
		Title:      "target takes no request",
		Detail:     r.Reason.String(),
		Outcome:    request.NotRun,
		Step:       "admit",
		Peer:       peer,
		RetryAfter: r.RetryAfter,
	}
}

// ConnectionPlan is how many connections to the target to keep open.
type ConnectionPlan struct {
	// Wanted is how many connections should be open.
	Wanted int
	// MaxConnecting is how many connections may be opening at the same time.
	MaxConnecting int
}
