package balance

import "time"

const (
	// choiceCount is how many candidates a scored policy compares.
	choiceCount = 3
	// spillUtilisation is the share of its limit up to which an endpoint has
	// capacity. Above it, work spills over to endpoints farther away before the
	// target refuses any.
	spillUtilisation = 0.75
	// slowFactor is the multiple of the harmonic mean latency of the candidates
	// above which a candidate is slow. The harmonic mean is dominated by the
	// fast endpoints: if half of a service slows down much, it stays near the
	// latency of the other half.
	slowFactor = 2
	// slowMargin is added to that multiple, so that differences between very
	// short latencies don't make a candidate slow.
	slowMargin = time.Millisecond
	// failurePenalty times the failure rate is the share by which a score is
	// raised. Without it, an endpoint with quick failures would look idle, since
	// it has few requests in flight.
	failurePenalty = 10
	// failingRate is the failure rate from which a latency below the mean of the
	// service is not trusted, since it may be that of quick failures.
	failingRate = 0.05
	// scoreJitter is the largest share by which a score is raised at random, so
	// that work is spread over candidates with almost equal scores, and nodes
	// with the same estimates don't all pick the same endpoint.
	scoreJitter = 0.1
)

// scored is a policy that draws a few of the nearest candidates with capacity at
// random and chooses the one with the lowest score.
type scored struct {
	name  string
	score func(c *Candidate) float64
}

// Name implements Policy.
func (p scored) Name() string { return p.name }

