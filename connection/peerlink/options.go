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

// MinKeyBytes is the least length of the shared peer key.
const MinKeyBytes = 16

// Handler is told what happens on the links. Calls about one peer come one at
// a time and in order, from a goroutine of that peer. A call may block: further
// messages of that peer then wait in a bounded queue, and what exceeds it is
// dropped and counted.
type Handler interface {
	// HandleMessage is called with a pointer to a registered message type.
	HandleMessage(from string, message any)
	// LinkUp is called when a link to the peer is open.
	LinkUp(peer string)
	// LinkDown is called when an open link has closed, and when a dial has
	// failed. The error is nil when the link closed because it was idle.
	LinkDown(peer string, err error)
}

// Options are the settings of Links. Self, Key, Codec, Handler and Resolve are
// required.
type Options struct {
	// Self is this node's name.
	Self string
	// ListenAddress is IP:port of the peer listener.
	ListenAddress string
	// Key is the peer key that all nodes share, at least MinKeyBytes long.
	Key []byte
	// Codec knows every message type that may be sent or received.
	Codec *wire.Codec
	// Handler is told of messages and links.
	Handler Handler
	// Logger takes JSON lines; nil logs nothing.
	Logger log.Logger
	// Metrics takes the counters; nil keeps them unregistered.
	Metrics metrics.Registry
	// Resolve returns the peer address, IP:port, of a node.
	Resolve func(node string) (address string, ok bool)
	// Limits bound memory and time; zero fields take their defaults.
	Limits Limits
}

// Limits bound what the links may hold and how long they may wait.
type Limits struct {
	// MaxMessageBytes is the largest message, encoded, in bytes.
	MaxMessageBytes int
	// QueueMessages is how many messages may wait for one peer.
	QueueMessages int
	// QueueBytes is how many encoded bytes may wait for one peer.
	QueueBytes int
	// InboxMessages is how many received messages of one peer may wait for
	// the handler.
	InboxMessages int
	// InboxBytes is how many encoded bytes of one peer's received messages may
	// wait for the handler.
	InboxBytes int
	// MaxPendingHandshakes is how many accepted connections may be in their handshake.
	MaxPendingHandshakes int
	// MaxNonces is how many handshake nonces are remembered.
	MaxNonces int
	// HandshakeTimeout bounds a dial and an accepted connection's handshake.
	HandshakeTimeout time.Duration
	// MaxClockSkew is how far a dialler's clock may be off in a handshake.
	MaxClockSkew time.Duration
	// PingInterval is how often a silent link is pinged.
	PingInterval time.Duration
	// SilenceTimeout is how long a peer may be silent before the link is down.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a link without messages stays open.
	IdleTimeout time.Duration
	// MinRedialDelay and RedialMax bound the growing pause after a failed dial.
	MinRedialDelay, MaxRedialDelay time.Duration
}

// DefaultLimits returns the limits that zero fields take.
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

// withDefaults returns the limits with zero fields set to their defaults.
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

// check reports the first option that can't be used.
func (o Options) check() error {
	switch {
	case !validName(o.Self):
		return errors.New("peer links: name of this node is empty or has odd characters")
	case len(o.Key) < MinKeyBytes:
		return errors.Errorf("peer links: key has %d bytes, needs %d", len(o.Key), MinKeyBytes)
	case o.Codec == nil, o.Handler == nil, o.Resolve == nil:
		return errors.New("peer links: codec, handler and resolver are required")
	}
	host, _, err := net.SplitHostPort(o.ListenAddress)
	if err != nil {
		return errors.Wrapf(err, "peer links: listen address %q", o.ListenAddress)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("peer links: listen address %q is not an IP number", o.ListenAddress)
	}
	return nil
}
