package gate

import (
	"math"
	"time"
)

const (
	// coldWindow is the time span in which arrivals at a cold target are counted.
	coldWindow = time.Second
	// minRestartTime is the least time between the end of a process of the node and the start
	// of the next one.
	minRestartTime = 50 * time.Millisecond
	// slowThreshold is the slowdown, in percent, from which on a request with
	// alternatives is refused: the additional run time is far longer than one more
	// hop.
	slowThreshold = 250
	// slowPeriodHold is how long requests wait for a slow period to end. It covers
	// two or three such periods and is less than a slow run adds. Nested calls are
	// too short for the wait to pay off.
	slowPeriodHold = 400 * time.Millisecond
	// nestedReserveTTL is how long slots stay reserved after the latest nested
	// call.
	nestedReserveTTL = 5 * time.Second
)

// Limit returns how many requests may be in flight to the target at once: its
// slots, or fewer if the target slows down when it is nearly full.
func (g *Gate) Limit() int {
	if g.target == nil {
		return 0
	}
	limit := float64(g.target.Slots)
	if g.saturation.lowersLimit() {
		limit *= highLoadShare
	}
	return max(1, int(limit))
}

// cold reports whether the target is cold.
func (g *Gate) cold(now time.Time) bool { return now.Before(g.coldUntil) }

// coldLimit returns how many requests a cold target may receive per coldWindow.
func (g *Gate) coldLimit() int { return max(1, int(g.coldRate)) }

// nestedReserve returns how many slots are reserved for nested calls. A refused
// nested call fails the run that waits for it, and most nested calls are short.
func (g *Gate) nestedReserve(now time.Time) int {
	if g.nestedAt.IsZero() || now.Sub(g.nestedAt) > nestedReserveTTL {
		return 0
	}
	return int(math.Ceil(g.settings.NestedShare * float64(g.Limit())))
}

// hasCapacity reports whether the request may start now, regardless of the
// queue.
func (g *Gate) hasCapacity(req Request, now time.Time) bool {
	if g.held(&req, now) || !g.limiter.allows(now) {
		return false
	}
	limit := g.Limit()
	if !req.nested {
		limit = max(1, limit-g.nestedReserve(now))
	}
	if g.running >= limit || !req.nested && g.inSlowPeriod(now) {
		return false
	}
	return !g.cold(now) || g.coldDelay(now) == 0
}

// coldDelay returns the time until a cold target may receive one more request, if none is
// sent before then. Until coldWindow after the start of this process, the sends of an earlier
// one may still count, unless that had ended when the target turned cold: both start together
// after a loss of power.
func (g *Gate) coldDelay(now time.Time) time.Duration {
	delay := g.arrivals.timeUntilBelow(now, g.coldLimit())
	if g.coldSince.IsZero() || g.coldSince.Before(g.settings.StartedAt.Add(-minRestartTime)) {
		delay = max(delay, g.settings.StartedAt.Add(coldWindow).Sub(now))
	}
	return delay
}

// inSlowPeriod reports whether the target turned slow within slowPeriodHold.
// Most slow periods are short, but a run that starts in one stays slow to its
// end.
func (g *Gate) inSlowPeriod(now time.Time) bool {
	return g.slowdown >= slowThreshold && now.Sub(g.slowSince) < slowPeriodHold
}
