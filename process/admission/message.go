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
	// Instance names this life of the target's process.
	Instance string
	// Slots is how many requests it runs at once when warm.
	Slots int
	// Connections is how many connections it accepts.
	Connections int
	// ColdLimit is how many requests it runs at once when cold.
	ColdLimit int
}

// Report is what the target's load endpoint says. It may lag or mislead.
type Report struct {
	Instance string
	State    load.State
	// Slots is how many requests the target says it runs at once. Zero says nothing.
	Slots int
}

// Request is what admission needs to know of a request.
type Request struct {
	// Caller is whose share of the target the request uses.
	Caller request.ShareKey
	// Fingerprint names the request for the quarantine.
	Fingerprint request.Fingerprint
	// Suspect tells that the request was in flight when a target crashed.
	Suspect bool
	// Expiry is the wall-clock time from which the request must not reach the
	// target any more. Zero means none.
	Expiry time.Time
	// Deadline is when nobody waits any more. Zero means never.
	Deadline time.Time
}

// Permit is the proof of an admission. It is handed back to Done.
type Permit struct {
	id uint64
	// Instance is the life of the target that the request was admitted to.
	Instance string
	// AdmittedAt is when the request was admitted.
	AdmittedAt time.Time
}

// ResultKind tells how an admitted request ended.
type ResultKind uint8

const (
	// Answered means that the target answered in good order.
	Answered ResultKind = iota
	// Shed means that the target refused the request without running it.
	Shed
	// Failed means that the target answered with a failure of its own.
	Failed
	// Broken means that the connection ended before the whole answer.
	Broken
	// Cancelled means that nobody waited any more, or that time ran out.
	Cancelled
	// NotSent means that the request never reached the target.
	NotSent
)

// Result is the end of an admitted request.
type Result struct {
	Kind ResultKind
	// Cold tells that the target said in its answer that it is cold.
	Cold bool
	// Instance is the life of the target that answered, if it said so.
	Instance string
}

// Crash tells that a life of the target ended with requests in flight.
type Crash struct {
	Instance string
	InFlight []quarantine.InFlightRequest
}

// Reason tells why a request was refused.
type Reason uint8

const (
	// NoTarget means that no target has announced itself.
	NoTarget Reason = iota
	// Draining means that the target starts to leave.
	Draining
	// OutOfService means that an operator took the target or data centre out.
	OutOfService
	// EjectedFull means that the target fails and its trickle is in use.
	EjectedFull
	// ColdFull means that a cold target runs all it bears.
	ColdFull
	// Full means that the target runs all it bears.
	Full
	// Connecting means that too few connections are open yet.
	Connecting
	// OverShare means that the free slots are another caller's share.
	OverShare
	// SuspectRunning means that another suspect runs at the target.
	SuspectRunning
	// Expired means that the request's expiry or deadline has passed.
	Expired
	// InsufficientTime means that the target has never been quick enough for the
	// time left.
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

// Refusal is the error of a request that was not admitted. It is proof that
// the target did not run the request and won't.
type Refusal struct {
	Reason Reason
	// Sample is the target's true load.
	Sample load.Sample
	// RetryAfter is when room is expected, or 0 if there is nothing to wait for.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return "admit: " + r.Reason.String()
}

// Failure returns the final answer that the refusal leads to if no other
// endpoint is tried. Peer is the node beside the target.
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

// ConnectionPlan tells the side that holds the connections what to do.
type ConnectionPlan struct {
	// Wanted is how many connections should be open.
	Wanted int
	// MaxConnecting is how many may be opening at the same time.
	MaxConnecting int
}
