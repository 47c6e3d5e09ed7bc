package ownership

import (
	"time"

	"verbenatrestle/process/ownership/claim"
)

// Verdict says what to do with a request that claims a key.
type Verdict uint8

// Verdicts of Core.Claim.
const (
	// NotOwner means that this process does not own the key now. The request
	// should be sent to Owner, which may be this node if its tenure has not
	// begun yet or if an earlier incarnation of it was the owner. Owner is empty
	// if the owner is not known. If RetryAfter is set, the partition is changing
	// its owner or has none yet, and the request should be tried again after that
	// time.
	NotOwner Verdict = iota + 1
	// Run means that the caller has to dispatch the operation once, and then
	// pass Handle to Complete, MarkUnknown or Abort.
	Run
	// Replay means that the operation was run. Answer is its answer.
	Replay
	// Done means that the operation was run and its answer is not kept.
	Done
	// InProgress means that the operation is running. The caller claims the key
	// again when Wait is closed.
	InProgress
	// Unknown means that the operation may have been run. It won't be run again.
	Unknown
	// Refused means that this request has not run the operation and will not.
	Refused
)

// String returns the verdict's name, which is part of a metric's name.
func (v Verdict) String() string {
	names := [...]string{"none", "not-owner", "run", "replay", "done", "in-progress", "unknown", "refused"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Reason says why a decision is NotOwner, Unknown or Refused.
type Reason string

// Reasons of decisions.
const (
	ReasonNoAssignment   Reason = "no-assignment"  // this node has not received the service's ownership object
	ReasonNoLease        Reason = "no-lease"       // the tenure has no lease: no majority of the witnesses has acknowledged a recent heartbeat
	ReasonMoving         Reason = "moving"         // the partition is changing its owner
	ReasonFutureKey      Reason = "future-key"     // the key's time is further in the future than the clock skew
	ReasonExpiredKey     Reason = "expired-key"    // the key is older than the resend window
	ReasonExpired        Reason = "expired"        // the request for an undated key has expired
	ReasonFenced         Reason = "fenced"         // a previous owner may have run the key
	ReasonClaimsFull     Reason = "claims-full"    // the partition has the maximum number of claims
	ReasonUnknownOutcome Reason = "unknown-end"    // the outcome of the run is not known
	ReasonInvalidKey     Reason = "invalid-key"    // the key is empty or longer than MaxKeyBytes
	ReasonStopped        Reason = "stopped"        // the node no longer owns keys
	ReasonUnknownClaim   Reason = "unknown-ticket" // the handle belongs to no running claim
)

// ClaimHandle identifies a claim whose operation is running.
type ClaimHandle struct {
	// Service is the service's identifier, "organisation/service".
	Service string
	// Partition is the number of the key's partition.
	Partition int
	// Key is the idempotency key.
	Key string
	// ID identifies this run of the key.
	ID uint64
}

// Request is a request to run the operation that a key identifies.
type Request struct {
	// Service is the service's identifier, "organisation/service".
	Service string
	// Key is the idempotency key.
	Key string
	// Expires is the wall-clock time after which the operation must not be run.
	// The ingress sets it for undated keys. Zero means no limit.
	Expires time.Time
}

// Decision is the result of a Request.
type Decision struct {
	// Verdict says what to do with the request.
	Verdict Verdict
	// Reason explains the verdicts Unknown, Refused and NotOwner. NotOwner has
	// none if the request only reached the wrong node.
	Reason Reason
	// Handle is set for Run.
	Handle ClaimHandle
	// Expiry is set for Run of an undated key. The node beside the target must
	// compare it with its wall clock immediately before it sends the request to
	// the target, and must not send the request after this time.
	Expiry time.Time
	// Answer is set for Replay.
	Answer *claim.Answer
	// Wait is set for InProgress. It is closed when the run ends.
	Wait <-chan struct{}
	// Owner is set for NotOwner. It is empty if the owner is not known.
	Owner string
	// Tenure is the tenure of the partition, or 0 if it is not given.
	Tenure uint64
	// RetryAfter is the delay before the request should be sent again, for
	// Refused and NotOwner. Zero means that no delay is given.
	RetryAfter time.Duration
}
