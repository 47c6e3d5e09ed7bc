package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenatrestle/process/fleet"
)

const (
	// usualSpeed is the speed figure of a target that is not slowed down.
	usualSpeed = 100
	// remoteCost is what a hop to another data centre adds to the score, as a
	// share of one request's work. It settles ties in favour of the own one.
	remoteCost = 0.15
	// crowded is the share of the slots from which on targets slow down.
	crowded = 0.8
	// crowdCost multiplies the score of a crowded target.
	crowdCost = 1.5
	// coldCost multiplies the score of a cold target: it works slower and takes
	// few requests.
	coldCost = 3.0
)

// Asker is the node that chooses.
type Asker struct {
	// DataCentre is where the node runs.
	DataCentre string
}

// Choose returns the index of the best candidate that is not excluded, or -1.
// Candidates of equal score are chosen among at random.
func Choose(candidates []fleet.Candidate, excluded []string, asker Asker, rng *rand.Rand) int {
	best, ties := -1, 0
	bestScore := 0.0
	for i := range candidates {
		c := &candidates[i]
		if slices.Contains(excluded, c.Node) {
			continue
		}
		score := Score(c, asker)
		switch {
		case best < 0 || score < bestScore:
			best, bestScore, ties = i, score, 1
		case score == bestScore:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Score is the expected cost of a request at the candidate. Lower is better.
func Score(c *fleet.Candidate, asker Asker) float64 {
	speed := float64(max(c.Speed, 1)) / usualSpeed
	ahead := float64(c.Running + c.Waiting + c.InFlight)
	score := (ahead + 1) * speed
	if c.Slots > 0 && ahead+1 > crowded*float64(c.Slots) {
		score *= crowdCost
	}
	if c.ColdLeft > time.Duration(0) {
		score *= coldCost
	}
	if c.DataCentre != asker.DataCentre {
		score += remoteCost * speed
	}
	return score
}
