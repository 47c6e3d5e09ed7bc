package exchange

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Kind tells what went wrong in an exchange.
type Kind string

const (
	// KindDial means that no connection could be opened.
	KindDial Kind = "dial"
	// KindPoolExhausted means that the pool's limit of connections is reached.
	KindPoolExhausted Kind = "connections-full"
	// KindBroken means that the connection ended before the whole answer.
	KindBroken Kind = "connection-broken"
	// KindMalformed means that what came is no valid answer to the request.
	KindMalformed Kind = "malformed-answer"
	// KindTimeout means that the deadline passed before the whole answer.
	KindTimeout Kind = "timeout"
	// KindCancelled means that the caller gave up.
	KindCancelled Kind = "cancelled"
)

// Error is the failure of an exchange.
type Error struct {
	// Kind tells what went wrong.
	Kind Kind
	// RemoteAddr is the address of the other side.
	RemoteAddr string
	// MaybeSent tells that bytes of the request may have reached the peer. Without
	// it, the peer has surely not seen the request.
	MaybeSent bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with %s: %s: %v", e.RemoteAddr, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// AsError returns the *Error in err's chain, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// kindOf sorts an error of a connection that was in use under ctx.
func kindOf(ctx context.Context, err error, otherwise Kind) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindTimeout
	case ctx.Err() != nil:
		return KindCancelled
	case isTimeout(err):
		return KindTimeout
	}
	return otherwise
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}
