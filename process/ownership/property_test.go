package ownership

import (
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/process/ownership/timing"
)

// variableHistories is the number of further histories to search.
const variableHistories = "VT_HISTORIES"

// TestPartitionHistories plays random histories with all rules in force.
func TestPartitionHistories(t *testing.T) {
	gen := histories()
	count, err := strconv.Atoi(os.Getenv(variableHistories))
	if err != nil {
		count = 40
	}
	total := make(map[string]int)
	for seed := range count {
		h := gen.Example(seed)
		w := h.play(timing.DefaultSkew, 0)
		for name, n := range w.counts {
			total[name] += n
		}
		if len(w.problems) > 0 {
			t.Fatalf("seed %d, faults %v: %v", seed, h.faults, w.problems[0])
		}
	}
	t.Log(total)
}

var _ = rapid.Check
var _ = time.Second
