package ownership

import (
	"testing"

	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
)

// ruleSeeds is the number of seeds that are tried for each rule.
const ruleSeeds = 100

// TestEachRuleIsNeeded disables each rule and finds a history in which an
// operation then runs twice. It checks that no invariant is violated in the same
// history with all rules enabled. The search starts at a seed whose history
// needs the rule, which keeps the test short.
func TestEachRuleIsNeeded(t *testing.T) {
	cases := []struct {
		name     string
		rule     rule.Set
		scenario scenario
		start    int
	}{
		{"lease", rule.Lease, scenarioStaleOwner, 0},
		{"ack from send", rule.AckFromSend, scenarioLateReplies, 18},
		{"witness wait", rule.WitnessWait, scenarioStaleOwner, 0},
		{"witness floor", rule.WitnessFloor, scenarioStaleOwner, 39},
		{"witness abstain", rule.WitnessAbstain, scenarioRestartedWitnesses, 12},
		{"witness read", rule.WitnessRead, scenarioForgetfulWitnesses, 4},
		{"current read", rule.CurrentRead, scenarioForgetfulWitnesses, 37},
		{"joint witnesses", rule.JointWitnesses, scenarioSplit, 0},
		{"seal first", rule.SealFirst, scenarioSplit, 0},
		{"witness epoch", rule.WitnessEpoch, scenarioReplacedWitnesses, 18},
		{"dated fence", rule.DatedFence, scenarioSuddenRestart, 0},
		{"undated fence", rule.UndatedFence, scenarioSuddenRestart, 0},
		{"quiet lower", rule.QuietLower, scenarioStaleOwner, 0},
		{"quiet epoch", rule.QuietEpoch, scenarioReplacedWitnesses, 83},
		{"future bound", rule.FutureBound, scenarioSuddenRestart, 0},
		{"one clock read", rule.OneClockRead, scenarioFutureKeys, 9},
		{"resend window", rule.ResendWindow, scenarioSuddenRestart, 0},
		{"undated expiry", rule.UndatedExpiry, scenarioFutureKeys, 0},
		{"handover stop", rule.HandoverStop, scenarioHandover, 2},
		{"handover fence", rule.HandoverFence, scenarioHandover, 9},
		{"handover match", rule.HandoverMatch, scenarioHandover, 35},
		{"new incarnation", rule.NewIncarnation, scenarioSuddenRestart, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gen := histories(c.scenario)
			for seed := c.start; seed < c.start+ruleSeeds; seed++ {
				h := gen.Example(seed)
				sim := h.play(timing.DefaultMaxClockSkew, c.rule)
				if !sim.ranTwice {
					continue
				}
				t.Logf("%s: seed %d without the rule: %s", c.name, seed, sim.violations[0])
				if sim := h.play(timing.DefaultMaxClockSkew, 0); len(sim.violations) > 0 {
					t.Fatalf("seed %d with all rules: %s", seed, sim.violations[0])
				}
				return
			}
			t.Fatalf("no operation was run twice in %d histories without the rule", ruleSeeds)
		})
	}
}
