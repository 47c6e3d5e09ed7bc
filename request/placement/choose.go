package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
)

// Costs of a candidate, in run times of a request.
const (
	// slowCost is what a target costs that works at five times the usual time. A
	// run is slow to its end, but the spell may be over before it starts.
	slowCost = 1.5
	// slowdownRange is the rise of the speed figure that costs slowCost.
	slowdownRange = 400
	// loadCost is what a target costs whose slots are all taken: it spreads the
	// load, and makes up for figures that are late.
	loadCost = 0.3
	// highLoadShare is the share of the slots from which on crowdCost comes on top,
	// since some targets slow down, and a few more requests would have to wait.
	highLoadShare = 0.8
	highLoadCost  = 0.3
	// coldCost is what a cold target costs: it is slower and takes few requests.
	coldCost = 0.8
	// failureCost is what a target costs all of whose runs fail, in proportion above
	// usualFailures: some fail everywhere, by errors and time limits.
	failureCost          = 3.0
	toleratedFailureRate = 0.2
	// staleCost is what a target costs whose load is older than staleAfter: its
	// VM may have turned slow since.
	staleCost  = 0.15
	staleAfter = 700 * time.Millisecond
	// remoteCost is what a target in another data centre costs.
	remoteCost = 0.06
)

const (
	// sample is how many targets a choice compares, drawn at random, and
	// nearSample how many of them come from the own data centre before the rest.
	// Nodes that compared all targets by figures of the same age would overrun
	// the one last told idle.
	localSampleSize = 4
	// mostlyFailingPercent is the share of failing runs, in percent, from which on a
	// target is compared only if too few others are left.
	mostlyFailingPercent = 30
	sampleSize           = 5
)

// Locality is the node that chooses.
type Locality struct {
	// DataCentre is where the node runs.
	DataCentre string
}

// Choose returns the index of the best of some candidates drawn at random that
// are not excluded, or -1.
func Choose(candidates []fleet.Candidate, excluded []string, asker Locality, rng *rand.Rand) int {
	best, bestScore := -1, 0.0
	for _, i := range sampleCandidates(candidates, excluded, asker, rng) {
		score := Cost(&candidates[i], asker)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// sampleCandidates returns the indices of the candidates to compare: those of the own data
// centre first, and those that mostly fail last.
func sampleCandidates(candidates []fleet.Candidate, excluded []string, asker Locality, rng *rand.Rand) []int {
	var near, far, failing []int
	for _, i := range rng.Perm(len(candidates)) {
		c := &candidates[i]
		switch {
		case slices.Contains(excluded, c.Node):
		case c.FailurePercent > mostlyFailingPercent:
			failing = append(failing, i)
		case c.DataCentre == asker.DataCentre && len(near) < localSampleSize:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	drawn := append(append(near, far...), failing...)
	return drawn[:min(len(drawn), sampleSize)]
}

// Cost is the expected cost of a request at the candidate, in run times.
// Requests run side by side, so those ahead cost little while there are slots.
// Lower is better.
func Cost(c *fleet.Candidate, asker Locality) float64 {
	slots := float64(max(c.Slots, 1))
	load := float64(c.Running+c.Waiting+c.InFlight+1) / slots
	score := loadCost * min(load, 1)
	if load > highLoadShare {
		score += highLoadCost
	}
	if load > 1 {
		score += load - 1
	}
	slow := float64(max(c.Slowdown-gate.NormalSlowdown, 0)) / slowdownRange
	score += slowCost * slow * max(load, 1)
	if c.ColdRemaining > 0 {
		score += coldCost
	}
	score += failureCost * max(0, float64(c.FailurePercent)/100-toleratedFailureRate)
	if c.StatusOnly || c.LoadAge > staleAfter {
		score += staleCost
	}
	if c.DataCentre != asker.DataCentre {
		score += remoteCost
	}
	return score
}
