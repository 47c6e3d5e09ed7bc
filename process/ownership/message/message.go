// Package message defines the peer messages of ownership: heartbeats to witnesses,
// the replacement of witnesses, handovers of partitions, and announcements.
//
// Messages travel as CBOR arrays, so the order and the types of the fields are
// part of the protocol.
package message

import (
	"time"

	"verbenatrestle/connection/wire"
)

// Kinds of the messages on the wire.
const (
	kindBeat wire.Kind = iota + 30
	kindBeatReply
	kindSeal
	kindSealReply
	kindChunk
	kindChunkReply
	kindResult
	kindResultReply
	kindAssigned
	kindSuspect
)

// Register registers the messages of ownership with a codec. The kinds 30 to 49
// are reserved for them.
func Register(codec *wire.Codec) {
	codec.Register(kindBeat, (*Beat)(nil))
	codec.Register(kindBeatReply, (*BeatReply)(nil))
	codec.Register(kindSeal, (*Seal)(nil))
	codec.Register(kindSealReply, (*SealReply)(nil))
	codec.Register(kindChunk, (*Chunk)(nil))
	codec.Register(kindChunkReply, (*ChunkReply)(nil))
	codec.Register(kindResult, (*Result)(nil))
	codec.Register(kindResultReply, (*ResultReply)(nil))
	codec.Register(kindAssigned, (*Assigned)(nil))
	codec.Register(kindSuspect, (*Suspect)(nil))
}

// Beat is a heartbeat that asks a witness to acknowledge the sender's tenures.
type Beat struct {
	// Sequence identifies the heartbeat. It is unique per sending node.
	Sequence uint64
	// Items are the tenures to acknowledge.
	Items []BeatItem
	// Releases are the tenures that the sender gave up before its lease expired.
	Releases []Release
}

// BeatItem is the tenure of one partition.
type BeatItem struct {
	Service   string
	Partition int
	Tenure    uint64
	// Epoch is the epoch of the witness set from which the sender counts
	// acknowledgements.
	Epoch uint64
	// Starting is true until the tenure has begun. If the item is acknowledged, the
	// reply then has a LastLowerAck for it.
	Starting bool
}

// Release declares that the sender will not use its tenure any more, so that the
// next owner need not wait for a lease term.
type Release struct {
	Service   string
	Partition int
	Tenure    uint64
}

// BeatReply acknowledges all items of a Beat except the refused ones.
type BeatReply struct {
	// Sequence is the sequence number of the Beat.
	Sequence uint64
	// Refused lists the items that are not acknowledged.
	Refused []Refusal
	// LastLowerAcks has an element for each acknowledged item that is starting.
	LastLowerAcks []LastLowerAck
}

// LastLowerAck reports for how long a witness has certainly not acknowledged any
// lower tenure of a partition.
type LastLowerAck struct {
	// Index is the index of the item in Beat.Items.
	Index int
	// MinAge is the minimum time since the witness last acknowledged a lower
	// tenure.
	MinAge time.Duration
}

// Refusal reports why an item of a Beat is not acknowledged.
type Refusal struct {
	// Index is the index of the item in Beat.Items.
	Index int
	// RetryAfter is the time after which the witness may acknowledge the item. Zero
	// means that it never will, or that the time is not known.
	RetryAfter time.Duration
	// Tenure is the highest tenure of the partition that the witness has seen, if
	// the refusal depends on it, else zero.
	Tenure uint64
	// Epoch is the highest epoch of the service that the witness has seen, if the
	// refusal depends on it, else zero.
	Epoch uint64
}

// Seal asks a previous witness to refuse heartbeats of lower epochs.
type Seal struct {
	Service string
	Epoch   uint64
}

// SealReply answers a Seal.
type SealReply struct {
	Service string
	Epoch   uint64
	// Sealed is true once the witness has refused heartbeats of lower epochs for a
	// lease term.
	Sealed bool
}

// Record is one claim of a partition that is handed over.
type Record struct {
	// Key is the claimed key.
	Key string
	// ID identifies the run of the key's operation.
	ID uint64
	// State is a claim.State.
	State uint8
	// Expires is the wall-clock time from which the claim may be removed, in Unix
	// nanoseconds.
	Expires int64
	// Status, Header and Body are the stored answer, if there is one.
	Status int
	Header map[string][]string
	Body   []byte
}

// Chunk transfers a part of the claims of a partition to its next owner.
type Chunk struct {
	Service   string
	Partition int
	// Tenure is the sender's tenure.
	Tenure uint64
	// Transfer identifies the transfer, and Index the chunk within it.
	Transfer uint64
	Index    int
	// Last is true for the last chunk of the transfer.
	Last bool
	// ToIncarnation is the incarnation of the receiver that the chunk is meant for.
	ToIncarnation uint64
	// ResendWindow is the sender's resend window.
	ResendWindow time.Duration
	// FenceDatedUntil and FenceUndatedUntil are the sender's fence, in Unix
	// nanoseconds. Zero means that there is none.
	FenceDatedUntil, FenceUndatedUntil int64
	// NextID is higher than the ID of every run of the partition so far.
	NextID uint64
	// Records are the claims in this chunk.
	Records []Record
}

// ChunkReply answers a Chunk.
type ChunkReply struct {
	Service   string
	Partition int
	Transfer  uint64
	Index     int
	// Refused is true if the receiver can't take over the partition.
	Refused bool
}

// Result reports the outcome of a run whose claim was handed over while it was
// running.
type Result struct {
	Service   string
	Partition int
	Transfer  uint64
	// Aborted is true if the operation was certainly not executed.
	Aborted bool
	// Record is the claim in its final state.
	Record Record
}

// ResultReply answers a Result.
type ResultReply struct {
	Service   string
	Partition int
	Key       string
	ID        uint64
}

// Assigned announces the state of a service's ownership object to a peer.
type Assigned struct {
	Service string
	// Version is the object's version on the platform, and Value its content, an
	// encoded assignment.
	Version uint64
	Value   []byte
}

// Suspect reports to a node of the service that the owner of a partition can't be
// reached.
type Suspect struct {
	Service   string
	Partition int
	// Tenure is the tenure of that owner.
	Tenure uint64
}
