package ownership

import (
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// witnessGraceTerms is for how many terms a witness must be missing before it
// is replaced: a restart shouldn't change the witnesses.
const witnessGraceTerms = 15

// sealState tells which previous witnesses refuse beats of lower epochs. It is
// guarded by Core.mu.
type sealState struct {
	epoch  uint64
	sealed map[string]bool
	next   time.Duration
}

// coordinates reports whether this node is the one that looks after the
// service's witnesses. It does no harm if two nodes think so.
func (c *Core) coordinates(s *service, candidates []assignment.Candidate) bool {
	ranked := assignment.Rank(s.id, 0, candidates)
	return len(ranked) > 0 && c.isSelf(ranked[0])
}

// sealWitnesses asks the previous witnesses to refuse lower epochs.
func (c *Core) sealWitnesses(s *service, v *view, candidates []assignment.Candidate, now ClockReading, out *Output) {
	if len(v.PreviousWitnesses) == 0 || now.Monotonic < s.seal.next || !c.coordinates(s, candidates) {
		return
	}
	if s.seal.epoch != v.Epoch {
		s.seal = sealState{epoch: v.Epoch, sealed: make(map[string]bool)}
	}
	s.seal.next = now.Monotonic + c.timing.HeartbeatInterval()
	for _, witness := range v.PreviousWitnesses {
		out.send(witness, &message.Seal{Service: s.id, Epoch: v.Epoch})
	}
}

// handleSeal answers a seal as a witness.
func (c *Core) handleSeal(from string, seal *message.Seal, now ClockReading, out *Output) {
	reply, unread := c.witness.HandleSeal(seal, now.Monotonic)
	if unread {
		c.wantRead(seal.Service, now)
	}
	out.send(from, reply)
}

// handleSealReply notes a witness that refuses lower epochs.
func (c *Core) handleSealReply(from string, reply *message.SealReply) {
	s := (*c.services.Load())[reply.Service]
	if s == nil || !reply.Sealed || s.seal.epoch != reply.Epoch {
		return
	}
	s.seal.sealed[from] = true
}

// changeWitnesses returns the assignment with the next step of a change of
// witnesses, or the present one if nothing is to be done.
func (c *Core) changeWitnesses(s *service, v *view, candidates []assignment.Candidate, now ClockReading) *assignment.Assignment {
	if !c.coordinates(s, candidates) {
		return v.Assignment
	}
	if len(v.PreviousWitnesses) > 0 {
		if s.mayDropPrevious(v) || c.without.Has(rule.SealFirst) {
			return assignment.DropPreviousWitnesses(v.Assignment)
		}
		return v.Assignment
	}
	if now.Monotonic < s.nextWitnessCheck {
		return v.Assignment
	}
	s.nextWitnessCheck = now.Monotonic + c.timing.LeaseTerm
	wanted := c.wantedWitnesses(s, v)
	if slices.Equal(wanted, v.Witnesses) {
		s.witnessMissing = 0
		return v.Assignment
	}
	if s.witnessMissing == 0 {
		s.witnessMissing = max(now.Monotonic, 1)
	}
	if now.Monotonic < s.witnessMissing+c.grace {
		return v.Assignment
	}
	return c.replaceWitnesses(v, wanted)
}

func (c *Core) replaceWitnesses(v *view, wanted []string) *assignment.Assignment {
	a, err := assignment.ReplaceWitnesses(v.Assignment, wanted)
	if err != nil {
		return v.Assignment
	}
	if c.without.Has(rule.JointWitnesses) {
		a.PreviousWitnesses = nil
	}
	return a
}

// mayDropPrevious reports whether most previous witnesses are sealed.
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

// wantedWitnesses returns the present witnesses if they may stay, else those
// that should take their place. Witnesses never become fewer: a node that is
// cut off from most others must not end up as the only witness.
func (c *Core) wantedWitnesses(s *service, v *view) []string {
	missing := slices.ContainsFunc(v.Witnesses, func(witness string) bool {
		m, ok := c.members[witness]
		return !ok || !c.mayTakePart(m)
	})
	wanted := assignment.ChooseWitnesses(s.id, v.Witnesses, c.witnesses, assignment.DefaultWitnesses)
	if len(wanted) < len(v.Witnesses) || !missing && len(wanted) == len(v.Witnesses) {
		return v.Witnesses
	}
	return wanted
}
