package ownership

import (
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

const (
	// maxSuspectMessages is the number of candidates to which a node that is no
	// candidate itself reports an owner that it can't reach.
	maxSuspectMessages = 2
	// failingTerms is the number of lease terms for which requests to an owner
	// must have failed without interruption before that alone makes a takeover
	// possible.
	failingTerms = 2
	// maxRestartJitter bounds the random delay before a restarted node takes
	// over the partitions that it owned before.
	maxRestartJitter = 50 * time.Millisecond
)

// suspicion holds the evidence that the owner of a partition has failed. It is
// guarded by Core.mu. Times are readings of the monotonic clock.
type suspicion struct {
	// tenure is the tenure of the suspected owner.
	tenure uint64
	// dead is true while membership does not report the owner's incarnation as
	// alive, and deadAt is when that was first noticed.
	dead   bool
	deadAt time.Duration
	// jitter is a random delay that spreads the takeovers of several nodes.
	jitter time.Duration
	// failing is true if requests to the owner have failed: the first at
	// failedAt, the last at lastFailed.
	failing              bool
	failedAt, lastFailed time.Duration
	// lastReported is when the owner was last reported to candidates.
	lastReported time.Duration
	// noHandoverBefore is the earliest time of the next handover. It does not
	// depend on the tenure.
	noHandoverBefore time.Duration
}

// OwnerFailed reports that the owner of a key could not be reached or had no
// lease. A call for each failed request helps to find failed owners that
// membership reports as alive.
func (c *Core) OwnerFailed(service, key string, now ClockReading) Output {
	var out Output
	c.mu.Lock()
	defer c.mu.Unlock()
	s := (*c.services.Load())[service]
	if s == nil || s.view.Load() == nil {
		return out
	}
	number := assignment.PartitionOf(key, len(s.view.Load().Partitions))
	c.recordOwnerFailure(s, number, now, &out)
	return out
}

// OwnerAnswered reports that the owner of a key answered a request. Earlier
// reports of failure no longer count.
func (c *Core) OwnerAnswered(service, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := (*c.services.Load())[service]
	if s == nil || s.view.Load() == nil {
		return
	}
	number := assignment.PartitionOf(key, len(s.view.Load().Partitions))
	s.suspicions[number].failing = false
}

// recordOwnerFailure records a failed request to the owner of a partition. At
// most once per lease term, a node that is no candidate reports it to candidates.
func (c *Core) recordOwnerFailure(s *service, number int, now ClockReading, out *Output) {
	v := s.view.Load()
	suspect := c.currentSuspicion(s, number)
	if !suspect.failing || now.Monotonic-suspect.lastFailed > c.timing.LeaseTerm {
		suspect.failing = true
		suspect.failedAt = now.Monotonic
	}
	suspect.lastFailed = now.Monotonic
	if now.Monotonic < suspect.lastReported+c.timing.LeaseTerm && suspect.lastReported > 0 {
		return
	}
	suspect.lastReported = now.Monotonic
	candidates := c.candidates(s.id)
	if slices.ContainsFunc(candidates, c.isThisNode) {
		return
	}
	ranked := assignment.RankByLoad(v.Assignment, s.id, number, candidates)
	for _, candidate := range ranked[:min(maxSuspectMessages, len(ranked))] {
		out.send(candidate.Node, &message.Suspect{Service: s.id, Partition: number, Tenure: suspect.tenure})
	}
}

// handleSuspect handles the report of another node that it can't reach an owner.
func (c *Core) handleSuspect(suspect *message.Suspect, now ClockReading, out *Output) {
	s, p := c.partition(suspect.Service, suspect.Partition)
	if p == nil || s.view.Load().Partitions[p.number].Tenure != suspect.Tenure {
		return
	}
	c.recordOwnerFailure(s, p.number, now, out)
}

// currentSuspicion returns the suspicion of a partition's current owner. It
// clears evidence that belongs to a former tenure.
func (c *Core) currentSuspicion(s *service, number int) *suspicion {
	suspect := &s.suspicions[number]
	tenure := s.view.Load().Partitions[number].Tenure
	if suspect.tenure != tenure {
		*suspect = suspicion{tenure: tenure, noHandoverBefore: suspect.noHandoverBefore}
	}
	return suspect
}

// withTakeovers returns the assignment with this node as the owner of all
// partitions that it should take over now, or a itself if there are none.
func (c *Core) withTakeovers(s *service, a *assignment.Assignment, candidates []assignment.Candidate, now ClockReading) *assignment.Assignment {
	for number := range a.Partitions {
		if c.takeoverDue(s, number, candidates, now) {
			a = assignment.Takeover(a, number, c.node, c.incarnation)
		}
	}
	return a
}

// takeoverDue reports whether this node should take over the partition now.
func (c *Core) takeoverDue(s *service, number int, candidates []assignment.Candidate, now ClockReading) bool {
	owned := s.view.Load().Partitions[number]
	if owned.Owner == c.node && c.isThisIncarnation(owned.Incarnation) {
		return false
	}
	suspect := c.currentSuspicion(s, number)
	c.updateOwnerLiveness(suspect, owned, now)
	from := suspect.deadAt
	if !suspect.dead {
		if !suspect.failing || now.Monotonic-suspect.lastFailed > c.timing.LeaseTerm {
			return false
		}
		from = suspect.failedAt + failingTerms*c.timing.LeaseTerm
	}
	return now.Monotonic >= from+c.takeoverDelay(s, number, owned, candidates)+suspect.jitter
}

// updateOwnerLiveness updates since when the owner has not been alive.
func (c *Core) updateOwnerLiveness(suspect *suspicion, owned assignment.Partition, now ClockReading) {
	m, ok := c.members[owned.Owner]
	dead := !ok || !m.Alive || m.Incarnation != owned.Incarnation
	if dead && !suspect.dead {
		suspect.deadAt = now.Monotonic
		suspect.jitter = c.jitter(c.timing.LeaseTerm / 4)
		if owned.Owner == c.node {
			suspect.jitter = c.jitter(maxRestartJitter)
		}
	}
	suspect.dead = dead
}

// takeoverDelay returns the delay of a takeover by this node: one lease term, and
// half a term more for each candidate that is ranked before it. A restarted
// owner takes over its own partitions without this delay.
func (c *Core) takeoverDelay(s *service, number int, owned assignment.Partition, candidates []assignment.Candidate) time.Duration {
	if owned.Owner == c.node {
		return 0
	}
	ranked := assignment.RankByLoad(s.view.Load().Assignment, s.id, number, candidates)
	rank := slices.IndexFunc(ranked, c.isThisNode)
	return c.timing.LeaseTerm + time.Duration(max(rank, 0))*c.timing.LeaseTerm/2
}

// isThisNode reports whether a candidate is this node.
func (c *Core) isThisNode(candidate assignment.Candidate) bool {
	return candidate.Node == c.node
}
