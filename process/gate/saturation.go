package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// highLoadShare is the share of the slots in use above which some targets slow
	// down.
	highLoadShare = 0.8
	// lightLoadShare is the share of the slots in use up to which a run counts as
	// one under light load.
	lightLoadShare = 0.6
	// comparedQuantile is the quantile of the run times that is compared. It is low
	// enough to leave out runs that waited for nested calls or ran in a slow period
	// of the VM.
	comparedQuantile = 0.3
	// maxSamples is how many run times are kept for each kind and load, and
	// minSamples how many a comparison needs. A burst is over after a few hundred
	// runs.
	maxSamples, minSamples = 128, 48
	// compareEvery is the number of runs under high load between two comparisons,
	// and requiredPositives how many comparisons in a row have to find a slowdown.
	compareEvery, requiredPositives = 16, 3
	// minRunTime is the shortest run time that is compared. Shorter ones consist
	// mostly of network latency.
	minRunTime = 5 * time.Millisecond
	// minSameService is how many other targets of the same service have to slow
	// down for this target to be assumed to do so too, and minAnyService how many
	// targets of all services together.
	minSameService, minAnyService = 2, 4
	// saturationFactor is the ratio of run times above which a target counts as
	// slowing down. Above it the target gets less done with all its slots than
	// without the last ones. It leaves some margin, since runs wait longer for their
	// nested calls when the load is high.
	saturationFactor = 1.45
)

// runTimeSamples keeps the latest run times, in seconds, in a ring buffer.
type runTimeSamples struct {
	times []float64
	// next is the index of the oldest sample once the buffer is full.
	next int
}

// add records a run time. It replaces the oldest one if the buffer is full.
func (r *runTimeSamples) add(seconds float64) {
	if len(r.times) < maxSamples {
		r.times = append(r.times, seconds)
		return
	}
	r.times[r.next] = seconds
	r.next = (r.next + 1) % maxSamples
}

// quantile returns the comparedQuantile of the samples. There has to be one.
func (r *runTimeSamples) quantile() float64 {
	sorted := slices.Sorted(slices.Values(r.times))
	return sorted[int(float64(len(sorted))*comparedQuantile)]
}

// saturationDetector detects whether a target slows down when nearly all its
// slots are in use. It compares the run times under light and high load, by kind
// of request.
type saturationDetector struct {
	lightLoad, highLoad map[string]*runTimeSamples
	// highLoadRuns counts the runs under high load, and positives the latest
	// comparisons in a row that found the target slower.
	highLoadRuns, positives int
	// detected is set once this target was found to slow down, and
	// detectedElsewhere when enough other targets were.
	detected, detectedElsewhere bool
}

func newSaturationDetector() saturationDetector {
	return saturationDetector{lightLoad: make(map[string]*runTimeSamples), highLoad: make(map[string]*runTimeSamples)}
}

// observe records a run that ended, with the requests in flight when it began and
// the slots of the target.
func (d *saturationDetector) observe(kind string, took time.Duration, running, slots int) {
	share := float64(running) / float64(max(1, slots))
	switch {
	case share <= lightLoadShare:
		addSample(d.lightLoad, kind, took)
	case share > highLoadShare:
		addSample(d.highLoad, kind, took)
		d.highLoadRuns++
		if d.highLoadRuns%compareEvery == 0 {
			d.compare()
		}
	}
}

// compare updates detected, which stays set.
func (d *saturationDetector) compare() {
	if d.slowdownFactor() <= saturationFactor {
		d.positives = 0
		return
	}
	d.positives++
	d.detected = d.detected || d.positives >= requiredPositives
}

// lowersLimit reports whether the limit of the target is lowered to
// highLoadShare of its slots.
func (d *saturationDetector) lowersLimit() bool { return d.detected || d.detectedElsewhere }

// addSample adds a run time to the samples of its kind. Kinds beyond maxKinds
// are ignored.
func addSample(runs map[string]*runTimeSamples, kind string, took time.Duration) {
	samples := runs[kind]
	if samples == nil {
		if len(runs) >= maxKinds {
			return
		}
		samples = &runTimeSamples{}
		runs[kind] = samples
	}
	samples.add(took.Seconds())
}

// slowdownFactor returns the factor by which runs take longer under high load,
// or 1 while there are too few samples. It is the least factor of all kinds: a
// target that slows down does so for all of them, and some kinds also wait for
// nested calls.
func (d *saturationDetector) slowdownFactor() float64 {
	least := math.Inf(1)
	for kind, high := range d.highLoad {
		light := d.lightLoad[kind]
		if light == nil || len(light.times) < minSamples || len(high.times) < minSamples {
			continue
		}
		if base := light.quantile(); base >= minRunTime.Seconds() {
			least = min(least, high.quantile()/base)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}
