package ownership

import (
	"sync/atomic"
	"time"

	"verbenatrestle/process/ownership/assignment"
)

// view is an assignment with the version of its object. It is never changed.
type view struct {
	*assignment.Assignment
	version uint64
}

// service is what a node knows of one service.
type service struct {
	id string
	// spec, view and partitions are replaced as a whole under Core.mu, and read
	// without it.
	spec       atomic.Pointer[ServiceSpec]
	view       atomic.Pointer[view]
	partitions atomic.Pointer[[]*partition]

	// What follows is guarded by Core.mu.

	// needsReview is true if something new is known, so that the service is to be
	// looked at before nextReview.
	needsReview bool
	nextReview  time.Duration
	// addedAt is when the service became known.
	addedAt time.Duration
	// pendingWrite is the conditional write that is under way, or nil.
	pendingWrite *pendingWrite
	// nextWrite is when the next write may be tried.
	nextWrite time.Duration
	// objectMissing is true while the object is missing although it was there.
	objectMissing bool
	read          pendingRead
	seal          sealProgress
	// nextWitnessCheck is when the witnesses are looked at again.
	nextWitnessCheck time.Duration
	// witnessMissingSince is since when a witness is missing; zero means none is.
	witnessMissingSince time.Duration
	suspicions          []suspicion
	// nextRebalance is when the next partition may be handed over to even out.
	nextRebalance time.Duration
}

// setSpec takes in a new specification. A longer resend window doesn't bring
// back claims that were forgotten under the shorter one, so keys of that age
// are fenced.
func (s *service) setSpec(spec ServiceSpec, now Clock) {
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

// allPartitions returns the partitions, or none before the assignment is known.
func (s *service) allPartitions() []*partition {
	if list := s.partitions.Load(); list != nil {
		return *list
	}
	return nil
}

// hasClaims reports whether this process ever owned a partition.
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

// version returns the version of the object as far as it is known.
func (s *service) version() uint64 {
	if v := s.view.Load(); v != nil {
		return v.version
	}
	return 0
}

// applyObject takes in an ownership object. A read is true if it was read from the
// platform since this process started.
func (c *Core) applyObject(s *service, a *assignment.Assignment, version uint64, read bool, now Clock, out *Output) {
	c.witness.Observe(s.id, a, read, now.Mono)
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

func (c *Core) addPartitions(s *service, count int) {
	list := make([]*partition, count)
	for i := range list {
		list[i] = &partition{number: i}
	}
	s.suspicions = make([]suspicion, count)
	s.partitions.Store(&list)
}

// applyPartition follows a change of one partition's owner.
func (c *Core) applyPartition(s *service, p *partition, a *assignment.Assignment, now Clock, out *Output) {
	assigned := a.Partitions[p.number]
	mine := assigned.Owner == c.node && c.isThisIncarnation(assigned.Incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case mine && p.tenure == assigned.Tenure && p.epoch == a.Epoch:
	case mine && p.tenure == assigned.Tenure:
		c.setWitnesses(p, a)
	case mine:
		c.acceptTenure(s, p, a, now)
	case p.tenure != 0:
		c.endTenure(s, p, assigned, out)
	}
	p.dropStaleTransfer(assigned.Tenure)
}
