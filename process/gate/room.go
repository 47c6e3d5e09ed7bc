package gate

import (
	"math"
	"time"
)

const (
	// coldWindow is the span in which arrivals at a cold target are counted.
	coldWindow = time.Second
	// slowThreshold is the speed figure from which on a movable request is sent on: a
	// run that starts now takes longer by far than one more hop.
	slowThreshold = 250
	// slowPeriodHold is how long requests wait for a slow spell to end: two or three
	// spells, and less than a slow run adds. Calls of targets are too short for it.
	slowPeriodHold = 400 * time.Millisecond
	// nestedReserveTTL is how long slots are kept for calls of targets after the last
	// one came.
	nestedReserveTTL = 5 * time.Second
)

// Limit returns how many requests may run at once.
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

// coldLimit returns how many requests a cold target may get in a second.
func (g *Gate) coldLimit() int { return max(1, int(g.coldRate)) }

// nestedReserve returns how many slots are kept for calls of targets. A call that is
// refused spoils the run that waits for it, and most calls are short.
func (g *Gate) nestedReserve(now time.Time) int {
	if g.nestedAt.IsZero() || now.Sub(g.nestedAt) > nestedReserveTTL {
		return 0
	}
	return int(math.Ceil(g.settings.NestedShare * float64(g.Limit())))
}

// hasCapacity reports whether the request may start now.
func (g *Gate) hasCapacity(work Request, now time.Time) bool {
	limit := g.Limit()
	if !work.nested {
		limit = max(1, limit-g.nestedReserve(now))
	}
	if g.running >= limit || !work.nested && g.inSlowPeriod(now) {
		return false
	}
	return !g.cold(now) || g.arrivals.count(now) < g.coldLimit()
}

// inSlowPeriod reports whether the target has just turned slow. Most such spells
// are short, and what starts in one is slow to its end.
func (g *Gate) inSlowPeriod(now time.Time) bool {
	return g.slowdown >= slowThreshold && now.Sub(g.slowSince) < slowPeriodHold
}
