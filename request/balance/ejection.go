package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ejectionThreshold is how many consecutive failures eject an endpoint.
	ejectionThreshold = 5
	// baseEjectionTime and maxEjectionTime are the shortest and the longest
	// ejection, before jitter.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 30 * time.Second
	// ejectionJitter is the largest share by which an ejection is lengthened, so
	// that endpoints that failed together don't return together.
	ejectionJitter = 0.2
)

// ejection is the outlier ejection of one endpoint. It ejects the endpoint after
// consecutive failures, for times that double up to a limit until the endpoint
// answers again.
type ejection struct {
	consecutiveFailures int
	ejections           int
	until               time.Time
}

func (e *ejection) active(now time.Time) bool {
	return now.Before(e.until)
}

// record records the end of an attempt at the node.
func (e *ejection) record(node string, now time.Time, failed bool) {
	if !failed {
		e.consecutiveFailures = 0
		if !e.active(now) {
			e.ejections = 0
		}
		return
	}
	e.consecutiveFailures++
	if e.consecutiveFailures < ejectionThreshold || e.active(now) {
		return
	}
	e.until = now.Add(ejectionTime(node, e.ejections))
	e.ejections++
	e.consecutiveFailures = ejectionThreshold - 1 // the next failure after the ejection ejects at once
}

// ejectionTime returns the duration of the n-th ejection of a node, counted
// from 0. The jitter is derived from the name of the node.
func ejectionTime(node string, n int) time.Duration {
	duration := maxEjectionTime
	if n < 6 {
		duration = baseEjectionTime << n
	}
	jitter := float64(xxhash.Sum64String(node)%1000) / 1000 * ejectionJitter
	return duration + time.Duration(jitter*float64(duration))
}
