package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// highLoadShare is the share of the slots above which some targets slow down.
	highLoadShare = 0.8
	// lightLoadShare is the share of the slots up to which a run counts as one beside
	// few others.
	lightLoadShare = 0.6
	// comparedQuantile is the quantile of run times that is compared: low enough to
	// leave out runs that waited for calls or for a slow spell of the VM.
	comparedQuantile = 0.3
	// maxSamples is how many runs of either sort are kept, and enoughRuns how many
	// a comparison takes: a burst is over after a few hundred.
	maxSamples, minSamples = 128, 48
	// compareEvery is how many crowded runs go by between two comparisons, and
	// agreeing how many in a row have to say the same.
	compareEvery, requiredPositives = 16, 3
	// minRunTime is the shortest run time that is compared: shorter ones are mostly
	// the way to the target.
	minRunTime = 5 * time.Millisecond
	// minSameService and anyService are how many other targets that slow down settle
	// it for this one as well: of its service, or of all together.
	minSameService, minAnyService = 2, 4
	// saturationFactor is the slowdown from which on a target is taken to slow down:
	// by so much that it does less with all its slots than without the last ones,
	// and some more, since runs wait longer for their calls when load is high.
	saturationFactor = 1.45
)

// runTimeSamples keeps the latest run times, in seconds.
type runTimeSamples struct {
	times []float64
	next  int
}

func (r *runTimeSamples) add(seconds float64) {
	if len(r.times) < maxSamples {
		r.times = append(r.times, seconds)
		return
	}
	r.times[r.next] = seconds
	r.next = (r.next + 1) % maxSamples
}

// quantile returns the low quantile that is compared.
func (r *runTimeSamples) quantile() float64 {
	sorted := slices.Sorted(slices.Values(r.times))
	return sorted[int(float64(len(sorted))*comparedQuantile)]
}

// saturationDetector learns by how much a target slows down when nearly all its slots
// are taken, by kind of request.
type saturationDetector struct {
	lightLoad, highLoad map[string]*runTimeSamples
	// highLoadRuns counts crowded runs, and seen the comparisons in a row that found the
	// target slower.
	highLoadRuns, positives int
	// detected tells that the target was seen to slow down, and told that others
	// were.
	detected, detectedElsewhere bool
}

func newSaturationDetector() saturationDetector {
	return saturationDetector{lightLoad: make(map[string]*runTimeSamples), highLoad: make(map[string]*runTimeSamples)}
}

// observe takes in a run that ended, and how many of the slots were taken then.
func (c *saturationDetector) observe(kind string, took time.Duration, running, slots int) {
	share := float64(running) / float64(max(1, slots))
	switch {
	case share <= lightLoadShare:
		addSample(c.lightLoad, kind, took)
	case share > highLoadShare:
		addSample(c.highLoad, kind, took)
		c.highLoadRuns++
		if c.highLoadRuns%compareEvery == 0 {
			c.compare()
		}
	}
}

func (c *saturationDetector) compare() {
	if c.slowdownFactor() <= saturationFactor {
		c.positives = 0
		return
	}
	c.positives++
	c.detected = c.detected || c.positives >= requiredPositives
}

// lowersLimit reports whether the target is spared the last slots.
func (c *saturationDetector) lowersLimit() bool { return c.detected || c.detectedElsewhere }

func addSample(runs map[string]*runTimeSamples, kind string, took time.Duration) {
	times := runs[kind]
	if times == nil {
		if len(runs) >= maxKinds {
			return
		}
		times = &runTimeSamples{}
		runs[kind] = times
	}
	times.add(took.Seconds())
}

// slowdownFactor returns the factor by which runs take longer at a crowded target, or
// 1 while too little is known: the least of all kinds, since a target that slows
// down does so for all, and some kinds also wait for calls.
func (c *saturationDetector) slowdownFactor() float64 {
	least := math.Inf(1)
	for kind, crowded := range c.highLoad {
		roomy := c.lightLoad[kind]
		if roomy == nil || len(roomy.times) < minSamples || len(crowded.times) < minSamples {
			continue
		}
		if low := roomy.quantile(); low >= minRunTime.Seconds() {
			least = min(least, crowded.quantile()/low)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}
