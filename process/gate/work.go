package gate

import "time"

// Request is one request that asks to pass.
type Request struct {
	// ID is the request's id.
	ID string
	// Kind names requests that take about as long as each other.
	Kind string
	// Caller is the service beside which the request began.
	Caller string
	// Priority orders requests by urgency: 0 is the most urgent.
	Priority int
	// Due is when an answer stops being of full use.
	Due time.Time
	// Deadline is when nobody waits for an answer any more.
	Deadline time.Time
	// Retry tells that the request was sent to a target before, or belongs to
	// one that was.
	Retry bool
	// MayHaveRun tells of a repeat that may have run before.
	MayHaveRun bool
	// CausedByRetry tells that the request was probably made by the repeat of another
	// one, so that it counts as a repeat.
	CausedByRetry bool
	// NonIdempotent tells that the request must not run twice.
	NonIdempotent bool
	// HasAlternatives tells that the sender has other targets to ask: a target that can't
	// start the request now at its usual speed refuses it.
	HasAlternatives bool

	// nested tells that a request which is already running waits for this one.
	nested bool
}

// latestUseful returns when an answer is of no use any more. The run that waits for a
// call goes on until its own deadline.
func (w *Request) latestUseful() time.Time {
	if w.nested {
		return w.Deadline
	}
	return w.Due
}

// Refusal says why a request may not pass.
type Refusal string

const (
	// RefusedNoTarget means that no target is known to run here.
	RefusedNoTarget Refusal = "no-target"
	// RefusedDraining means that the target is leaving.
	RefusedDraining Refusal = "target-leaving"
	// RefusedDown means that the target does not take connections.
	RefusedDown Refusal = "target-down"
	// RefusedDataCentreOut means that the target's data centre is out of service.
	RefusedDataCentreOut Refusal = "data-centre-out"
	// RefusedOtherService means that another service's target runs here.
	RefusedOtherService Refusal = "other-service"
	// RefusedFull means that the request would wait for too long.
	RefusedFull Refusal = "full"
	// RefusedCold means that the cold target bears no more at the moment.
	RefusedCold Refusal = "cold"
	// RefusedBusy means that a movable request would have to wait here.
	RefusedBusy Refusal = "busy"
	// RefusedSlow means that the target would work slowly on a movable request.
	RefusedSlow Refusal = "slow"
	// RefusedRetryBudget means that the budget of repeats is spent.
	RefusedRetryBudget Refusal = "repeat-budget"
	// RefusedLate means that the time left is too short.
	RefusedLate Refusal = "too-late"
	// RefusedFenced means that the sender asked that the request never run.
	RefusedFenced Refusal = "fenced"
	// RefusedDuplicate means that a request that must not run twice was here before.
	RefusedDuplicate Refusal = "seen-before"
)
