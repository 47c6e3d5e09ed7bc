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
	inRow    int
	answers  int
	share    float64
	spells   int
	ejecting bool
	until    time.Time
}

// answered takes in a good answer, and reports whether it ends the spell.
func (e *ejector) answered() bool {
	e.inRow = 0
	e.share *= 1 - failureWeight
	e.answers++
	return e.ejecting && e.answers >= answersToEndEjection
}

// failed takes in a failure, and reports whether it ejects the target.
func (e *ejector) failed(now time.Time, rng *rand.Rand) bool {
	e.answers = 0
	e.inRow++
	e.share += failureWeight * (1 - e.share)
	if e.ejecting || !e.tooMany() {
		return false
	}
	e.until = now.Add(ejectionPeriod(e.spells, rng))
	e.spells++
	e.ejecting = true
	return true
}

func (e *ejector) tooMany() bool {
	bound := ejectionFailures
	if e.spells > 0 {
		bound = repeatedEjectionFailures
	}
	return e.inRow >= bound || e.share >= ejectionFailureRate
}

// over reports whether a spell has ended by time.
func (e *ejector) over(now time.Time) bool {
	return e.ejecting && !now.Before(e.until)
}

// back ends the spell. The next ones are longer until the target is warm.
func (e *ejector) back() {
	e.ejecting = false
	e.inRow = 0
	e.answers = 0
	e.share = 0
}

// warm forgets former spells.
func (e *ejector) warm() { e.spells = 0 }

// ejectionPeriod returns the length of the n-th spell, from 0.
func ejectionPeriod(n int, rng *rand.Rand) time.Duration {
	length := maxEjectionPeriod
	if n < 6 {
		length = minEjectionPeriod << n
	}
	return length + time.Duration(rng.Float64()*ejectionJitter*float64(length))
}
