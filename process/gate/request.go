package gate

import (
	"time"

	"verbenatrestle/request"
)

// Request describes a request that asks for admission.
type Request struct {
	// ID identifies the request.
	ID string
	// Fingerprint identifies the content of the request. It is the same if the request
	// comes again under another ID.
	Fingerprint request.Fingerprint
	// Kind groups requests with similar run times.
	Kind string
	// Caller is the service whose node first received the request.
	Caller string
	// OrganisationPriority orders requests by the urgency of their organisations: 0 is the
	// most urgent, and that of requests without an organisation. It goes before Priority.
	OrganisationPriority int
	// Priority orders the requests of equally urgent organisations: 0 is the most urgent.
	Priority int
	// Due is when the latency objective ends, at the latest at Deadline. A later
	// answer is not of full use.
	Due time.Time
	// Deadline is when the caller stops waiting for an answer.
	Deadline time.Time
	// Retry marks a send of a request beyond its first one: an earlier attempt
	// reached a target or may have, even if that target refused to run it.
	Retry bool
	// MayHaveRun marks a request of which an earlier attempt may have run.
	MayHaveRun bool
	// CausedByRetry marks a request that counts as made by the retry of another
	// one. The sender decides that at random, by RetryShare. The request draws on
	// the retry budget but, unless it is a retry itself, is not refused for it.
	CausedByRetry bool
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
	// Suspect marks a request that may crash the target. Only one at a time is sent
	// there, so that a crash shows which one it was.
	Suspect bool
	// HasAlternatives means that the sender can try other targets: if this target
	// can't start the request now at its usual speed, it is refused.
	HasAlternatives bool

	// nested marks a call by another target, whose run waits for this request.
	nested bool
}

// latestUseful returns the time after which an answer is of no use. A nested
// call has until its deadline, since the run that waits for it goes on until
// then.
func (r *Request) latestUseful() time.Time {
	if r.nested {
		return r.Deadline
	}
	return r.Due
}

// Refusal is the reason why a request is not admitted.
type Refusal string

const (
	// RefusedNoTarget means that no target is known to run beside this node.
	RefusedNoTarget Refusal = "no-target"
	// RefusedDraining means that the target shuts down or was deregistered.
	RefusedDraining Refusal = "target-leaving"
	// RefusedDown means that the target can't be reached.
	RefusedDown Refusal = "target-down"
	// RefusedDataCentreOut means that the target's data centre is out of service.
	RefusedDataCentreOut Refusal = "data-centre-out"
	// RefusedOtherService means that the target belongs to another service.
	RefusedOtherService Refusal = "other-service"
	// RefusedFull means that the queue is full or the request would start too late.
	RefusedFull Refusal = "full"
	// RefusedCold is RefusedFull at a target that is cold.
	RefusedCold Refusal = "cold"
	// RefusedLimited is RefusedFull at a target that names a request limit.
	RefusedLimited Refusal = "target-limit"
	// RefusedBusy means that a request with alternatives would have to wait here.
	RefusedBusy Refusal = "busy"
	// RefusedSlow means that a request with alternatives would run slowly here.
	RefusedSlow Refusal = "slow"
	// RefusedRetryBudget means that the retry budget is spent, or its part for
	// requests that may have run. If RetryAfter is zero, other targets may have some left.
	RefusedRetryBudget Refusal = "repeat-budget"
	// RefusedQuarantined means that targets crashed while they ran the request.
	RefusedQuarantined Refusal = "quarantined"
	// RefusedLate means that the deadline has passed or is too close.
	RefusedLate Refusal = "too-late"
	// RefusedFenced means that the request was fenced by its
	// sender.
	RefusedFenced Refusal = "fenced"
	// RefusedDuplicate means that a non-idempotent request with the same ID waits,
	// runs, or has run.
	RefusedDuplicate Refusal = "seen-before"
	// RefusedDedupFull means that no more non-idempotent requests can be remembered.
	RefusedDedupFull Refusal = "dedup-full"
)

// MayHaveRun reports whether a request that was refused for this reason may have run
// here, or at another target after it was fenced off here.
func (r Refusal) MayHaveRun() bool { return r == RefusedDuplicate || r == RefusedFenced }
