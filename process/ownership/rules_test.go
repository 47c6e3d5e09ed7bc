package ownership

import (
	"testing"

	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
)

// ruleSeeds is how many histories are searched for one that needs a rule.
const ruleSeeds = 100

// TestEachRuleIsNeeded takes each rule out, finds a history that then runs an
// operation twice, and shows that the same history keeps all promises with all
// rules in force.
// The search begins at a seed that is known to do so.
func TestEachRuleIsNeeded(t *testing.T) {
	cases := []struct {
		name  string
		rule  rule.Set
		scene scene
		start int
	}{
		{"lease", rule.Lease, sceneStaleOwner, 0},
		{"ack from send", rule.AckFromSend, sceneLateReplies, 18},
		{"witness wait", rule.WitnessWait, sceneStaleOwner, 0},
		{"witness floor", rule.WitnessFloor, sceneStaleOwner, 39},
		{"witness abstain", rule.WitnessAbstain, sceneBounce, 12},
		{"witness read", rule.WitnessRead, sceneForgetful, 4},
		{"current read", rule.CurrentRead, sceneForgetful, 37},
		{"joint witnesses", rule.JointWitnesses, sceneTwoSides, 0},
		{"seal first", rule.SealFirst, sceneTwoSides, 0},
		{"witness epoch", rule.WitnessEpoch, sceneReplaced, 18},
		{"dated fence", rule.DatedFence, sceneSuddenRestart, 0},
		{"undated fence", rule.UndatedFence, sceneSuddenRestart, 0},
		{"quiet lower", rule.QuietLower, sceneStaleOwner, 0},
		{"quiet epoch", rule.QuietEpoch, sceneReplaced, 83},
		{"future bound", rule.FutureBound, sceneSuddenRestart, 0},
		{"one clock read", rule.OneClockRead, sceneEarlyKeys, 9},
		{"resend window", rule.ResendWindow, sceneSuddenRestart, 0},
		{"undated expiry", rule.UndatedExpiry, sceneEarlyKeys, 0},
		{"handover stop", rule.HandoverStop, sceneHandover, 2},
		{"handover fence", rule.HandoverFence, sceneHandover, 9},
		{"handover match", rule.HandoverMatch, sceneHandover, 35},
		{"new incarnation", rule.NewIncarnation, sceneSuddenRestart, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gen := histories(c.scene)
			for seed := c.start; seed < c.start+ruleSeeds; seed++ {
				h := gen.Example(seed)
				w := h.play(timing.DefaultMaxClockSkew, c.rule)
				if !w.twice {
					continue
				}
				t.Logf("%s: seed %d without the rule: %s", c.name, seed, w.problems[0])
				if w := h.play(timing.DefaultMaxClockSkew, 0); len(w.problems) > 0 {
					t.Fatalf("seed %d with all rules: %s", seed, w.problems[0])
				}
				return
			}
			t.Fatalf("nothing run twice in %d histories without the rule", ruleSeeds)
		})
	}
}