// Choose implements Policy.
func (p scored) Choose(info *PickInfo) int {
	info.raiseFailingLatencies()
	considered := info.drawCold()
	considered, hasCapacity := info.nearestWithCapacity(considered)
	if cold, ok := info.drawnCold(considered); hasCapacity && ok {
		return cold
	}
	if !hasCapacity {
		considered = info.excludeSlowAndFailing(considered)
		return considered[info.Rand.IntN(len(considered))]
	}
	info.partialShuffle(considered, choiceCount)
	drawn := considered[:min(choiceCount, len(considered))]
	best, bestScore := drawn[0], p.penalisedScore(info, drawn[0])
	for _, i := range drawn[1:] {
		if score := p.penalisedScore(info, i); score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// penalisedScore returns a candidate's score including the penalty for failures
// and the jitter.
func (p scored) penalisedScore(info *PickInfo, i int) float64 {
	candidate := &info.Candidates[i]
	penalty := 1 + failurePenalty*candidate.FailureRate
	jitter := 1 + scoreJitter*info.Rand.Float64()
	return p.score(candidate) * penalty * jitter
}

// raiseFailingLatencies raises the latencies of failing candidates to at least
// the mean latencies of those that don't fail.
func (info *PickInfo) raiseFailingLatencies() {
	var latency, peak, healthy time.Duration
	for i := range info.Candidates {
		if info.Candidates[i].FailureRate < failingRate {
			latency += info.Candidates[i].Latency
			peak += info.Candidates[i].PeakLatency
			healthy++
		}
	}
	if healthy == 0 || int(healthy) == len(info.Candidates) {
		return
	}
	for i := range info.Candidates {
		if candidate := &info.Candidates[i]; candidate.FailureRate >= failingRate {
			candidate.Latency = max(candidate.Latency, latency/healthy)
			candidate.PeakLatency = max(candidate.PeakLatency, peak/healthy)
		}
	}
}

// drawCold returns the indices of the warm candidates and of a random sample of
// the cold ones. The probability of a cold candidate is its limit divided by the
// sum of all limits. If there are no warm candidates or all of them are slow, as
// when they hang, it returns all candidates: without the cold ones to compare
// with, slow warm ones would not be recognised as slow.
func (info *PickInfo) drawCold() []int {
	limitSum := 0.0
	for i := range info.Candidates {
		limitSum += info.Candidates[i].Limit
	}
	kept := info.indices[:0]
	for i := range info.Candidates {
		candidate := &info.Candidates[i]
		if !candidate.Cold || info.Rand.Float64()*limitSum < candidate.Limit {
			kept = append(kept, i)
		}
	}
	if !info.anyWarmNotSlow() {
		kept = kept[:0]
		for i := range info.Candidates {
			kept = append(kept, i)
		}
	}
	info.indices = kept
	return kept
}

// anyWarmNotSlow reports whether any warm candidate is not slow compared with all
// candidates whose latency is known.
func (info *PickInfo) anyWarmNotSlow() bool {
	inverseSum, count := 0.0, 0
	for i := range info.Candidates {
		if latency := info.Candidates[i].Latency; latency > 0 {
			inverseSum += 1 / max(latency, minLatency).Seconds()
			count++
		}
	}
	slow := slowThreshold(inverseSum, count)
	for i := range info.Candidates {
		if candidate := &info.Candidates[i]; !candidate.Cold && candidate.Latency <= slow {
			return true
		}
	}
	return false
}

// drawnCold returns the last cold candidate that drawCold kept, if there are
// warm ones as well. It is picked without comparing scores, since by its score an
// idle cold target might never get the work that warms it up.
func (info *PickInfo) drawnCold(considered []int) (int, bool) {
	cold, warm := -1, false
	for _, i := range considered {
		if info.Candidates[i].Cold {
			cold = i
		} else {
			warm = true
		}
	}
	return cold, warm && cold >= 0
}

// nearestWithCapacity narrows the considered candidates to those with capacity at
// the shortest distance at which there are any. If no candidate has capacity, it
// returns all of them and false.
func (info *PickInfo) nearestWithCapacity(considered []int) ([]int, bool) {
	slow := info.slowThreshold(considered)
	var available [distanceCount]int
	for _, i := range considered {
		if info.Candidates[i].hasCapacity(slow) {
			available[info.Candidates[i].Distance]++
		}
	}
	nearest := Distance(0)
	for nearest < distanceCount && available[nearest] == 0 {
		nearest++
	}
	if nearest == distanceCount {
		return considered, false
	}
	kept := considered[:0]
	for _, i := range considered {
		candidate := &info.Candidates[i]
		if candidate.Distance == nearest && candidate.hasCapacity(slow) {
			kept = append(kept, i)
		}
	}
	return kept, true
}

// excludeSlowAndFailing narrows the considered candidates to those that are
// neither slow nor failing. If there are none, it returns all of them.
func (info *PickInfo) excludeSlowAndFailing(considered []int) []int {
	slow := info.slowThreshold(considered)
	kept := considered[:0]
	for _, i := range considered {
		candidate := &info.Candidates[i]
		if candidate.Latency <= slow && candidate.FailureRate < failingRate {
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return considered
	}
	return kept
}

// slowThreshold returns the latency above which one of the considered candidates
// is slow.
func (info *PickInfo) slowThreshold(considered []int) time.Duration {
	inverseSum := 0.0
	for _, i := range considered {
		inverseSum += 1 / max(info.Candidates[i].Latency, minLatency).Seconds()
	}
	return slowThreshold(inverseSum, len(considered))
}

// slowThreshold returns the latency above which a candidate is slow. It takes the
// number of candidates and the sum of the inverses of their latencies in seconds.
func slowThreshold(inverseSum float64, count int) time.Duration {
	if count == 0 {
		return slowMargin
	}
	harmonicMean := float64(count) / inverseSum * float64(time.Second)
	return slowFactor*time.Duration(harmonicMean) + slowMargin
}

// hasCapacity reports whether the candidate can take another request: it is below
// the utilisation at which work spills over, not slow, and fails less than half
// of its attempts.
func (c *Candidate) hasCapacity(slow time.Duration) bool {
	return c.InFlight+1 <= max(1, spillUtilisation*c.Limit) && c.Latency <= slow && c.FailureRate < 0.5
}

// partialShuffle moves n random indices to the front.
func (info *PickInfo) partialShuffle(indices []int, n int) {
	for i := 0; i < n && i < len(indices)-1; i++ {
		j := i + info.Rand.IntN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
	}
}
