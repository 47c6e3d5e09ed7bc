package ownership

import (
	"time"

	"verbenatrestle/process/ownership/claim"
)

// Verdict tells what to do with a request that claims a key.
type Verdict uint8

// Verdicts of Claim.
const (
	// NotOwner means that the request belongs to the node that Owner names, or
	// to one not known here yet if Owner is empty. If RetryAfter is set, the
	// partition is on its way there: try after that time.
	NotOwner Verdict = iota + 1
	// Run means: dispatch the operation once, then Complete or Abort the ticket.
	Run
	// Replay means that the operation was run and Answer is its answer.
	Replay
	// Done means that the operation was run and its answer is not kept.
	Done
	// InProgress means that the operation runs now. When Wait is closed, claim again.
	InProgress
	// Unknown means that the operation may have been run, and won't be run again.
	Unknown
	// Refused means that this attempt was not and will not be run.
	Refused
)

// String returns the verdict's name for logs and dumps.
func (v Verdict) String() string {
	names := [...]string{"none", "not-owner", "run", "replay", "done", "in-progress", "unknown", "refused"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Reason tells why a request was refused, moved on or is unknown.
type Reason string

// Reasons of decisions.
const (
	ReasonNoAssignment   Reason = "no-assignment"  // the service's ownership object is not known yet
	ReasonNoLease        Reason = "no-lease"       // most witnesses haven't acknowledged lately
	ReasonMoving         Reason = "moving"         // the partition is being handed over
	ReasonFutureKey      Reason = "future-key"     // the key's time lies in the future
	ReasonExpiredKey     Reason = "expired-key"    // the key is older than the resend window
	ReasonExpired        Reason = "expired"        // the undated request reached its expiry
	ReasonFenced         Reason = "fenced"         // a former owner may have run the key
	ReasonClaimsFull     Reason = "claims-full"    // the partition keeps as many claims as it may
	ReasonUnknownOutcome Reason = "unknown-end"    // the run's end is not known, and never will be
	ReasonInvalidKey     Reason = "invalid-key"    // the key is empty or too long
	ReasonStopped        Reason = "stopped"        // the node doesn't own keys any more
	ReasonUnknownClaim   Reason = "unknown-ticket" // the ticket names no running claim
)

// ClaimHandle names a running claim.
type ClaimHandle struct {
	// Service is the service's identifier, "organisation/service".
	Service string
	// Partition is the number of the key's partition.
	Partition int
	// Key is the idempotency key.
	Key string
	// ID tells this run of the key from others.
	ID uint64
}

// Request is a request to run the operation that a key names.
type Request struct {
	// Service is the service's identifier, "organisation/service".
	Service string
	// Key is the idempotency key.
	Key string
	// Expires is the wall-clock time after which the request must not be run.
	// The ingress sets it for undated keys; zero means no such limit.
	Expires time.Time
}

// Decision is the answer to a Request.
type Decision struct {
	// Verdict says what to do.
	Verdict Verdict
	// Reason says why, for Unknown, Refused and NotOwner.
	Reason Reason
	// Handle is set for Run.
	Handle ClaimHandle
	// Expiry is set for Run of an undated key: the guard must check it against
	// its wall clock last, before the target gets the request.
	Expiry time.Time
	// Answer is set for Replay.
	Answer *claim.Answer
	// Wait is set for InProgress. It is closed when the run ends.
	Wait <-chan struct{}
	// Owner is the node to go to, for NotOwner. Empty if none is known.
	Owner string
	// Tenure is the tenure under which was decided.
	Tenure uint64
	// RetryAfter tells when to come back, for Refused and NotOwner.
	RetryAfter time.Duration
}
