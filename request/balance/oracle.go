package balance

import "verbenatrestle/connection/load"

// LoadFunc returns the actual current load of the target of a service at a node.
// It returns false if the target can't accept work.
type LoadFunc func(service, node string) (load.Sample, bool)

// oracle chooses by the actual load of the targets, which no node can observe in
// production. It is the baseline for benchmarks of the other policies.
type oracle struct {
	actualLoad LoadFunc
}

// NewOracle returns a policy that chooses by the actual load of the targets. It is
// meant for benchmarks only.
func NewOracle(actualLoad LoadFunc) Policy {
	return oracle{actualLoad: actualLoad}
}

// Name implements Policy.
func (oracle) Name() string { return "oracle" }

// Choose implements Policy. It chooses the shortest expected wait among the
// targets below their limits or, if there are none, among all targets.
func (o oracle) Choose(info *PickInfo) int {
	n := len(info.Candidates)
	first := info.Rand.IntN(n)
	best, bestScore := first, o.score(info, first)
	for i := 1; i < n; i++ {
		next := (first + i) % n
		if score := o.score(info, next); score < bestScore {
			best, bestScore = next, score
		}
	}
	return best
}

// oracleFullPenalty is added to the score of a target at its limit, in seconds.
const oracleFullPenalty = 1e6

// score returns the expected wait at a candidate's target in seconds, plus a
// penalty if the target is full. A target that can't accept work scores worst.
func (o oracle) score(info *PickInfo, i int) float64 {
	sample, ok := o.actualLoad(info.Service, info.Candidates[i].Node)
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
