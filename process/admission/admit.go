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
	if g.ejector.over(now) {
		g.endSpell(now)
	}
	if g.ramp.silent(now) && g.hang.sudden(g.meanAge(now), len(g.runs)) {
		g.ramp.suspect(now)
	}
	if reason, refused := g.refuses(r, now); refused {
		return Permit{}, g.refusal(reason, now)
	}
	return g.admit(r, now), nil
}

// refuses returns why a request can't be admitted.
func (g *Controller) refuses(r Request, now time.Time) (Reason, bool) {
	if reason, refused := g.refusesAll(now); refused {
		return reason, true
	}
	if reason, refused := g.refusesLate(r, now); refused {
		return reason, true
	}
	if r.Suspect && (g.suspects > 0 || g.brokenSuspect(now)) {
		return SuspectRunning, true
	}
	return g.refusesFull(r, now)
}

// refusesAll returns why the target takes no request at all.
func (g *Controller) refusesAll(now time.Time) (Reason, bool) {
	switch g.state(now) {
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

// refusesLate returns why it is too late for a request.
func (g *Controller) refusesLate(r Request, now time.Time) (Reason, bool) {
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
	return InsufficientTime, left < g.quick
}

// refusesFull returns why there is no room for a request.
func (g *Controller) refusesFull(r Request, now time.Time) (Reason, bool) {
	bound := g.limit(now)
	running := len(g.runs)
	if running >= bound {
		g.shares.want(r.Caller, now)
		return g.fullReason(now), true
	}
	if g.opened >= 0 && running >= g.opened+g.settings.MaxConnecting {
		return Connecting, true
	}
	if !g.shares.allows(r.Caller, bound-running, bound, now) {
		g.shares.want(r.Caller, now)
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
	g.hang.learn(g.meanAge(now), len(g.runs))
	g.began.add(now, len(g.runs))
	g.shares.begin(r.Caller, now)
	g.runs[g.nextID] = run{
		running:  quarantine.InFlightRequest{Fingerprint: r.Fingerprint, Suspect: r.Suspect},
		caller:   r.Caller,
		began:    now,
		instance: g.target.Instance,
		peers:    len(g.runs) + 1,
	}
	return Permit{id: g.nextID, Instance: g.target.Instance, AdmittedAt: now}
}

func (g *Controller) refusal(reason Reason, now time.Time) *Refusal {
	return &Refusal{Reason: reason, Sample: g.sample(now), RetryAfter: g.retryAfter(reason, now)}
}

// retryAfter derives from what is known when it is worth coming back.
func (g *Controller) retryAfter(reason Reason, now time.Time) time.Duration {
	switch reason {
	case Expired, InsufficientTime:
		return 0
	case NoTarget, Draining, OutOfService:
		return retryWhenLeaving
	case EjectedFull:
		return max(g.ejector.until.Sub(now), leastRetry)
	case SuspectRunning:
		return max(g.latency, leastRetry)
	default:
		free := g.latency / time.Duration(max(len(g.runs), 1))
		return max(free, leastRetry)
	}
}

// endSpell returns the target from ejection, as cold.
func (g *Controller) endSpell(now time.Time) {
	g.ejector.back()
	g.ramp.fall(now)
}
