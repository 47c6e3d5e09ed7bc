package ownership

import (
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

const (
	// suspectLimit is how many candidates are told of an owner that can't be
	// reached.
	suspectLimit = 2
	// reportTerms is for how many terms an owner must have failed requests
	// without a break before that alone leads to a takeover.
	reportTerms = 2
	// ownRestartJitter bounds the wait of a restarted node before it takes its
	// own partitions over.
	ownRestartJitter = 50 * time.Millisecond
)

// suspicion is what a node holds against the owner of a partition. It is
// guarded by Core.mu.
type suspicion struct {
	// tenure is the tenure that the rest is about.
	tenure uint64
	// dead is true if membership doesn't know the owner as alive, since deadAt.
	dead   bool
	deadAt time.Duration
	// jitter spreads the attempts of several nodes.
	jitter time.Duration
	// failing is true if requests failed since failedAt; the last at lastFailed.
	failing              bool
	failedAt, lastFailed time.Duration
	// told is when candidates were last told.
	told time.Duration
	// noHandoverBefore is when the next handover may be tried.
	noHandoverBefore time.Duration
}

// OwnerFailed reports that the owner of a key could not be reached or had no
// lease.
func (c *Core) OwnerFailed(service, key string, now ClockReading) Output {
	var out Output
	c.mu.Lock()
	defer c.mu.Unlock()
	s := (*c.services.Load())[service]
	if s == nil || s.view.Load() == nil {
		return out
	}
	number := assignment.PartitionOf(key, len(s.view.Load().Partitions))
	c.ownerFailed(s, number, now, &out)
	return out
}

// OwnerAnswered reports that the owner of a key answered.
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

func (c *Core) ownerFailed(s *service, number int, now ClockReading, out *Output) {
	v := s.view.Load()
	suspect := c.suspicion(s, number)
	if !suspect.failing || now.Monotonic-suspect.lastFailed > c.timing.LeaseTerm {
		suspect.failing = true
		suspect.failedAt = now.Monotonic
	}
	suspect.lastFailed = now.Monotonic
	if now.Monotonic < suspect.told+c.timing.LeaseTerm && suspect.told > 0 {
		return
	}
	suspect.told = now.Monotonic
	candidates := c.candidates(s.id)
	if slices.ContainsFunc(candidates, c.isSelf) {
		return
	}
	ranked := assignment.RankByLoad(v.Assignment, s.id, number, candidates)
	for _, candidate := range ranked[:min(suspectLimit, len(ranked))] {
		out.send(candidate.Node, &message.Suspect{Service: s.id, Partition: number, Tenure: suspect.tenure})
	}
}

// handleSuspect takes in that another node can't reach an owner.
func (c *Core) handleSuspect(suspect *message.Suspect, now ClockReading, out *Output) {
	s, p := c.partition(suspect.Service, suspect.Partition)
	if p == nil || s.view.Load().Partitions[p.number].Tenure != suspect.Tenure {
		return
	}
	c.ownerFailed(s, p.number, now, out)
}

// suspicion returns the suspicion of a partition's present tenure.
func (c *Core) suspicion(s *service, number int) *suspicion {
	suspect := &s.suspicions[number]
	tenure := s.view.Load().Partitions[number].Tenure
	if suspect.tenure != tenure {
		*suspect = suspicion{tenure: tenure, noHandoverBefore: suspect.noHandoverBefore}
	}
	return suspect
}

// takeOver returns the assignment with all partitions taken over that this
// node should take now, or a itself if there is none.
func (c *Core) takeOver(s *service, a *assignment.Assignment, candidates []assignment.Candidate, now ClockReading) *assignment.Assignment {
	for number := range a.Partitions {
		if c.takeOverDue(s, number, candidates, now) {
			a = assignment.Takeover(a, number, c.node, c.incarnation)
		}
	}
	return a
}

// takeOverDue reports whether this node should take the partition over now.
func (c *Core) takeOverDue(s *service, number int, candidates []assignment.Candidate, now ClockReading) bool {
	owned := s.view.Load().Partitions[number]
	if owned.Owner == c.node && c.isMyLife(owned.Incarnation) {
		return false
	}
	suspect := c.suspicion(s, number)
	c.watchOwner(suspect, owned, now)
	from := suspect.deadAt
	if !suspect.dead {
		if !suspect.failing || now.Monotonic-suspect.lastFailed > c.timing.LeaseTerm {
			return false
		}
		from = suspect.failedAt + reportTerms*c.timing.LeaseTerm
	}
	return now.Monotonic >= from+c.takeOverWait(s, number, owned, candidates)+suspect.jitter
}

// watchOwner notes since when the owner is not alive.
func (c *Core) watchOwner(suspect *suspicion, owned assignment.Partition, now ClockReading) {
	m, ok := c.members[owned.Owner]
	dead := !ok || !m.Alive || m.Incarnation != owned.Incarnation
	if dead && !suspect.dead {
		suspect.deadAt = now.Monotonic
		suspect.jitter = c.jitter(c.timing.LeaseTerm / 4)
		if owned.Owner == c.node {
			suspect.jitter = c.jitter(ownRestartJitter)
		}
	}
	suspect.dead = dead
}

// takeOverWait returns how long this node waits before a takeover: a term, and
// half a term more for each candidate before it. A restarted owner doesn't
// wait.
func (c *Core) takeOverWait(s *service, number int, owned assignment.Partition, candidates []assignment.Candidate) time.Duration {
	if owned.Owner == c.node {
		return 0
	}
	ranked := assignment.RankByLoad(s.view.Load().Assignment, s.id, number, candidates)
	rank := slices.IndexFunc(ranked, c.isSelf)
	return c.timing.LeaseTerm + time.Duration(max(rank, 0))*c.timing.LeaseTerm/2
}

func (c *Core) isSelf(candidate assignment.Candidate) bool {
	return candidate.Node == c.node
}
