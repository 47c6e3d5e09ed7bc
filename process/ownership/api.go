package ownership

import (
	"context"
	"time"

	"verbenatrestle/process/ownership/timing"
)

// ClockReading is a reading of the monotonic clock and the wall clock of a
// process.
type ClockReading = timing.ClockReading

// ServiceSpec holds the configuration of a service that ownership needs.
type ServiceSpec struct {
	// ID is the service's identifier, "organisation/service".
	ID string
	// Partitions is the number of partitions of the key space. It is used when
	// the service's ownership object is created and can't be changed later.
	Partitions int
	// ResendWindow is how long the claim of a key is kept. Zero means
	// timing.DefaultResendWindow.
	ResendWindow time.Duration
}

// Member is a node as membership reports it.
type Member struct {
	// Node is the node's name.
	Node string
	// Incarnation identifies one run of the node's process.
	Incarnation uint64
	// DataCentre is the node's data centre.
	DataCentre string
	// Services lists the identifiers of the services whose targets run beside
	// the node.
	Services []string
	// Alive is false for a node that membership has declared dead.
	Alive bool
	// Eligible is false for a node that should own no partitions because it is
	// leaving, or because its target or its data centre is out of service.
	Eligible bool
}

// Object is an object of the platform with its version.
type Object struct {
	// Key is the object's key.
	Key string
	// Version grows with each change of the object. Zero means that the object
	// does not exist.
	Version uint64
	// Value is the object's content.
	Value []byte
	// Deleted is true for an object that was deleted.
	Deleted bool
}

// Platform is the part of the platform's object API that ownership uses.
type Platform interface {
	// Get reads an object. For a missing object it returns version 0 and no
	// error.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion; 0 creates the
	// object. If the version differs, Put returns the current object and
	// conflict is true. platform.ErrUnavailable means that the write has no
	// effect. After any other error it may or may not take effect.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (current Object, conflict bool, err error)
	// Watch waits at most wait for changes later than revision of objects whose
	// keys begin with prefix. With revision 0 it returns all these objects
	// without waiting.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (objects []Object, next uint64, err error)
}

// Sender sends messages to other nodes.
type Sender interface {
	// Send sends a message to the node named to. It must not block, and the
	// message may be lost.
	Send(to string, message any) error
}
