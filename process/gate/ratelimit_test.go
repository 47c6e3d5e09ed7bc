package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However requests arrive, and however often the target names its limit again, it must
// not get more than one and a half times what the limit allows and five more, in any
// four seconds.
func TestNoWindowExceedsTheRequestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		rate := rapid.Float64Range(0, 12).Draw(t, "rate")
		allowed := int(1.5*window.Seconds()*rate + 5)
		g := newTestGate(rapid.IntRange(1, 20).Draw(t, "slots"))
		now := start
		g.ApplyRequestLimit(rate, true, now, now)
		var sent []time.Time
		var waiting []*Waiter
		settle := func() {
			kept := waiting[:0]
			for _, waiter := range waiting {
				select {
				case refused := <-waiter.Result:
					if refused == "" {
						sent = append(sent, now)
						g.Done(waiter.Request, 10*time.Millisecond, false, now)
					}
				default:
					kept = append(kept, waiter)
				}
			}
			waiting = kept
		}
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 49).Draw(t, "pause") == 0 {
				now = now.Add(5 * time.Second)
			}
			if rapid.Bool().Draw(t, "named") {
				g.ApplyRequestLimit(rate, true, now, now)
			}
			req := newRequest(fmt.Sprint(i), now)
			req.HasAlternatives = rapid.Bool().Draw(t, "alternatives")
			decision := g.Admit(req, now)
			switch {
			case decision.Admitted():
				sent = append(sent, now)
				g.Done(req, 10*time.Millisecond, false, now)
			case decision.Waiter != nil:
				waiting = append(waiting, decision.Waiter)
			}
			g.Tick(now)
			settle()
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= window {
				first++
			}
			if i-first+1 > allowed {
				t.Fatalf("%d requests within %v at %v a second, want at most %d", i-first+1, window, rate, allowed)
			}
		}
	})
}

// A request that can't start in time for the limit is refused at once, with the time
// after which there is room.
func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	g := newTestGate(4)
	g.ApplyRequestLimit(0.5, true, start, start)
	if !g.Admit(newRequest("a", start), start).Admitted() {
		t.Fatal("the first request was not admitted")
	}
	decision := g.Admit(newRequest("b", start), start)
	if decision.Refused != RefusedLimited || decision.RetryAfter < 1900*time.Millisecond || decision.RetryAfter > 2100*time.Millisecond {
		t.Errorf("refused for %q, retry after %v, want %q and about 2 s", decision.Refused, decision.RetryAfter, RefusedLimited)
	}
}

// A response that was on its way when the target named its limit must not end the limit; a
// later one without it must.
func TestOnlyLaterResponsesEndTheRequestLimit(t *testing.T) {
	g := newTestGate(8)
	named := start.Add(time.Second)
	g.ApplyRequestLimit(0.5, true, start, named)
	g.ApplyRequestLimit(0, false, start, named.Add(time.Millisecond))
	if !g.Admit(newRequest("a", named), named).Admitted() || g.Admit(newRequest("b", named), named).Admitted() {
		t.Error("a response to an earlier request ended the limit")
	}
	later := named.Add(10 * time.Millisecond)
	g.ApplyRequestLimit(0, false, later, later)
	if !g.Admit(newRequest("c", later), later).Admitted() {
		t.Error("the limit holds though a later response does not name it")
	}
}

// A target whose limit keeps senders away has to be offered again, or nobody finds out
// that its limit has ended.
func TestLimitedTargetIsOfferedAgain(t *testing.T) {
	g := newTestGate(8)
	g.ApplyRequestLimit(2, true, start, start)
	g.Admit(newRequest("a", start), start)
	if got := g.State(start).Slots; got >= 8 {
		t.Errorf("a limited target is offered with %d slots", got)
	}
	if got := g.State(start.Add(limitProbeInterval)).Slots; got != 8 {
		t.Errorf("after a pause it is offered with %d slots, want 8", got)
	}
}
