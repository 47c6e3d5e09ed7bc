package target

import "time"

// decision is what becomes of a request that arrives.
type decision int

const (
	// admitted means that the request gets a slot, now or soon.
	admitted decision = iota
	// refused means that the request is refused.
	refused
	// overloaded means that the request is refused and the target falls over.
	overloaded
)

// capacity decides what a target bears. It does no I/O.
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

// warm reports whether the target bears all its slots.
func (c *capacity) warm() bool {
	return c.responses >= c.warmupResponses
}

// concurrencyLimit is how many requests the target can run at once.
func (c *capacity) concurrencyLimit() int {
	if c.warm() {
		return c.slots
	}
	return c.coldLimit + (c.slots-c.coldLimit)*c.responses/c.warmupResponses
}

// stalled reports whether the target has fallen over.
func (c *capacity) stalled(now time.Time) bool {
	return now.Before(c.stalledUntil)
}

// turnCold makes the target cold. It sheds what it does not bear until the
// grace is over.
func (c *capacity) turnCold(now time.Time, grace time.Duration) {
	c.responses = 0
	c.graceUntil = now.Add(grace)
}

// admit decides on a request that arrives, and counts it if it runs.
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

// finish counts a request that has ended.
func (c *capacity) finish(answered bool) {
	c.inFlight--
	if answered && !c.warm() {
		c.responses++
	}
}
