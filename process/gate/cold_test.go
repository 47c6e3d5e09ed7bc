package gate

import (
	"fmt"
	"testing"
	"time"
)

// A request that had read the clock before a health check found the target warm was refused as cold.
func TestTargetFoundWarmIsWarmForRequestsOfAMomentBefore(t *testing.T) {
	g := newTestGate(18)
	const perSecond = 100
	now := start
	requestOf := func(caller int) Request {
		request := newRequest(fmt.Sprint(caller), now)
		request.Caller = fmt.Sprint("c", caller)
		request.Due = now.Add(500 * time.Millisecond)
		return request
	}
	for caller := range perSecond {
		now = now.Add(time.Second / perSecond)
		request := requestOf(caller)
		if d := g.Admit(request, now); !d.Admitted() {
			t.Fatalf("request %d: refused %q", caller, d.Refused)
		}
		g.Done(request, time.Millisecond, false, now)
	}
	if g.ApplyHealthCheck("i-1", 0, now.Add(time.Millisecond)) {
		t.Error("the health check changed something")
	}
	if left := g.State(now).ColdRemaining; left != 0 {
		t.Errorf("cold for %v more, want 0", left)
	}
	if d := g.Admit(requestOf(perSecond), now); !d.Admitted() {
		t.Errorf("refused %q, waits: %t, want admitted", d.Refused, d.Waiter != nil)
	}
}
