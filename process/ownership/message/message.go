// Package message defines what nodes tell each other about ownership.
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

// Register makes the messages of ownership known to codec, as kinds 30 to 49.
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

// Beat asks a witness to acknowledge the sender's tenures.
type Beat struct {
	// Sequence identifies the beat. No two beats of a node share one.
	Sequence uint64
	// Items are the tenures.
	Items []BeatItem
	// Releases are tenures that ended before their time.
	Releases []Release
}

// BeatItem is the tenure of one partition.
type BeatItem struct {
	Service   string
	Partition int
	Tenure    uint64
	// Epoch is the epoch of the witnesses that the sender counts.
	Epoch uint64
	// Starting is true as long as the tenure has not begun. The reply then says
	// for how long the former ones have been quiet.
	Starting bool
}

// Release tells that the sender won't use its tenure any more.
type Release struct {
	Service   string
	Partition int
	Tenure    uint64
}

// BeatReply acknowledges all items of a beat but those listed.
type BeatReply struct {
	Sequence uint64
	Refused  []Refusal
	// LastLowerAcks is given for acknowledged items that are starting.
	LastLowerAcks []LastLowerAck
}

// LastLowerAck tells for how long a witness has surely not acknowledged any lower
// tenure of a partition.
type LastLowerAck struct {
	// Index is the position of the item in the beat.
	Index int
	// MinAge is that time.
	MinAge time.Duration
}

// Refusal tells why an item of a beat is not acknowledged.
type Refusal struct {
	// Index is the position of the item in the beat.
	Index int
	// RetryAfter is the time after which the item may be acknowledged. Zero means
	// never, or not known.
	RetryAfter time.Duration
	// Tenure is the highest tenure that the witness knows of.
	Tenure uint64
	// Epoch is the highest epoch that the witness knows of.
	Epoch uint64
}

// Seal asks a former witness to refuse beats of lower epochs.
type Seal struct {
	Service string
	Epoch   uint64
}

// SealReply answers a Seal.
type SealReply struct {
	Service string
	Epoch   uint64
	// Sealed is true when beats of lower epochs were refused for a term.
	Sealed bool
}

// Record is one claim that is handed over.
type Record struct {
	Key string
	// ID identifies the run of the key.
	ID uint64
	// State is a claim.State.
	State uint8
	// Expires is when the claim may be forgotten, in Unix nanoseconds.
	Expires int64
	// Status, Header and Body are the kept answer, if there is one.
	Status int
	Header map[string][]string
	Body   []byte
}

// Chunk is a part of the claims of a partition that is handed over.
type Chunk struct {
	Service   string
	Partition int
	// Tenure is the tenure that hands over.
	Tenure uint64
	// Transfer identifies the transfer, and Index the chunk within it.
	Transfer uint64
	Index    int
	// Last is true for the last chunk.
	Last bool
	// ToIncarnation is the life of the receiver that is meant.
	ToIncarnation uint64
	// ResendWindow is the sender's resend window.
	ResendWindow time.Duration
	// FenceDatedUntil and FenceUndated are the fence of the tenure that hands over,
	// in Unix nanoseconds; zero means none.
	FenceDatedUntil, FenceUndatedUntil int64
	// NextID is higher than the ID of any run so far.
	NextID uint64
	// Records are the claims.
	Records []Record
}

// ChunkReply answers a Chunk.
type ChunkReply struct {
	Service   string
	Partition int
	Transfer  uint64
	Index     int
	// Refused is true if the receiver can't take the partition.
	Refused bool
}

// Result tells the end of a run that was going on when it was handed over.
type Result struct {
	Service   string
	Partition int
	Transfer  uint64
	// Aborted is true if the operation was proved not run.
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

// Assigned spreads an ownership object.
type Assigned struct {
	Service string
	// Version is the version of the object, and Value its content.
	Version uint64
	Value   []byte
}

// Suspect tells a node of the service that an owner can't be reached.
type Suspect struct {
	Service   string
	Partition int
	Tenure    uint64
}
