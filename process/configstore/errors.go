package configstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// errStale means that the platform returned an older document than the commit,
// the node or the operator has already seen.
var errStale = errors.New("the platform returned a configuration older than the last known one")

// UnknownOutcomeError means that a change may or may not have taken effect. The
// operator should send it again under the same operation ID.
type UnknownOutcomeError struct {
	// OperationID identifies the change.
	OperationID string
	// Cause is the last error.
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("commit configuration: operation %s may have taken effect: %v; send it again with the same operation ID", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError means that a change did not take effect, because the
// platform could not be reached, returned stale documents, or because other
// changes came first at every attempt.
type UnavailableError struct {
	// OperationID identifies the change.
	OperationID string
	// Cause is the last error.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("commit configuration: operation %s did not take effect: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
