package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound means that no object with the key exists.
	ErrNotFound = errors.New("object not found")
	// ErrCompacted means that the platform no longer stores the changes since the
	// revision from which a watch was to continue.
	ErrCompacted = errors.New("revision has been compacted")
	// ErrNoResponse is the cause of a call whose response did not begin in time.
	ErrNoResponse = errors.New("no response")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that the call failed and may have had its effect.
	ErrUnknownOutcome = errors.New("platform call has an unknown outcome")
)

// ConflictError reports that a conditional write or delete was rejected, since the
// object has another version. The call had no effect.
type ConflictError struct {
	// Version is the current version of the object. Zero means that it doesn't
	// exist.
	Version uint64
	// Value is the current value of the object.
	Value []byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the object has version %d", e.Version)
}

// RateLimitedError reports that the platform rejected a call because of its rate
// limit. The call had no effect; errors.Is reports ErrUnavailable for it.
type RateLimitedError struct {
	// RetryAfter is how long the client should wait before it calls again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited: retry after %s", e.RetryAfter)
}

// Is makes errors.Is(err, ErrUnavailable) true for a RateLimitedError.
func (e *RateLimitedError) Is(target error) bool {
	return target == ErrUnavailable
}

// callError is the error of a failed call: its class, which says whether the call
// may have had an effect, and its cause.
type callError struct {
	// class is ErrUnavailable or ErrUnknownOutcome.
	class error
	cause error
}

func (e *callError) Error() string {
	return fmt.Sprintf("%v: %v", e.class, e.cause)
}

func (e *callError) Unwrap() []error {
	return []error{e.class, e.cause}
}
