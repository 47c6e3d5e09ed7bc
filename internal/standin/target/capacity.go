package target

import "time"

// decision is the outcome of admission.
type decision int

const (
	// admitted means that the request runs now or waits for a slot.
	admitted decision = iota
	// refused means that the request is refused.
	refused
	// overloaded means that the request is refused and the target collapses.
	overloaded
)

// capacity implements the concurrency limits of a target and its cold start. It
// does no I/O and is not safe for concurrent use.
type capacity struct {
	slots           int
	queueLength     int
	coldLimit       int
	warmupResponses int
	stallTime       time.Duration

	inFlight     int
	responses    int
	stalledUntil time.Time
	graceUntil   time.Time
}

// warm reports whether the target can use all its slots.
func (c *capacity) warm() bool {
	return c.responses >= c.warmupResponses
}

// concurrencyLimit returns the number of requests that the target can run at
// once.
func (c *capacity) concurrencyLimit() int {
	if c.warm() {
		return c.slots
	}
	return c.coldLimit + (c.slots-c.coldLimit)*c.responses/c.warmupResponses
}

// stalled reports whether the target stalls after a collapse.
func (c *capacity) stalled(now time.Time) bool {
	return now.Before(c.stalledUntil)
}

// turnCold makes the target cold. Excess requests are shed until the grace
// period is over.
func (c *capacity) turnCold(now time.Time, grace time.Duration) {
	c.responses = 0
	c.graceUntil = now.Add(grace)
}

// admit decides on an arriving request, and counts it as in flight if it is
// admitted.
func (c *capacity) admit(now time.Time) decision {
	if c.stalled(now) {
		return refused
	}
	if c.inFlight < c.concurrencyLimit() || (c.warm() && c.inFlight < c.slots+c.queueLength) {
		c.inFlight++
		return admitted
	}
	if c.warm() || now.Before(c.graceUntil) {
		return refused
	}
	c.responses = 0
	c.stalledUntil = now.Add(c.stallTime)
	return overloaded
}

// finish records that an admitted request has ended.
func (c *capacity) finish(answered bool) {
	c.inFlight--
	if answered && !c.warm() {
		c.responses++
	}
}
