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

// variableHistories is the number of histories to search.
const variableHistories = "VT_HISTORIES"

// defaultHistories is that number in the normal tests.
const defaultHistories = 12

// TestPartitionHistories plays random histories with all rules in force.
func TestPartitionHistories(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(variableHistories))
	if err != nil {
		count = defaultHistories
	}
	setChecks(t, count)
	rapid.Check(t, func(t *rapid.T) {
		h := histories(allScenes()...).Draw(t, "history")
		if w := h.play(timing.DefaultMaxClockSkew, 0); len(w.problems) > 0 {
			t.Fatalf("%s", w.problems[0])
		}
	})
}

// TestCalm shows that without faults all operations are run, and none is
// refused for want of a lease or unknown for a fence.
func TestCalm(t *testing.T) {
	w := history{seed: 1, nodes: 5, hesitate: 1 << 30, early: -3 * time.Second, grace: longGrace}.play(timing.DefaultMaxClockSkew, 0)
	if len(w.problems) > 0 {
		t.Fatal(w.problems[0])
	}
	for _, verdict := range []string{"no-route", "refused no-lease", "unknown fenced", "refused claims-full"} {
		if w.counts[verdict] > 0 {
			t.Errorf("%d attempts ended as %q", w.counts[verdict], verdict)
		}
	}
	if w.counts["run"] == 0 {
		t.Error("nothing was run")
	}
}

// TestBeyondSkew shows what the promise rests on: with clocks further apart
// than the setting allows, operations can be run twice.
func TestBeyondSkew(t *testing.T) {
	gen := histories(sceneLateReplies)
	const factor = 16 // times the skew of the setting
	const start = 9   // a seed that is known to show it
	for seed := start; seed < start+ruleSeeds; seed++ {
		w := gen.Example(seed).play(factor*timing.DefaultMaxClockSkew, 0)
		if w.twice {
			t.Logf("seed %d with clocks up to %v apart: %s", seed, factor*timing.DefaultMaxClockSkew, w.problems[0])
			return
		}
	}
	t.Fatalf("nothing run twice in %d histories", ruleSeeds)
}

// TestSkewTable counts, for clocks further and further apart, the histories in
// which an operation is run twice. It plays as many of each scene as
// VT_HISTORIES says, and none by default.
func TestSkewTable(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(variableHistories))
	if err != nil {
		t.Skip(variableHistories + " is not set")
	}
	for _, factor := range []time.Duration{1, 2, 4, 8, 16, 32} {
		t.Run(fmt.Sprintf("%d times", factor), func(t *testing.T) {
			t.Parallel()
			twice, other := 0, 0
			for _, s := range allScenes() {
				gen := histories(s)
				for seed := range count {
					w := gen.Example(seed).play(factor*timing.DefaultMaxClockSkew, 0)
					if w.twice {
						twice++
					} else if len(w.problems) > 0 {
						other++
					}
				}
			}
			t.Logf("clocks %d times the skew apart, %d histories: run twice in %d, other promises broken in %d", factor, count*len(allScenes()), twice, other)
			if factor == 1 && twice+other > 0 {
				t.Error("a promise is broken within the setting")
			}
		})
	}
}

func allScenes() []scene {
	scenes := make([]scene, sceneCount)
	for i := range scenes {
		scenes[i] = scene(i)
	}
	return scenes
}

// setChecks sets how often rapid.Check repeats a test, until the test ends.
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
