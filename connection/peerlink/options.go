package peerlink

import (
	"cmp"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/connection/wire"
)

// MinKeyBytes is the minimum length of the shared peer key in bytes.
const MinKeyBytes = 16

// Handler receives messages and link events. Calls about one peer come one at a
// time and in order, from a goroutine of that peer. A call may block. Further
// messages from the peer then wait in a bounded inbox, and messages beyond its
// limits are dropped and counted.
type Handler interface {
	// HandleMessage is called with a pointer to a registered message type.
	HandleMessage(from string, message any)
	// LinkUp is called when a link to the peer is open.
	LinkUp(peer string)
	// LinkDown is called when an open link was closed, and when a dial has
	// failed. The error is nil if the link was idle or was closed normally by
	// the peer.
	LinkDown(peer string, err error)
}

// Options configure Links. Self, ListenAddress, Key, Codec, Handler and Resolve
// are required.
type Options struct {
	// Self is this node's name.
	Self string
	// ListenAddress is the address of the peer listener, IP:port.
	ListenAddress string
	// Key is the peer key that all nodes share. It has at least MinKeyBytes bytes.
	Key []byte
	// Codec encodes and decodes messages. All message types that are sent or
	// received must be registered in it.
	Codec *wire.Codec
	// Handler receives messages and link events.
	Handler Handler
	// Logger receives errors of peers and of the event loop. Nil logs nothing.
	Logger log.Logger
	// Metrics is the registry of the metrics. Nil means a private registry.
	Metrics metrics.Registry
	// Resolve returns the peer address of a node, IP:port, or false if it is not
	// known. It must be safe for concurrent use.
	Resolve func(node string) (address string, ok bool)
	// Limits bound memory and time. Fields that are zero get their defaults.
	Limits Limits
}

// Limits bound the memory that the links use and the time that they wait.
type Limits struct {
	// MaxMessageBytes is the largest size of an encoded message.
	MaxMessageBytes int
	// QueueMessages is the largest number of messages that are queued for one
	// peer.
	QueueMessages int
	// QueueBytes is the largest size of the encoded messages that are queued for
	// one peer.
	QueueBytes int
	// InboxMessages is the largest number of received messages from one peer that
	// wait for the handler.
	InboxMessages int
	// InboxBytes is the largest size of the encoded messages from one peer that
	// wait for the handler.
	InboxBytes int
	// MaxPendingHandshakes is the largest number of accepted connections that are
	// in their handshake.
	MaxPendingHandshakes int
	// MaxNonces is the largest number of handshake nonces that are stored.
	MaxNonces int
	// HandshakeTimeout bounds the time to connect, the time for a handshake, and
	// the time for an orderly close.
	HandshakeTimeout time.Duration
	// MaxClockSkew is the largest difference between the clocks of a dialler and
	// of this node.
	MaxClockSkew time.Duration
	// PingInterval is the interval of pings on a link on which nothing is
	// received.
	PingInterval time.Duration
	// SilenceTimeout is the time without a received byte after which a link is
	// closed.
	SilenceTimeout time.Duration
	// IdleTimeout is the time without a message in either direction after which a
	// link is closed.
	IdleTimeout time.Duration
	// MinRedialDelay and MaxRedialDelay bound the delay after a failed dial, which
	// doubles with each consecutive failure. A random factor from 0.5 to 1.5 is
	// applied to it.
	MinRedialDelay, MaxRedialDelay time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxMessageBytes:      2 << 20,
		QueueMessages:        1024,
		QueueBytes:           4 << 20,
		InboxMessages:        1024,
		InboxBytes:           4 << 20,
		MaxPendingHandshakes: 256,
		MaxNonces:            1 << 16,
		HandshakeTimeout:     3 * time.Second,
		MaxClockSkew:         30 * time.Second,
		PingInterval:         time.Second,
		SilenceTimeout:       3 * time.Second,
		IdleTimeout:          time.Minute,
		MinRedialDelay:       100 * time.Millisecond,
		MaxRedialDelay:       5 * time.Second,
	}
}

// withDefaults returns the limits with the defaults in place of zero fields.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.MaxMessageBytes = cmp.Or(l.MaxMessageBytes, d.MaxMessageBytes)
	l.QueueMessages = cmp.Or(l.QueueMessages, d.QueueMessages)
	l.QueueBytes = cmp.Or(l.QueueBytes, d.QueueBytes)
	l.InboxMessages = cmp.Or(l.InboxMessages, d.InboxMessages)
	l.InboxBytes = cmp.Or(l.InboxBytes, d.InboxBytes)
	l.MaxPendingHandshakes = cmp.Or(l.MaxPendingHandshakes, d.MaxPendingHandshakes)
	l.MaxNonces = cmp.Or(l.MaxNonces, d.MaxNonces)
	l.HandshakeTimeout = cmp.Or(l.HandshakeTimeout, d.HandshakeTimeout)
	l.MaxClockSkew = cmp.Or(l.MaxClockSkew, d.MaxClockSkew)
	l.PingInterval = cmp.Or(l.PingInterval, d.PingInterval)
	l.SilenceTimeout = cmp.Or(l.SilenceTimeout, d.SilenceTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, d.IdleTimeout)
	l.MinRedialDelay = cmp.Or(l.MinRedialDelay, d.MinRedialDelay)
	l.MaxRedialDelay = cmp.Or(l.MaxRedialDelay, d.MaxRedialDelay)
	return l
}

// validate returns an error for the first invalid option.
func (o Options) validate() error {
	switch {
	case !validName(o.Self):
		return errors.New("peer links: node name is empty, too long, or has characters that are not printable ASCII")
	case len(o.Key) < MinKeyBytes:
		return errors.Errorf("peer links: key has %d bytes, needs at least %d", len(o.Key), MinKeyBytes)
	case o.Codec == nil, o.Handler == nil, o.Resolve == nil:
		return errors.New("peer links: codec, handler and resolver are required")
	}
	host, _, err := net.SplitHostPort(o.ListenAddress)
	if err != nil {
		return errors.Wrapf(err, "peer links: listen address %q", o.ListenAddress)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("peer links: listen address %q does not contain an IP address", o.ListenAddress)
	}
	return nil
}
