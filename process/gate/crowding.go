package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// crowdedFrom is the share of the slots above which some targets slow down.
	crowdedFrom = 0.8
	// roomyTo is the share of the slots up to which a run counts as one beside
	// few others.
	roomyTo = 0.6
	// crowdQuantile is the quantile of run times that is compared: low enough to
	// leave out runs that waited for calls or for a slow spell of the VM.
	crowdQuantile = 0.3
	// keptRuns is how many runs of either sort are kept, and enoughRuns how many
	// a comparison takes: a burst is over after a few hundred.
	keptRuns, enoughRuns = 128, 48
	// compareEvery is how many crowded runs go by between two comparisons, and
	// agreeing how many in a row have to say the same.
	compareEvery, agreeing = 16, 3
	// leastRun is the shortest run time that is compared: shorter ones are mostly
	// the way to the target.
	leastRun = 5 * time.Millisecond
	// sameService and anyService are how many other targets that slow down settle
	// it for this one as well: of its service, or of all together.
	sameService, anyService = 2, 4
	// slowdownSeen is the slowdown from which on a target is taken to slow down:
	// by so much that it does less with all its slots than without the last ones,
	// and some more, since runs wait longer for their calls when load is high.
	slowdownSeen = 1.45
)

// runTimeSamples keeps the latest run times, in seconds.
type runTimeSamples struct {
	times []float64
	next  int
}

func (r *runTimeSamples) add(seconds float64) {
	if len(r.times) < keptRuns {
		r.times = append(r.times, seconds)
		return
	}
	r.times[r.next] = seconds
	r.next = (r.next + 1) % keptRuns
}

// low returns the low quantile that is compared.
func (r *runTimeSamples) low() float64 {
	sorted := slices.Sorted(slices.Values(r.times))
	return sorted[int(float64(len(sorted))*crowdQuantile)]
}

// crowding learns by how much a target slows down when nearly all its slots
// are taken, by kind of request.
type crowding struct {
	roomy, crowded map[string]*runTimeSamples
	// runs counts crowded runs, and seen the comparisons in a row that found the
	// target slower.
	runs, seen int
	// found tells that the target was seen to slow down, and told that others
	// were.
	found, told bool
}

func newCrowding() crowding {
	return crowding{roomy: make(map[string]*runTimeSamples), crowded: make(map[string]*runTimeSamples)}
}

// ran takes in a run that ended, and how many of the slots were taken then.
func (c *crowding) ran(kind string, took time.Duration, running, slots int) {
	share := float64(running) / float64(max(1, slots))
	switch {
	case share <= roomyTo:
		note(c.roomy, kind, took)
	case share > crowdedFrom:
		note(c.crowded, kind, took)
		c.runs++
		if c.runs%compareEvery == 0 {
			c.compare()
		}
	}
}

func (c *crowding) compare() {
	if c.slowdown() <= slowdownSeen {
		c.seen = 0
		return
	}
	c.seen++
	c.found = c.found || c.seen >= agreeing
}

// spared reports whether the target is spared the last slots.
func (c *crowding) spared() bool { return c.found || c.told }

func note(runs map[string]*runTimeSamples, kind string, took time.Duration) {
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

// slowdown returns the factor by which runs take longer at a crowded target, or
// 1 while too little is known: the least of all kinds, since a target that slows
// down does so for all, and some kinds also wait for calls.
func (c *crowding) slowdown() float64 {
	least := math.Inf(1)
	for kind, crowded := range c.crowded {
		roomy := c.roomy[kind]
		if roomy == nil || len(roomy.times) < enoughRuns || len(crowded.times) < enoughRuns {
			continue
		}
		if low := roomy.low(); low >= leastRun.Seconds() {
			least = min(least, crowded.low()/low)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}
