package ownership

import (
	"sync/atomic"
	"time"

	"verbenatrestle/process/ownership/assignment"
)

// view is an assignment with the version of its object. It is immutable.
type view struct {
	*assignment.Assignment
	version uint64
}

// service is the state of one service at this node.
type service struct {
	id string
	// The values of spec, view and partitions are never changed, only replaced
	// under Core.mu, and they are read without holding it.
	spec       atomic.Pointer[ServiceSpec]
	view       atomic.Pointer[view]
	partitions atomic.Pointer[[]*partition]

	// The fields below are guarded by Core.mu. Times are readings of the
	// monotonic clock.

	// needsReview is true if the state has changed, so that the service is
	// reviewed before nextReview.
	needsReview bool
	nextReview  time.Duration
	// addedAt is when the service was added to the configuration.
	addedAt time.Duration
	// pendingWrite is the conditional write that has no result yet, or nil.
	pendingWrite *pendingWrite
	// nextWrite is the earliest time of the next write.
	nextWrite time.Duration
	// objectMissing is true while the object does not exist although it existed
	// before.
	objectMissing bool
	read          pendingRead
	seal          sealProgress
	// nextWitnessCheck is when the witnesses are checked again.
	nextWitnessCheck time.Duration
	// witnessMissingSince is when a witness was first found missing. Zero means
	// that none is missing.
	witnessMissingSince time.Duration
	// suspicions holds the suspicion of the owner of each partition.
	suspicions []suspicion
	// nextRebalance is the earliest time of the next handover that rebalances
	// partitions.
	nextRebalance time.Duration
}

// setSpec replaces the specification. Claims that expired under a shorter resend
// window can't be recovered when the window becomes longer, so keys of that age
// are fenced.
func (s *service) setSpec(spec ServiceSpec, now ClockReading) {
	old := s.spec.Load()
	s.spec.Store(&spec)
	if old == nil || spec.ResendWindow <= old.ResendWindow {
		return
	}
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		p.fenceKeysBefore(now.Wall.Add(-old.ResendWindow))
		p.mu.Unlock()
	}
}

func (s *service) resendWindow() time.Duration { return s.spec.Load().ResendWindow }

// allPartitions returns the partitions by number. It returns nil before this
// node has received the ownership object.
func (s *service) allPartitions() []*partition {
	if list := s.partitions.Load(); list != nil {
		return *list
	}
	return nil
}

// hasClaims reports whether this process owns or has owned a partition.
func (s *service) hasClaims() bool {
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		owned := p.table != nil
		p.mu.Unlock()
		if owned {
			return true
		}
	}
	return false
}

// version returns the last known version of the object, or 0.
func (s *service) version() uint64 {
	if v := s.view.Load(); v != nil {
		return v.version
	}
	return 0
}

// applyObject applies an ownership object if it is newer than the last known
// one. read is true if the object was read from the platform since this process
// started.
func (c *Core) applyObject(s *service, a *assignment.Assignment, version uint64, read bool, now ClockReading, out *Output) {
	c.witness.HandleAssignment(s.id, a, read, now.Monotonic)
	if version <= s.version() {
		return
	}
	s.needsReview = true
	s.view.Store(&view{Assignment: a, version: version})
	if s.partitions.Load() == nil {
		c.addPartitions(s, len(a.Partitions))
	}
	if s.pendingWrite != nil && s.pendingWrite.version < version {
		s.pendingWrite = nil
	}
	for i, p := range s.allPartitions() {
		if i < len(a.Partitions) {
			c.applyPartition(s, p, a, now, out)
		}
	}
}

// addPartitions creates the partitions of a service whose first assignment has
// arrived.
func (c *Core) addPartitions(s *service, count int) {
	list := make([]*partition, count)
	for i := range list {
		list[i] = &partition{number: i}
	}
	s.suspicions = make([]suspicion, count)
	s.partitions.Store(&list)
}

// applyPartition applies a new assignment to one partition.
func (c *Core) applyPartition(s *service, p *partition, a *assignment.Assignment, now ClockReading, out *Output) {
	assigned := a.Partitions[p.number]
	owned := assigned.Owner == c.node && c.isThisIncarnation(assigned.Incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case owned && p.tenure == assigned.Tenure && p.epoch == a.Epoch:
	case owned && p.tenure == assigned.Tenure:
		c.setWitnesses(p, a)
	case owned:
		c.acceptTenure(s, p, a, now)
	case p.tenure != 0:
		c.endTenure(s, p, assigned, out)
	}
	p.dropStaleTransfer(assigned.Tenure)
}
