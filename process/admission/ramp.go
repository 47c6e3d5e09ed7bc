package admission

import "time"

const (
	// growthRounds is how many times the limit's worth of answers lets the
	// limit of a cold target grow by one, and provenLeast is how many answers it
	// takes at least.
	growthRounds     = 2
	minGrowthAnswers = 16
	// maxGrowthCost is how many times more answers it takes at most of a target
	// that shed work while its limit grew.
	maxGrowthCost = 8
	// slowStreak is how many slow answers in a row mean a sudden rise.
	slowStreak = 5
	// slowAllowance is added to the bound of a slow answer, so that tiny
	// latencies don't count as slow.
	slowAllowance = 2 * time.Millisecond
	// promptFactor is how many times the usual latency is about usual.
	promptFactor = 2
	// usualLatencyWeight is the weight of one answer in the usual latency.
	usualLatencyWeight = 0.02
)

// coldStartLimit is the cold-start limit. It falls to its floor at once and grows only
// on proven answers.
type coldStartLimit struct {
	limit int
	// cold tells that the target has not reached its ceiling since a fall.
	cold          bool
	minLimit      int
	maxLimit      int
	growthAnswers int
	// growthCost is how many times more answers growth takes than usual.
	growthCost int
	// resetAt is the time of the latest fall. Requests admitted before prove nothing.
	resetAt time.Time
	// suspected tells that the fall was a suspicion by latency alone, so that one
	// answer at the usual latency lets the limit grow by one.
	suspected bool
	// usualLatency is the usual latency of the warm target.
	usualLatency time.Duration
	slowAnswers  int
	// lastPromptAt is when a request was last answered in about the usual time.
	lastPromptAt time.Time
}

func newColdStartLimit(floor, ceiling int, now time.Time) coldStartLimit {
	floor = min(max(floor, 1), max(ceiling, 1))
	return coldStartLimit{limit: floor, cold: true, growthCost: 1, minLimit: floor, maxLimit: max(ceiling, 1), resetAt: now}
}

// knownCold reports whether the target is cold by more than a suspicion.
func (l *coldStartLimit) knownCold() bool { return l.cold && !l.suspected }

// reset puts the limit to the floor.
func (l *coldStartLimit) reset(now time.Time) {
	l.limit = l.minLimit
	l.cold = true
	l.growthAnswers = 0
	l.slowAnswers = 0
	l.suspected = false
	l.resetAt = now
}

// shed falls because the target shed a request although no more ran than the
// limit: it doesn't bear what it announced, so it is cold. If that happens
// while the limit grows, it grows too quickly for this target.
func (l *coldStartLimit) shed(now time.Time) {
	if l.cold && l.limit > l.minLimit {
		l.growthCost = min(2*l.growthCost, maxGrowthCost)
	}
	l.reset(now)
}

// answered takes in a good answer. Peers counts what ran when the request was
// admitted, with itself; inUse is the limit that was in force.
func (l *coldStartLimit) answered(began, now time.Time, peers, inUse int, slowFactor float64) {
	latency := now.Sub(began)
	if latency <= promptFactor*l.usualLatency {
		l.lastPromptAt = now
	}
	if l.observeLatency(latency, slowFactor) {
		if began.Before(l.resetAt) {
			return
		}
		l.slowAnswers++
		if l.slowAnswers >= slowStreak {
			l.suspect(now)
		}
		return
	}
	l.slowAnswers = 0
	if began.Before(l.resetAt) || peers*2 < min(l.limit, inUse) {
		return
	}
	l.countAnswer()
}

// countAnswer counts an answer that speaks for a higher limit.
func (l *coldStartLimit) countAnswer() {
	if l.limit >= l.maxLimit {
		l.cold = false
		return
	}
	l.growthAnswers++
	if l.suspected || l.growthAnswers >= l.growthCost*max(growthRounds*l.limit, minGrowthAnswers) {
		l.limit++
		l.growthAnswers = 0
	}
	if l.limit >= l.maxLimit {
		l.cold = false
	}
}

// noPromptAnswer reports whether nothing was answered in about the usual time for as
// long as that.
func (l *coldStartLimit) noPromptAnswer(now time.Time) bool {
	return now.Sub(l.lastPromptAt) > l.usualLatency
}

// suspect falls because of latency alone. A target that is known to be cold
// still has to prove itself slowly.
func (l *coldStartLimit) suspect(now time.Time) {
	quick := l.suspected || !l.cold
	l.reset(now)
	l.suspected = quick
}

// observeLatency compares a latency with the usual one, which it then follows. A
// slow answer moves it by little, yet a lasting change becomes usual.
func (l *coldStartLimit) observeLatency(latency time.Duration, factor float64) bool {
	if factor <= 0 {
		return false
	}
	if l.usualLatency == 0 {
		l.usualLatency = latency
		return false
	}
	bound := time.Duration(factor*float64(l.usualLatency)) + slowAllowance
	l.usualLatency += time.Duration(usualLatencyWeight * float64(min(latency, bound)-l.usualLatency))
	return latency > bound
}
