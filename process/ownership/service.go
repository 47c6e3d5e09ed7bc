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

	// review is true if something new is known, so that the service is to be
	// looked at before nextReview.
	review     bool
	nextReview time.Duration
	// since is when the service became known.
	since time.Duration
	// change is the conditional write that is under way, or nil.
	change *change
	// nextChange is when the next write may be tried.
	nextChange time.Duration
	// gone is true while the object is missing although it was there.
	gone bool
	read readState
	seal sealState
	// nextWitnessCheck is when the witnesses are looked at again.
	nextWitnessCheck time.Duration
	// witnessMissing is since when a witness is missing; zero means none is.
	witnessMissing time.Duration
	suspicions     []suspicion
	// nextBalance is when the next partition may be handed over to even out.
	nextBalance time.Duration
}

// setSpec takes in a new specification. A longer resend window doesn't bring
// back claims that were forgotten under the shorter one, so keys of that age
// are fenced.
func (s *service) setSpec(spec ServiceSpec, now ClockReading) {
	old := s.spec.Load()
	s.spec.Store(&spec)
	if old == nil || spec.ResendWindow <= old.ResendWindow {
		return
	}
	for _, p := range s.list() {
		p.mu.Lock()
		p.fenceBefore(now.Wall.Add(-old.ResendWindow))
		p.mu.Unlock()
	}
}

func (s *service) window() time.Duration { return s.spec.Load().ResendWindow }

// list returns the partitions, or none before the assignment is known.
func (s *service) list() []*partition {
	if list := s.partitions.Load(); list != nil {
		return *list
	}
	return nil
}

// hasClaims reports whether this process ever owned a partition.
func (s *service) hasClaims() bool {
	for _, p := range s.list() {
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

// observe takes in an ownership object. A read is true if it was read from the
// platform since this process started.
func (c *Core) observe(s *service, a *assignment.Assignment, version uint64, read bool, now ClockReading, out *Output) {
	c.witness.HandleAssignment(s.id, a, read, now.Monotonic)
	if version <= s.version() {
		return
	}
	s.review = true
	s.view.Store(&view{Assignment: a, version: version})
	if s.partitions.Load() == nil {
		c.addPartitions(s, len(a.Partitions))
	}
	if s.change != nil && s.change.version < version {
		s.change = nil
	}
	for i, p := range s.list() {
		if i < len(a.Partitions) {
			c.observePartition(s, p, a, now, out)
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

// observePartition follows a change of one partition's owner.
func (c *Core) observePartition(s *service, p *partition, a *assignment.Assignment, now ClockReading, out *Output) {
	assigned := a.Partitions[p.number]
	mine := assigned.Owner == c.node && c.isMyLife(assigned.Incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case mine && p.tenure == assigned.Tenure && p.epoch == a.Epoch:
	case mine && p.tenure == assigned.Tenure:
		c.countWitnesses(p, a)
	case mine:
		c.enter(s, p, a, now)
	case p.tenure != 0:
		c.leave(s, p, assigned, out)
	}
	p.dropStale(assigned.Tenure)
}
