package gate

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the latest run in the failure rate.
	failureWeight = 0.1
	// failureHalfLife is the time in which the failure rate halves without further
	// runs, so that the target is tried again.
	failureHalfLife = 2 * time.Second
	// breaksUntilDown is how many connections in a row have to break during
	// requests before the target is marked down. A single response may get lost.
	breaksUntilDown = 2
)

// failureTracker tracks the failure rate of a target and the connections that
// broke in a row.
type failureTracker struct {
	// lastRate is the failure rate as of at.
	lastRate          float64
	at                time.Time
	consecutiveBreaks int
}

// observe records the end of a run.
func (f *failureTracker) observe(failed bool, now time.Time) {
	f.lastRate = f.rate(now)
	f.at = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.lastRate += failureWeight * (outcome - f.lastRate)
}

// rate returns the present failure rate, from 0 to 1: an exponentially weighted
// moving average that decays while no run ends.
func (f *failureTracker) rate(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.lastRate * math.Exp2(-max(0, now.Sub(f.at).Seconds())/failureHalfLife.Seconds())
}

// connectionBroke records that a connection broke during a request, and reports
// whether the target counts as down.
func (f *failureTracker) connectionBroke() bool {
	f.consecutiveBreaks++
	return f.consecutiveBreaks >= breaksUntilDown
}
