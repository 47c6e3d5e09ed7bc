package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ejectAfter is how many failures in a row eject an endpoint here.
	ejectAfter = 5
	// firstSpell and longestSpell bound the time for which it is ejected.
	firstSpell   = 500 * time.Millisecond
	longestSpell = 30 * time.Second
	// spellJitter is the largest share by which a spell is lengthened, so that
	// endpoints that failed together don't come back together.
	spellJitter = 0.2
)

// ejection leaves out an endpoint that fails attempt after attempt, for
// spells that double until it answers again.
type ejection struct {
	failures int
	spells   int
	until    time.Time
}

func (j *ejection) active(now time.Time) bool {
	return now.Before(j.until)
}

func (j *ejection) record(node string, now time.Time, failed bool) {
	if !failed {
		j.failures = 0
		if !j.active(now) {
			j.spells = 0
		}
		return
	}
	j.failures++
	if j.failures < ejectAfter || j.active(now) {
		return
	}
	j.until = now.Add(spell(node, j.spells))
	j.spells++
	j.failures = ejectAfter - 1 // the next failure after the spell ejects at once
}

// spell returns the length of the n-th spell of a node.
func spell(node string, n int) time.Duration {
	length := longestSpell
	if n < 6 {
		length = firstSpell << n
	}
	jitter := float64(xxhash.Sum64String(node)%1000) / 1000 * spellJitter
	return length + time.Duration(jitter*float64(length))
}
