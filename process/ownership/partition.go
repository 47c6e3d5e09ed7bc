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

// partition is this node's part in one partition of a service.
type partition struct {
	number int

	// mu guards what follows.
	mu sync.Mutex
	// table holds the claims. It is made with the first tenure.
	table *claim.Table
	// lastExpiry is the latest wall-clock time at which claims were forgotten.
	lastExpiry time.Time
	// tenure is the tenure that this process has, or 0.
	tenure uint64
	// epoch is the epoch of the witnesses that count. A tenure that has not
	// begun counts no acknowledgement of an earlier epoch: what the witness
	// said of former tenures would not hold for the present set.
	epoch uint64
	// begun is true once the tenure had a lease, first at begin.
	begun   bool
	begunAt time.Duration
	// formerLeasesEnd is a wall-clock time at which, by what the witnesses said, no former
	// tenure had a lease any more.
	formerLeasesEnd time.Time
	// fenceInherited is true if the fence came with the predecessor's claims.
	fenceInherited bool
	fence          fence.Fence
	lease          *lease.Lease
	// handingOver is true while the partition is handed over to successor.
	handingOver bool
	successor   string
	// outgoing is the transfer to the successor, incoming one that arrives.
	outgoing *outgoingTransfer
	incoming *incomingTransfer
	// predecessor is the former owner that still tells the ends of runs which it
	// handed over, and sourceLife its incarnation.
	predecessor            string
	predecessorIncarnation uint64
	// forwarder forwards the ends of runs that were going on at a handover.
	forwarder *resultForwarder
}

// acceptTenure begins to try for a tenure that the assignment gives to this process.
// The caller holds p.mu.
func (c *Core) acceptTenure(s *service, p *partition, a *assignment.Assignment, now Clock) {
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

// setWitnesses makes the witnesses of the assignment count. The caller holds
// p.mu.
func (c *Core) setWitnesses(p *partition, a *assignment.Assignment) {
	if !p.begun {
		p.lease = lease.New(c.timing.Lease())
		p.formerLeasesEnd = time.Time{}
	}
	c.heartbeats.next = 0
	p.epoch = a.Epoch
	p.lease.SetWitnesses(a.Witnesses, a.PreviousWitnesses)
}

// endTenure ends the tenure of this process and releases it: from here on nothing
// more is taken on under it. The caller holds p.mu.
func (c *Core) endTenure(s *service, p *partition, assigned assignment.Partition, out *Output) {
	c.heartbeats.addRelease(message.Release{Service: s.id, Partition: p.number, Tenure: p.tenure})
	handed := p.outgoing != nil && assigned.Handover != nil &&
		assigned.Handover.Transfer == p.outgoing.transfer
	if handed {
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

// updateFormerLeasesEnd takes in that a witness has been quiet for a time about
// former tenures. Their leases counted for less than a term from its last
// acknowledgement; most witnesses say so before this tenure begins, and one of
// them is among those that any former lease needed. The witness's clock may run
// fast by the margin. The caller holds p.mu.
func (c *Core) updateFormerLeasesEnd(p *partition, now Clock, quiet time.Duration) {
	if p.begun {
		return
	}
	quiet = quiet * time.Duration(100-c.timing.MarginPercent) / 100
	ended := now.Wall
	if quiet > c.timing.Term {
		ended = now.Wall.Add(c.timing.Term - quiet)
	}
	if ended.After(p.formerLeasesEnd) {
		p.formerLeasesEnd = ended
	}
}

// beginTenure begins the tenure if it has its first lease. The caller holds p.mu.
func (c *Core) beginTenure(s *service, p *partition, now Clock) {
	if p.begun || !p.lease.Valid(now.Mono) {
		return
	}
	p.begun = true
	p.begunAt = now.Mono
	if p.fenceInherited {
		return
	}
	p.fence = fence.Fence{}
	if p.tenure > 1 {
		p.fence = fence.After(p.formerLeasesEnd, c.timing.Skew, s.resendWindow())
	}
}

// fenceKeysBefore fences all dated keys up to a time. The caller holds p.mu.
func (p *partition) fenceKeysBefore(keyTime time.Time) {
	if keyTime.After(p.fence.Dated) {
		p.fence.Dated = keyTime
	}
}

// expireClaims forgets claims whose keys can't be run any more. The caller holds p.mu.
func (p *partition) expireClaims(now time.Time) {
	if p.table == nil || !now.After(p.lastExpiry) {
		return
	}
	p.lastExpiry = now
	p.table.Expire(now)
}

// notBeforeLastExpiry returns now, or the time at which claims were last
// forgotten if that is later. A reading taken before a pause must not admit a
// key whose claim was forgotten meanwhile. The caller holds p.mu.
func (p *partition) notBeforeLastExpiry(now time.Time) time.Time {
	if p.lastExpiry.After(now) {
		return p.lastExpiry
	}
	return now
}

// hasLease reports whether operations may be taken on at now. The caller holds
// p.mu.
func (p *partition) hasLease(now time.Duration, without rule.Set) bool {
	if without.Has(rule.Lease) {
		return p.begun
	}
	return p.begun && now >= p.begunAt && p.lease.Valid(now)
}

// isThisIncarnation reports whether an incarnation is this process.
func (c *Core) isThisIncarnation(incarnation uint64) bool {
	return incarnation == c.incarnation || c.disabledRules.Has(rule.NewIncarnation)
}
