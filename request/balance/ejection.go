package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ejectionThreshold is how many failures in a row eject an endpoint here.
	ejectionThreshold = 5
	// baseEjectionTime and longestSpell bound the time for which it is ejected.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 30 * time.Second
	// ejectionJitter is the largest share by which a spell is lengthened, so that
	// endpoints that failed together don't come back together.
	ejectionJitter = 0.2
)

// ejection leaves out an endpoint that fails attempt after attempt, for
// spells that double until it answers again.
type ejection struct {
	consecutiveFailures int
	ejections           int
	until               time.Time
}

func (j *ejection) active(now time.Time) bool {
	return now.Before(j.until)
}

func (j *ejection) record(node string, now time.Time, failed bool) {
	if !failed {
		j.consecutiveFailures = 0
		if !j.active(now) {
			j.ejections = 0
		}
		return
	}
	j.consecutiveFailures++
	if j.consecutiveFailures < ejectionThreshold || j.active(now) {
		return
	}
	j.until = now.Add(ejectionTime(node, j.ejections))
	j.ejections++
	j.consecutiveFailures = ejectionThreshold - 1 // the next failure after the spell ejects at once
}

// ejectionTime returns the length of the n-th spell of a node.
func ejectionTime(node string, n int) time.Duration {
	length := maxEjectionTime
	if n < 6 {
		length = baseEjectionTime << n
	}
	jitter := float64(xxhash.Sum64String(node)%1000) / 1000 * ejectionJitter
	return length + time.Duration(jitter*float64(length))
}
