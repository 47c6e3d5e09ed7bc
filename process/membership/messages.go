package membership

import "verbenatrestle/connection/wire"

// Message kinds of this package.
const (
	kindHeartbeat   wire.Kind = 10
	kindGossip      wire.Kind = 11
	kindSyncRequest wire.Kind = 12
	kindSyncEntries wire.Kind = 13
)

// Register registers the messages of this package with the codec.
func Register(codec *wire.Codec) {
	codec.Register(kindHeartbeat, (*Heartbeat)(nil))
	codec.Register(kindGossip, (*Gossip)(nil))
	codec.Register(kindSyncRequest, (*SyncRequest)(nil))
	codec.Register(kindSyncEntries, (*SyncEntries)(nil))
}

// Handles reports whether the message belongs to this package and is to be
// passed to Table.Handle.
func Handles(message any) bool {
	switch message.(type) {
	case *Heartbeat, *Gossip, *SyncRequest, *SyncEntries:
		return true
	}
	return false
}

// Heartbeat asks a neighbour for an answer, or is such an answer.
type Heartbeat struct {
	// Ack is set in an answer.
	Ack bool
	// Incarnation, Sequence, Refutations and ConfigVersion are the sender's.
	Incarnation   uint64
	Sequence      uint64
	Refutations   uint64
	ConfigVersion uint64
	// Digest is a digest of the present members in the sender's table, the
	// sender included.
	Digest uint64
	// Versions shows on which members a configuration version is active.
	Versions VersionMap
	// Updates are piggybacked on the heartbeat.
	Updates Updates
}

// Gossip carries updates that don't wait for a heartbeat: urgent ones, and
// answers to a peer.
type Gossip struct {
	Updates Updates
}

// Updates holds the updates about members and the rumours of one message.
// Livenesses and RequestedIDs identify a member by its ring ID, the hash of the
// node's name.
type Updates struct {
	// Records are complete entries of members.
	Records []Member
	// Livenesses are changes of the status alone.
	Livenesses []Liveness
	// Rumours are messages of other packages.
	Rumours []FloodedRumour
	// RequestedIDs are the ring IDs of members whose records the sender
	// requests.
	RequestedIDs []uint64
}

// empty reports whether there is nothing to send.
func (u *Updates) empty() bool {
	return len(u.Records)+len(u.Livenesses)+len(u.Rumours)+len(u.RequestedIDs) == 0
}

// Liveness is the status of a member as last known to the sender. ID is the
// member's ring ID.
type Liveness struct {
	ID          uint64
	Incarnation uint64
	Refutations uint64
	Status      Status
}

// FloodedRumour is a rumour as it is forwarded from node to node.
type FloodedRumour struct {
	Rumour Rumour
	// Hops is how many times the rumour was forwarded before this message.
	Hops uint8
}

// SyncRequest asks a peer to compare its table with the sender's.
type SyncRequest struct {
	// BucketDigests has a digest of the sender's present members for each of
	// the bucketCount buckets.
	BucketDigests []uint64
}

// SyncEntries answers a SyncRequest with the sender's members in buckets that
// differ.
type SyncEntries struct {
	// Buckets are the indexes of the buckets that are listed completely.
	Buckets []uint8
	// Entries are the members in these buckets.
	Entries []SyncEntry
}

// SyncEntry contains the counters and the status of the sender's entry of a
// member. ID is the member's ring ID.
type SyncEntry struct {
	ID          uint64
	Incarnation uint64
	Sequence    uint64
	Refutations uint64
	Status      Status
}
