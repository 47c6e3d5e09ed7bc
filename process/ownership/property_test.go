package ownership

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/process/ownership/timing"
)

// variableHistories is the environment variable that sets the number of
// histories to simulate.
const variableHistories = "VT_HISTORIES"

// defaultHistories is the number of histories if the variable is not set.
const defaultHistories = 12

// TestPartitionHistories checks the invariants in random histories with all
// rules enabled.
func TestPartitionHistories(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(variableHistories))
	if err != nil {
		count = defaultHistories
	}
	setChecks(t, count)
	rapid.Check(t, func(t *rapid.T) {
		h := histories(allScenarios()...).Draw(t, "history")
		if sim := h.play(timing.DefaultMaxClockSkew, 0); len(sim.violations) > 0 {
			t.Fatalf("%s", sim.violations[0])
		}
	})
}

// TestFaultFreeHistory checks that without faults operations are run and no operation is left
// without an owner, refused for lack of a lease or of room for its claim, or
// answered with "unknown" because of a fence.
func TestFaultFreeHistory(t *testing.T) {
	sim := history{seed: 1, nodes: 5, slowStepDivisor: 1 << 30, callerClockLead: -3 * time.Second, witnessGrace: longGrace}.play(timing.DefaultMaxClockSkew, 0)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations[0])
	}
	for _, verdict := range []string{"no-route", "refused no-lease", "unknown fenced", "refused claims-full"} {
		if sim.counts[verdict] > 0 {
			t.Errorf("%d attempts ended as %q", sim.counts[verdict], verdict)
		}
	}
	if sim.counts["run"] == 0 {
		t.Error("nothing was run")
	}
}

// TestSkewBeyondBoundBreaksAtMostOnce shows that at-most-once execution depends on the bound of the
// clock skew: with clocks further apart, an operation can run twice.
func TestSkewBeyondBoundBreaksAtMostOnce(t *testing.T) {
	gen := histories(scenarioLateReplies)
	const factor = 16 // multiple of the default skew
	const start = 9   // the history of this seed shows it
	for seed := start; seed < start+ruleSeeds; seed++ {
		sim := gen.Example(seed).play(factor*timing.DefaultMaxClockSkew, 0)
		if sim.ranTwice {
			t.Logf("seed %d with clocks up to %v apart: %s", seed, factor*timing.DefaultMaxClockSkew, sim.violations[0])
			return
		}
	}
	t.Fatalf("no operation was run twice in %d histories", ruleSeeds)
}

// TestSkewTable counts the histories in which an operation runs twice, for
// several multiples of the clock skew. VT_HISTORIES sets the number of histories
// of each scenario; the test is skipped if it is not set.
func TestSkewTable(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(variableHistories))
	if err != nil {
		t.Skip(variableHistories + " is not set")
	}
	for _, factor := range []time.Duration{1, 2, 4, 8, 16, 32} {
		t.Run(fmt.Sprintf("%d times", factor), func(t *testing.T) {
			t.Parallel()
			twice, other := 0, 0
			for _, s := range allScenarios() {
				gen := histories(s)
				for seed := range count {
					sim := gen.Example(seed).play(factor*timing.DefaultMaxClockSkew, 0)
					if sim.ranTwice {
						twice++
					} else if len(sim.violations) > 0 {
						other++
					}
				}
			}
			t.Logf("clocks %d times the skew apart, %d histories: run twice in %d, other invariants violated in %d", factor, count*len(allScenarios()), twice, other)
			if factor == 1 && twice+other > 0 {
				t.Error("an invariant is violated although clocks are within the skew")
			}
		})
	}
}

func allScenarios() []scenario {
	scenarios := make([]scenario, scenarioCount)
	for i := range scenarios {
		scenarios[i] = scenario(i)
	}
	return scenarios
}

// setChecks sets the number of checks of rapid.Check until the end of the test.
func setChecks(t *testing.T, count int) {
	const name = "rapid.checks"
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, strconv.Itoa(count)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := flag.Set(name, old); err != nil {
			t.Fatal(err)
		}
	})
}
