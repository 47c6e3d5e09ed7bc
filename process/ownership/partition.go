package ownership

import (
	"sync"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/lease"
	"verbenatrestle/process/ownership/message"
)

// partition is the state of one partition of a service at this node.
type partition struct {
	number int

	// mu guards the fields below.
	mu sync.Mutex
	// table holds the claims. It is created with the first tenure of this
	// process.
	table *claim.Table
	// lastExpiry is the latest wall-clock time at which claims were expired.
	lastExpiry time.Time
	// tenure is the tenure that this process has, or 0 if another process owns
	// the partition.
	tenure uint64
	// epoch is the epoch of the current witnesses. Before the tenure has begun,
	// acknowledgements of an earlier epoch don't count: what a witness reported
	// about former tenures then does not hold for the current witnesses.
	epoch uint64
	// begun is true once the tenure has obtained its first lease, at begunAt on
	// the monotonic clock.
	begun   bool
	begunAt time.Duration
	// formerLeasesEnd is a wall-clock time at which no former tenure had a
	// lease any more, according to the witnesses.
	formerLeasesEnd time.Time
	// fenceInherited is true if the fence was transferred by the predecessor.
	fenceInherited bool
	fence          fence.Fence
	lease          *lease.Lease
	// handingOver is true while the partition is being handed over to successor.
	handingOver bool
	successor   string
	// outgoing is the transfer to the successor, and incoming the transfer that
	// this process is receiving.
	outgoing *outgoingTransfer
	incoming *incomingTransfer
	// predecessor is the previous owner that still sends the results of runs that
	// were in progress at the handover, and predecessorIncarnation its
	// incarnation.
	predecessor            string
	predecessorIncarnation uint64
	// forwarder forwards the results of runs that were in progress when this
	// process handed the partition over.
	forwarder *resultForwarder
}

// acceptTenure prepares for a tenure that the assignment gives to this process.
// The tenure begins with its first lease. The caller holds p.mu.
func (c *Core) acceptTenure(s *service, p *partition, a *assignment.Assignment, now ClockReading) {
	assigned := a.Partitions[p.number]
	p.tenure = assigned.Tenure
	p.begun = false
	p.fenceInherited = false
	p.handingOver = false
	p.successor = ""
	p.outgoing = nil
	c.setWitnesses(p, a)
	if p.table == nil {
		p.table = claim.NewTable(c.limits, c.incarnation)
	}
	if p.importTransfer(assigned.Handover, c.disabledRules) {
		p.predecessor = assigned.Handover.From
		p.predecessorIncarnation = c.members[p.predecessor].Incarnation
	}
}

// setWitnesses sets the witnesses whose acknowledgements count for the lease.
// The caller holds p.mu.
func (c *Core) setWitnesses(p *partition, a *assignment.Assignment) {
	if !p.begun {
		p.lease = lease.New(c.timing.LeaseDuration())
		p.formerLeasesEnd = time.Time{}
	}
	c.heartbeats.next = 0
	p.epoch = a.Epoch
	p.lease.SetWitnesses(a.Witnesses, a.PreviousWitnesses)
}

// endTenure ends the tenure of this process and releases it at the witnesses.
// No more operations are accepted under it. The caller holds p.mu.
func (c *Core) endTenure(s *service, p *partition, assigned assignment.Partition, out *Output) {
	c.heartbeats.addRelease(message.Release{Service: s.id, Partition: p.number, Tenure: p.tenure})
	handedOver := p.outgoing != nil && assigned.Handover != nil &&
		assigned.Handover.Transfer == p.outgoing.transfer
	if handedOver {
		c.sendObject(s, p.outgoing.to, out)
	} else if p.outgoing != nil {
		p.forwarder = nil
	}
	p.tenure = 0
	p.begun = false
	p.handingOver = false
	p.successor = ""
	p.outgoing = nil
}

// updateFormerLeasesEnd updates the time at which the leases of former tenures
// had ended, given that a witness last acknowledged one of them at least minAge
// ago. An acknowledgement supports a lease for less than a term. A majority of the
// witnesses reports such an age before this tenure begins, and every former lease
// needed at least one of them. The witness's clock may run fast by the margin, so
// minAge is reduced by it. The caller holds p.mu.
func (c *Core) updateFormerLeasesEnd(p *partition, now ClockReading, minAge time.Duration) {
	if p.begun {
		return
	}
	minAge = minAge * time.Duration(100-c.timing.DriftMarginPercent) / 100
	ended := now.Wall
	if minAge > c.timing.LeaseTerm {
		ended = now.Wall.Add(c.timing.LeaseTerm - minAge)
	}
	if ended.After(p.formerLeasesEnd) {
		p.formerLeasesEnd = ended
	}
}

// beginTenure begins the tenure if it has obtained its first lease, and computes
// its fence unless the predecessor transferred one. The caller holds p.mu.
func (c *Core) beginTenure(s *service, p *partition, now ClockReading) {
	if p.begun || !p.lease.Valid(now.Monotonic) {
		return
	}
	p.begun = true
	p.begunAt = now.Monotonic
	if p.fenceInherited {
		return
	}
	p.fence = fence.Fence{}
	if p.tenure > 1 {
		p.fence = fence.ForSuccessor(p.formerLeasesEnd, c.timing.MaxClockSkew, s.resendWindow())
	}
}

// fenceKeysBefore extends the fence to all dated keys up to keyTime. The caller
// holds p.mu.
func (p *partition) fenceKeysBefore(keyTime time.Time) {
	if keyTime.After(p.fence.DatedUntil) {
		p.fence.DatedUntil = keyTime
	}
}

// expireClaims removes claims whose keys are too old to be run. The caller holds
// p.mu.
func (p *partition) expireClaims(now time.Time) {
	if p.table == nil || !now.After(p.lastExpiry) {
		return
	}
	p.lastExpiry = now
	p.table.Expire(now)
}

// notBeforeLastExpiry returns now, or the time at which claims were last expired
// if that is later. A clock reading taken before a pause of the process must not
// admit a key whose claim expired during the pause. The caller holds p.mu.
func (p *partition) notBeforeLastExpiry(now time.Time) time.Time {
	if p.lastExpiry.After(now) {
		return p.lastExpiry
	}
	return now
}

// hasLease reports whether the tenure has begun and its lease is valid at now.
// The caller holds p.mu.
func (p *partition) hasLease(now time.Duration, disabled rule.Set) bool {
	if disabled.Has(rule.Lease) {
		return p.begun
	}
	return p.begun && now >= p.begunAt && p.lease.Valid(now)
}

// isThisIncarnation reports whether an incarnation of this node is this process.
func (c *Core) isThisIncarnation(incarnation uint64) bool {
	return incarnation == c.incarnation || c.disabledRules.Has(rule.NewIncarnation)
}
