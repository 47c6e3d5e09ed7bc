package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound means that the platform holds no object under the key.
	ErrNotFound = errors.New("object not found")
	// ErrCompacted means that the platform no longer has the changes since the
	// revision that a watch asked for.
	ErrCompacted = errors.New("changes are no longer kept")
	// ErrUnavailable means that the call surely had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that the call may have had its effect.
	ErrUnknownOutcome = errors.New("platform answer unknown")
)

// ConflictError refuses a conditional write or delete. The call had no effect.
type ConflictError struct {
	// Version is the object's version now. Zero means that there is no object.
	Version uint64
	// Value is the object's value now.
	Value []byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the object has version %d", e.Version)
}

// RateLimitedError refuses a call beyond the platform's rate. The call had no
// effect; errors.Is finds ErrUnavailable in it.
type RateLimitedError struct {
	// RetryAfter is how long the platform asks to wait.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited: come back after %s", e.RetryAfter)
}

// Is makes a RateLimitedError an ErrUnavailable.
func (e *RateLimitedError) Is(target error) bool {
	return target == ErrUnavailable
}

// callError joins what an error tells about the call's effect with its cause.
type callError struct {
	kind  error
	cause error
}

func (e *callError) Error() string {
	return fmt.Sprintf("%v: %v", e.kind, e.cause)
}

func (e *callError) Unwrap() []error {
	return []error{e.kind, e.cause}
}
