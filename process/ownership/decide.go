package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/internal/rule"
)

const (
	// MaxKeyBytes is the length of the longest key.
	MaxKeyBytes = 255
	// movingRetry is the time after which a partition that changes its owner is
	// worth another try.
	movingRetry = 20 * time.Millisecond
	// assignRetry is the time after which a service without an assignment is
	// worth another try.
	assignRetry = 100 * time.Millisecond
	// fullRetry is the time after which a full partition is worth another try.
	fullRetry = time.Second
)

// Claim decides on a request. The clock must have been read after the request
// arrived, its wall-clock time first.
func (c *Core) Claim(r Request, now ClockReading) Decision {
	return c.claimAt(r, now, now)
}

// claimAt is Claim with separate clock readings for the lease and for the
// bounds of key times. Only tests give two that differ.
func (c *Core) claimAt(r Request, leaseAt, boundAt ClockReading) Decision {
	if r.Key == "" || len(r.Key) > MaxKeyBytes {
		return Decision{Verdict: Refused, Reason: ReasonInvalidKey}
	}
	s := (*c.services.Load())[r.Service]
	if s == nil || s.view.Load() == nil {
		return Decision{Verdict: NotOwner, Reason: ReasonNoAssignment, RetryAfter: assignRetry}
	}
	list := s.list()
	p := list[assignment.PartitionOf(r.Key, len(list))]
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.known(r.Key); ok {
		return d
	}
	if d, ok := c.mayTakeOn(s, p, leaseAt.Monotonic); !ok {
		return d
	}
	keyTime, dated := fence.KeyTime(r.Key)
	d, ok := Decision{}, false
	if dated {
		d, ok = c.mayRunDated(s, p, keyTime, boundAt.Wall)
	} else {
		d, ok = c.mayRunUndated(p, r.Expires, boundAt.Wall)
	}
	if !ok {
		return d
	}
	return c.record(s, p, r, keyTime, dated, boundAt.Wall)
}

// known decides on a key that has a claim. It needs no lease, since what was
// run stays run.
func (p *partition) known(key string) (Decision, bool) {
	if p.table == nil {
		return Decision{}, false
	}
	entry, ok := p.table.Lookup(key)
	if !ok {
		return Decision{}, false
	}
	d := Decision{Tenure: p.tenure}
	switch entry.State {
	case claim.Running:
		d.Verdict = InProgress
		d.Wait = p.table.Wait(key)
	case claim.Answered:
		d.Verdict = Replay
		d.Answer = entry.Answer
	case claim.Done:
		d.Verdict = Done
	default:
		d.Verdict = Unknown
		d.Reason = ReasonUnknownOutcome
	}
	return d, true
}

// mayTakeOn reports whether this node may take on operations of the partition,
// or decides otherwise.
func (c *Core) mayTakeOn(s *service, p *partition, now time.Duration) (Decision, bool) {
	if p.tenure == 0 {
		return c.notOwner(s, p), false
	}
	if p.stopped && !c.without.Has(rule.HandoverStop) {
		return Decision{Verdict: NotOwner, Reason: ReasonMoving, Owner: p.successor, RetryAfter: movingRetry}, false
	}
	if !p.begun {
		return Decision{Verdict: NotOwner, Reason: ReasonNoLease, Owner: c.node, RetryAfter: movingRetry}, false
	}
	if !p.hasLease(now, c.without) {
		retry := c.timing.HeartbeatInterval()
		return Decision{Verdict: Refused, Reason: ReasonNoLease, Tenure: p.tenure, RetryAfter: retry}, false
	}
	return Decision{}, true
}

// notOwner decides on a request for a partition of another process.
func (c *Core) notOwner(s *service, p *partition) Decision {
	assigned := s.view.Load().Partitions[p.number]
	d := Decision{Verdict: NotOwner, Owner: assigned.Owner, Tenure: assigned.Tenure}
	if assigned.Owner == c.node {
		// A former life of this process was the owner.
		d.Reason = ReasonMoving
		d.RetryAfter = movingRetry
	}
	return d
}

