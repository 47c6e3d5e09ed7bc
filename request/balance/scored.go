package balance

import "time"

const (
	// choices is how many candidates a scored policy compares.
	choices = 3
	// roomShare is the share of its limit up to which an endpoint has room.
	// Above it, work spills to farther endpoints before any of it is refused.
	roomShare = 0.75
	// slowFactor is how many times the service's harmonic mean latency still
	// counts as usual. That mean follows the quick endpoints, and even if half
	// of a service slows down by much, it stays near the other half.
	slowFactor = 2
	// slowAllowance is added to that, so that tiny latencies don't count as slow.
	slowAllowance = time.Millisecond
	// failurePenalty is how many times worse a candidate that always fails
	// scores. Quick failures keep few requests in flight, and so would look idle.
	failurePenalty = 10
	// failing is the failure share from which an endpoint's own latency says
	// nothing good about it.
	failing = 0.05
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
	c.distrustFailing()
	considered := c.thinCold()
	considered, room := c.nearestWithRoom(considered)
	if cold, ok := c.coldTurn(considered); room && ok {
		return cold
	}
	if !room {
		considered = c.notSlow(considered)
		return considered[c.Rand.IntN(len(considered))]
	}
	c.draw(considered, choices)
	drawn := considered[:min(choices, len(considered))]
	best, bestScore := drawn[0], p.final(c, drawn[0])
	for _, i := range drawn[1:] {
		if score := p.final(c, i); score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// final returns a candidate's score with its penalty and jitter.
func (p scored) final(c *PickInfo, i int) float64 {
	candidate := &c.Candidates[i]
	penalty := 1 + failurePenalty*candidate.FailureRate
	jitter := 1 + scoreJitter*c.Rand.Float64()
	return p.score(candidate) * penalty * jitter
}

// distrustFailing gives candidates that fail the service's mean latencies
// where their own are lower.
func (c *PickInfo) distrustFailing() {
	var latency, own, sound time.Duration
	for i := range c.Candidates {
		if c.Candidates[i].FailureRate < failing {
			latency += c.Candidates[i].Latency
			own += c.Candidates[i].PeakLatency
			sound++
		}
	}
	if sound == 0 || int(sound) == len(c.Candidates) {
		return
	}
	for i := range c.Candidates {
		if candidate := &c.Candidates[i]; candidate.FailureRate >= failing {
			candidate.Latency = max(candidate.Latency, latency/sound)
			candidate.PeakLatency = max(candidate.PeakLatency, own/sound)
		}
	}
}

// thinCold returns the indices of the warm candidates, and each cold one with
// a probability of its share of what all candidates bear. If all warm ones are
// slow, as when they hang, or there are none, it returns all: a warm one that
// is left alone would have nothing to be slow against.
func (c *PickInfo) thinCold() []int {
	sum := 0.0
	for i := range c.Candidates {
		sum += c.Candidates[i].Limit
	}
	kept := c.scratch[:0]
	for i := range c.Candidates {
		candidate := &c.Candidates[i]
		if !candidate.Cold || c.Rand.Float64()*sum < candidate.Limit {
			kept = append(kept, i)
		}
	}
	if !c.soundWarm() {
		kept = kept[:0]
		for i := range c.Candidates {
			kept = append(kept, i)
		}
	}
	c.scratch = kept
	return kept
}

// soundWarm reports whether any warm candidate is not slow among all whose
// latency is known.
func (c *PickInfo) soundWarm() bool {
	sum, known := 0.0, 0
	for i := range c.Candidates {
		if latency := c.Candidates[i].Latency; latency > 0 {
			sum += 1 / max(latency, minLatency).Seconds()
			known++
		}
	}
	slow := slowBound(sum, known)
	for i := range c.Candidates {
		if candidate := &c.Candidates[i]; !candidate.Cold && candidate.Latency <= slow {
			return true
		}
	}
	return false
}

// coldTurn returns the cold candidate that thinCold left among warm ones. It
// is this one's turn: compared by score, an idle cold target might never get
// the work that warms it.
func (c *PickInfo) coldTurn(considered []int) (int, bool) {
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

// nearestWithRoom narrows the considered candidates to those with room at the
// shortest distance that has any. If none has room, it returns all and false.
func (c *PickInfo) nearestWithRoom(considered []int) ([]int, bool) {
	slow := c.slowBound(considered)
	var withRoom [distanceCount]int
	for _, i := range considered {
		if c.Candidates[i].hasRoom(slow) {
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
		if candidate.Distance == nearest && candidate.hasRoom(slow) {
			kept = append(kept, i)
		}
	}
	return kept, true
}

// notSlow narrows the considered candidates to those that are not slow and
// don't fail. If there are none, it returns all.
func (c *PickInfo) notSlow(considered []int) []int {
	slow := c.slowBound(considered)
	kept := considered[:0]
	for _, i := range considered {
		candidate := &c.Candidates[i]
		if candidate.Latency <= slow && candidate.FailureRate < failing {
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return considered
	}
	return kept
}

// slowBound returns the latency above which a candidate is slow.
func (c *PickInfo) slowBound(considered []int) time.Duration {
	sum := 0.0
	for _, i := range considered {
		sum += 1 / max(c.Candidates[i].Latency, minLatency).Seconds()
	}
	return slowBound(sum, len(considered))
}

// slowBound returns the latency above which a candidate is slow, from the sum
// of the inverse latencies, per second, of a number of candidates.
func slowBound(sum float64, number int) time.Duration {
	if number == 0 {
		return slowAllowance
	}
	mean := float64(number) / sum * float64(time.Second)
	return slowFactor*time.Duration(mean) + slowAllowance
}

func (c *Candidate) hasRoom(slow time.Duration) bool {
	return c.InFlight+1 <= max(1, roomShare*c.Limit) && c.Latency <= slow && c.FailureRate < 0.5
}

// draw shuffles n random indices to the front.
func (c *PickInfo) draw(indices []int, n int) {
	for i := 0; i < n && i < len(indices)-1; i++ {
		j := i + c.Rand.IntN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
	}
}
