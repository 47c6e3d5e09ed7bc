package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectAfter is how many failures in a row eject a target.
	ejectAfter = 5
	// ejectAfterReturn is how many do so until it is warm again.
	ejectAfterReturn = 2
	// failureWeight is the weight of one end in the failure share.
	failureWeight = 0.1
	// ejectShare is the failure share that ejects a target as well.
	ejectShare = 0.6
	// firstSpell and longestSpell bound a spell before its jitter.
	firstSpell   = 500 * time.Millisecond
	longestSpell = 30 * time.Second
	// spellJitter is the largest share by which a spell is lengthened.
	spellJitter = 0.2
	// answersToReturn is how many answers in a row end a spell early.
	answersToReturn = 10
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
	return e.ejecting && e.answers >= answersToReturn
}

// failed takes in a failure, and reports whether it ejects the target.
func (e *ejector) failed(now time.Time, rng *rand.Rand) bool {
	e.answers = 0
	e.inRow++
	e.share += failureWeight * (1 - e.share)
	if e.ejecting || !e.tooMany() {
		return false
	}
	e.until = now.Add(spell(e.spells, rng))
	e.spells++
	e.ejecting = true
	return true
}

func (e *ejector) tooMany() bool {
	bound := ejectAfter
	if e.spells > 0 {
		bound = ejectAfterReturn
	}
	return e.inRow >= bound || e.share >= ejectShare
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

// spell returns the length of the n-th spell, from 0.
func spell(n int, rng *rand.Rand) time.Duration {
	length := longestSpell
	if n < 6 {
		length = firstSpell << n
	}
	return length + time.Duration(rng.Float64()*spellJitter*float64(length))
}
