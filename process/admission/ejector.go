package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectionFailures is the number of consecutive failures that eject a target.
	ejectionFailures = 5
	// repeatedEjectionFailures replaces ejectionFailures after an ejection,
	// until the target is warm again.
	repeatedEjectionFailures = 2
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 0.1
	// ejectionFailureRate is the failure rate from which on a target is
	// ejected whether or not the failures are consecutive.
	ejectionFailureRate = 0.6
	// minEjectionPeriod and maxEjectionPeriod bound an ejection period before
	// jitter is added.
	minEjectionPeriod = 500 * time.Millisecond
	maxEjectionPeriod = 30 * time.Second
	// ejectionJitter is the largest share by which jitter lengthens a period.
	ejectionJitter = 0.2
	// answersToEndEjection is the number of consecutive answers that end an
	// ejection early.
	answersToEndEjection = 10
)

// ejector detects a target that fails and decides when and for how long to
// eject it.
type ejector struct {
	consecutiveFailures int
	consecutiveAnswers  int
	// failureRate is the moving average of the share of failed requests.
	failureRate float64
	// ejections counts the ejections since the target was last warm.
	ejections    int
	ejected      bool
	ejectedUntil time.Time
}

// answered records an answer and reports whether it ends the ejection.
func (e *ejector) answered() bool {
	e.consecutiveFailures = 0
	e.failureRate *= 1 - failureWeight
	e.consecutiveAnswers++
	return e.ejected && e.consecutiveAnswers >= answersToEndEjection
}

// failed records a failure and reports whether it ejects the target.
func (e *ejector) failed(now time.Time, rng *rand.Rand) bool {
	e.consecutiveAnswers = 0
	e.consecutiveFailures++
	e.failureRate += failureWeight * (1 - e.failureRate)
	if e.ejected || !e.tooManyFailures() {
		return false
	}
	e.ejectedUntil = now.Add(ejectionPeriod(e.ejections, rng))
	e.ejections++
	e.ejected = true
	return true
}

func (e *ejector) tooManyFailures() bool {
	threshold := ejectionFailures
	if e.ejections > 0 {
		threshold = repeatedEjectionFailures
	}
	return e.consecutiveFailures >= threshold || e.failureRate >= ejectionFailureRate
}

// periodOver reports whether the target is ejected and its ejection period has
// passed.
func (e *ejector) periodOver(now time.Time) bool {
	return e.ejected && !now.Before(e.ejectedUntil)
}

// end ends the ejection. The count of ejections stays, so that the next period
// is longer unless the target gets warm before.
func (e *ejector) end() {
	e.ejected = false
	e.consecutiveFailures = 0
	e.consecutiveAnswers = 0
	e.failureRate = 0
}

// resetPeriod makes the next ejection period the shortest again.
func (e *ejector) resetPeriod() { e.ejections = 0 }

// ejectionPeriod returns the length of the n-th ejection in a series, counted
// from 0, with jitter.
func ejectionPeriod(n int, rng *rand.Rand) time.Duration {
	period := maxEjectionPeriod
	if n < 6 {
		period = minEjectionPeriod << n
	}
	return period + time.Duration(rng.Float64()*ejectionJitter*float64(period))
}
