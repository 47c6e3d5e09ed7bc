package ownership

import (
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// witnessGraceTerms is the number of lease terms for which a witness must be
// missing before it is replaced. It is long enough that a restart of a node does
// not change the witnesses.
const witnessGraceTerms = 15

// sealProgress records which previous witnesses are sealed, which means that
// they refuse heartbeats of epochs lower than epoch. It is guarded by Core.mu.
type sealProgress struct {
	epoch  uint64
	sealed map[string]bool
	// notBefore is the earliest time at which Seal messages are sent again.
	notBefore time.Duration
}

// isWitnessCoordinator reports whether this node replaces witnesses of the
// service when necessary. It is safe for two nodes to do so at the same time.
func (c *Core) isWitnessCoordinator(s *service, candidates []assignment.Candidate) bool {
	ranked := assignment.Rank(s.id, 0, candidates)
	return len(ranked) > 0 && c.isThisNode(ranked[0])
}

// sealWitnesses sends requests to refuse lower epochs to the previous witnesses.
func (c *Core) sealWitnesses(s *service, v *view, candidates []assignment.Candidate, now ClockReading, out *Output) {
	if len(v.PreviousWitnesses) == 0 || now.Monotonic < s.seal.notBefore || !c.isWitnessCoordinator(s, candidates) {
		return
	}
	if s.seal.epoch != v.Epoch {
		s.seal = sealProgress{epoch: v.Epoch, sealed: make(map[string]bool)}
	}
	s.seal.notBefore = now.Monotonic + c.timing.HeartbeatInterval()
	for _, witness := range v.PreviousWitnesses {
		out.send(witness, &message.Seal{Service: s.id, Epoch: v.Epoch})
	}
}

// handleSeal replies to a Seal message as a witness.
func (c *Core) handleSeal(from string, seal *message.Seal, now ClockReading, out *Output) {
	reply, unread := c.witness.HandleSeal(seal, now.Monotonic)
	if unread {
		c.requestRead(seal.Service, now)
	}
	out.send(from, reply)
}

// handleSealReply records that a previous witness refuses lower epochs.
func (c *Core) handleSealReply(from string, reply *message.SealReply) {
	s := (*c.services.Load())[reply.Service]
	if s == nil || !reply.Sealed || s.seal.epoch != reply.Epoch {
		return
	}
	s.seal.sealed[from] = true
}

// withWitnessChange returns the assignment after the next step of a change of
// witnesses, or the current one if no step is due.
func (c *Core) withWitnessChange(s *service, v *view, candidates []assignment.Candidate, now ClockReading) *assignment.Assignment {
	if !c.isWitnessCoordinator(s, candidates) {
		return v.Assignment
	}
	if len(v.PreviousWitnesses) > 0 {
		if s.mayDropPrevious(v) || c.disabledRules.Has(rule.SealFirst) {
			return assignment.DropPreviousWitnesses(v.Assignment)
		}
		return v.Assignment
	}
	if now.Monotonic < s.nextWitnessCheck {
		return v.Assignment
	}
	s.nextWitnessCheck = now.Monotonic + c.timing.LeaseTerm
	desired := c.desiredWitnesses(s, v)
	if slices.Equal(desired, v.Witnesses) {
		s.witnessMissingSince = 0
		return v.Assignment
	}
	if s.witnessMissingSince == 0 {
		s.witnessMissingSince = max(now.Monotonic, 1)
	}
	if now.Monotonic < s.witnessMissingSince+c.witnessGrace {
		return v.Assignment
	}
	return c.withNewWitnesses(v, desired)
}

// withNewWitnesses returns the assignment with other witnesses.
func (c *Core) withNewWitnesses(v *view, desired []string) *assignment.Assignment {
	a, err := assignment.ReplaceWitnesses(v.Assignment, desired)
	if err != nil {
		return v.Assignment
	}
	if c.disabledRules.Has(rule.JointWitnesses) {
		a.PreviousWitnesses = nil
	}
	return a
}

// mayDropPrevious reports whether a majority of the previous witnesses is sealed.
func (s *service) mayDropPrevious(v *view) bool {
	if s.seal.epoch != v.Epoch {
		return false
	}
	sealed := 0
	for _, witness := range v.PreviousWitnesses {
		if s.seal.sealed[witness] {
			sealed++
		}
	}
	return sealed >= len(v.PreviousWitnesses)/2+1
}

// desiredWitnesses returns the current witnesses if they are all candidates and
// there are enough of them, and otherwise those that should replace them. The
// number of witnesses never decreases: a node that is cut off from most others
// must not become the only witness.
func (c *Core) desiredWitnesses(s *service, v *view) []string {
	missing := slices.ContainsFunc(v.Witnesses, func(witness string) bool {
		m, ok := c.members[witness]
		return !ok || !c.isCandidate(m)
	})
	desired := assignment.ChooseWitnesses(s.id, v.Witnesses, c.witnessCandidates, assignment.DefaultWitnesses)
	if len(desired) < len(v.Witnesses) || !missing && len(desired) == len(v.Witnesses) {
		return v.Witnesses
	}
	return desired
}
