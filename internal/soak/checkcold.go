package soak

import (
	"cmp"
	"slices"
	"time"

	"verbenatrestle/platform/standin"
)

const (
	// coldFactor and coldSlack set how many requests a cold target may get in a second: the
	// rate that it tolerates, times the factor, plus the slack. The users of the platform set both.
	coldFactor = 1.5
	coldSlack  = 5
	maxColdRun = coldFactor*standin.ColdRequestsPerSecond + coldSlack
	coldWindow = time.Second
)

// coldArrival is a request that reached a cold target. Both times are in Unix milliseconds.
type coldArrival struct{ sentMillis, startMillis int64 }

// checkCold checks that no cold target gets more requests in a second than it tolerates.
// Requests count that were sent and arrived within that second.
func (r *Result) checkCold(callers []CallerRecord, runs []RunRecord) {
	sentMillis := make(map[string]int64, len(callers))
	for i := range callers {
		sentMillis[callers[i].ID] = callers[i].EndMillis - callers[i].DurationMillis
	}
	arrivals := make(map[string][]coldArrival)
	for i := range runs {
		if sent, known := sentMillis[runs[i].ID]; known && runs[i].Cold {
			arrivals[runs[i].Instance] = append(arrivals[runs[i].Instance], coldArrival{sentMillis: sent, startMillis: runs[i].StartMillis})
		}
	}
	for instance, all := range arrivals {
		if most := mostInWindow(all); float64(most) > maxColdRun {
			r.addViolation("cold: %d requests reached %s within a second while it was cold, at most %.1f allowed", most, instance, maxColdRun)
		}
	}
}

// mostInWindow returns the highest number of requests that were sent and arrived within one
// coldWindow.
func mostInWindow(arrivals []coldArrival) int {
	slices.SortFunc(arrivals, func(a, b coldArrival) int { return cmp.Compare(a.sentMillis, b.sentMillis) })
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, a := range arrivals[i:] {
			if a.startMillis < first.sentMillis+coldWindow.Milliseconds() {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
