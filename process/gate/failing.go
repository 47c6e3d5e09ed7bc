package gate

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest run in the share of failures.
	failureWeight = 0.1
	// failureHalfLife is the time in which a share of failures halves that no
	// run confirms, so that the target is tried again.
	failureHalfLife = 2 * time.Second
	// breaksUntilDown is how many connections in a row have to break under requests
	// for the target to be taken for down. A single answer may get lost.
	breaksUntilDown = 2
)

// failureTracker follows how many of a target's runs fail.
type failureTracker struct {
	lastRate          float64
	at                time.Time
	consecutiveBreaks int
}

// observe takes in the end of a run.
func (f *failureTracker) observe(failed bool, now time.Time) {
	f.lastRate = f.rate(now)
	f.at = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.lastRate += failureWeight * (outcome - f.lastRate)
}

// rate returns the share of runs that fail.
func (f *failureTracker) rate(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.lastRate * math.Exp2(-max(0, now.Sub(f.at).Seconds())/failureHalfLife.Seconds())
}

// connectionBroke takes in that a connection broke under a request, and reports whether
// the target is to be taken for down.
func (f *failureTracker) connectionBroke() bool {
	f.consecutiveBreaks++
	return f.consecutiveBreaks >= breaksUntilDown
}