// mayRunDated reports whether no owner ran a key of that time before, or
// decides otherwise.
func (c *Core) mayRunDated(s *service, p *partition, keyTime, now time.Time) (Decision, bool) {
	if keyTime.Before(p.notBeforeForgotten(now).Add(-s.window())) && !c.without.Has(rule.ResendWindow) {
		return Decision{Verdict: Unknown, Reason: ReasonExpiredKey, Tenure: p.tenure}, false
	}
	if p.fence.BlocksDated(keyTime) && !c.without.Has(rule.DatedFence) {
		return Decision{Verdict: Unknown, Reason: ReasonFenced, Tenure: p.tenure}, false
	}
	early := keyTime.Sub(now.Add(c.timing.MaxClockSkew))
	if early > 0 && !c.without.Has(rule.FutureBound) {
		return Decision{Verdict: Refused, Reason: ReasonFutureKey, Tenure: p.tenure, RetryAfter: early}, false
	}
	return Decision{}, true
}

// mayRunUndated reports whether no owner ran an undated key before, or decides
// otherwise.
func (c *Core) mayRunUndated(p *partition, expires, now time.Time) (Decision, bool) {
	if p.fence.BlocksUndated(now) && !c.without.Has(rule.UndatedFence) {
		return Decision{Verdict: Unknown, Reason: ReasonFenced, Tenure: p.tenure}, false
	}
	if !expires.IsZero() && p.notBeforeForgotten(now).After(expires) && !c.without.Has(rule.UndatedExpiry) {
		return Decision{Verdict: Refused, Reason: ReasonExpired, Tenure: p.tenure}, false
	}
	return Decision{}, true
}

// record makes the claim. A claim is kept until its key can't be run any more.
func (c *Core) record(s *service, p *partition, r Request, keyTime time.Time, dated bool, now time.Time) Decision {
	p.expire(now)
	if p.table.Full() {
		return Decision{Verdict: Refused, Reason: ReasonClaimsFull, Tenure: p.tenure, RetryAfter: fullRetry}
	}
	from := now
	if dated {
		from = keyTime
	}
	id := p.table.Claim(r.Key, from.Add(s.window()+2*c.timing.MaxClockSkew))
	d := Decision{
		Verdict: Run,
		Tenure:  p.tenure,
		Handle:  ClaimHandle{Service: r.Service, Partition: p.number, Key: r.Key, ID: id},
	}
	if !dated {
		d.Expiry = orderExpiry(r.Expires, now, s.window())
	}
	return d
}

// orderExpiry returns the time after which an undated order must not reach the
// target: half a resend window, or the request's own expiry if that is sooner.
func orderExpiry(requested, now time.Time, window time.Duration) time.Time {
	latest := now.Add(window / 2)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}

// Complete ends a run whose answer is known.
func (c *Core) Complete(t ClaimHandle, answer *claim.Answer) Output {
	return c.end(t, func(p *partition) { p.finish(t.Key, t.ID, claim.Answered, answer) })
}

// MarkUnknown ends a run whose end is unknown: it is never run again.
func (c *Core) MarkUnknown(t ClaimHandle) Output {
	return c.end(t, func(p *partition) { p.finish(t.Key, t.ID, claim.Unknown, nil) })
}

// Abort takes back a claim whose operation was proved not run, so that the key
// may be run when it is sent again.
func (c *Core) Abort(t ClaimHandle) Output {
	return c.end(t, func(p *partition) { p.abort(t.Key, t.ID) })
}

func (c *Core) end(t ClaimHandle, do func(p *partition)) Output {
	var out Output
	s := (*c.services.Load())[t.Service]
	if s == nil {
		return out
	}
	list := s.list()
	if t.Partition < 0 || t.Partition >= len(list) {
		return out
	}
	p := list[t.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	do(p)
	p.sendTail(s, true, &out)
	return out
}

// finish ends a run. The caller holds p.mu.
func (p *partition) finish(key string, id uint64, state claim.State, answer *claim.Answer) {
	if p.table == nil || !p.table.Finish(key, id, state, answer) {
		return
	}
	if p.tail != nil {
		entry, _ := p.table.Lookup(key)
		p.tail.add(entry, false)
	}
}

// abort takes a claim back. The caller holds p.mu.
func (p *partition) abort(key string, id uint64) {
	if p.table == nil || !p.table.Abort(key, id) {
		return
	}
	if p.tail != nil {
		p.tail.add(claim.Entry{Key: key, ID: id}, true)
	}
}
