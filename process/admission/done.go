package admission

import (
	"slices"
	"time"

	"verbenatrestle/request/quarantine"
)

// Done records the result of an admitted request and releases its permit. It
// does nothing if the permit was released before. If the answer names an
// instance that replaced the current one, Done returns the crash of the
// replaced instance, and nil otherwise.
func (c *Controller) Done(p Permit, result Result, now time.Time) *Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, ok := c.inFlight[p.id]
	if !ok {
		return nil
	}
	delete(c.inFlight, p.id)
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

// fromCurrentInstance reports whether the current instance ran a request.
func (c *Controller) fromCurrentInstance(ended admittedRequest, result Result) bool {
	if result.Instance != "" {
		return result.Instance == c.target.Instance
	}
	return ended.instance == c.target.Instance
}

// detectReplacement replaces the current instance if an answer names a new one
// that hasn't announced itself yet.
func (c *Controller) detectReplacement(instance string, now time.Time) *Crash {
	if instance == "" || instance == c.target.Instance || slices.Contains(c.pastInstances, instance) {
		return nil
	}
	next := c.target
	next.Instance = instance
	return c.replaceInstance(next, now)
}

// recordResult updates limits and ejection with the result of a request that
// the current instance ran.
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
		c.brokenRequests = c.brokenRequests[max(0, len(c.brokenRequests)+1-maxBrokenRequests):]
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

// recordCancelled uses the time that a cancelled request ran as a lower bound
// of its latency. It is ignored unless it is above the mean latency.
func (c *Controller) recordCancelled(ended admittedRequest, now time.Time) {
	latency := now.Sub(ended.admittedAt)
	if latency <= c.meanLatency {
		return
	}
	c.meanLatency = c.smoothLatency(latency)
	c.observe(ended, false, now)
}

// smoothLatency returns the exponential moving average of the latency after
// one more observation.
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

// takeCrash returns the requests that were in flight when the current instance
// ended. It returns nil if there were none, and on further calls for the same
// instance.
func (c *Controller) takeCrash(now time.Time) *Crash {
	if c.crashReported || c.target.Instance == "" {
		return nil
	}
	c.crashReported = true
	var inFlight []quarantine.InFlightRequest
	for _, r := range c.inFlight {
		if r.instance == c.target.Instance {
			inFlight = append(inFlight, r.request)
		}
	}
	for _, b := range c.brokenRequests {
		if now.Sub(b.brokenAt) < brokenTTL {
			inFlight = append(inFlight, b.request)
		}
	}
	c.brokenRequests = nil
	if len(inFlight) == 0 {
		return nil
	}
	return &Crash{Instance: c.target.Instance, InFlight: inFlight}
}

// dropBrokenBefore drops the requests whose connection broke before a request
// was admitted that the target answered: the answer shows that these
// connections did not break in a crash.
func (c *Controller) dropBrokenBefore(admittedAt time.Time) {
	kept := c.brokenRequests[:0]
	for _, b := range c.brokenRequests {
		if !b.brokenAt.Before(admittedAt) {
			kept = append(kept, b)
		}
	}
	c.brokenRequests = kept
}

// suspectBrokeRecently reports whether the connection of a suspect request
// broke a short time ago, so that the request may have crashed the target.
func (c *Controller) suspectBrokeRecently(now time.Time) bool {
	for _, b := range c.brokenRequests {
		if b.request.Suspect && now.Sub(b.brokenAt) < suspectHoldTime {
			return true
		}
	}
	return false
}
