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
	// forgotten is the latest wall-clock time at which claims were forgotten.
	forgotten time.Time
	// tenure is the tenure that this process has, or 0.
	tenure uint64
	// epoch is the epoch of the witnesses that count. A tenure that has not
	// begun counts no acknowledgement of an earlier epoch: what the witness
	// said of former tenures would not hold for the present set.
	epoch uint64
	// begun is true once the tenure had a lease, first at begin.
	begun bool
	begin time.Duration
	// ended is a wall-clock time at which, by what the witnesses said, no former
	// tenure had a lease any more.
	ended time.Time
	// inherited is true if the fence came with the predecessor's claims.
	inherited bool
	fence     fence.Fence
	lease     *lease.Lease
	// stopped is true while the partition is handed over to successor.
	stopped   bool
	successor string
	// outgoing is the transfer to the successor, incoming one that arrives.
	outgoing *outgoing
	incoming *incoming
	// source is the former owner that still tells the ends of runs which it
	// handed over, and sourceLife its incarnation.
	source     string
	sourceLife uint64
	// tail forwards the ends of runs that were going on at a handover.
	tail *tail
}

// enter begins to try for a tenure that the assignment gives to this process.
// The caller holds p.mu.
func (c *Core) enter(s *service, p *partition, a *assignment.Assignment, now ClockReading) {
	assigned := a.Partitions[p.number]
	p.tenure = assigned.Tenure
	p.begun = false
	p.inherited = false
	p.stopped = false
	p.successor = ""
	p.outgoing = nil
	c.countWitnesses(p, a)
	if p.table == nil {
		p.table = claim.NewTable(c.limits, c.incarnation)
	}
	if p.adopt(assigned.Handover, c.without) {
		p.source = assigned.Handover.From
		p.sourceLife = c.members[p.source].Incarnation
	}
}

// countWitnesses makes the witnesses of the assignment count. The caller holds
// p.mu.
func (c *Core) countWitnesses(p *partition, a *assignment.Assignment) {
	if !p.begun {
		p.lease = lease.New(c.timing.LeaseDuration())
		p.ended = time.Time{}
	}
	c.beats.next = 0
	p.epoch = a.Epoch
	p.lease.SetWitnesses(a.Witnesses, a.PreviousWitnesses)
}

// leave ends the tenure of this process and releases it: from here on nothing
// more is taken on under it. The caller holds p.mu.
func (c *Core) leave(s *service, p *partition, assigned assignment.Partition, out *Output) {
	c.beats.release(message.Release{Service: s.id, Partition: p.number, Tenure: p.tenure})
	handed := p.outgoing != nil && assigned.Handover != nil &&
		assigned.Handover.Transfer == p.outgoing.transfer
	if handed {
		c.spread(s, p.outgoing.to, out)
	} else if p.outgoing != nil {
		p.tail = nil
	}
	p.tenure = 0
	p.begun = false
	p.stopped = false
	p.successor = ""
	p.outgoing = nil
}

// predecessorsEnded takes in that a witness has been quiet for a time about
// former tenures. Their leases counted for less than a term from its last
// acknowledgement; most witnesses say so before this tenure begins, and one of
// them is among those that any former lease needed. The witness's clock may run
// fast by the margin. The caller holds p.mu.
func (c *Core) predecessorsEnded(p *partition, now ClockReading, quiet time.Duration) {
	if p.begun {
		return
	}
	quiet = quiet * time.Duration(100-c.timing.DriftMarginPercent) / 100
	ended := now.Wall
	if quiet > c.timing.LeaseTerm {
		ended = now.Wall.Add(c.timing.LeaseTerm - quiet)
	}
	if ended.After(p.ended) {
		p.ended = ended
	}
}

// start begins the tenure if it has its first lease. The caller holds p.mu.
func (c *Core) start(s *service, p *partition, now ClockReading) {
	if p.begun || !p.lease.Valid(now.Monotonic) {
		return
	}
	p.begun = true
	p.begin = now.Monotonic
	if p.inherited {
		return
	}
	p.fence = fence.Fence{}
	if p.tenure > 1 {
		p.fence = fence.ForSuccessor(p.ended, c.timing.MaxClockSkew, s.window())
	}
}

// fenceBefore fences all dated keys up to a time. The caller holds p.mu.
func (p *partition) fenceBefore(keyTime time.Time) {
	if keyTime.After(p.fence.DatedUntil) {
		p.fence.DatedUntil = keyTime
	}
}

// expire forgets claims whose keys can't be run any more. The caller holds p.mu.
func (p *partition) expire(now time.Time) {
	if p.table == nil || !now.After(p.forgotten) {
		return
	}
	p.forgotten = now
	p.table.Expire(now)
}

// notBeforeForgotten returns now, or the time at which claims were last
// forgotten if that is later. A reading taken before a pause must not admit a
// key whose claim was forgotten meanwhile. The caller holds p.mu.
func (p *partition) notBeforeForgotten(now time.Time) time.Time {
	if p.forgotten.After(now) {
		return p.forgotten
	}
	return now
}

// hasLease reports whether operations may be taken on at now. The caller holds
// p.mu.
func (p *partition) hasLease(now time.Duration, without rule.Set) bool {
	if without.Has(rule.Lease) {
		return p.begun
	}
	return p.begun && now >= p.begin && p.lease.Valid(now)
}

// isMyLife reports whether an incarnation is this process.
func (c *Core) isMyLife(incarnation uint64) bool {
	return incarnation == c.incarnation || c.without.Has(rule.NewIncarnation)
}
