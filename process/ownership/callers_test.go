package ownership

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/internal/rule"
)

const (
	modelTimeout = 3 * time.Second
	modelMaxHops = 40
)

// operation is an operation that must run at most once.
type operation struct {
	key   string
	dated bool
	// runs are the times at which a target ran the operation.
	runs []time.Duration
	// verdicts are the results of the operation's attempts.
	verdicts []string
	created  time.Duration
	// clockLead is by how much the caller's clock was ahead.
	clockLead time.Duration
}

// attempt is one request to run an operation.
type attempt struct {
	op      *operation
	number  int
	expires time.Time
	// reportedNotRun is true if the caller was informed that this attempt did
	// not run the operation, and ran is true if it did.
	reportedNotRun bool
	ran            bool
	hops           int
	lastVerdict    Verdict
	ended          bool
}

// newOperation creates an operation of a caller whose clock is ahead by
// clockLead.
func (sim *simulation) newOperation(dated bool, clockLead time.Duration) *operation {
	key := fmt.Sprintf("undated-%d", sim.rng.Uint64())
	if dated {
		key = datedKey(epochStart.Add(sim.now+clockLead), sim.rng.Uint64(), sim.rng.Uint64())
	}
	op := &operation{key: key, dated: dated, created: sim.now, clockLead: clockLead}
	sim.ops[key] = op
	return op
}

// datedKey returns a UUIDv7 with the given time and random bits.
func datedKey(at time.Time, a, b uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|a&0xfff|0x7000)
	binary.BigEndian.PutUint64(id[8:], b&(1<<62-1)|1<<63)
	return id.String()
}

// submit makes an attempt through an ingress, which routes it after a delay.
func (sim *simulation) submit(op *operation, ingress *process, delay time.Duration) {
	sim.attempts++
	a := &attempt{op: op, number: sim.attempts}
	sim.later(ingress, 0, func() {
		if !op.dated {
			a.expires = sim.clock(ingress).Wall.Add(modelTimeout)
		}
		sim.later(ingress, delay, func() { sim.route(a, ingress) })
	})
}

// route sends an attempt from the ingress to the owner.
func (sim *simulation) route(a *attempt, ingress *process) {
	a.hops++
	owner, ok := ingress.core.OwnerOf(modelService, a.op.key)
	if !ok || a.hops > modelMaxHops {
		sim.endAttempt(a, "no-route", a.lastVerdict != InProgress)
		return
	}
	target := sim.find(owner)
	done := false
	sim.deliver(ingress, target, func() {
		sim.claim(a, target, func(d Decision) {
			sim.deliver(target, ingress, func() {
				if !done {
					done = true
					sim.handleDecision(a, ingress, d)
				}
			})
		})
	})
	sim.later(ingress, modelTimeout, func() {
		if !done {
			done = true
			sim.execute(ingress, ingress.core.OwnerFailed(modelService, a.op.key, sim.clock(ingress)))
			sim.endAttempt(a, "timeout", false)
		}
	})
}

// handleDecision handles the owner's decision at the ingress.
func (sim *simulation) handleDecision(a *attempt, ingress *process, d Decision) {
	if d.Reason == ReasonNoLease {
		sim.execute(ingress, ingress.core.OwnerFailed(modelService, a.op.key, sim.clock(ingress)))
	} else if d.Verdict != NotOwner {
		ingress.core.OwnerAnswered(modelService, a.op.key)
	}
	a.lastVerdict = d.Verdict
	switch d.Verdict {
	case NotOwner, InProgress:
		sim.later(ingress, max(d.RetryAfter, 5*time.Millisecond), func() { sim.route(a, ingress) })
	default:
		sim.endAttempt(a, d.Verdict.String()+" "+string(d.Reason), d.Verdict == Refused)
	}
}

// endAttempt returns the result of an attempt to the caller. notRun is true if
// the caller is informed that this attempt did not run the operation.
func (sim *simulation) endAttempt(a *attempt, verdict string, notRun bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.reportedNotRun = notRun
	a.op.verdicts = append(a.op.verdicts, verdict)
	sim.counts[verdict]++
	sim.check(!notRun || !a.ran, "attempt %d of %s was run, but is reported as not run (%s)", a.number, a.op.key, verdict)
}

