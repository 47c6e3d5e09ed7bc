package gate

import (
	"testing"
	"time"

	"verbenatrestle/process/departure"
)

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

// A node that has started again gets a delayed report of a process that another one has
// replaced. It must not send requests to the former, and the latter must be used.
func TestReplacedProcessIsNotUsedAfterARestart(t *testing.T) {
	first := Report{Instance: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 1, Sequence: 7, StartedMillis: 1000}
	second := Report{Instance: "i-2", Service: "s", Address: "10.0.0.1:1", Slots: 1, Sequence: 3, StartedMillis: 2000}
	before := New(Settings{QueueShare: 1})
	before.ApplyReport(first, start)
	before.ApplyReport(second, start)
	for _, order := range [][]Report{{first, second}, {second, first}} {
		g := New(Settings{QueueShare: 1})
		if !g.RestoreDepartures(before.Departures(), start) || g.RestoreDepartures(before.Departures(), start) {
			t.Fatal("not exactly the first call adds departures")
		}
		for _, report := range order {
			g.ApplyReport(report, start)
			if state := g.State(start); state.Accepting != (state.Instance == "i-2") {
				t.Errorf("after the report of %s: %+v", report.Instance, state)
			}
		}
		if state := g.State(start); state.Instance != "i-2" {
			t.Errorf("%s is used at the end", state.Instance)
		}
	}
}

// A deregistration names no process. If the one that reported last still runs, a later one of the
// instance must be used. If it does not, or is not known, any that reports soon may be the one that left.
func TestDeregistrationCoversTheProcessThatRuns(t *testing.T) {
	report := Report{Instance: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 1, Sequence: 1, StartedMillis: 1000}
	later := report
	later.StartedMillis = 2000
	for name, test := range map[string]struct {
		before func(g *Gate)
		// report arrives after the deregistration, after a time.
		report Report
		after  time.Duration
		want   bool
	}{
		"same process":                  {func(g *Gate) { g.ApplyReport(report, start) }, Report{Sequence: 2, StartedMillis: 1000}, time.Minute, false},
		"later process":                 {func(g *Gate) { g.ApplyReport(report, start) }, later, time.Millisecond, true},
		"unknown process":               {func(*Gate) {}, later, time.Millisecond, false},
		"unknown process, long ago":     {func(*Gate) {}, later, lateReportWindow, true},
		"known one has ended":           {func(g *Gate) { g.ApplyReport(report, start); g.MarkDown(start) }, later, time.Millisecond, false},
		"known one has ended, long ago": {func(g *Gate) { g.ApplyReport(report, start); g.MarkDown(start) }, later, lateReportWindow, true},
		"left, then ended": {func(g *Gate) {
			g.ApplyReport(report, start)
			g.DeregisterRunning("i-1", start)
			g.MarkDown(start)
		}, later, time.Millisecond, true},
		"crashed and found running again": {func(g *Gate) {
			g.ApplyReport(report, start)
			g.Admit(newRequest("a", start), start)
			g.ProcessEnded(start)
			g.ApplyHealthCheck("i-1", 0, start, start)
		}, later, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Settings{QueueShare: 1})
			test.before(g)
			left := g.DeregisterRunning("i-1", start)
			next := report
			next.Sequence, next.StartedMillis = test.report.Sequence, test.report.StartedMillis
			restarted := New(Settings{QueueShare: 1})
			restarted.RestoreDepartures(g.Departures(), start)
			if !g.Departures().Includes(left.Instance, left.StartedMillis) {
				t.Fatalf("%v is not kept in %v", left, g.Departures())
			}
			for kind, g := range map[string]*Gate{"the gate": g, "a gate that is restarted": restarted} {
				at := start.Add(test.after)
				g.ApplyReport(next, at)
				if got := g.State(at).Accepting; got != test.want {
					t.Errorf("%s uses the process that reports: %t, want %t; departures %v", kind, got, test.want, g.Departures())
				}
			}
		})
	}
}

// Departures that arrive only after the target was taken for usable must stop it.
func TestRestoredDepartureStopsTheTarget(t *testing.T) {
	g := newTestGate(1)
	g.Admit(newRequest("a", start), start)
	waiting := g.Admit(newRequest("b", start), start).Waiter
	g.RestoreDepartures(departure.List{{Instance: "i-1", StartedMillis: 1000}}, start)
	if refused := <-waiting.Result; refused != RefusedDraining {
		t.Errorf("a waiting request is refused as %q", refused)
	}
	if d := g.Admit(newRequest("c", start), start); d.Refused != RefusedDraining {
		t.Errorf("a new request: %+v", d)
	}
}

// A delayed draining report of a process that another one has replaced is acknowledged, so
// it must be kept as a departure. It must not stop the present process.
func TestLateDrainingReportOfAnEarlierProcessIsKept(t *testing.T) {
	g := newTestGate(1)
	late := Report{Instance: "i-0", Service: "s", Slots: 1, Sequence: 9, StartedMillis: 500, Draining: true}
	if g.ApplyReport(late, start) || !g.Departures().Includes("i-0", 500) {
		t.Errorf("departures: %v", g.Departures())
	}
	if d := g.Admit(newRequest("a", start), start); !d.Admitted() {
		t.Errorf("the present process is refused: %q", d.Refused)
	}
}
