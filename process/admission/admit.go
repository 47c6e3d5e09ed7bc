package admission

import (
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/request/quarantine"
)

// Admit admits a request or refuses it, without waiting. The caller must pass
// the permit of every admitted request to Done.
func (c *Controller) Admit(r Request, now time.Time) (Permit, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ejector.periodOver(now) {
		c.endEjection(now)
	}
	if c.coldStart.noPromptAnswer(now) && c.hangs.suspected(c.meanAge(now), len(c.inFlight)) {
		c.coldStart.suspect(now)
	}
	if reason, refused := c.check(r, now); refused {
		return Permit{}, c.newRefusal(reason, now)
	}
	return c.admit(r, now), nil
}

// check returns the reason to refuse a request, and whether there is one.
func (c *Controller) check(r Request, now time.Time) (Reason, bool) {
	if reason, refused := c.checkState(now); refused {
		return reason, true
	}
	if reason, refused := c.checkTime(r, now); refused {
		return reason, true
	}
	if r.Suspect && (c.suspects > 0 || c.suspectBrokeRecently(now)) {
		return SuspectRunning, true
	}
	return c.checkCapacity(r, now)
}

// checkState refuses every request if the state of the target demands it.
func (c *Controller) checkState(now time.Time) (Reason, bool) {
	switch c.state(now) {
	case load.Absent:
		return NoTarget, true
	case load.Draining:
		return Draining, true
	case load.OutOfService:
		return OutOfService, true
	default:
		return 0, false
	}
}

// checkTime refuses a request that has expired or that the target can't
// answer before its deadline.
func (c *Controller) checkTime(r Request, now time.Time) (Reason, bool) {
	if !r.Expiry.IsZero() && !now.Before(r.Expiry) {
		return Expired, true
	}
	if r.Deadline.IsZero() {
		return 0, false
	}
	left := r.Deadline.Sub(now)
	if left <= 0 {
		return Expired, true
	}
	return InsufficientTime, left < c.minLatency
}

// checkCapacity refuses a request if the limit, the open connections or the
// fair share of its caller leave no room for it.
func (c *Controller) checkCapacity(r Request, now time.Time) (Reason, bool) {
	limit := c.limit(now)
	inFlight := len(c.inFlight)
	if inFlight >= limit {
		c.shares.reserve(r.Caller, now)
		return c.fullReason(now), true
	}
	if c.openConnections >= 0 && inFlight >= c.openConnections+c.settings.MaxConnecting {
		return Connecting, true
	}
	if !c.shares.allows(r.Caller, limit-inFlight, limit, now) {
		c.shares.reserve(r.Caller, now)
		return OverShare, true
	}
	return 0, false
}

func (c *Controller) fullReason(now time.Time) Reason {
	switch c.state(now) {
	case load.Ejected:
		return EjectedFull
	case load.Cold:
		return ColdFull
	default:
		return Full
	}
}

func (c *Controller) admit(r Request, now time.Time) Permit {
	c.nextID++
	if r.Suspect {
		c.suspects++
	}
	c.hangs.observe(c.meanAge(now), len(c.inFlight))
	c.starts.add(now, len(c.inFlight))
	c.shares.begin(r.Caller, now)
	c.inFlight[c.nextID] = admittedRequest{
		request:     quarantine.InFlightRequest{Fingerprint: r.Fingerprint, Suspect: r.Suspect},
		caller:      r.Caller,
		admittedAt:  now,
		instance:    c.target.Instance,
		concurrency: len(c.inFlight) + 1,
	}
	return Permit{id: c.nextID, Instance: c.target.Instance, AdmittedAt: now}
}

func (c *Controller) newRefusal(reason Reason, now time.Time) *Refusal {
	return &Refusal{Reason: reason, Sample: c.sample(now), RetryAfter: c.retryAfter(reason, now)}
}

// retryAfter estimates when the target will have room again. It returns 0 if
// a retry of the request is pointless.
func (c *Controller) retryAfter(reason Reason, now time.Time) time.Duration {
	switch reason {
	case Expired, InsufficientTime:
		return 0
	case NoTarget, Draining, OutOfService:
		return retryAfterUnavailable
	case EjectedFull:
		return max(c.ejector.ejectedUntil.Sub(now), minRetryAfter)
	case SuspectRunning:
		return max(c.meanLatency, minRetryAfter)
	default:
		untilFree := c.meanLatency / time.Duration(max(len(c.inFlight), 1))
		return max(untilFree, minRetryAfter)
	}
}

// endEjection ends the ejection of the target, which is cold then.
func (c *Controller) endEjection(now time.Time) {
	c.ejector.end()
	c.coldStart.reset(now)
}