// claim claims the key at the owner. Time may pass between the reading of the
// clocks and the decision, and between the decision and the dispatch.
func (sim *simulation) claim(a *attempt, owner *process, reply func(Decision)) {
	first := sim.clock(owner)
	runsBefore := len(a.op.runs)
	sim.later(owner, sim.stepDelay(), func() {
		second := first
		if sim.disabledRules.Has(rule.OneClockRead) {
			second = sim.clock(owner)
		}
		r := Request{Service: modelService, Key: a.op.key, Expires: a.expires}
		d := owner.core.claimAt(r, first, second)
		sim.checkDecision(a, d, runsBefore)
		if d.Verdict != Run {
			reply(d)
			return
		}
		sim.later(owner, sim.stepDelay(), func() { sim.dispatch(a, owner, d, reply) })
	})
}

// stepDelay returns the delay before a step of a node: mostly less than a
// millisecond, sometimes seconds.
func (sim *simulation) stepDelay() time.Duration {
	if sim.faultsOver || sim.rng.IntN(sim.slowStepDivisor) > 0 {
		return sim.duration(time.Millisecond)
	}
	if sim.rng.IntN(4) == 0 {
		return sim.duration(modelWindow * 3 / 2)
	}
	return sim.duration(2 * time.Second)
}

// checkDecision checks a decision against the runs so far, and against those
// before the clocks were read for it.
func (sim *simulation) checkDecision(a *attempt, d Decision, runsBefore int) {
	runs := len(a.op.runs)
	switch d.Verdict {
	case Replay:
		ok := runs > 0 && string(d.Answer.Body) == a.op.key
		sim.check(ok, "%s: replay of another's answer, or of none", a.op.key)
	case Done:
		sim.check(runs > 0, "%s: done, but never run", a.op.key)
	case Refused:
		other := d.Reason == ReasonFutureKey || d.Reason == ReasonClaimsFull
		sim.check(!other || !a.op.dated || runsBefore == 0, "%s: not run (%s), but run", a.op.key, d.Reason)
	}
}

// dispatch sends a claimed operation to the node of a target and passes the result
// to the owner.
func (sim *simulation) dispatch(a *attempt, owner *process, d Decision, reply func(Decision)) {
	targetNode := owner
	if sim.rng.IntN(3) == 0 {
		targetNode = sim.nodes[sim.rng.IntN(len(sim.nodes))]
	}
	ended := false
	finish := func(record func() Output, result Decision) {
		if !ended {
			ended = true
			sim.execute(owner, record())
			reply(result)
		}
	}
	sim.deliver(owner, targetNode, func() {
		sim.later(targetNode, sim.stepDelay(), func() {
			ran := sim.runOnTarget(a, targetNode, d.Expiry)
			crashed := ran && sim.rng.IntN(50) == 0
			sim.deliver(targetNode, owner, func() {
				switch {
				case crashed:
					finish(func() Output { return owner.core.MarkUnknown(d.Handle) }, Decision{Verdict: Unknown})
				case ran:
					answer := &claim.Answer{Status: 200, Body: []byte(a.op.key)}
					finish(func() Output { return owner.core.Complete(d.Handle, answer) }, Decision{Verdict: Replay, Answer: answer})
				default:
					finish(func() Output { return owner.core.Abort(d.Handle) }, Decision{Verdict: Refused, Reason: "admission"})
				}
			})
		})
	})
	sim.later(owner, modelTimeout, func() {
		finish(func() Output { return owner.core.MarkUnknown(d.Handle) }, Decision{Verdict: Unknown, Reason: "timeout"})
	})
}

// runOnTarget runs an operation on the target and returns true, unless the node of
// the target refuses it. It checks that no operation is run twice. Undated keys may
// be run again after half a resend window less twice the skew.
func (sim *simulation) runOnTarget(a *attempt, targetNode *process, expiry time.Time) bool {
	if !expiry.IsZero() && sim.clock(targetNode).Wall.After(expiry) && !sim.disabledRules.Has(rule.UndatedExpiry) {
		return false
	}
	if sim.rng.IntN(20) == 0 {
		return false
	}
	sim.check(!a.reportedNotRun, "attempt %d of %s is run, but was reported as not run", a.number, a.op.key)
	a.ran = true
	sim.counts["run"]++
	op := a.op
	for _, before := range op.runs {
		if op.dated || sim.now-before < modelWindow/2-2*sim.timing.MaxClockSkew {
			sim.ranTwice = true
			sim.check(false, "%s: run at %v and again", op.key, before)
		}
	}
	op.runs = append(op.runs, sim.now)
	return true
}
