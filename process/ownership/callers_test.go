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
	modelHops    = 40
)

// operation is what a caller wants to be run once.
type operation struct {
	key   string
	dated bool
	// runs are the moments at which a target ran it.
	runs     []time.Duration
	verdicts []string
	created  time.Duration
	early    time.Duration
}

// attempt is one sending of an operation.
type attempt struct {
	op      *operation
	number  int
	expires time.Time
	notRun  bool
	ran     bool
	hops    int
	last    Verdict
	ended   bool
}

// newOperation makes an operation as a caller whose clock is off by off.
func (w *world) newOperation(dated bool, off time.Duration) *operation {
	key := fmt.Sprintf("undated-%d", w.rng.Uint64())
	if dated {
		key = datedKey(epochStart.Add(w.now+off), w.rng.Uint64(), w.rng.Uint64())
	}
	op := &operation{key: key, dated: dated, created: w.now, early: off}
	w.ops[key] = op
	return op
}

// datedKey returns a UUIDv7 of a time.
func datedKey(at time.Time, a, b uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|a&0xfff|0x7000)
	binary.BigEndian.PutUint64(id[8:], b&(1<<62-1)|1<<63)
	return id.String()
}

// submit sends an operation through a node. The ingress may hold it for hold
// before it goes on.
func (w *world) submit(op *operation, ingress *process, hold time.Duration) {
	w.tries++
	a := &attempt{op: op, number: w.tries}
	w.later(ingress, 0, func() {
		if !op.dated {
			a.expires = w.clock(ingress).Wall.Add(modelTimeout)
		}
		w.later(ingress, hold, func() { w.route(a, ingress) })
	})
}

// route sends an attempt from the ingress to the owner.
func (w *world) route(a *attempt, ingress *process) {
	a.hops++
	owner, ok := ingress.core.OwnerOf(modelService, a.op.key)
	if !ok || a.hops > modelHops {
		w.end(a, "no-route", a.last != InProgress)
		return
	}
	target := w.find(owner)
	heard := false
	w.deliver(ingress, target, func() {
		w.claim(a, target, func(d Decision) {
			w.deliver(target, ingress, func() {
				if !heard {
					heard = true
					w.routed(a, ingress, d)
				}
			})
		})
	})
	w.later(ingress, modelTimeout, func() {
		if !heard {
			heard = true
			w.do(ingress, ingress.core.OwnerFailed(modelService, a.op.key, w.clock(ingress)))
			w.end(a, "timeout", false)
		}
	})
}

// routed goes on with the owner's answer at the ingress.
func (w *world) routed(a *attempt, ingress *process, d Decision) {
	if d.Reason == ReasonNoLease {
		w.do(ingress, ingress.core.OwnerFailed(modelService, a.op.key, w.clock(ingress)))
	} else if d.Verdict != NotOwner {
		ingress.core.OwnerAnswered(modelService, a.op.key)
	}
	a.last = d.Verdict
	switch d.Verdict {
	case NotOwner, InProgress:
		w.later(ingress, max(d.RetryAfter, 5*time.Millisecond), func() { w.route(a, ingress) })
	default:
		w.end(a, d.Verdict.String()+" "+string(d.Reason), d.Verdict == Refused)
	}
}

// end gives the caller the final answer of an attempt.
func (w *world) end(a *attempt, verdict string, notRun bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.notRun = notRun
	a.op.verdicts = append(a.op.verdicts, verdict)
	w.counts[verdict]++
	w.check(!notRun || !a.ran, "attempt %d of %s was run, and is called not run (%s)", a.number, a.op.key, verdict)
}

// claim lets the owner decide. Between the reading of the clock and the
// decision, and between the decision and the order, time may pass.
func (w *world) claim(a *attempt, owner *process, reply func(Decision)) {
	first := w.clock(owner)
	runsBefore := len(a.op.runs)
	w.later(owner, w.hesitation(), func() {
		second := first
		if w.without.Has(rule.OneClockRead) {
			second = w.clock(owner)
		}
		r := Request{Service: modelService, Key: a.op.key, Expires: a.expires}
		d := owner.core.claimAt(r, first, second)
		w.checkDecision(a, d, runsBefore)
		if d.Verdict != Run {
			reply(d)
			return
		}
		w.later(owner, w.hesitation(), func() { w.order(a, owner, d, reply) })
	})
}

// hesitation is mostly nothing, and sometimes long.
func (w *world) hesitation() time.Duration {
	if w.calm || w.rng.IntN(w.hesitate) > 0 {
		return w.duration(time.Millisecond)
	}
	if w.rng.IntN(4) == 0 {
		return w.duration(modelWindow * 3 / 2)
	}
	return w.duration(2 * time.Second)
}

// checkDecision checks what a decision says against what was run so far, and
// before the clock was read for it.
func (w *world) checkDecision(a *attempt, d Decision, runsBefore int) {
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

// order sends a claimed operation to a guard, and takes in its end.
func (w *world) order(a *attempt, owner *process, d Decision, reply func(Decision)) {
	guard := owner
	if w.rng.IntN(3) == 0 {
		guard = w.nodes[w.rng.IntN(len(w.nodes))]
	}
	ended := false
	finish := func(end func() Output, told Decision) {
		if !ended {
			ended = true
			w.do(owner, end())
			reply(told)
		}
	}
	w.deliver(owner, guard, func() {
		w.later(guard, w.hesitation(), func() {
			ran := w.execute(a, guard, d.Expiry)
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

// execute lets the target run an operation, unless its guard refuses it.
func (w *world) execute(a *attempt, guard *process, expiry time.Time) bool {
	if !expiry.IsZero() && w.clock(guard).Wall.After(expiry) && !w.without.Has(rule.UndatedExpiry) {
		return false
	}
	if w.rng.IntN(20) == 0 {
		return false
	}
	w.check(!a.notRun, "attempt %d of %s is run, and was called not run", a.number, a.op.key)
	a.ran = true
	w.counts["run"]++
	op := a.op
	for _, before := range op.runs {
		if op.dated || w.now-before < modelWindow/2-2*w.timing.MaxClockSkew {
			w.twice = true
			w.check(false, "%s: run at %v and again", op.key, before)
		}
	}
	op.runs = append(op.runs, w.now)
	return true
}
