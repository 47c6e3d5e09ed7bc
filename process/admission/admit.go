package admission

import (
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/request/quarantine"
)

// Admit lets a request in or refuses it, at once. Every admitted request must
// be ended by Done.
func (g *Controller) Admit(r Request, now time.Time) (Permit, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ejector.periodOver(now) {
		g.endEjection(now)
	}
	if g.coldStart.noPromptAnswer(now) && g.hangs.suspected(g.meanAge(now), len(g.inFlight)) {
		g.coldStart.suspect(now)
	}
	if reason, refused := g.check(r, now); refused {
		return Permit{}, g.newRefusal(reason, now)
	}
	return g.admit(r, now), nil
}

// check returns why a request can't be admitted.
func (g *Controller) check(r Request, now time.Time) (Reason, bool) {
	if reason, refused := g.checkState(now); refused {
		return reason, true
	}
	if reason, refused := g.checkTime(r, now); refused {
		return reason, true
	}
	if r.Suspect && (g.suspects > 0 || g.suspectBrokeRecently(now)) {
		return SuspectRunning, true
	}
	return g.checkCapacity(r, now)
}

// checkState returns why the target takes no request at all.
func (g *Controller) checkState(now time.Time) (Reason, bool) {
	switch g.state(now) {
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
func (g *Controller) checkTime(r Request, now time.Time) (Reason, bool) {
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
	return InsufficientTime, left < g.minLatency
}

// checkCapacity returns why there is no room for a request.
func (g *Controller) checkCapacity(r Request, now time.Time) (Reason, bool) {
	bound := g.limit(now)
	running := len(g.inFlight)
	if running >= bound {
		g.shares.reserve(r.Caller, now)
		return g.fullReason(now), true
	}
	if g.openConnections >= 0 && running >= g.openConnections+g.settings.MaxConnecting {
		return Connecting, true
	}
	if !g.shares.allows(r.Caller, bound-running, bound, now) {
		g.shares.reserve(r.Caller, now)
		return OverShare, true
	}
	return 0, false
}

func (g *Controller) fullReason(now time.Time) Reason {
	switch g.state(now) {
	case load.Ejected:
		return EjectedFull
	case load.Cold:
		return ColdFull
	default:
		return Full
	}
}

func (g *Controller) admit(r Request, now time.Time) Permit {
	g.nextID++
	if r.Suspect {
		g.suspects++
	}
	g.hangs.observe(g.meanAge(now), len(g.inFlight))
	g.starts.add(now, len(g.inFlight))
	g.shares.begin(r.Caller, now)
	g.inFlight[g.nextID] = admittedRequest{
		request:     quarantine.InFlightRequest{Fingerprint: r.Fingerprint, Suspect: r.Suspect},
		caller:      r.Caller,
		admittedAt:  now,
		instance:    g.target.Instance,
		concurrency: len(g.inFlight) + 1,
	}
	return Permit{id: g.nextID, Instance: g.target.Instance, Began: now}
}

func (g *Controller) newRefusal(reason Reason, now time.Time) *Refusal {
	return &Refusal{Reason: reason, Sample: g.sample(now), RetryAfter: g.retryAfter(reason, now)}
}

// retryAfter derives from what is known when it is worth coming back.
func (g *Controller) retryAfter(reason Reason, now time.Time) time.Duration {
	switch reason {
	case Expired, InsufficientTime:
		return 0
	case NoTarget, Draining, OutOfService:
		return retryAfterUnavailable
	case EjectedFull:
		return max(g.ejector.ejectedUntil.Sub(now), minRetryAfter)
	case SuspectRunning:
		return max(g.meanLatency, minRetryAfter)
	default:
		free := g.meanLatency / time.Duration(max(len(g.inFlight), 1))
		return max(free, minRetryAfter)
	}
}

// endEjection returns the target from ejection, as cold.
func (g *Controller) endEjection(now time.Time) {
	g.ejector.end()
	g.coldStart.reset(now)
}
