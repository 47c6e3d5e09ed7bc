package gate

import (
	"fmt"
	"testing"
	"time"
)

// A restarted node repeated nothing for lack of slack, or used the budget of the processes before
// it once more. What it may repeat within a window depends on what is known of these.
func TestRetriesWithinAWindowAfterARestart(t *testing.T) {
	budget := RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	const targets, firsts = 3, 100 // the target has 20 of the slack, and 20 for the first sends
	for _, test := range []struct {
		name      string
		slackFrom time.Duration
		confirmed bool
		// direct and reruns are how many retries are admitted beside nested calls, and how many
		// of requests that may have run.
		direct, reruns int
	}{
		{"first start", 0, false, 24, 9},                  // of 0.8 x (20 + 20)
		{"one process before", budget.Window, true, 6, 2}, // of 0.2 x (20 + 20)
		{"unknown before", budget.Window, false, 3, 1},    // of 0.2 x 20
	} {
		for _, mayHaveRun := range []bool{false, true} {
			g := New(Settings{QueueShare: 1, RetryBudget: budget, SlackFrom: start.Add(test.slackFrom), DedupWindow: time.Second})
			g.ApplyReport(Report{Instance: "i-1", Service: "s", Slots: 1000, Sequence: 1, StartedMillis: 1000}, start)
			g.SetPeerTargets(PeerTargets{Targets: targets - 1})
			if test.confirmed {
				g.ConfirmOneProcessBefore()
			}
			for i := range firsts {
				g.Admit(newRequest(fmt.Sprint("f", i), start), start)
			}
			got, want := 0, test.direct
			if mayHaveRun {
				want = test.reruns
			}
			for i := range firsts {
				req := newRequest(fmt.Sprint("r", i), start)
				req.Retry, req.MayHaveRun = true, mayHaveRun
				decision := g.Admit(req, start)
				if decision.Admitted() {
					got++
					continue
				}
				// Other targets may have room if this one lacks its whole part.
				if elsewhere := decision.RetryAfter == 0; decision.Refused != RefusedRetryBudget || elsewhere != (test.slackFrom > 0) {
					t.Fatalf("%s: %+v", test.name, decision)
				}
			}
			if got != want {
				t.Errorf("%s, may have run %t: %d retries, want %d", test.name, mayHaveRun, got, want)
			}
		}
	}
}
