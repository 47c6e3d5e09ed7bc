package ownership

import (
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

// createStep is the time between the attempts of successive candidates to create
// the object of a service that has none.
const createStep = 200 * time.Millisecond

// reviewPeriod is the time between two reviews of a service whose state has not
// changed.
const reviewPeriod = 100 * time.Millisecond

// Tick starts everything that is due. It must be called several times per
// heartbeat interval.
func (c *Core) Tick(now ClockReading) Output {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		c.checkHandovers(services[id], now, &out)
	}
	c.startDue(now, &out)
	return out
}

// Handle handles a message from another node or from this one. It returns false
// for a type of message that doesn't belong to ownership.
func (c *Core) Handle(from string, m any, now ClockReading) (Output, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	switch m := m.(type) {
	case *message.Beat:
		c.handleHeartbeat(from, m, now, &out)
	case *message.BeatReply:
		c.handleHeartbeatReply(from, m, now)
	case *message.Seal:
		c.handleSeal(from, m, now, &out)
	case *message.SealReply:
		c.handleSealReply(from, m)
	case *message.Chunk:
		c.handleChunk(from, m, now, &out)
	case *message.ChunkReply:
		c.handleChunkReply(from, m, now, &out)
	case *message.Result:
		c.handleResult(from, m, &out)
	case *message.ResultReply:
		c.handleResultReply(from, m)
	case *message.Assigned:
		c.handleAssigned(m, now, &out)
	case *message.Suspect:
		c.handleSuspect(m, now, &out)
	default:
		return out, false
	}
	c.startDue(now, &out)
	return out, true
}

// handleAssigned handles an object that another node sent.
func (c *Core) handleAssigned(m *message.Assigned, now ClockReading, out *Output) {
	s := (*c.services.Load())[m.Service]
	if s == nil {
		return
	}
	// An object that can't be decoded is treated like a lost message: the watch
	// delivers the object from the platform.
	_ = c.handleObject(s, m.Version, m.Value, false, now, out)
}

// startDue starts the writes, reads and heartbeats that are due.
func (c *Core) startDue(now ClockReading, out *Output) {
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		c.advanceService(services[id], now, out)
	}
	c.issueReads(now, out)
	c.sendHeartbeats(now, out)
}

// advanceService starts what is due for one service. Only the owners of its
// partitions and the candidates for ownership take part.
func (c *Core) advanceService(s *service, now ClockReading, out *Output) {
	candidates := c.candidates(s.id)
	v := s.view.Load()
	if v == nil {
		c.createObject(s, candidates, now, out)
		return
	}
	if !s.needsReview && now.Monotonic < s.nextReview {
		return
	}
	s.needsReview = false
	s.nextReview = now.Monotonic + reviewPeriod
	owns := v.OwnedCount(c.node) > 0
	if !owns && !slices.ContainsFunc(candidates, c.isThisNode) {
		return
	}
	c.startHandovers(s, v, candidates, now, out)
	c.sealWitnesses(s, v, candidates, now, out)
	if s.pendingWrite != nil || now.Monotonic < s.nextWrite {
		return
	}
	a := v.Assignment
	if slices.ContainsFunc(candidates, c.isThisNode) {
		a = c.withTakeovers(s, a, candidates, now)
	}
	a = c.withSuccessors(s, a)
	if a == v.Assignment {
		a = c.withWitnessChange(s, v, candidates, now)
	}
	if a != v.Assignment {
		c.startWrite(s, a, now, out)
	}
}

// createObject writes the first object of a service. Each candidate waits a
// lease term after the service was added, and createStep more for each candidate
// that is ranked before it.
func (c *Core) createObject(s *service, candidates []assignment.Candidate, now ClockReading, out *Output) {
	if s.pendingWrite != nil || now.Monotonic < s.nextWrite {
		return
	}
	if now.Monotonic < s.addedAt+c.timing.LeaseTerm || !slices.ContainsFunc(candidates, c.isThisNode) {
		return
	}
	rank := slices.IndexFunc(assignment.Rank(s.id, 0, candidates), c.isThisNode)
	if now.Monotonic < s.addedAt+c.timing.LeaseTerm+time.Duration(rank)*createStep {
		return
	}
	witnesses := assignment.ChooseWitnesses(s.id, nil, c.witnessCandidates, assignment.DefaultWitnesses)
	a, err := assignment.Initial(s.id, candidates, witnesses, s.spec.Load().Partitions)
	if err != nil {
		return
	}
	c.startWrite(s, a, now, out)
}

// startHandovers starts the handovers of partitions that another node should
// own. Unless this node is leaving, only one handover runs at a time.
func (c *Core) startHandovers(s *service, v *view, candidates []assignment.Candidate, now ClockReading, out *Output) {
	if v.OwnedCount(c.node) == 0 {
		return
	}
	remains := slices.ContainsFunc(candidates, c.isThisNode)
	for _, move := range assignment.Rebalance(v.Assignment, s.id, c.node, candidates) {
		if remains && (s.hasHandover() || now.Monotonic < s.nextRebalance) {
			return
		}
		if now.Monotonic < s.suspicions[move.Partition].noHandoverBefore {
			continue
		}
		s.nextRebalance = now.Monotonic + c.timing.LeaseTerm
		c.startHandover(s, move, now, out)
	}
}

// hasHandover reports whether a partition is being handed over.
func (s *service) hasHandover() bool {
	return slices.ContainsFunc(s.allPartitions(), func(p *partition) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.outgoing != nil
	})
}

// withSuccessors returns the assignment with its partitions given to the
// successors that have received all claims, or a itself if there are none.
func (c *Core) withSuccessors(s *service, a *assignment.Assignment) *assignment.Assignment {
	for _, p := range s.allPartitions() {
		p.mu.Lock()
		o := p.outgoing
		if o != nil && o.phase == phaseWriting {
			a = assignment.HandOver(a, p.number, o.to, o.incarnation, o.transfer)
		}
		p.mu.Unlock()
	}
	return a
}

// Leave starts the handover of all partitions of this node. From then on it
// accepts no partitions.
func (c *Core) Leave(now ClockReading) Output {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.updateCandidates()
	c.markAllForReview()
	var out Output
	c.startDue(now, &out)
	return out
}

// Idle reports whether this node owns no partition that another node could own,
// runs no operation, and has no results left to send to a successor.
func (c *Core) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	services := *c.services.Load()
	for _, id := range c.serviceIDs {
		hasCandidates := len(c.candidates(id)) > 0
		for _, p := range services[id].allPartitions() {
			if p.blocksLeave(hasCandidates) {
				return false
			}
		}
	}
	return true
}

// blocksLeave reports whether a leaving node must wait for the partition.
func (p *partition) blocksLeave(hasCandidates bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenure != 0 && (hasCandidates || p.table.Running() > 0) {
		return true
	}
	return p.forwarder != nil && p.hasPendingResults()
}

// hasPendingResults reports whether the successor has not received the results
// of all runs. The caller holds p.mu.
func (p *partition) hasPendingResults() bool {
	return len(p.forwarder.unconfirmed) > 0 || p.table.Running() > 0
}
