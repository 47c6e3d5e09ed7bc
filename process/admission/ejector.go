package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectionFailures is how many failures in a row eject a target.
	ejectionFailures = 5
	// repeatedEjectionFailures is how many do so until it is warm again.
	repeatedEjectionFailures = 2
	// failureWeight is the weight of one end in the failure share.
	failureWeight = 0.1
	// ejectionFailureRate is the failure share that ejects a target as well.
	ejectionFailureRate = 0.6
	// minEjectionPeriod and longestSpell bound a spell before its jitter.
	minEjectionPeriod = 500 * time.Millisecond
	maxEjectionPeriod = 30 * time.Second
	// ejectionJitter is the largest share by which a spell is lengthened.
	ejectionJitter = 0.2
	// answersToEndEjection is how many answers in a row end a spell early.
	answersToEndEjection = 10
)

// ejector finds targets that fail, and tells for how long to leave them alone.
type ejector struct {
	consecutiveFailures int
	consecutiveAnswers  int
	failureRate         float64
	ejections           int
	ejected             bool
	ejectedUntil        time.Time
}

// answered takes in a good answer, and reports whether it ends the spell.
func (e *ejector) answered() bool {
	e.consecutiveFailures = 0
	e.failureRate *= 1 - failureWeight
	e.consecutiveAnswers++
	return e.ejected && e.consecutiveAnswers >= answersToEndEjection
}

// failed takes in a failure, and reports whether it ejects the target.
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
	bound := ejectionFailures
	if e.ejections > 0 {
		bound = repeatedEjectionFailures
	}
	return e.consecutiveFailures >= bound || e.failureRate >= ejectionFailureRate
}

// periodOver reports whether a spell has ended by time.
func (e *ejector) periodOver(now time.Time) bool {
	return e.ejected && !now.Before(e.ejectedUntil)
}

// end ends the spell. The next ones are longer until the target is warm.
func (e *ejector) end() {
	e.ejected = false
	e.consecutiveFailures = 0
	e.consecutiveAnswers = 0
	e.failureRate = 0
}

// resetPeriod forgets former spells.
func (e *ejector) resetPeriod() { e.ejections = 0 }

// ejectionPeriod returns the length of the n-th spell, from 0.
func ejectionPeriod(n int, rng *rand.Rand) time.Duration {
	length := maxEjectionPeriod
	if n < 6 {
		length = minEjectionPeriod << n
	}
	return length + time.Duration(rng.Float64()*ejectionJitter*float64(length))
}
