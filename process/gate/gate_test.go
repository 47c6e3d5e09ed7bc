package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

var start = time.Unix(1_800_000_000, 0)

func newTestGate(slots int) *Gate {
	g := New(Settings{
		QueueShare: 1, DedupWindow: 10 * time.Second,
		RetryBudget: RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	})
	g.ApplyReport(Report{Instance: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: slots, Sequence: 1, StartedMillis: 1000}, start)
	g.SetColdStart(19, 3*time.Second)
	g.SetPeerTargets(PeerTargets{})
	return g
}

func newRequest(id string, now time.Time) Request {
	return Request{ID: id, Kind: "k", Caller: "c", Priority: 1, Due: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

// Whatever the order of arrivals and ends, at most as many requests as slots may be
// in flight, and none may wait while a slot is free.
func TestNeverMoreThanSlotsRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		g := newTestGate(slots)
		now := start
		running := 0
		var waiting []*Waiter
		settle := func() {
			kept := waiting[:0]
			for _, waiter := range waiting {
				select {
				case refused := <-waiter.Result:
					if refused == "" {
						running++
					}
				default:
					kept = append(kept, waiter)
				}
			}
			waiting = kept
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch {
			case running > 0 && rapid.Bool().Draw(t, "end"):
				g.Done(newRequest("x", now), 30*time.Millisecond, false, now)
				running--
			default:
				decision := g.Admit(newRequest(fmt.Sprint(i), now), now)
				if decision.Admitted() {
					running++
				}
				if decision.Waiter != nil {
					waiting = append(waiting, decision.Waiter)
				}
			}
			settle()
			if running > slots {
				t.Fatalf("%d requests in flight at %d slots", running, slots)
			}
			if got := g.State(now).Running; got != running {
				t.Fatalf("the gate counts %d requests in flight, want %d", got, running)
			}
			if len(waiting) > 0 && running < slots {
				t.Fatalf("%d requests wait while %d of %d slots are in use", len(waiting), running, slots)
			}
		}
	})
}

// When a data centre returns to service, its targets are cold and get full load at
// once. Within any second a cold target must receive at most its cold rate.
func TestColdTargetStaysWithinColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(18)
		g.ApplyReport(Report{Instance: "i-2", Service: "s", Slots: 18, Sequence: 1, StartedMillis: 2000, ColdRemaining: 3 * time.Second}, start)
		var arrivals []time.Time
		now := start
		for i := range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "ms")) * time.Millisecond)
			if !g.cold(now) {
				break
			}
			decision := g.Admit(newRequest(fmt.Sprint(i), now), now)
			if decision.Admitted() {
				arrivals = append(arrivals, now)
				g.Done(newRequest("", now), time.Millisecond, false, now)
			} else if decision.Waiter != nil {
				g.Cancel(decision.Waiter)
			}
		}
		for i := range arrivals {
			if j := i + 19; j < len(arrivals) && arrivals[j].Sub(arrivals[i]) < time.Second {
				t.Fatalf("20 arrivals within %v, want at most 19 within a second", arrivals[j].Sub(arrivals[i]))
			}
		}
	})
}

// A target that drains or was deregistered must get no more requests, even if one of
// its earlier reports arrives late. A new process with the same id gets them again.
func TestDrainingOrDeregisteredTargetRefuses(t *testing.T) {
	for name, leave := range map[string]func(g *Gate){
		"by report": func(g *Gate) {
			g.ApplyReport(Report{Instance: "i-1", Service: "s", Slots: 2, Sequence: 2, StartedMillis: 1000, Draining: true}, start)
		},
		"by deregistration":              func(g *Gate) { g.Deregister("i-1", 1000, start) },
		"by deregistration without born": func(g *Gate) { g.DeregisterRunning("i-1", start) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGate(2)
			leave(g)
			if d := g.Admit(newRequest("a", start), start); d.Refused != RefusedDraining {
				t.Fatalf("refused %q, want %q", d.Refused, RefusedDraining)
			}
			late := Report{Instance: "i-1", Service: "s", Slots: 2, Sequence: 3, StartedMillis: 1000}
			g.ApplyReport(late, start)
			if d := g.Admit(newRequest("b", start), start); d.Refused != RefusedDraining {
				t.Fatalf("after a delayed report: refused %q, want %q", d.Refused, RefusedDraining)
			}
			again := Report{Instance: "i-1", Service: "s", Slots: 2, Sequence: 1, StartedMillis: start.UnixMilli() + 500}
			g.ApplyReport(again, start)
			if d := g.Admit(newRequest("c", start), start); !d.Admitted() {
				t.Fatalf("a new process with the same id is refused: %q", d.Refused)
			}
		})
	}
}

// Requests that wait when the target is deregistered must be refused instead of
// being left in the queue.
func TestDeregistrationRefusesWaitingRequests(t *testing.T) {
	g := newTestGate(1)
	g.Admit(newRequest("a", start), start)
	waiting := g.Admit(newRequest("b", start), start).Waiter
	if waiting == nil {
		t.Fatal("the second request does not wait")
	}
	g.Deregister("i-1", 1000, start)
	if refused := <-waiting.Result; refused != RefusedDraining {
		t.Fatalf("refused %q, want %q", refused, RefusedDraining)
	}
}

