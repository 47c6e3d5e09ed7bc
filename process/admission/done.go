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
	ended, ok := g.inFlight[t.id]
	if !ok {
		return nil
	}
	delete(g.inFlight, t.id)
	g.shares.end(ended.caller)
	if ended.request.Suspect {
		g.suspects--
	}
	g.starts.remove(ended.admittedAt)
	crash := g.detectReplacement(result.Instance, now)
	if g.fromCurrentInstance(ended, result) {
		g.recordResult(ended, result, now)
	}
	return crash
}

// fromCurrentInstance reports whether the present instance ran a request.
func (g *Controller) fromCurrentInstance(ended admittedRequest, result Result) bool {
	if result.Instance != "" {
		return result.Instance == g.target.Instance
	}
	return ended.instance == g.target.Instance
}

// detectReplacement starts over if an answer names an instance that hasn't announced
// itself yet.
func (g *Controller) detectReplacement(instance string, now time.Time) *Crash {
	if instance == "" || instance == g.target.Instance || slices.Contains(g.pastInstances, instance) {
		return nil
	}
	next := g.target
	next.Instance = instance
	return g.replaceInstance(next, now)
}

// recordResult draws what follows from the end of a request of the present instance.
func (g *Controller) recordResult(ended admittedRequest, result Result, now time.Time) {
	switch result.Kind {
	case Answered:
		g.recordAnswer(ended, now)
	case Shed:
		g.observe(ended, true, now)
		g.coldStart.shed(now)
		g.recordFailure(now)
	case Failed:
		g.recordFailure(now)
	case Broken:
		g.brokenRequests = append(g.brokenRequests, brokenRequest{request: ended.request, brokenAt: now})
		g.recordFailure(now)
	case Cancelled:
		g.recordCancelled(ended, now)
	case NotSent:
	}
	if result.Cold {
		g.coldStart.reset(now)
	}
}

func (g *Controller) recordAnswer(ended admittedRequest, now time.Time) {
	latency := now.Sub(ended.admittedAt)
	g.meanLatency = g.smoothLatency(latency)
	if g.minLatency == 0 || latency < g.minLatency {
		g.minLatency = latency
	}
	g.dropBrokenBefore(ended.admittedAt)
	if g.ejector.answered() {
		g.endEjection(now)
	}
	g.coldStart.answered(ended.admittedAt, now, ended.concurrency, g.limit(now), g.settings.SlowFactor)
	if !g.coldStart.cold {
		g.ejector.resetPeriod()
	}
	g.observe(ended, false, now)
}

// recordCancelled takes the time that a request ran as a lower bound of its
// latency, which says something only if it is above the average.
func (g *Controller) recordCancelled(ended admittedRequest, now time.Time) {
	latency := now.Sub(ended.admittedAt)
	if latency <= g.meanLatency {
		return
	}
	g.meanLatency = g.smoothLatency(latency)
	g.observe(ended, false, now)
}

func (g *Controller) smoothLatency(latency time.Duration) time.Duration {
	if g.meanLatency == 0 {
		return latency
	}
	return g.meanLatency + time.Duration(latencyWeight*float64(latency-g.meanLatency))
}

func (g *Controller) observe(ended admittedRequest, dropped bool, now time.Time) {
	g.adaptive.Observe(newObservation(ended, dropped, now))
}

func (g *Controller) recordFailure(now time.Time) {
	if g.ejector.failed(now, g.rng) {
		g.coldStart.reset(now)
	}
}

// takeCrash returns what was in flight when the present instance ended, once.
func (g *Controller) takeCrash(now time.Time) *Crash {
	if g.crashReported || g.target.Instance == "" {
		return nil
	}
	g.crashReported = true
	var running []quarantine.InFlightRequest
	for _, r := range g.inFlight {
		if r.instance == g.target.Instance {
			running = append(running, r.request)
		}
	}
	for _, b := range g.brokenRequests {
		if now.Sub(b.brokenAt) < brokenTTL {
			running = append(running, b.request)
		}
	}
	g.brokenRequests = nil
	if len(running) == 0 {
		return nil
	}
	return &Crash{Instance: g.target.Instance, Running: running}
}

// dropBrokenBefore drops the requests whose connection broke before a request
// began that was answered: the target didn't crash then.
func (g *Controller) dropBrokenBefore(began time.Time) {
	kept := g.brokenRequests[:0]
	for _, b := range g.brokenRequests {
		if !b.brokenAt.Before(began) {
			kept = append(kept, b)
		}
	}
	g.brokenRequests = kept
}

// suspectBrokeRecently reports whether a suspect's connection broke lately, so that
// it may just have crashed the target.
func (g *Controller) suspectBrokeRecently(now time.Time) bool {
	for _, b := range g.brokenRequests {
		if b.request.Suspect && now.Sub(b.brokenAt) < brokenTTL {
			return true
		}
	}
	return false
}
