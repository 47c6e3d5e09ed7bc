package admission

import (
	"slices"
	"time"

	"verbenatrestle/request/quarantine"
)

// Done takes in the end of an admitted request. A second Done of a ticket
// does nothing. The crash is that of an instance that the answer shows to
// have been replaced, or nil.
func (c *Controller) Done(t Permit, result Result, now time.Time) *Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, ok := c.inFlight[t.id]
	if !ok {
		return nil
	}
	delete(c.inFlight, t.id)
	c.shares.end(ended.caller)
	if ended.request.Suspect {
		c.suspects--
	}
	c.starts.remove(ended.admittedAt)
	crash := c.detectReplacement(result.Instance, now)
	if c.fromCurrentInstance(ended, result) {
		c.recordResult(ended, result, now)
	}
	return crash
}

// fromCurrentInstance reports whether the present instance ran a request.
func (c *Controller) fromCurrentInstance(ended admittedRequest, result Result) bool {
	if result.Instance != "" {
		return result.Instance == c.target.Instance
	}
	return ended.instance == c.target.Instance
}

// detectReplacement starts over if an answer names an instance that hasn't announced
// itself yet.
func (c *Controller) detectReplacement(instance string, now time.Time) *Crash {
	if instance == "" || instance == c.target.Instance || slices.Contains(c.pastInstances, instance) {
		return nil
	}
	next := c.target
	next.Instance = instance
	return c.replaceInstance(next, now)
}

// recordResult draws what follows from the end of a request of the present instance.
func (c *Controller) recordResult(ended admittedRequest, result Result, now time.Time) {
	switch result.Kind {
	case Answered:
		c.recordAnswer(ended, now)
	case Shed:
		c.observe(ended, true, now)
		c.coldStart.shed(now)
		c.recordFailure(now)
	case Failed:
		c.recordFailure(now)
	case Broken:
		c.brokenRequests = append(c.brokenRequests, brokenRequest{request: ended.request, brokenAt: now})
		c.recordFailure(now)
	case Cancelled:
		c.recordCancelled(ended, now)
	case NotSent:
	}
	if result.Cold {
		c.coldStart.reset(now)
	}
}

func (c *Controller) recordAnswer(ended admittedRequest, now time.Time) {
	latency := now.Sub(ended.admittedAt)
	c.meanLatency = c.smoothLatency(latency)
	if c.minLatency == 0 || latency < c.minLatency {
		c.minLatency = latency
	}
	c.dropBrokenBefore(ended.admittedAt)
	if c.ejector.answered() {
		c.endEjection(now)
	}
	c.coldStart.answered(ended.admittedAt, now, ended.concurrency, c.limit(now), c.settings.SlowFactor)
	if !c.coldStart.cold {
		c.ejector.resetPeriod()
	}
	c.observe(ended, false, now)
}

// recordCancelled takes the time that a request ran as a lower bound of its
// latency, which says something only if it is above the average.
func (c *Controller) recordCancelled(ended admittedRequest, now time.Time) {
	latency := now.Sub(ended.admittedAt)
	if latency <= c.meanLatency {
		return
	}
	c.meanLatency = c.smoothLatency(latency)
	c.observe(ended, false, now)
}

func (c *Controller) smoothLatency(latency time.Duration) time.Duration {
	if c.meanLatency == 0 {
		return latency
	}
	return c.meanLatency + time.Duration(latencyWeight*float64(latency-c.meanLatency))
}

func (c *Controller) observe(ended admittedRequest, dropped bool, now time.Time) {
	c.adaptive.Observe(newObservation(ended, dropped, now))
}

func (c *Controller) recordFailure(now time.Time) {
	if c.ejector.failed(now, c.rng) {
		c.coldStart.reset(now)
	}
}

// takeCrash returns what was in flight when the present instance ended, once.
func (c *Controller) takeCrash(now time.Time) *Crash {
	if c.crashReported || c.target.Instance == "" {
		return nil
	}
	c.crashReported = true
	var running []quarantine.InFlightRequest
	for _, r := range c.inFlight {
		if r.instance == c.target.Instance {
			running = append(running, r.request)
		}
	}
	for _, b := range c.brokenRequests {
		if now.Sub(b.brokenAt) < brokenTTL {
			running = append(running, b.request)
		}
	}
	c.brokenRequests = nil
	if len(running) == 0 {
		return nil
	}
	return &Crash{Instance: c.target.Instance, Running: running}
}

// dropBrokenBefore drops the requests whose connection broke before a request
// began that was answered: the target didn't crash then.
func (c *Controller) dropBrokenBefore(began time.Time) {
	kept := c.brokenRequests[:0]
	for _, b := range c.brokenRequests {
		if !b.brokenAt.Before(began) {
			kept = append(kept, b)
		}
	}
	c.brokenRequests = kept
}

// suspectBrokeRecently reports whether a suspect's connection broke lately, so that
// it may just have crashed the target.
func (c *Controller) suspectBrokeRecently(now time.Time) bool {
	for _, b := range c.brokenRequests {
		if b.request.Suspect && now.Sub(b.brokenAt) < brokenTTL {
			return true
		}
	}
	return false
}
