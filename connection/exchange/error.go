package exchange

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Kind classifies the failure of an exchange.
type Kind string

const (
	// KindDial means that no connection could be opened.
	KindDial Kind = "dial"
	// KindPoolExhausted means that Options.MaxOpenConnections is reached.
	KindPoolExhausted Kind = "connections-full"
	// KindBroken means that the connection failed before the response was
	// complete.
	KindBroken Kind = "connection-broken"
	// KindSilent means that the server acknowledged nothing of the request, while a new
	// connection to it works.
	KindSilent Kind = "connection-silent"
	// KindUnreachable means that the server acknowledged nothing of the request, and no new
	// connection to it could be opened.
	KindUnreachable Kind = "unreachable"
	// KindMalformed means that the server sent no valid response to the request.
	KindMalformed Kind = "malformed-answer"
	// KindMemoryExhausted means that Options.Memory did not allow the body of the response.
	KindMemoryExhausted Kind = "memory-full"
	// KindTimeout means that the deadline passed before the response was
	// complete.
	KindTimeout Kind = "timeout"
	// KindCancelled means that the context was cancelled.
	KindCancelled Kind = "cancelled"
)

// Error describes the failure of an exchange.
type Error struct {
	// Kind classifies the failure.
	Kind Kind
	// RemoteAddr is the address of the server, host:port.
	RemoteAddr string
	// MaybeSent means that bytes of the request may have reached the server. If
	// it is false, the server has certainly not seen the request.
	MaybeSent bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error. Package gateway sends this text to callers, as the
// detail of a problem document. The texts of this package's errors must therefore
// not change.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with %s: %s: %v", e.RemoteAddr, e.Kind, e.Cause)
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// TimedOut reports whether the cause is that something took too long.
func (e *Error) TimedOut() bool { return isTimeout(e.Cause) }

// AsError returns the *Error in err's chain, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// classify returns the Kind of an error on a connection that was used with ctx.
// It is fallback unless the context ended or the error is a timeout.
func classify(ctx context.Context, err error, fallback Kind) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindTimeout
	case ctx.Err() != nil:
		return KindCancelled
	case isTimeout(err):
		return KindTimeout
	}
	return fallback
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}
