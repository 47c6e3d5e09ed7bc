package gate

import (
	"fmt"
	"testing"
	"time"
)

// Nested calls are admitted first, since other runs wait for them, and then the
// requests with the most urgent priority.
func TestQueueOrdersByPriority(t *testing.T) {
	g := newTestGate(1)
	g.settings.QueueShare = 3
	g.recordRunTime("k", 10*time.Millisecond)
	g.Admit(newRequest("running", start), start)
	order := []Request{newRequest("low", start), newRequest("high", start), newRequest("call", start)}
	order[0].Priority, order[1].Priority, order[2].Priority = 2, 0, 1
	order[2].Kind, order[2].Caller = "call", "caller"
	for range minCalls {
		g.callerCounts.observe("call", "caller")
	}
	for _, kind := range []string{"k", "call"} {
		g.recordRunTime(kind, 10*time.Millisecond)
	}
	checkAdmissionOrder(t, g, order, []int{2, 1, 0})
}

// The priority of organisations was dropped from the configuration: a route's priority let the
// requests of a less urgent organisation start before those of a more urgent one.
func TestOrganisationPriorityGoesBeforeThatOfRoute(t *testing.T) {
	g := newTestGate(1)
	g.settings.QueueShare = 4
	g.recordRunTime("k", 10*time.Millisecond)
	g.Admit(newRequest("running", start), start)
	order := make([]Request, 4)
	for i, p := range []struct{ organisation, route int }{{1, 2}, {1, 0}, {0, 2}, {0, 1}} {
		order[i] = newRequest(fmt.Sprintf("organisation %d, route %d", p.organisation, p.route), start)
		order[i].OrganisationPriority, order[i].Priority = p.organisation, p.route
	}
	checkAdmissionOrder(t, g, order, []int{3, 2, 1, 0})
}

// checkAdmissionOrder lets requests wait at a full gate, and fails the test unless they are
// admitted in the wanted order, given by their indices.
func checkAdmissionOrder(t *testing.T, g *Gate, order []Request, wanted []int) {
	t.Helper()
	waiters := make([]*Waiter, len(order))
	for i, w := range order {
		waiters[i] = g.Admit(w, start).Waiter
		if waiters[i] == nil {
			t.Fatalf("%s does not wait", w.ID)
		}
	}
	for _, want := range wanted {
		g.Done(newRequest("x", start), 10*time.Millisecond, false, start)
		select {
		case refused := <-waiters[want].Result:
			if refused != "" {
				t.Fatalf("%s refused: %s", order[want].ID, refused)
			}
		default:
			t.Fatalf("%s is not admitted next", order[want].ID)
		}
	}
}

// A target with one slot refused a request of a burst although its queue was empty and the
// objective could be met. With runs of 100 ms and an objective of 500 ms, a request has to be
// queued that reaches the gate 250 ms after its caller sent it.
func TestEmptyQueueTakesARequestThatMeetsItsObjective(t *testing.T) {
	const run, objective, onTheWay = 100 * time.Millisecond, 500 * time.Millisecond, 250 * time.Millisecond
	g, now := newTestGate(1), start
	for i := range 5 { // bursts of two
		first, second := newRequest(fmt.Sprint("first-", i), now), newRequest(fmt.Sprint("second-", i), now)
		first.Due, second.Due = now.Add(objective), now.Add(objective)
		now = now.Add(onTheWay)
		if !g.Admit(first, now).Admitted() {
			t.Fatalf("burst %d: the first request does not start", i)
		}
		waiter := g.Admit(second, now).Waiter
		if waiter == nil {
			t.Fatalf("burst %d: the second request is not queued", i)
		}
		for _, r := range []Request{first, second} {
			now = now.Add(run)
			g.Done(r, run, false, now)
		}
		if refused := <-waiter.Result; refused != "" || now.After(second.Due) {
			t.Fatalf("burst %d: the second request ended as %q, %v after its objective", i, refused, now.Sub(second.Due))
		}
	}
}
