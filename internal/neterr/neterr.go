// Package neterr classifies errors of network connections.
package neterr

import (
	"io"
	"net"
	"net/textproto"
	"net/url"
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

// MalformedPart names the part of a message that net/http could not parse. The texts of its
// errors quote the message, which may hold a key of a caller; this one does not.
func MalformedPart(err error) string {
	var target *url.Error
	var line textproto.ProtocolError
	switch {
	case errors.As(err, &target):
		return "invalid request target"
	case errors.As(err, &line):
		return "invalid header line"
	}
	return "invalid start line, length or transfer encoding"
}
