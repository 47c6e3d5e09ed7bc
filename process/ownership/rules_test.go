package ownership

import (
	"os"
	"strconv"
	"testing"

	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
)

func TestTrialRules(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("VT_TRIAL"))
	gen := histories()
	names := []string{"Lease", "AckFromSend", "WitnessWait", "WitnessFloor", "WitnessAbstain", "WitnessRead", "JointWitnesses", "SealFirst", "WitnessEpoch", "DatedFence", "UndatedFence", "FutureBound", "OneClockRead", "ResendWindow", "UndatedExpiry", "HandoverStop", "HandoverFence", "HandoverMatch", "NewIncarnation"}
	for i, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := 0
			first := -1
			problem := ""
			for seed := range count {
				w := gen.Example(seed).play(timing.DefaultSkew, rule.Set(1<<i))
				if len(w.problems) > 0 {
					found++
					if first < 0 {
						first = seed
						problem = w.problems[0]
					}
				}
			}
			t.Logf("%s: %d of %d, first %d: %s", name, found, count, first, problem)
		})
	}
}