// Reports can arrive late or twice. Only a newer one may replace the current one.
func TestOnlyNewerReportsAreApplied(t *testing.T) {
	g := newTestGate(4)
	older := Report{Instance: "i-0", Service: "other", Slots: 9, Sequence: 99, StartedMillis: 500}
	if g.ApplyReport(older, start) {
		t.Fatal("a report of an earlier process was accepted")
	}
	if g.ApplyReport(Report{Instance: "i-1", Service: "s", Slots: 9, Sequence: 1, StartedMillis: 1000}, start) {
		t.Fatal("a duplicate report was accepted")
	}
	if !g.ApplyReport(Report{Instance: "i-1", Service: "s", Slots: 9, Sequence: 1, StartedMillis: 3000}, start) {
		t.Fatal("a report of a new process, whose sequence starts again, was rejected")
	}
}

// In a burst above capacity, requests that can't be served in time are refused at
// once instead of after a wait.
func TestBurstIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	g := newTestGate(4)
	for range 50 {
		g.recordRunTime("k", 200*time.Millisecond)
	}
	refusedAtOnce := 0
	for i := range 100 {
		d := g.Admit(newRequest(fmt.Sprint(i), start), start)
		if d.Refused == RefusedFull {
			refusedAtOnce++
			if d.RetryAfter < minRetryAfter {
				t.Fatalf("RetryAfter %v is too short", d.RetryAfter)
			}
		}
	}
	if refusedAtOnce < 100-4-4-16 {
		t.Fatalf("%d refused at once", refusedAtOnce)
	}
	if waiting := g.State(start).Waiting; waiting > 16 {
		t.Fatalf("%d requests wait at 4 slots and 200 ms each, due in a second", waiting)
	}
}

// In a retry storm, retries of requests that may have run stay within their part
// of the budget, so that their repeated nested calls stay within the budget of the
// called service.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(1000)
		g.SetPeerTargets(PeerTargets{Targets: 1})
		now := start
		type event struct {
			at                time.Time
			retry, mayHaveRun bool
		}
		var events []event
		for i := range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			w := newRequest(fmt.Sprint(i), now)
			w.Retry = rapid.Bool().Draw(t, "repeat")
			w.MayHaveRun = w.Retry && rapid.Bool().Draw(t, "rerun")
			if g.Admit(w, now).Admitted() {
				events = append(events, event{now, w.Retry, w.MayHaveRun})
				g.Done(w, time.Millisecond, false, now)
			}
		}
		for i, last := range events {
			firsts, retries, reruns := 0, 0, 0
			for _, e := range events[:i+1] {
				if last.at.Sub(e.at) >= 10*time.Second {
					continue
				}
				switch {
				case e.mayHaveRun:
					retries++
					reruns++
				case e.retry:
					retries++
				default:
					firsts++
				}
			}
			allowed := 0.2*float64(firsts) + 10.0/2
			if last.retry && float64(retries) > allowed {
				t.Fatalf("%d retries for %d first sends, want at most %v", retries, firsts, allowed)
			}
			if last.mayHaveRun && float64(reruns) > possibleRerunShare*allowed {
				t.Fatalf("%d possible reruns for %d first sends, want at most %v", reruns, firsts, possibleRerunShare*allowed)
			}
		}
	})
}

// A sender whose connection broke may send a non-idempotent request again, or fence
// it to send it to another target. It must not run twice in either case.
func TestNonIdempotentRequestIsAdmittedOnce(t *testing.T) {
	g := newTestGate(4)
	w := newRequest("once", start)
	w.NonIdempotent = true
	if !g.Admit(w, start).Admitted() {
		t.Fatal("the first send is refused")
	}
	g.Done(w, time.Millisecond, false, start)
	if d := g.Admit(w, start.Add(time.Second)); d.Refused != RefusedDuplicate {
		t.Fatalf("the second send is refused with %q", d.Refused)
	}
	if g.Fence("once", start) {
		t.Fatal("a request that ran was fenced")
	}
	if !g.Fence("other", start) {
		t.Fatal("a request that never arrived was not fenced")
	}
	w.ID = "other"
	if d := g.Admit(w, start); d.Refused != RefusedFenced {
		t.Fatalf("a fenced request is refused with %q", d.Refused)
	}
}

// A non-idempotent request that was cancelled in the queue has not run. It must not
// be refused as a duplicate when it is sent again.
func TestCancelledNonIdempotentRequestMayBeResent(t *testing.T) {
	g := newTestGate(1)
	g.Admit(newRequest("a", start), start)
	w := newRequest("once", start)
	w.NonIdempotent = true
	waiting := g.Admit(w, start).Waiter
	if !g.Cancel(waiting) {
		t.Fatal("the request does not wait")
	}
	g.Done(newRequest("a", start), time.Millisecond, false, start)
	if !g.Admit(w, start).Admitted() {
		t.Fatal("a request that never reached the target is treated as a duplicate")
	}
}

