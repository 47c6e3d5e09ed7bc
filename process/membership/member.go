package membership

import (
	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/load"
)

// Status is the state of a member as last known to this node.
type Status uint8

const (
	// Alive means that the member runs.
	Alive Status = iota
	// Suspect means that the member didn't answer a neighbour, or that their
	// link broke. It still counts as present, and may refute the suspicion.
	Suspect
	// Dead means that the member didn't refute a suspicion in time.
	Dead
	// Left means that the member announced that it stops.
	Left
	statusCount
)

var statusNames = [statusCount]string{"alive", "suspect", "dead", "left"}

// String returns the name of the status, or "unknown" for an undefined value.
func (s Status) String() string {
	if s >= statusCount {
		return "unknown"
	}
	return statusNames[s]
}

// Present reports whether a member with this status is assumed to run, which
// includes suspects.
func (s Status) Present() bool {
	return s == Alive || s == Suspect
}

// Member describes a node and the target beside it.
type Member struct {
	// Node is the node's name, unique in the fleet.
	Node string
	// DataCentre and Region are the locality of the node.
	DataCentre, Region string
	// Incarnation is the start time of the process, in Unix nanoseconds. It may
	// be higher after a conflict with another process under the same name.
	Incarnation uint64
	// Sequence counts the member's own changes in this incarnation, except
	// those of ConfigVersion alone.
	Sequence uint64
	// PeerAddress, HopAddress and AdminAddress are the addresses of the node's
	// listeners, as IP:port.
	PeerAddress, HopAddress, AdminAddress string
	// Service is the version.ServiceID of the target, "" without a target.
	Service string
	// Target is the state of the target.
	Target load.State
	// Instance identifies the process of the target; a restart changes it.
	Instance string
	// Slots is how many requests a warm target may run concurrently.
	Slots int
	// ColdLimit is how many requests a cold target may run concurrently.
	ColdLimit int
	// ConfigVersion is the active configuration version of the node.
	ConfigVersion uint64
	// Refutations counts how often the member has refuted a suspicion in this
	// incarnation.
	Refutations uint64
	// Status is the state of the member as last known to this node.
	Status Status
}

// contentOlderThan reports whether the content of m is older than that of
// other. The content is every field except Refutations, Status and
// ConfigVersion.
func (m *Member) contentOlderThan(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation < other.Incarnation
	}
	return m.Sequence < other.Sequence
}

// liveness returns the status of the member as it is sent to other nodes. Dead
// is sent as Suspect, because each node declares a suspect dead by its own
// clock.
func (m *Member) liveness() Liveness {
	status := m.Status
	if status == Dead {
		status = Suspect
	}
	return Liveness{ID: ringID(m.Node), Incarnation: m.Incarnation, Refutations: m.Refutations, Status: status}
}

// ringID returns the hash of a node's name. It is the member's position on the
// ring, and identifies the member in messages.
func ringID(node string) uint64 {
	return xxhash.Sum64String(node)
}
