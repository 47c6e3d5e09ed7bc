package balance

import (
	"testing"
	"time"

	"verbenatrestle/connection/load"
)

// TestHangingWarmEndpointAmongColdOnes checks that cold endpoints get the work
// when the only warm one hangs, although its limit is several times theirs.
func TestHangingWarmEndpointAmongColdOnes(t *testing.T) {
	cold := load.Sample{InFlight: 1, Limit: 6, Latency: 15 * time.Millisecond, State: load.Cold}
	for _, policy := range scoredPolicies {
		table, rng := newTable(t, policy, localDataCentres[:3]...), newRand()
		now := start.Add(80 * time.Millisecond)
		table.Observe(service, "n0", usualSample, start)
		table.Begin(service, "n0", start)
		for _, n := range []string{"n1", "n2"} {
			table.Observe(service, n, cold, now)
		}
		if got := countPicks(table, now, rng, 1000); got["n0"] > 0 || got["n1"] < 300 || got["n2"] < 300 {
			t.Errorf("%s: the hanging endpoint got %d of 1000, the cold ones %d and %d", policy, got["n0"], got["n1"], got["n2"])
		}
	}
}
