package gate

import (
	"math"
	"time"
)

const (
	// failingWeight is the weight of the newest run in the share of failures.
	failingWeight = 0.1
	// failingHalfLife is the time in which a share of failures halves that no
	// run confirms, so that the target is tried again.
	failingHalfLife = 2 * time.Second
	// brokenInARow is how many connections in a row have to break under requests
	// for the target to be taken for down. A single answer may get lost.
	brokenInARow = 2
)

// failing follows how many of a target's runs fail.
type failing struct {
	share  float64
	at     time.Time
	broken int
}

// ran takes in the end of a run.
func (f *failing) ran(failed bool, now time.Time) {
	f.share = f.now(now)
	f.at = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share += failingWeight * (outcome - f.share)
}

// now returns the share of runs that fail.
func (f *failing) now(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.share * math.Exp2(-max(0, now.Sub(f.at).Seconds())/failingHalfLife.Seconds())
}

// lost takes in that a connection broke under a request, and reports whether
// the target is to be taken for down.
func (f *failing) lost() bool {
	f.broken++
	return f.broken >= brokenInARow
}
