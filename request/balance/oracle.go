package balance

import "verbenatrestle/connection/load"

// LoadFunc returns the true load of the target beside a node. It returns false
// if the target can't take work.
type LoadFunc func(service, node string) (load.Sample, bool)

// oracle chooses by the true load of the targets. It exists for measurements:
// no real node can know it.
type oracle struct {
	actualLoad LoadFunc
}

// NewOracle returns a policy that knows the true load.
func NewOracle(truth LoadFunc) Policy {
	return oracle{actualLoad: truth}
}

// Name implements Policy.
func (oracle) Name() string { return "oracle" }

// Choose implements Policy. It takes the target that has room and the
// shortest expected wait, or the shortest expected wait of all.
func (o oracle) Choose(c *PickInfo) int {
	n := len(c.Candidates)
	first := c.Rand.IntN(n)
	best, bestScore := first, o.score(c, first)
	for i := 1; i < n; i++ {
		next := (first + i) % n
		if score := o.score(c, next); score < bestScore {
			best, bestScore = next, score
		}
	}
	return best
}

// oracleFullPenalty is added to the score of a target without room, in seconds.
const oracleFullPenalty = 1e6

func (o oracle) score(c *PickInfo, i int) float64 {
	sample, ok := o.actualLoad(c.Service, c.Candidates[i].Node)
	if !ok {
		return 2 * oracleFullPenalty
	}
	limit := max(float64(sample.Limit), 1)
	score := sample.Latency.Seconds() * (float64(sample.InFlight) + 1) / limit
	if sample.InFlight >= sample.Limit {
		score += oracleFullPenalty
	}
	return score
}
