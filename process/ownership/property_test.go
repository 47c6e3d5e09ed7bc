package ownership

import (
	"os"
	"strconv"
	"testing"

	"verbenatrestle/process/ownership/timing"
)

// variableHistories is the number of histories to search.
const variableHistories = "VT_HISTORIES"

// defaultHistories is that number in the normal tests.
const defaultHistories = 40

// TestPartitionHistories plays random histories with all rules in force.
func TestPartitionHistories(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(variableHistories))
	if err != nil {
		count = defaultHistories
	}
	scenes := make([]scene, sceneCount)
	for i := range scenes {
		scenes[i] = scene(i)
	}
	gen := histories(scenes...)
	for seed := range count {
		h := gen.Example(seed)
		if w := h.play(timing.DefaultSkew, 0); len(w.problems) > 0 {
			t.Fatalf("seed %d, faults %v: %v", seed, h.faults, w.problems[0])
		}
	}
}
