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

// sealProgress tells which previous witnesses refuse beats of lower epochs. It is
// guarded by Core.mu.
type sealProgress struct {
	epoch     uint64
	sealed    map[string]bool
	notBefore time.Duration
}

// isWitnessCoordinator reports whether this node is the one that looks after the
// service's witnesses. It does no harm if two nodes think so.
func (c *Core) isWitnessCoordinator(s *service, candidates []assignment.Candidate) bool {
	ranked := assignment.Rank(s.id, 0, candidates)
	return len(ranked) > 0 && c.isThisNode(ranked[0])
}

// sealWitnesses asks the previous witnesses to refuse lower epochs.
func (c *Core) sealWitnesses(s *service, v *view, candidates []assignment.Candidate, now Clock, out *Output) {
	if len(v.PreviousWitnesses) == 0 || now.Mono < s.seal.notBefore || !c.isWitnessCoordinator(s, candidates) {
		return
	}
	if s.seal.epoch != v.Epoch {
		s.seal = sealProgress{epoch: v.Epoch, sealed: make(map[string]bool)}
	}
	s.seal.notBefore = now.Mono + c.timing.BeatPeriod()
	for _, witness := range v.PreviousWitnesses {
		out.send(witness, &message.Seal{Service: s.id, Epoch: v.Epoch})
	}
}

// handleSeal answers a seal as a witness.
func (c *Core) handleSeal(from string, seal *message.Seal, now Clock, out *Output) {
	reply, unread := c.witness.Seal(seal, now.Mono)
	if unread {
		c.requestRead(seal.Service, now)
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

// withWitnessChange returns the assignment with the next step of a change of
// witnesses, or the present one if nothing is to be done.
func (c *Core) withWitnessChange(s *service, v *view, candidates []assignment.Candidate, now Clock) *assignment.Assignment {
	if !c.isWitnessCoordinator(s, candidates) {
		return v.Assignment
	}
	if len(v.PreviousWitnesses) > 0 {
		if s.mayDropPrevious(v) || c.disabledRules.Has(rule.SealFirst) {
			return assignment.DropPreviousWitnesses(v.Assignment)
		}
		return v.Assignment
	}
	if now.Mono < s.nextWitnessCheck {
		return v.Assignment
	}
	s.nextWitnessCheck = now.Mono + c.timing.Term
	wanted := c.desiredWitnesses(s, v)
	if slices.Equal(wanted, v.Witnesses) {
		s.witnessMissingSince = 0
		return v.Assignment
	}
	if s.witnessMissingSince == 0 {
		s.witnessMissingSince = max(now.Mono, 1)
	}
	if now.Mono < s.witnessMissingSince+c.witnessGrace {
		return v.Assignment
	}
	return c.withNewWitnesses(v, wanted)
}

func (c *Core) withNewWitnesses(v *view, wanted []string) *assignment.Assignment {
	a, err := assignment.ReplaceWitnesses(v.Assignment, wanted)
	if err != nil {
		return v.Assignment
	}
	if c.disabledRules.Has(rule.JointWitnesses) {
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

// desiredWitnesses returns the present witnesses if they may stay, else those
// that should take their place. Witnesses never become fewer: a node that is
// cut off from most others must not end up as the only witness.
func (c *Core) desiredWitnesses(s *service, v *view) []string {
	missing := slices.ContainsFunc(v.Witnesses, func(witness string) bool {
		m, ok := c.members[witness]
		return !ok || !c.isCandidate(m)
	})
	wanted := assignment.ChooseWitnesses(s.id, v.Witnesses, c.witnessCandidates, assignment.DefaultWitnesses)
	if len(wanted) < len(v.Witnesses) || !missing && len(wanted) == len(v.Witnesses) {
		return v.Witnesses
	}
	return wanted
}
