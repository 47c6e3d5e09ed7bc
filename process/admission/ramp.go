package admission

import "time"

const (
	// provenRounds is how many times the limit's worth of answers lets the
	// limit of a cold target grow by one, and provenLeast is how many answers it
	// takes at least.
	provenRounds = 2
	provenLeast  = 16
	// slowestPace is how many times more answers it takes at most of a target
	// that shed work while its limit grew.
	slowestPace = 8
	// slowStreak is how many slow answers in a row mean a sudden rise.
	slowStreak = 5
	// slowAllowance is added to the bound of a slow answer, so that tiny
	// latencies don't count as slow.
	slowAllowance = 2 * time.Millisecond
	// promptFactor is how many times the usual latency is about usual.
	promptFactor = 2
	// usualShare is the weight of one answer in the usual latency.
	usualShare = 0.02
)

// ramp is the cold-start limit. It falls to its floor at once and grows only
// on proven answers.
type ramp struct {
	limit int
	// cold tells that the target has not reached its ceiling since a fall.
	cold    bool
	floor   int
	ceiling int
	proven  int
	// pace is how many times more answers growth takes than usual.
	pace int
	// fellAt is the time of the latest fall. Requests admitted before prove nothing.
	fellAt time.Time
	// quick tells that the fall was a suspicion by latency alone, so that one
	// answer at the usual latency lets the limit grow by one.
	quick bool
	// usual is the usual latency of the warm target.
	usual time.Duration
	slow  int
	// promptAt is when a request was last answered in about the usual time.
	promptAt time.Time
}

func newRamp(floor, ceiling int, now time.Time) ramp {
	floor = min(max(floor, 1), max(ceiling, 1))
	return ramp{limit: floor, cold: true, pace: 1, floor: floor, ceiling: max(ceiling, 1), fellAt: now}
}

// knownCold reports whether the target is cold by more than a suspicion.
func (r *ramp) knownCold() bool { return r.cold && !r.quick }

// fall puts the limit to the floor.
func (r *ramp) fall(now time.Time) {
	r.limit = r.floor
	r.cold = true
	r.proven = 0
	r.slow = 0
	r.quick = false
	r.fellAt = now
}

// shed falls because the target shed a request although no more ran than the
// limit: it doesn't bear what it announced, so it is cold. If that happens
// while the limit grows, it grows too quickly for this target.
func (r *ramp) shed(now time.Time) {
	if r.cold && r.limit > r.floor {
		r.pace = min(2*r.pace, slowestPace)
	}
	r.fall(now)
}

// answered takes in a good answer. Peers counts what ran when the request was
// admitted, with itself; inUse is the limit that was in force.
func (r *ramp) answered(began, now time.Time, peers, inUse int, slowFactor float64) {
	latency := now.Sub(began)
	if latency <= promptFactor*r.usual {
		r.promptAt = now
	}
	if r.tooSlow(latency, slowFactor) {
		if began.Before(r.fellAt) {
			return
		}
		r.slow++
		if r.slow >= slowStreak {
			r.suspect(now)
		}
		return
	}
	r.slow = 0
	if began.Before(r.fellAt) || peers*2 < min(r.limit, inUse) {
		return
	}
	r.prove()
}

// prove counts an answer that speaks for a higher limit.
func (r *ramp) prove() {
	if r.limit >= r.ceiling {
		r.cold = false
		return
	}
	r.proven++
	if r.quick || r.proven >= r.pace*max(provenRounds*r.limit, provenLeast) {
		r.limit++
		r.proven = 0
	}
	if r.limit >= r.ceiling {
		r.cold = false
	}
}

// silent reports whether nothing was answered in about the usual time for as
// long as that.
func (r *ramp) silent(now time.Time) bool {
	return now.Sub(r.promptAt) > r.usual
}

// suspect falls because of latency alone. A target that is known to be cold
// still has to prove itself slowly.
func (r *ramp) suspect(now time.Time) {
	quick := r.quick || !r.cold
	r.fall(now)
	r.quick = quick
}

// tooSlow compares a latency with the usual one, which it then follows. A
// slow answer moves it by little, yet a lasting change becomes usual.
func (r *ramp) tooSlow(latency time.Duration, factor float64) bool {
	if factor <= 0 {
		return false
	}
	if r.usual == 0 {
		r.usual = latency
		return false
	}
	bound := time.Duration(factor*float64(r.usual)) + slowAllowance
	r.usual += time.Duration(usualShare * float64(min(latency, bound)-r.usual))
	return latency > bound
}
