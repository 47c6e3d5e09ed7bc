package configstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// errStale means that the platform showed an older document than the node
// has seen.
var errStale = errors.New("the platform showed a configuration older than the one known")

// UnknownOutcomeError tells that a change may or may not have taken effect. The
// operator sends it again under the same operation ID.
type UnknownOutcomeError struct {
	// OperationID names the change.
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

// UnavailableError tells that a change did not take effect since the platform
// could not be reached or kept changing.
type UnavailableError struct {
	// OperationID names the change.
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
