package gate

import "testing"

// A target that has said in a response that it leaves must get nothing more, whatever its
// late reports say, until another process runs there.
func TestLeavingTargetStaysClosed(t *testing.T) {
	g := newTestGate(1)
	g.Admit(newRequest("a", start), start)
	waiting := g.Admit(newRequest("b", start), start)
	if g.MarkLeaving("i-other", start) || !g.MarkLeaving("i-1", start) || g.MarkLeaving("i-1", start) {
		t.Fatal("not exactly the first notice of the present instance was news")
	}
	if waiting.Waiter == nil || <-waiting.Waiter.Result != RefusedDraining {
		t.Error("a request goes on waiting for a target that leaves")
	}
	report := Report{Instance: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 1, Sequence: 2, StartedMillis: 1000}
	g.ApplyReport(report, start)
	if got := g.Admit(newRequest("c", start), start); got.Refused != RefusedDraining {
		t.Errorf("a late report opens the target: %+v", got)
	}
	report.StartedMillis = 2000
	g.ApplyReport(report, start)
	if g.Draining() {
		t.Error("another process counts as leaving")
	}
}
