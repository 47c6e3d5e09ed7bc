// Package rule names the rules that at-most-once rests on, so that tests can
// take one out and show that histories then break the promise. Programs never
// take out any.
package rule

// Set is a set of rules.
type Set uint32

// The rules.
const (
	// Lease: an owner without a lease takes on nothing.
	Lease Set = 1 << iota
	// AckFromSend: an acknowledgement counts from when its beat was sent.
	AckFromSend
	// WitnessWait: a witness acknowledges a higher tenure only when a term has
	// passed since its last acknowledgement, or the former owner released it.
	WitnessWait
	// WitnessFloor: a witness acknowledges no tenure lower than one it knows of.
	WitnessFloor
	// WitnessAbstain: a witness that has just started abstains for a term.
	WitnessAbstain
	// WitnessRead: a witness that has started reads the object first.
	WitnessRead
	// CurrentRead: that read shows the object as it is, not a stale state.
	CurrentRead
	// JointWitnesses: while witnesses change, a lease needs both sets.
	JointWitnesses
	// SealFirst: the former set is dropped only after it was sealed for a term.
	SealFirst
	// WitnessEpoch: a witness refuses beats of lower epochs than it knows of.
	WitnessEpoch
	// DatedFence: a successor doesn't run dated keys that a former owner may
	// have run.
	DatedFence
	// UndatedFence: a successor doesn't run undated keys for a resend window.
	UndatedFence
	// QuietLower: a witness counts the time in which it was quiet from its last
	// acknowledgement of a lower tenure.
	QuietLower
	// QuietEpoch: and from when it came to know of the epoch.
	QuietEpoch
	// FutureBound: an owner refuses keys from further in the future than the skew.
	FutureBound
	// OneClockRead: lease, future bound and fence are judged by one clock read.
	OneClockRead
	// ResendWindow: a dated key older than the resend window is never run.
	ResendWindow
	// UndatedExpiry: the guard refuses an undated order after its expiry.
	UndatedExpiry
	// HandoverStop: an owner that hands over takes on nothing more.
	HandoverStop
	// HandoverFence: the successor of a planned leave keeps its predecessor's
	// fence.
	HandoverFence
	// HandoverMatch: a successor trusts only the transfer that the object names.
	HandoverMatch
	// NewIncarnation: a restarted process doesn't use its former life's tenure.
	NewIncarnation
)

// Has reports whether the set holds the rule.
func (s Set) Has(r Set) bool { return s&r != 0 }
