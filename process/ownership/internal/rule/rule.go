// Package rule names the rules on which the at-most-once guarantee rests. Tests
// disable a rule to show that there is a history of events in which an operation
// then runs twice. Programs never disable any rule.
package rule

// Set is a set of rules.
type Set uint32

// The rules.
const (
	// Lease: an owner without a lease accepts no operations.
	Lease Set = 1 << iota
	// AckFromSend: an acknowledgement counts from the time at which its heartbeat
	// was sent, not from its arrival.
	AckFromSend
	// WitnessWait: a witness acknowledges a higher tenure only after a lease term
	// has passed since it last acknowledged a lower one, or after the owner of
	// that tenure released it.
	WitnessWait
	// WitnessFloor: a witness acknowledges no tenure lower than the highest one
	// that it has seen.
	WitnessFloor
	// WitnessAbstain: a witness acknowledges nothing for a lease term after its
	// start, since it doesn't know what its earlier incarnation acknowledged.
	WitnessAbstain
	// WitnessRead: a witness acknowledges nothing until it has read the ownership
	// object since its start.
	WitnessRead
	// CurrentRead: that read returns the current state of the object, not a stale
	// one.
	CurrentRead
	// JointWitnesses: while the witnesses are being replaced, a lease needs a
	// majority of the new and of the previous ones.
	JointWitnesses
	// SealFirst: the previous witnesses are removed only after they have been
	// sealed for a lease term.
	SealFirst
	// WitnessEpoch: a witness refuses heartbeats with an epoch lower than the
	// highest one that it has seen.
	WitnessEpoch
	// DatedFence: a successor doesn't run dated keys that a previous owner may
	// have run.
	DatedFence
	// UndatedFence: a successor doesn't run undated keys for a resend window.
	UndatedFence
	// QuietLower: the minimum age that a witness reports (message.LastLowerAck)
	// doesn't reach back beyond its last acknowledgement of a lower tenure.
	QuietLower
	// QuietEpoch: that minimum age doesn't reach back beyond the time at which the
	// witness learnt of the current epoch.
	QuietEpoch
	// FutureBound: an owner refuses dated keys whose time is ahead of its wall
	// clock by more than the maximum clock skew.
	FutureBound
	// OneClockRead: the lease, FutureBound and the fence are checked against one
	// and the same reading of the clock.
	OneClockRead
	// ResendWindow: a dated key older than the resend window is never run.
	ResendWindow
	// UndatedExpiry: the owner, and the node beside the target, refuse a request
	// with an undated key after its expiry.
	UndatedExpiry
	// HandoverStop: an owner that hands its partition over accepts no further
	// operations.
	HandoverStop
	// HandoverFence: a successor by handover keeps its predecessor's fence.
	HandoverFence
	// HandoverMatch: a successor uses the claims only of the transfer that the
	// ownership object names.
	HandoverMatch
	// NewIncarnation: a restarted process doesn't use the tenure of its earlier
	// incarnation.
	NewIncarnation
)

// Has reports whether the set contains the rule.
func (s Set) Has(r Set) bool { return s&r != 0 }
