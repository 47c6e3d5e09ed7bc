package membership

import "verbenatrestle/connection/wire"

// Kinds of this package's messages.
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

// Handles reports whether the message is one of this package.
func Handles(message any) bool {
	switch message.(type) {
	case *Heartbeat, *Gossip, *SyncRequest, *SyncEntries:
		return true
	}
	return false
}

// Heartbeat asks a neighbour for a sign of life, or gives one.
type Heartbeat struct {
	// Ack is set on the answer.
	Ack bool
	// Incarnation, Sequence, Refutations and ConfigVersion are the sender's.
	Incarnation   uint64
	Sequence      uint64
	Refutations   uint64
	ConfigVersion uint64
	// Digest stands for the sender's present members.
	Digest uint64
	// Versions says where a configuration version is in force.
	Versions VersionMap
	// Updates is what travels along.
	Updates Updates
}

// Gossip passes news on at once.
type Gossip struct {
	Updates Updates
}

// Updates is what one message tells of members and rumours. Members are named by
// their place on the ring where the receiver knows them already.
type Updates struct {
	// Records are members with all their fields.
	Records []Member
	// Livenesses are members of which only the life is told.
	Livenesses []Liveness
	// Rumours are messages of other packages.
	Rumours []FloodedRumour
	// RequestedIDs names members whose records the sender asks for.
	RequestedIDs []uint64
}

// empty reports whether there is nothing to tell.
func (n *Updates) empty() bool {
	return len(n.Records)+len(n.Livenesses)+len(n.Rumours)+len(n.RequestedIDs) == 0
}

// Liveness is what the sender believes of a member's life.
type Liveness struct {
	ID          uint64
	Incarnation uint64
	Refutations uint64
	Status      Status
}

// FloodedRumour is a rumour on its way.
type FloodedRumour struct {
	Rumour Rumour
	// Hops is how many nodes have passed it on.
	Hops uint8
}

// SyncRequest asks a peer to compare tables.
type SyncRequest struct {
	// BucketDigests are digests of the sender's present members, by bucket.
	BucketDigests []uint64
}

// SyncEntries lists the sender's members in the buckets that differ.
type SyncEntries struct {
	// Buckets are the buckets that are listed whole.
	Buckets []uint8
	// Entries are the members in them.
	Entries []SyncEntry
}

// SyncEntry says how new the sender's entry of a member is.
type SyncEntry struct {
	ID          uint64
	Incarnation uint64
	Sequence    uint64
	Refutations uint64
	Status      Status
}
