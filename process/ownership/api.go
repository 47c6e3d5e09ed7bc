package ownership

import (
	"context"
	"time"

	"verbenatrestle/process/ownership/timing"
)

// ClockReading is one reading of both clocks of a process.
type ClockReading = timing.ClockReading

// ServiceSpec is what the configuration says of a service.
type ServiceSpec struct {
	// ID is the service's identifier, "organisation/service".
	ID string
	// Partitions is the number of parts of the key space. It is used when the
	// service's ownership object is created, and fixed from then on.
	Partitions int
	// ResendWindow is how long a key is remembered. Zero means the default.
	ResendWindow time.Duration
}

// Member is what membership says of a node.
type Member struct {
	// Node is the node's name.
	Node string
	// Incarnation identifies the life of the node's process.
	Incarnation uint64
	// DataCentre is the node's data centre.
	DataCentre string
	// Services lists the identifiers of the services whose targets the node
	// stands beside.
	Services []string
	// Alive is false for a node that membership holds for dead.
	Alive bool
	// Eligible is false for a node that should own nothing: it leaves, its
	// target is out of service or its data centre is.
	Eligible bool
}

// Object is a value of the platform with its version.
type Object struct {
	// Key is the object's key.
	Key string
	// Version grows with each change of the object. Zero means no object.
	Version uint64
	// Value is the object's content.
	Value []byte
	// Deleted is true for an object that was deleted.
	Deleted bool
}

// Platform is the part of the platform's object API that ownership uses.
type Platform interface {
	// Get reads an object. A missing object has version 0 and no error.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion; 0 creates it. If
	// the version differs it returns the current object and conflict true. An
	// error means that the write may or may not take effect.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (current Object, conflict bool, err error)
	// Watch waits up to wait for changes after revision below prefix. With
	// revision 0 it lists all objects at once.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (objects []Object, next uint64, err error)
}

// Sender sends a message to a node. It never blocks; a message may be lost.
type Sender interface {
	Send(to string, message any) error
}
