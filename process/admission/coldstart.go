package admission

import "time"

const (
	// growthRounds and minGrowthAnswers set how many answers raise the limit of
	// a cold target by one: growthRounds times the limit, and at least
	// minGrowthAnswers.
	growthRounds     = 2
	minGrowthAnswers = 16
	// maxGrowthCost bounds the factor by which these answers are multiplied for
	// a target that shed requests while its limit grew.
	maxGrowthCost = 8
	// slowStreak is the number of slow answers in a row that make the target
	// suspected.
	slowStreak = 5
	// slowMargin is added to the latency above which an answer is slow, and to
	// the mean age above which a hang is suspected, so that small differences of
	// very short times don't count.
	slowMargin = 2 * time.Millisecond
	// promptFactor times the usual latency is the highest latency of an answer
	// that counts as prompt.
	promptFactor = 2
	// usualLatencyWeight is the weight of one answer in the usual latency.
	usualLatencyWeight = 0.02
)

// coldStartLimit is the limit on requests in flight at a cold target. It drops
// to its minimum at once and grows with answers only.
type coldStartLimit struct {
	limit int
	// cold is set until the limit has reached its maximum after a reset.
	cold     bool
	minLimit int
	maxLimit int
	// growthAnswers counts the answers towards the next increase of the limit.
	growthAnswers int
	// growthCost multiplies the number of answers that growth takes.
	growthCost int
	// resetAt is the time of the latest reset. Answers to requests that were
	// admitted earlier don't raise the limit.
	resetAt time.Time
	// suspected is set if latency was the only reason for the reset. Every
	// answer that isn't slow then raises the limit by one, if the limit is in use.
	suspected bool
	// usualLatency is the moving average of the latency, in which slow answers
	// count as no more than the bound for slow ones.
	usualLatency time.Duration
	// slowAnswers counts the slow answers in a row.
	slowAnswers int
	// lastPromptAt is the time of the latest answer that took about the usual
	// latency.
	lastPromptAt time.Time
}

func newColdStartLimit(coldLimit, slots int, now time.Time) coldStartLimit {
	coldLimit = min(max(coldLimit, 1), max(slots, 1))
	return coldStartLimit{limit: coldLimit, cold: true, growthCost: 1, minLimit: coldLimit, maxLimit: max(slots, 1), resetAt: now}
}

// knownCold reports whether the target is cold, not only suspected because of
// its latency.
func (l *coldStartLimit) knownCold() bool { return l.cold && !l.suspected }

// reset lowers the limit to its minimum.
func (l *coldStartLimit) reset(now time.Time) {
	l.limit = l.minLimit
	l.cold = true
	l.growthAnswers = 0
	l.slowAnswers = 0
	l.suspected = false
	l.resetAt = now
}

// shed resets the limit because the target shed a request although the limit
// was not exceeded: it can't run as many requests as it announced, so it is
// cold. If the limit was growing, it grew too fast for this target, and further
// growth takes twice as many answers.
func (l *coldStartLimit) shed(now time.Time) {
	if l.cold && l.limit > l.minLimit {
		l.growthCost = min(2*l.growthCost, maxGrowthCost)
	}
	l.reset(now)
}

// answered records an answer. The concurrency is the number of requests in
// flight at the admission of the request, itself included. The currentLimit is
// the lowest of all limits of the target now.
func (l *coldStartLimit) answered(admittedAt, now time.Time, concurrency, currentLimit int, slowFactor float64) {
	latency := now.Sub(admittedAt)
	if latency <= promptFactor*l.usualLatency {
		l.lastPromptAt = now
	}
	if l.observeLatency(latency, slowFactor) {
		if admittedAt.Before(l.resetAt) {
			return
		}
		l.slowAnswers++
		if l.slowAnswers >= slowStreak {
			l.suspect(now)
		}
		return
	}
	l.slowAnswers = 0
	if admittedAt.Before(l.resetAt) || concurrency*2 < min(l.limit, currentLimit) {
		return
	}
	l.countAnswer()
}

// countAnswer counts an answer towards a higher limit.
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

// noPromptAnswer reports whether the latest prompt answer is longer ago than
// the usual latency.
func (l *coldStartLimit) noPromptAnswer(now time.Time) bool {
	return now.Sub(l.lastPromptAt) > l.usualLatency
}

// suspect resets the limit because of latency alone. If the target is known to
// be cold, the limit still grows as slowly as in a cold start.
func (l *coldStartLimit) suspect(now time.Time) {
	suspected := l.suspected || !l.cold
	l.reset(now)
	l.suspected = suspected
}

// observeLatency updates the usual latency with the latency of an answer and
// reports whether the answer is slow. A slow answer changes the usual latency
// little, but a lasting change of the latency becomes the usual one in time.
func (l *coldStartLimit) observeLatency(latency time.Duration, factor float64) bool {
	if factor <= 0 {
		return false
	}
	if l.usualLatency == 0 {
		l.usualLatency = latency
		return false
	}
	bound := time.Duration(factor*float64(l.usualLatency)) + slowMargin
	l.usualLatency += time.Duration(usualLatencyWeight * float64(min(latency, bound)-l.usualLatency))
	return latency > bound
}