// A target that is down refuses everything. A health check of the same instance ends
// that and says how long the target is still cold; one of another instance does not.
func TestHealthCheckEndsDownState(t *testing.T) {
	g := newTestGate(18)
	g.MarkDown(start)
	if d := g.Admit(newRequest("a", start), start); d.Refused != RefusedDown {
		t.Fatalf("refused %q", d.Refused)
	}
	if !g.ApplyHealthCheck("i-1", 2*time.Second, start, start) {
		t.Fatal("the health check changed nothing")
	}
	if !g.cold(start.Add(time.Second)) || g.cold(start.Add(3*time.Second)) {
		t.Fatal("not cold for the time that the health check returned")
	}
	if g.ApplyHealthCheck("i-other", 0, start, start) {
		t.Fatal("a health check of another instance was accepted")
	}
}

// When a data centre returns to service, its targets have to be treated as cold.
func TestTargetOfReturningDataCentreIsCold(t *testing.T) {
	g := newTestGate(18)
	g.SetDataCentreOut(true, start)
	if d := g.Admit(newRequest("a", start), start); d.Refused != RefusedDataCentreOut {
		t.Fatalf("refused %q", d.Refused)
	}
	g.SetDataCentreOut(false, start)
	if !g.cold(start) {
		t.Fatal("the target is not cold")
	}
}

// Nested calls of runs that are retries count as retries too, and are not refused. Retries
// that use up the budget before such calls come take the service beyond it.
func TestBudgetLeavesRoomForNestedCallsOfRetries(t *testing.T) {
	budget := RetryBudget{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
	const (
		targets       = 3
		firstsPerS    = 34
		directPerS    = 20
		causedPerS    = 3.5
		stormFromS    = 12
		stepsPerS     = 100
		simulatedTime = 30
	)
	g := newTestGate(1000)
	g.SetRetryBudget(budget)
	g.SetPeerTargets(PeerTargets{Targets: targets - 1})
	firsts, repeats := window{span: budget.Window}, window{span: budget.Window}
	due := make(map[string]float64)
	for step := range simulatedTime * stepsPerS {
		now := start.Add(time.Duration(step) * time.Second / stepsPerS)
		rates := map[string]float64{"first": firstsPerS}
		if step >= stormFromS*stepsPerS {
			rates["direct"], rates["caused"] = directPerS, causedPerS
		}
		for _, kind := range []string{"first", "direct", "caused"} {
			due[kind] += rates[kind] / stepsPerS
			for ; due[kind] >= 1; due[kind]-- {
				w := newRequest(fmt.Sprint(kind, step, due[kind]), now)
				w.Kind, w.Caller = "call", "caller"
				w.Retry, w.CausedByRetry = kind == "direct", kind == "caused"
				if !g.Admit(w, now).Admitted() {
					continue
				}
				g.Done(w, time.Millisecond, false, now)
				if kind == "first" {
					firsts.add(now)
				} else {
					repeats.add(now)
				}
			}
		}
		allowed := budget.Ratio*float64(firsts.count(now)) + budget.Slack/targets
		if got := repeats.count(now); float64(got) > allowed {
			t.Fatalf("%d repeats at %v, %v allowed", got, now.Sub(start), allowed)
		}
	}
}

// A retry storm goes on while the process of a node is replaced. The retries of both processes
// count in one window, so together they stay within the target's part of the budget.
func TestReplacedProcessesStayWithinRetryBudget(t *testing.T) {
	const targets = 3
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
		firsts, retries := window{span: budget.Window}, window{span: budget.Window}
		now := start
		newProcess := func(slackFrom time.Time) *Gate {
			g := New(Settings{QueueShare: 1, RetryBudget: budget, SlackFrom: slackFrom, DedupWindow: time.Second})
			g.ApplyReport(Report{Instance: "i-1", Service: "s", Slots: 1000, Sequence: 1, StartedMillis: 1000}, now)
			return g
		}
		g := newProcess(time.Time{})
		g.SetPeerTargets(PeerTargets{Targets: targets - 1})
		replaceable := start
		for i := range rapid.IntRange(100, 600).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 99).Draw(t, "event") {
			case 0:
				if now.Before(replaceable) {
					continue
				}
				g = newProcess(now.Add(budget.Window)) // it knows no peers yet
				g.ConfirmOneProcessBefore()
				replaceable = now.Add(budget.Window)
			case 1:
				g.SetPeerTargets(PeerTargets{Targets: targets - 1})
			}
			req := newRequest(fmt.Sprint(i), now)
			req.Retry = rapid.Bool().Draw(t, "retry")
			if !g.Admit(req, now).Admitted() {
				continue
			}
			g.Done(req, time.Millisecond, false, now)
			if !req.Retry {
				firsts.add(now)
				continue
			}
			retries.add(now)
			allowed := budget.Ratio*float64(firsts.count(now)) + budget.Slack/targets
			if got := retries.count(now); float64(got) > allowed {
				t.Fatalf("%d retries for %d first sends, want at most %v", got, firsts.count(now), allowed)
			}
		}
	})
}
