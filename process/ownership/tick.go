package ownership

import (
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/message"
)

// createWait is the step between the candidates' attempts to create the object
// of a service that has none.
const createWait = 200 * time.Millisecond

// reviewPeriod is the time between two reviews of a service of which nothing
// new is known.
const reviewPeriod = 100 * time.Millisecond

// Tick does what is due. It is to be called several times per beat period.
func (c *Core) Tick(now ClockReading) Output {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	services := *c.services.Load()
	for _, id := range c.order {
		c.driveHandovers(services[id], now, &out)
	}
	c.flush(now, &out)
	return out
}

// Handle takes in a message from another node, or from this one. It reports
// false for a message of another package.
func (c *Core) Handle(from string, m any, now ClockReading) (Output, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Output
	switch m := m.(type) {
	case *message.Beat:
		c.handleBeat(from, m, now, &out)
	case *message.BeatReply:
		c.handleBeatReply(from, m, now)
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
	c.flush(now, &out)
	return out, true
}

func (c *Core) handleAssigned(m *message.Assigned, now ClockReading, out *Output) {
	s := (*c.services.Load())[m.Service]
	if s == nil {
		return
	}
	// A peer's object that can't be read is like a lost message: the watch
	// brings the platform's.
	_ = c.learn(s, m.Version, m.Value, false, now, out)
}

// flush starts the writes, reads and beats that are due.
func (c *Core) flush(now ClockReading, out *Output) {
	services := *c.services.Load()
	for _, id := range c.order {
		c.advance(services[id], now, out)
	}
	c.startReads(now, out)
	c.sendBeats(now, out)
}

// advance starts what is due for one service. Only the nodes of the service
// take part.
func (c *Core) advance(s *service, now ClockReading, out *Output) {
	candidates := c.candidates(s.id)
	v := s.view.Load()
	if v == nil {
		c.create(s, candidates, now, out)
		return
	}
	if !s.review && now.Monotonic < s.nextReview {
		return
	}
	s.review = false
	s.nextReview = now.Monotonic + reviewPeriod
	owns := v.OwnedCount(c.node) > 0
	if !owns && !slices.ContainsFunc(candidates, c.isSelf) {
		return
	}
	c.startHandovers(s, v, candidates, now, out)
	c.sealWitnesses(s, v, candidates, now, out)
	if s.change != nil || now.Monotonic < s.nextChange {
		return
	}
	a := v.Assignment
	if slices.ContainsFunc(candidates, c.isSelf) {
		a = c.takeOver(s, a, candidates, now)
	}
	a = c.nameSuccessors(s, a)
	if a == v.Assignment {
		a = c.changeWitnesses(s, v, candidates, now)
	}
	if a != v.Assignment {
		c.propose(s, a, now, out)
	}
}

// create writes the first object of a service.
func (c *Core) create(s *service, candidates []assignment.Candidate, now ClockReading, out *Output) {
	if s.change != nil || now.Monotonic < s.nextChange {
		return
	}
	if now.Monotonic < s.since+c.timing.LeaseTerm || !slices.ContainsFunc(candidates, c.isSelf) {
		return
	}
	rank := slices.IndexFunc(assignment.Rank(s.id, 0, candidates), c.isSelf)
	if now.Monotonic < s.since+c.timing.LeaseTerm+time.Duration(rank)*createWait {
		return
	}
	witnesses := assignment.ChooseWitnesses(s.id, nil, c.witnesses, assignment.DefaultWitnesses)
	a, err := assignment.Initial(s.id, candidates, witnesses, s.spec.Load().Partitions)
	if err != nil {
		return
	}
	c.propose(s, a, now, out)
}

// startHandovers starts to hand over the partitions that another node should
// own, one at a time unless this node leaves.
func (c *Core) startHandovers(s *service, v *view, candidates []assignment.Candidate, now ClockReading, out *Output) {
	if v.OwnedCount(c.node) == 0 {
		return
	}
	stays := slices.ContainsFunc(candidates, c.isSelf)
	for _, move := range assignment.Rebalance(v.Assignment, s.id, c.node, candidates) {
		if stays && (s.handingOver() || now.Monotonic < s.nextBalance) {
			return
		}
		if now.Monotonic < s.suspicions[move.Partition].noHandoverBefore {
			continue
		}
		s.nextBalance = now.Monotonic + c.timing.LeaseTerm
		c.handOver(s, move, now, out)
	}
}

// handingOver reports whether a partition is being handed over.
func (s *service) handingOver() bool {
	return slices.ContainsFunc(s.list(), func(p *partition) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.outgoing != nil
	})
}

// nameSuccessors returns the assignment with the successors that have received
// all claims, or a itself if there is none.
func (c *Core) nameSuccessors(s *service, a *assignment.Assignment) *assignment.Assignment {
	for _, p := range s.list() {
		p.mu.Lock()
		o := p.outgoing
		if o != nil && o.phase == writing {
			a = assignment.HandOver(a, p.number, o.to, o.incarnation, o.transfer)
		}
		p.mu.Unlock()
	}
	return a
}

// Leave makes this node hand over all it owns and take on nothing new.
func (c *Core) Leave(now ClockReading) Output {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.sortMembers()
	c.reviewAll()
	var out Output
	c.flush(now, &out)
	return out
}

// Idle reports whether this node owns nothing that another node could take, no
// operation runs, and it owes nothing to a successor.
func (c *Core) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	services := *c.services.Load()
	for _, id := range c.order {
		heirs := len(c.candidates(id)) > 0
		for _, p := range services[id].list() {
			if p.busy(heirs) {
				return false
			}
		}
	}
	return true
}

// busy reports whether a leaving node must wait for the partition.
func (p *partition) busy(heirs bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tenure != 0 && (heirs || p.table.Running() > 0) {
		return true
	}
	return p.tail != nil && p.owes()
}

// owes reports whether the successor still waits for ends of runs.
func (p *partition) owes() bool {
	return len(p.tail.results) > 0 || p.table.Running() > 0
}
