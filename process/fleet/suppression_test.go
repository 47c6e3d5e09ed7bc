package fleet

import (
	"math/rand/v2"
	"testing"
	"time"
)

// All nodes of a fleet start at once. At least one has to act soon, but only a few may
// have acted when the first result arrives, whatever the size of the fleet.
func TestFewNodesActBeforeTheFirstResult(t *testing.T) {
	const longest, result = 400 * time.Millisecond, 80 * time.Millisecond
	for _, nodes := range []int{2, 13, 295, 1343} {
		acted, earliest := 0.0, time.Duration(0)
		const rounds = 200
		rng := rand.New(rand.NewPCG(1, uint64(nodes)))
		for range rounds {
			delays := make([]time.Duration, nodes)
			first := longest
			for i := range delays {
				delays[i] = SuppressionDelay(longest, nodes, rng.Float64())
				first = min(first, delays[i])
			}
			earliest += first / rounds
			for _, d := range delays {
				if d <= first+result {
					acted += 1.0 / rounds
				}
			}
		}
		if acted > 8 || earliest > longest/2 {
			t.Errorf("%d nodes: %v act before the first result, the first after %v", nodes, acted, earliest)
		}
	}
	if d := SuppressionDelay(longest, 1, 0.5); d != 0 {
		t.Errorf("a single node waits %v", d)
	}
}
