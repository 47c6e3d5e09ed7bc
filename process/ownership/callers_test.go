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
	// verdicts are the results of its attempts.
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
func (w *simulation) newOperation(dated bool, clockLead time.Duration) *operation {
	key := fmt.Sprintf("undated-%d", w.rng.Uint64())
	if dated {
		key = datedKey(epochStart.Add(w.now+clockLead), w.rng.Uint64(), w.rng.Uint64())
	}
	op := &operation{key: key, dated: dated, created: w.now, clockLead: clockLead}
	w.ops[key] = op
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
func (w *simulation) submit(op *operation, ingress *process, delay time.Duration) {
	w.attempts++
	a := &attempt{op: op, number: w.attempts}
	w.later(ingress, 0, func() {
		if !op.dated {
			a.expires = w.clock(ingress).Wall.Add(modelTimeout)
		}
		w.later(ingress, delay, func() { w.route(a, ingress) })
	})
}

// route sends an attempt from the ingress to the owner.
func (w *simulation) route(a *attempt, ingress *process) {
	a.hops++
	owner, ok := ingress.core.OwnerOf(modelService, a.op.key)
	if !ok || a.hops > modelMaxHops {
		w.endAttempt(a, "no-route", a.lastVerdict != InProgress)
		return
	}
	target := w.find(owner)
	done := false
	w.deliver(ingress, target, func() {
		w.claim(a, target, func(d Decision) {
			w.deliver(target, ingress, func() {
				if !done {
					done = true
					w.handleDecision(a, ingress, d)
				}
			})
		})
	})
	w.later(ingress, modelTimeout, func() {
		if !done {
			done = true
			w.execute(ingress, ingress.core.OwnerFailed(modelService, a.op.key, w.clock(ingress)))
			w.endAttempt(a, "timeout", false)
		}
	})
}

// handleDecision handles the owner's decision at the ingress.
func (w *simulation) handleDecision(a *attempt, ingress *process, d Decision) {
	if d.Reason == ReasonNoLease {
		w.execute(ingress, ingress.core.OwnerFailed(modelService, a.op.key, w.clock(ingress)))
	} else if d.Verdict != NotOwner {
		ingress.core.OwnerAnswered(modelService, a.op.key)
	}
	a.lastVerdict = d.Verdict
	switch d.Verdict {
	case NotOwner, InProgress:
		w.later(ingress, max(d.RetryAfter, 5*time.Millisecond), func() { w.route(a, ingress) })
	default:
		w.endAttempt(a, d.Verdict.String()+" "+string(d.Reason), d.Verdict == Refused)
	}
}

// endAttempt returns the result of an attempt to the caller. notRun is true if
// the caller is informed that this attempt did not run the operation.
func (w *simulation) endAttempt(a *attempt, verdict string, notRun bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.reportedNotRun = notRun
	a.op.verdicts = append(a.op.verdicts, verdict)
	w.counts[verdict]++
	w.check(!notRun || !a.ran, "attempt %d of %s was run, but is reported as not run (%s)", a.number, a.op.key, verdict)
}

// claim claims the key at the owner. Time may pass between the reading of the
// clocks and the decision, and between the decision and the dispatch.
func (w *simulation) claim(a *attempt, owner *process, reply func(Decision)) {
	first := w.clock(owner)
	runsBefore := len(a.op.runs)
	w.later(owner, w.stepDelay(), func() {
		second := first
		if w.disabledRules.Has(rule.OneClockRead) {
			second = w.clock(owner)
		}
		r := Request{Service: modelService, Key: a.op.key, Expires: a.expires}
		d := owner.core.claimAt(r, first, second)
		w.checkDecision(a, d, runsBefore)
		if d.Verdict != Run {
			reply(d)
			return
		}
		w.later(owner, w.stepDelay(), func() { w.dispatch(a, owner, d, reply) })
	})
}

// stepDelay returns the delay before a step of a node: mostly less than a
// millisecond, sometimes seconds.
func (w *simulation) stepDelay() time.Duration {
	if w.faultsOver || w.rng.IntN(w.slowStepDivisor) > 0 {
		return w.duration(time.Millisecond)
	}
	if w.rng.IntN(4) == 0 {
		return w.duration(modelWindow * 3 / 2)
	}
	return w.duration(2 * time.Second)
}

// checkDecision checks a decision against the runs so far, and against those
// before the clocks were read for it.
func (w *simulation) checkDecision(a *attempt, d Decision, runsBefore int) {
	runs := len(a.op.runs)
	switch d.Verdict {
	case Replay:
		ok := runs > 0 && string(d.Answer.Body) == a.op.key
		w.check(ok, "%s: replay of another's answer, or of none", a.op.key)
	case Done:
		w.check(runs > 0, "%s: done, but never run", a.op.key)
	case Refused:
		other := d.Reason == ReasonFutureKey || d.Reason == ReasonClaimsFull
		w.check(!other || !a.op.dated || runsBefore == 0, "%s: not run (%s), but run", a.op.key, d.Reason)
	}
}

// dispatch sends a claimed operation to a guard and passes the result to the
// owner.
func (w *simulation) dispatch(a *attempt, owner *process, d Decision, reply func(Decision)) {
	guard := owner
	if w.rng.IntN(3) == 0 {
		guard = w.nodes[w.rng.IntN(len(w.nodes))]
	}
	ended := false
	finish := func(record func() Output, d Decision) {
		if !ended {
			ended = true
			w.execute(owner, record())
			reply(d)
		}
	}
	w.deliver(owner, guard, func() {
		w.later(guard, w.stepDelay(), func() {
			ran := w.runOnTarget(a, guard, d.Expiry)
			crashed := ran && w.rng.IntN(50) == 0
			w.deliver(guard, owner, func() {
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
	w.later(owner, modelTimeout, func() {
		finish(func() Output { return owner.core.MarkUnknown(d.Handle) }, Decision{Verdict: Unknown, Reason: "timeout"})
	})
}

// runOnTarget runs an operation on the target and returns true, unless the guard
// refuses it. It checks that no operation is run twice. Undated keys may be run
// again after half a resend window less twice the skew.
func (w *simulation) runOnTarget(a *attempt, guard *process, expiry time.Time) bool {
	if !expiry.IsZero() && w.clock(guard).Wall.After(expiry) && !w.disabledRules.Has(rule.UndatedExpiry) {
		return false
	}
	if w.rng.IntN(20) == 0 {
		return false
	}
	w.check(!a.reportedNotRun, "attempt %d of %s is run, but was reported as not run", a.number, a.op.key)
	a.ran = true
	w.counts["run"]++
	op := a.op
	for _, before := range op.runs {
		if op.dated || w.now-before < modelWindow/2-2*w.timing.Skew {
			w.ranTwice = true
			w.check(false, "%s: run at %v and again", op.key, before)
		}
	}
	op.runs = append(op.runs, w.now)
	return true
}
