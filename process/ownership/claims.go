package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/fence"
	"verbenatrestle/process/ownership/internal/rule"
)

const (
	// MaxKeyBytes is the maximum length of a key, in bytes.
	MaxKeyBytes = 255
	// ownerChangeRetry is the retry delay while a partition changes its owner.
	ownerChangeRetry = 20 * time.Millisecond
	// noAssignmentRetry is the retry delay while a service has no assignment.
	noAssignmentRetry = 100 * time.Millisecond
	// tableFullRetry is the retry delay while the claim table of a partition is
	// full.
	tableFullRetry = time.Second
)

// Claim decides on a request and records a claim for its key if the verdict is
// Run. The clocks must have been read after the request arrived, and the wall
// clock before the monotonic one.
func (c *Core) Claim(r Request, now ClockReading) Decision {
	return c.claimAt(r, now, now)
}

// claimAt is Claim with separate clock readings for the lease and for the
// bounds of key times. They differ in tests only.
func (c *Core) claimAt(r Request, leaseAt, boundAt ClockReading) Decision {
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
	if d, ok := c.checkOwner(s, p, leaseAt.Monotonic); !ok {
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

// decideExisting decides on a key that has a claim, and returns false for any
// other key. It needs no lease, since the result of an earlier run stays valid
// without one. The caller holds p.mu.
func (p *partition) decideExisting(key string) (Decision, bool) {
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

// checkOwner reports whether this node may accept operations of the partition.
// If not, it returns the decision for the request. The caller holds p.mu.
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
		retry := c.timing.HeartbeatInterval()
		return Decision{Verdict: Refused, Reason: ReasonNoLease, Tenure: p.tenure, RetryAfter: retry}, false
	}
	return Decision{}, true
}

// notOwner decides on a request for a partition that another process owns. The
// caller holds p.mu.
func (c *Core) notOwner(s *service, p *partition) Decision {
	assigned := s.view.Load().Partitions[p.number]
	d := Decision{Verdict: NotOwner, Owner: assigned.Owner, Tenure: assigned.Tenure}
	if assigned.Owner == c.node {
		// The owner was an earlier incarnation of this node.
		d.Reason = ReasonMoving
		d.RetryAfter = ownerChangeRetry
	}
	return d
}

// checkDatedKey reports whether a dated key without a claim may be run: no owner
// can have run it before, and its time is not further in the future than the
// clock skew. If not, it returns the decision for the request. The caller holds
// p.mu.
func (c *Core) checkDatedKey(s *service, p *partition, keyTime, now time.Time) (Decision, bool) {
	if keyTime.Before(p.notBeforeLastExpiry(now).Add(-s.resendWindow())) && !c.disabledRules.Has(rule.ResendWindow) {
		return Decision{Verdict: Unknown, Reason: ReasonExpiredKey, Tenure: p.tenure}, false
	}
	if p.fence.BlocksDated(keyTime) && !c.disabledRules.Has(rule.DatedFence) {
		return Decision{Verdict: Unknown, Reason: ReasonFenced, Tenure: p.tenure}, false
	}
	early := keyTime.Sub(now.Add(c.timing.MaxClockSkew))
	if early > 0 && !c.disabledRules.Has(rule.FutureBound) {
		return Decision{Verdict: Refused, Reason: ReasonFutureKey, Tenure: p.tenure, RetryAfter: early}, false
	}
	return Decision{}, true
}

// checkUndatedKey reports whether an undated key without a claim may be run: no
// owner can have run it before, and the request has not expired. If not, it
// returns the decision for the request. The caller holds p.mu.
func (c *Core) checkUndatedKey(p *partition, expires, now time.Time) (Decision, bool) {
	if p.fence.BlocksUndated(now) && !c.disabledRules.Has(rule.UndatedFence) {
		return Decision{Verdict: Unknown, Reason: ReasonFenced, Tenure: p.tenure}, false
	}
	if !expires.IsZero() && p.notBeforeLastExpiry(now).After(expires) && !c.disabledRules.Has(rule.UndatedExpiry) {
		return Decision{Verdict: Refused, Reason: ReasonExpired, Tenure: p.tenure}, false
	}
	return Decision{}, true
}

// recordClaim records a claim for a key that is to be run. The claim is kept
// until its key is too old to be run. The caller holds p.mu.
func (c *Core) recordClaim(s *service, p *partition, r Request, keyTime time.Time, dated bool, now time.Time) Decision {
	p.expireClaims(now)
	if p.table.Full() {
		return Decision{Verdict: Refused, Reason: ReasonClaimsFull, Tenure: p.tenure, RetryAfter: tableFullRetry}
	}
	from := now
	if dated {
		from = keyTime
	}
	id := p.table.Claim(r.Key, from.Add(s.resendWindow()+2*c.timing.MaxClockSkew))
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

// runExpiry returns the time after which the request for an undated key must not
// be sent to the target: half a resend window from now, or the request's own
// expiry if that is earlier.
func runExpiry(requested, now time.Time, window time.Duration) time.Time {
	latest := now.Add(window / 2)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}

// Complete records the answer of a run.
func (c *Core) Complete(h ClaimHandle, answer *claim.Answer) Output {
	return c.endRun(h, func(p *partition) { p.finishRun(h.Key, h.ID, claim.Answered, answer) })
}

// MarkUnknown records that the outcome of a run is unknown. The key is not run
// again.
func (c *Core) MarkUnknown(h ClaimHandle) Output {
	return c.endRun(h, func(p *partition) { p.finishRun(h.Key, h.ID, claim.Unknown, nil) })
}

// Abort removes a claim whose operation is known not to have been run, so that
// the key can be run when it is sent again.
func (c *Core) Abort(h ClaimHandle) Output {
	return c.endRun(h, func(p *partition) { p.abortRun(h.Key, h.ID) })
}

// endRun calls record for the partition of a claim, and sends the result to the
// successor if the partition has been handed over.
func (c *Core) endRun(h ClaimHandle, record func(p *partition)) Output {
	var out Output
	s := (*c.services.Load())[h.Service]
	if s == nil {
		return out
	}
	list := s.allPartitions()
	if h.Partition < 0 || h.Partition >= len(list) {
		return out
	}
	p := list[h.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	record(p)
	p.forwardResults(s, true, &out)
	return out
}

// finishRun records the outcome of a run, and queues it for the successor if
// there is one. The caller holds p.mu.
func (p *partition) finishRun(key string, id uint64, state claim.State, answer *claim.Answer) {
	if p.table == nil || !p.table.Finish(key, id, state, answer) {
		return
	}
	if p.forwarder != nil {
		entry, _ := p.table.Lookup(key)
		p.forwarder.add(entry, false)
	}
}

// abortRun removes a claim, and queues the removal for the successor if there is
// one. The caller holds p.mu.
func (p *partition) abortRun(key string, id uint64) {
	if p.table == nil || !p.table.Abort(key, id) {
		return
	}
	if p.forwarder != nil {
		p.forwarder.add(claim.Entry{Key: key, ID: id}, true)
	}
}
