// Package neterr classifies errors of network connections.
package neterr

import (
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// IsRefused reports whether no process listens at the address that was dialled.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsConnection reports whether an error comes from the connection, and not from the parser
// of what arrived.
func IsConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
}
