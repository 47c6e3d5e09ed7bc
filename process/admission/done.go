package admission

import (
	"slices"
	"time"

	"verbenatrestle/request/quarantine"
)

// Done takes in the end of an admitted request. A second Done of a ticket
// does nothing. The crash is that of an instance that the answer shows to
// have been replaced, or nil.
func (g *Controller) Done(t Permit, result Result, now time.Time) *Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended, ok := g.runs[t.id]
	if !ok {
		return nil
	}
	delete(g.runs, t.id)
	g.shares.end(ended.caller)
	if ended.running.Suspect {
		g.suspects--
	}
	g.began.remove(ended.began)
	crash := g.replacedBy(result.Instance, now)
	if g.isOf(ended, result) {
		g.learn(ended, result, now)
	}
	return crash
}

// isOf reports whether the present instance ran a request.
func (g *Controller) isOf(ended run, result Result) bool {
	if result.Instance != "" {
		return result.Instance == g.target.Instance
	}
	return ended.instance == g.target.Instance
}

// replacedBy starts over if an answer names an instance that hasn't announced
// itself yet.
func (g *Controller) replacedBy(instance string, now time.Time) *Crash {
	if instance == "" || instance == g.target.Instance || slices.Contains(g.past, instance) {
		return nil
	}
	next := g.target
	next.Instance = instance
	return g.replace(next, now)
}

// learn draws what follows from the end of a request of the present instance.
func (g *Controller) learn(ended run, result Result, now time.Time) {
	switch result.Kind {
	case Answered:
		g.learnAnswer(ended, now)
	case Shed:
		g.observe(ended, true, now)
		g.ramp.shed(now)
		g.learnFailure(now)
	case Failed:
		g.learnFailure(now)
	case Broken:
		g.broken = append(g.broken, brokenRun{running: ended.running, at: now})
		g.learnFailure(now)
	case Cancelled:
		g.learnCancelled(ended, now)
	case NotSent:
	}
	if result.Cold {
		g.ramp.fall(now)
	}
}

func (g *Controller) learnAnswer(ended run, now time.Time) {
	latency := now.Sub(ended.began)
	g.latency = g.average(latency)
	if g.quick == 0 || latency < g.quick {
		g.quick = latency
	}
	g.forgetBroken(ended.began)
	if g.ejector.answered() {
		g.endSpell(now)
	}
	g.ramp.answered(ended.began, now, ended.peers, g.limit(now), g.settings.SlowFactor)
	if !g.ramp.cold {
		g.ejector.warm()
	}
	g.observe(ended, false, now)
}

// learnCancelled takes the time that a request ran as a lower bound of its
// latency, which says something only if it is above the average.
func (g *Controller) learnCancelled(ended run, now time.Time) {
	latency := now.Sub(ended.began)
	if latency <= g.latency {
		return
	}
	g.latency = g.average(latency)
	g.observe(ended, false, now)
}

func (g *Controller) average(latency time.Duration) time.Duration {
	if g.latency == 0 {
		return latency
	}
	return g.latency + time.Duration(latencyShare*float64(latency-g.latency))
}

func (g *Controller) observe(ended run, dropped bool, now time.Time) {
	g.adaptive.Observe(observation(ended, dropped, now))
}

func (g *Controller) learnFailure(now time.Time) {
	if g.ejector.failed(now, g.rng) {
		g.ramp.fall(now)
	}
}

// crash returns what was in flight when the present instance ended, once.
func (g *Controller) crash(now time.Time) *Crash {
	if g.crashed || g.target.Instance == "" {
		return nil
	}
	g.crashed = true
	var running []quarantine.InFlightRequest
	for _, r := range g.runs {
		if r.instance == g.target.Instance {
			running = append(running, r.running)
		}
	}
	for _, b := range g.broken {
		if now.Sub(b.at) < brokenLife {
			running = append(running, b.running)
		}
	}
	g.broken = nil
	if len(running) == 0 {
		return nil
	}
	return &Crash{Instance: g.target.Instance, InFlight: running}
}

// forgetBroken drops the requests whose connection broke before a request
// began that was answered: the target didn't crash then.
func (g *Controller) forgetBroken(began time.Time) {
	kept := g.broken[:0]
	for _, b := range g.broken {
		if !b.at.Before(began) {
			kept = append(kept, b)
		}
	}
	g.broken = kept
}

// brokenSuspect reports whether a suspect's connection broke lately, so that
// it may just have crashed the target.
func (g *Controller) brokenSuspect(now time.Time) bool {
	for _, b := range g.broken {
		if b.running.Suspect && now.Sub(b.at) < brokenLife {
			return true
		}
	}
	return false
}
