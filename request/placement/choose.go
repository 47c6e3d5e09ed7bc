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
	// slowCost is the cost of a target that works five times slower than usual. A
	// run that starts then is slow to its end, but the slow period may be over
	// before the request starts.
	slowCost = 1.5
	// slowdownRange is the rise of the slowdown, in percent, that costs slowCost.
	slowdownRange = 400
	// loadCost is the cost of a target all of whose slots are in use. It spreads the
	// load, and compensates for load samples that arrive late.
	loadCost = 0.3
	// highLoadShare is the share of the slots in use above which highLoadCost is
	// added: some targets slow down then, and a few more requests would have to
	// wait.
	highLoadShare = 0.8
	highLoadCost  = 0.3
	// coldCost is the cost of a cold target, which is slower and takes few requests.
	coldCost = 0.8
	// failureCost is multiplied by the part of the failure rate, from 0 to 1, that
	// exceeds toleratedFailureRate. Some runs fail at every target, by errors and
	// timeouts.
	failureCost          = 3.0
	toleratedFailureRate = 0.2
	// staleCost is the cost of a target whose load is older than staleAfter, or whose
	// node sends no heartbeats: its VM may have turned slow since then.
	staleCost  = 0.15
	staleAfter = 700 * time.Millisecond
	// remoteCost is the cost of a target in another data centre.
	remoteCost = 0.06
)

const (
	// sampleSize is the number of randomly drawn targets that a choice compares. If
	// nodes compared all targets by load samples of the same age, they would
	// overload the one that was last reported idle.
	sampleSize = 5
	// localSampleSize is how many of them, at most, are taken from the local data
	// centre before the others.
	localSampleSize = 4
	// mostlyFailingPercent is the FailurePercent above which a target is compared
	// only if too few others are left.
	mostlyFailingPercent = 30
)

// Locality is the location of the node that sends a request.
type Locality struct {
	// DataCentre is where the node runs.
	DataCentre string
}

// Choose returns the index of the cheapest candidate of a random sample, or -1
// if there is none. Candidates whose Node is in excluded are ignored.
func Choose(candidates []fleet.Candidate, excluded []string, local Locality, rng *rand.Rand) int {
	best, bestCost := -1, 0.0
	for _, i := range sampleCandidates(candidates, excluded, local, rng) {
		cost := Cost(&candidates[i], local)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// sampleCandidates returns the indices of the candidates to compare: up to
// localSampleSize of the local data centre first, and those that mostly fail
// last.
func sampleCandidates(candidates []fleet.Candidate, excluded []string, local Locality, rng *rand.Rand) []int {
	var near, others, failing []int
	for _, i := range rng.Perm(len(candidates)) {
		c := &candidates[i]
		switch {
		case slices.Contains(excluded, c.Node):
		case c.FailurePercent > mostlyFailingPercent:
			failing = append(failing, i)
		case c.DataCentre == local.DataCentre && len(near) < localSampleSize:
			near = append(near, i)
		default:
			others = append(others, i)
		}
	}
	sampled := append(append(near, others...), failing...)
	return sampled[:min(len(sampled), sampleSize)]
}

// Cost returns the expected cost of a request at the candidate, in run times of
// the request. Requests run in parallel, so the requests in flight cost little
// while there are free slots.
func Cost(c *fleet.Candidate, local Locality) float64 {
	slots := float64(max(c.Slots, 1))
	load := float64(c.Running+c.Waiting+c.InFlight+1) / slots
	cost := loadCost * min(load, 1)
	if load > highLoadShare {
		cost += highLoadCost
	}
	if load > 1 {
		cost += load - 1
	}
	slow := float64(max(c.Slowdown-gate.NormalSlowdown, 0)) / slowdownRange
	cost += slowCost * slow * max(load, 1)
	if c.ColdRemaining > 0 {
		cost += coldCost
	}
	cost += failureCost * max(0, float64(c.FailurePercent)/100-toleratedFailureRate)
	if c.StatusOnly || c.LoadAge > staleAfter {
		cost += staleCost
	}
	if c.DataCentre != local.DataCentre {
		cost += remoteCost
	}
	return cost
}
