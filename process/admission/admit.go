package admission

import (
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/request/quarantine"
)

// Admit lets a request in or refuses it, at once. Every admitted request must
// be ended by Done.
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

// check returns why a request can't be admitted.
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

// checkState returns why the target takes no request at all.
func (c *Controller) checkState(now time.Time) (Reason, bool) {
	switch c.state(now) {
	case load.Absent:
		return NoTarget, true
	case load.Draining:
		return Draining, true
	case load.Out:
		return OutOfService, true
	default:
		return 0, false
	}
}

// checkTime returns why it is too late for a request.
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

// checkCapacity returns why there is no room for a request.
func (c *Controller) checkCapacity(r Request, now time.Time) (Reason, bool) {
	bound := c.limit(now)
	running := len(c.inFlight)
	if running >= bound {
		c.shares.reserve(r.Caller, now)
		return c.fullReason(now), true
	}
	if c.openConnections >= 0 && running >= c.openConnections+c.settings.MaxConnecting {
		return Connecting, true
	}
	if !c.shares.allows(r.Caller, bound-running, bound, now) {
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
	return Permit{id: c.nextID, Instance: c.target.Instance, Began: now}
}

func (c *Controller) newRefusal(reason Reason, now time.Time) *Refusal {
	return &Refusal{Reason: reason, Sample: c.sample(now), RetryAfter: c.retryAfter(reason, now)}
}

// retryAfter derives from what is known when it is worth coming back.
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
		free := c.meanLatency / time.Duration(max(len(c.inFlight), 1))
		return max(free, minRetryAfter)
	}
}

// endEjection returns the target from ejection, as cold.
func (c *Controller) endEjection(now time.Time) {
	c.ejector.end()
	c.coldStart.reset(now)
}
