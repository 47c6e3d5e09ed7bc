package balance

import "time"

const (
	// choiceCount is how many candidates a scored policy compares.
	choiceCount = 3
	// spillUtilisation is the share of its limit up to which an endpoint has room.
	// Above it, work spills to farther endpoints before any of it is refused.
	spillUtilisation = 0.75
	// slowFactor is how many times the service's harmonic mean latency still
	// counts as usual. That mean follows the quick endpoints, and even if half
	// of a service slows down by much, it stays near the other half.
	slowFactor = 2
	// slowMargin is added to that, so that tiny latencies don't count as slow.
	slowMargin = time.Millisecond
	// failurePenalty is how many times worse a candidate that always fails
	// scores. Quick failures keep few requests in flight, and so would look idle.
	failurePenalty = 10
	// failingRate is the failure share from which an endpoint's own latency says
	// nothing good about it.
	failingRate = 0.05
	// scoreJitter is the largest share by which a score is raised at random, so
	// that scores that are almost the same come first in turn, and nodes that
	// believe the same don't all pick the same.
	scoreJitter = 0.1
)

// scored is a policy that narrows the candidates to the nearest that have
// room, draws a few of them and takes the lowest score.
type scored struct {
	name  string
	score func(c *Candidate) float64
}

// Name implements Policy.
func (p scored) Name() string { return p.name }

// Choose implements Policy.
func (p scored) Choose(c *PickInfo) int {
	c.raiseFailingLatencies()
	considered := c.sampleCold()
	considered, room := c.nearestWithCapacity(considered)
	if cold, ok := c.sampledCold(considered); room && ok {
		return cold
	}
	if !room {
		considered = c.excludeSlowAndFailing(considered)
		return considered[c.Rand.IntN(len(considered))]
	}
	c.partialShuffle(considered, choiceCount)
	drawn := considered[:min(choiceCount, len(considered))]
	best, bestScore := drawn[0], p.penalisedScore(c, drawn[0])
	for _, i := range drawn[1:] {
		if score := p.penalisedScore(c, i); score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// penalisedScore returns a candidate's score with its penalty and jitter.
func (p scored) penalisedScore(c *PickInfo, i int) float64 {
	candidate := &c.Candidates[i]
	penalty := 1 + failurePenalty*candidate.FailureRate
	jitter := 1 + scoreJitter*c.Rand.Float64()
	return p.score(candidate) * penalty * jitter
}

// raiseFailingLatencies gives candidates that fail the service's mean latencies
// where their own are lower.
func (c *PickInfo) raiseFailingLatencies() {
	var latency, own, sound time.Duration
	for i := range c.Candidates {
		if c.Candidates[i].FailureRate < failingRate {
			latency += c.Candidates[i].Latency
			own += c.Candidates[i].PeakLatency
			sound++
		}
	}
	if sound == 0 || int(sound) == len(c.Candidates) {
		return
	}
	for i := range c.Candidates {
		if candidate := &c.Candidates[i]; candidate.FailureRate >= failingRate {
			candidate.Latency = max(candidate.Latency, latency/sound)
			candidate.PeakLatency = max(candidate.PeakLatency, own/sound)
		}
	}
}

// sampleCold returns the indices of the warm candidates, and each cold one with
// a probability of its share of what all candidates bear. If all warm ones are
// slow, as when they hang, or there are none, it returns all: a warm one that
// is left alone would have nothing to be slow against.
func (c *PickInfo) sampleCold() []int {
	sum := 0.0
	for i := range c.Candidates {
		sum += c.Candidates[i].Limit
	}
	kept := c.indices[:0]
	for i := range c.Candidates {
		candidate := &c.Candidates[i]
		if !candidate.Cold || c.Rand.Float64()*sum < candidate.Limit {
			kept = append(kept, i)
		}
	}
	if !c.anyWarmNotSlow() {
		kept = kept[:0]
		for i := range c.Candidates {
			kept = append(kept, i)
		}
	}
	c.indices = kept
	return kept
}

// anyWarmNotSlow reports whether any warm candidate is not slow among all whose
// latency is known.
func (c *PickInfo) anyWarmNotSlow() bool {
	sum, known := 0.0, 0
	for i := range c.Candidates {
		if latency := c.Candidates[i].Latency; latency > 0 {
			sum += 1 / max(latency, minLatency).Seconds()
			known++
		}
	}
	slow := slowThreshold(sum, known)
	for i := range c.Candidates {
		if candidate := &c.Candidates[i]; !candidate.Cold && candidate.Latency <= slow {
			return true
		}
	}
	return false
}

// sampledCold returns the cold candidate that thinCold left among warm ones. It
// is this one's turn: compared by score, an idle cold target might never get
// the work that warms it.
func (c *PickInfo) sampledCold(considered []int) (int, bool) {
	cold, warm := -1, false
	for _, i := range considered {
		if c.Candidates[i].Cold {
			cold = i
		} else {
			warm = true
		}
	}
	return cold, warm && cold >= 0
}

// nearestWithCapacity narrows the considered candidates to those with room at the
// shortest distance that has any. If none has room, it returns all and false.
func (c *PickInfo) nearestWithCapacity(considered []int) ([]int, bool) {
	slow := c.slowThreshold(considered)
	var withRoom [distanceCount]int
	for _, i := range considered {
		if c.Candidates[i].hasCapacity(slow) {
			withRoom[c.Candidates[i].Distance]++
		}
	}
	nearest := Distance(0)
	for nearest < distanceCount && withRoom[nearest] == 0 {
		nearest++
	}
	if nearest == distanceCount {
		return considered, false
	}
	kept := considered[:0]
	for _, i := range considered {
		candidate := &c.Candidates[i]
		if candidate.Distance == nearest && candidate.hasCapacity(slow) {
			kept = append(kept, i)
		}
	}
	return kept, true
}

// excludeSlowAndFailing narrows the considered candidates to those that are not slow and
// don't fail. If there are none, it returns all.
func (c *PickInfo) excludeSlowAndFailing(considered []int) []int {
	slow := c.slowThreshold(considered)
	kept := considered[:0]
	for _, i := range considered {
		candidate := &c.Candidates[i]
		if candidate.Latency <= slow && candidate.FailureRate < failingRate {
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return considered
	}
	return kept
}

// slowThreshold returns the latency above which a candidate is slow.
func (c *PickInfo) slowThreshold(considered []int) time.Duration {
	sum := 0.0
	for _, i := range considered {
		sum += 1 / max(c.Candidates[i].Latency, minLatency).Seconds()
	}
	return slowThreshold(sum, len(considered))
}

// slowThreshold returns the latency above which a candidate is slow, from the sum
// of the inverse latencies, per second, of a number of candidates.
func slowThreshold(sum float64, number int) time.Duration {
	if number == 0 {
		return slowMargin
	}
	mean := float64(number) / sum * float64(time.Second)
	return slowFactor*time.Duration(mean) + slowMargin
}

func (c *Candidate) hasCapacity(slow time.Duration) bool {
	return c.InFlight+1 <= max(1, spillUtilisation*c.Limit) && c.Latency <= slow && c.FailureRate < 0.5
}

// partialShuffle shuffles n random indices to the front.
func (c *PickInfo) partialShuffle(indices []int, n int) {
	for i := 0; i < n && i < len(indices)-1; i++ {
		j := i + c.Rand.IntN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
	}
}
