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
	// ownerChangeRetry is the time after which a partition that changes its owner is
	// worth another try.
	ownerChangeRetry = 20 * time.Millisecond
	// noAssignmentRetry is the time after which a service without an assignment is
	// worth another try.
	noAssignmentRetry = 100 * time.Millisecond
	// tableFullRetry is the time after which a full partition is worth another try.
	tableFullRetry = time.Second
)

// Claim decides on a request. The clock must have been read after the request
// arrived, its wall-clock time first.
func (c *Core) Claim(r Request, now Clock) Decision {
	return c.claimAt(r, now, now)
}

// claimAt is Claim with separate clock readings for the lease and for the
// bounds of key times. Only tests give two that differ.
func (c *Core) claimAt(r Request, leaseAt, boundAt Clock) Decision {
	if r.Key == "" || len(r.Key) > MaxKeyBytes {
		return Decision{Verdict: Refused, Reason: ReasonInvalidKey}
	}
	s := (*c.services.Load())[r.Service]
	if s == nil || s.view.Load() == nil {
		return Decision{Verdict: NotOwner, Reason: ReasonNoAssignment, RetryAfter: noAssignmentRetry}
	}
	list := s.allPartitions()
	p := list[assignment.PartitionOf(r.Key, len(list))]
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.decideExisting(r.Key); ok {
		return d
	}
	if d, ok := c.checkOwner(s, p, leaseAt.Mono); !ok {
		return d
	}
	keyTime, dated := fence.KeyTime(r.Key)
	d, ok := Decision{}, false
	if dated {
		d, ok = c.checkDatedKey(s, p, keyTime, boundAt.Wall)
	} else {
		d, ok = c.checkUndatedKey(p, r.Expires, boundAt.Wall)
	}
	if !ok {
		return d
	}
	return c.recordClaim(s, p, r, keyTime, dated, boundAt.Wall)
}

// decideExisting decides on a key that has a claim. It needs no lease, since what was
// run stays run.
func (p *partition) decideExisting(key string) (Decision, bool) {
	if p.table == nil {
		return Decision{}, false
	}
	entry, ok := p.table.Look(key)
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

// checkOwner reports whether this node may take on operations of the partition,
// or decides otherwise.
func (c *Core) checkOwner(s *service, p *partition, now time.Duration) (Decision, bool) {
	if p.tenure == 0 {
		return c.notOwner(s, p), false
	}
	if p.handingOver && !c.disabledRules.Has(rule.HandoverStop) {
		return Decision{Verdict: NotOwner, Reason: ReasonMoving, Owner: p.successor, RetryAfter: ownerChangeRetry}, false
	}
	if !p.begun {
		return Decision{Verdict: NotOwner, Reason: ReasonNoLease, Owner: c.node, RetryAfter: ownerChangeRetry}, false
	}
	if !p.hasLease(now, c.disabledRules) {
		retry := c.timing.BeatPeriod()
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
		d.RetryAfter = ownerChangeRetry
	}
	return d
}

// checkDatedKey reports whether no owner ran a key of that time before, or
// decides otherwise.
func (c *Core) checkDatedKey(s *service, p *partition, keyTime, now time.Time) (Decision, bool) {
	if keyTime.Before(p.notBeforeLastExpiry(now).Add(-s.resendWindow())) && !c.disabledRules.Has(rule.ResendWindow) {
		return Decision{Verdict: Unknown, Reason: ReasonExpiredKey, Tenure: p.tenure}, false
	}
	if p.fence.HidesDated(keyTime) && !c.disabledRules.Has(rule.DatedFence) {
		return Decision{Verdict: Unknown, Reason: ReasonFenced, Tenure: p.tenure}, false
	}
	early := keyTime.Sub(now.Add(c.timing.Skew))
	if early > 0 && !c.disabledRules.Has(rule.FutureBound) {
		return Decision{Verdict: Refused, Reason: ReasonFutureKey, Tenure: p.tenure, RetryAfter: early}, false
	}
	return Decision{}, true
}

// checkUndatedKey reports whether no owner ran an undated key before, or decides
// otherwise.
func (c *Core) checkUndatedKey(p *partition, expires, now time.Time) (Decision, bool) {
	if p.fence.HidesUndated(now) && !c.disabledRules.Has(rule.UndatedFence) {
		return Decision{Verdict: Unknown, Reason: ReasonFenced, Tenure: p.tenure}, false
	}
	if !expires.IsZero() && p.notBeforeLastExpiry(now).After(expires) && !c.disabledRules.Has(rule.UndatedExpiry) {
		return Decision{Verdict: Refused, Reason: ReasonExpired, Tenure: p.tenure}, false
	}
	return Decision{}, true
}

// recordClaim makes the claim. A claim is kept until its key can't be run any more.
func (c *Core) recordClaim(s *service, p *partition, r Request, keyTime time.Time, dated bool, now time.Time) Decision {
	p.expireClaims(now)
	if p.table.Full() {
		return Decision{Verdict: Refused, Reason: ReasonClaimsFull, Tenure: p.tenure, RetryAfter: tableFullRetry}
	}
	from := now
	if dated {
		from = keyTime
	}
	id := p.table.Claim(r.Key, from.Add(s.resendWindow()+2*c.timing.Skew))
	d := Decision{
		Verdict: Run,
		Tenure:  p.tenure,
		Handle:  ClaimHandle{Service: r.Service, Partition: p.number, Key: r.Key, ID: id},
	}
	if !dated {
		d.Expiry = runExpiry(r.Expires, now, s.resendWindow())
	}
	return d
}

// runExpiry returns the time after which an undated order must not reach the
// target: half a resend window, or the request's own expiry if that is sooner.
func runExpiry(requested, now time.Time, window time.Duration) time.Time {
	latest := now.Add(window / 2)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}

// Complete ends a run whose answer is known.
func (c *Core) Complete(t ClaimHandle, answer *claim.Answer) Output {
	return c.endRun(t, func(p *partition) { p.finishRun(t.Key, t.ID, claim.Answered, answer) })
}

// MarkUnknown ends a run whose end is unknown: it is never run again.
func (c *Core) MarkUnknown(t ClaimHandle) Output {
	return c.endRun(t, func(p *partition) { p.finishRun(t.Key, t.ID, claim.Unknown, nil) })
}

// Abort takes back a claim whose operation was proved not run, so that the key
// may be run when it is sent again.
func (c *Core) Abort(t ClaimHandle) Output {
	return c.endRun(t, func(p *partition) { p.abortRun(t.Key, t.ID) })
}

func (c *Core) endRun(t ClaimHandle, do func(p *partition)) Output {
	var out Output
	s := (*c.services.Load())[t.Service]
	if s == nil {
		return out
	}
	list := s.allPartitions()
	if t.Partition < 0 || t.Partition >= len(list) {
		return out
	}
	p := list[t.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	do(p)
	p.forwardResults(s, true, &out)
	return out
}

// finishRun ends a run. The caller holds p.mu.
func (p *partition) finishRun(key string, id uint64, state claim.State, answer *claim.Answer) {
	if p.table == nil || !p.table.Finish(key, id, state, answer) {
		return
	}
	if p.forwarder != nil {
		entry, _ := p.table.Look(key)
		p.forwarder.add(entry, false)
	}
}

// abortRun takes a claim back. The caller holds p.mu.
func (p *partition) abortRun(key string, id uint64) {
	if p.table == nil || !p.table.Abort(key, id) {
		return
	}
	if p.forwarder != nil {
		p.forwarder.add(claim.Entry{Key: key, ID: id}, true)
	}
}
