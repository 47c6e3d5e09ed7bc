package membership

import (
	"github.com/cespare/xxhash/v2"

	"verbenatrestle/connection/load"
)

// Status says what this node believes of a member.
type Status uint8

const (
	// Alive means that the member runs.
	Alive Status = iota
	// Suspect means that a neighbour of the member hears nothing from it. A
	// suspect is still used; it may yet refute.
	Suspect
	// Dead means that the member didn't refute the suspicion in time.
	Dead
	// Left means that the member said that it stops.
	Left
	statusCount
)

var statusNames = [statusCount]string{"alive", "suspect", "dead", "left"}

// String returns the status's name.
func (s Status) String() string {
	if s >= statusCount {
		return "unknown"
	}
	return statusNames[s]
}

// Present reports whether a member of this status is taken to run.
func (s Status) Present() bool {
	return s == Alive || s == Suspect
}

// Member is what is known of a node and of the target beside it.
type Member struct {
	// Node is the node's name, unique in the fleet.
	Node string
	// DataCentre and Region say where the node runs.
	DataCentre, Region string
	// Incarnation is the start of the process, in Unix nanoseconds.
	Incarnation uint64
	// Sequence counts the member's own changes within its incarnation.
	Sequence uint64
	// PeerAddress, HopAddress and AdminAddress are IP:port of its listeners.
	PeerAddress, HopAddress, AdminAddress string
	// Service is the version.ServiceID of its target, "" without a target.
	Service string
	// Target is the state of the target.
	Target load.State
	// Instance names the run of the target's process.
	Instance string
	// Slots is how many requests the target may run at once when warm.
	Slots int
	// ColdLimit is how many requests it may run at once when cold.
	ColdLimit int
	// ConfigVersion is the configuration version in force on the node.
	ConfigVersion uint64
	// Refutations counts how often the member, in this incarnation, has
	// contradicted a suspicion against it.
	Refutations uint64
	// Status is what this node believes of the member.
	Status Status
}

// contentOlderThan reports whether the content of m (all but Refutations, Status
// and ConfigVersion) is older than that of other.
func (m *Member) contentOlderThan(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation < other.Incarnation
	}
	return m.Sequence < other.Sequence
}

// liveness returns what m says of the member's life.
func (m *Member) liveness() Liveness {
	status := m.Status
	if status == Dead {
		// Each node lets a suspect die by its own clock.
		status = Suspect
	}
	return Liveness{ID: ringID(m.Node), Incarnation: m.Incarnation, Refutations: m.Refutations, Status: status}
}

// ringID is a member's place on the ring and its short name in messages.
func ringID(node string) uint64 {
	return xxhash.Sum64String(node)
}
