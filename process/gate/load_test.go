package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestKindsThatOneServiceAsksForAreCalls(t *testing.T) {
	c := make(callerCounts)
	for i := range 400 {
		service := fmt.Sprintf("s%d", i%4)
		if c.observe("callers", service) {
			t.Fatalf("after %d requests of all services: a call of targets", i)
		}
		nested := c.observe("calls", "s1")
		if i >= minCalls && !nested {
			t.Fatalf("after %d requests of one service: not a call of targets", i)
		}
	}
}

// Long searches fill a target that others also call while they run: the calls
// still find a slot at once, since a refused one spoils the run behind it.
func TestCallsOfTargetsFindRoomBesideLongRuns(t *testing.T) {
	g := newTestGate(18)
	g.settings.NestedShare = 0.15
	for i := range minCalls + 1 {
		w := newRequest(fmt.Sprint("warm", i), start)
		w.Kind, w.Caller = "call", "parents"
		g.Admit(w, start)
		g.Done(w, 40*time.Millisecond, false, start)
	}
	for i := range 60 {
		w := newRequest(fmt.Sprint("search", i), start)
		w.Kind, w.Caller = "search", fmt.Sprintf("s%d", i%4)
		g.Admit(w, start)
	}
	if running := g.State(start).Running; running != 15 {
		t.Fatalf("%d long runs at 18 slots", running)
	}
	w := newRequest("call", start)
	w.Kind, w.Caller = "call", "parents"
	if d := g.Admit(w, start); d.Waiter == nil && !d.Admitted() {
		t.Fatalf("a call is refused: %s", d.Refused)
	}
	if running := g.State(start).Running; running != 16 {
		t.Fatal("the call waits behind long runs")
	}
}

// Load rises until all slots are taken: a target that then works so much slower
// that it does less altogether gets fewer requests at once, another one does
// not, though its runs wait for calls that take longer under load. The times
// scatter, so some targets may be mistaken.
func TestTargetThatSlowsDownWhenFullIsSparedTheLastSlots(t *testing.T) {
	const targets, mistaken = 100, 5
	for name, test := range map[string]struct {
		factor float64
		want   int
	}{
		"slows down":       {1.7, 14},
		"keeps its speed":  {1, 18},
		"slows down a bit": {1.1, 18},
	} {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for seed := range uint64(targets) {
				if limitAfterLoad(rand.New(rand.NewPCG(seed, 1)), test.factor, 3000) != test.want {
					wrong++
				}
			}
			if wrong > mistaken {
				t.Fatalf("%d of %d targets mistaken", wrong, targets)
			}
		})
	}
}

// A burst is over in seconds: a target that slows down is known within some 400
// runs at high load, most of the time.
func TestSlowdownWhenFullIsFoundWithinABurst(t *testing.T) {
	const targets, missed = 100, 20
	late := 0
	for seed := range uint64(targets) {
		if limitAfterLoad(rand.New(rand.NewPCG(seed, 2)), 1.7, 400) != 14 {
			late++
		}
	}
	if late > missed {
		t.Fatalf("not found at %d of %d targets", late, targets)
	}
}

// limitAfterLoad returns the limit of a gate after runs at random load, which take longer by factor when more than 14 of 18 slots are taken.
func limitAfterLoad(rng *rand.Rand, factor float64, runs int) int {
	g := newTestGate(18)
	for range runs {
		g.running = 1 + rng.IntN(g.Limit())
		took := 0.16 * math.Exp(0.3*rng.NormFloat64())
		if rng.Float64() < 0.3 {
			took += 0.3
		}
		if g.running > 14 {
			took *= factor
			if rng.Float64() < 0.5 {
				took += 0.05
			}
		}
		g.ObserveRun("x", time.Duration(took*float64(time.Second)), g.State(start))
		g.Done(newRequest("x", start), time.Duration(took*float64(time.Second)), false, start)
	}
	return g.Limit()
}

// A target goes down and up by turns: it takes connections and closes them
// under each request. After the second the gate is closed until a check is
// answered; a single lost answer among good ones closes nothing.
func TestTargetWhoseConnectionsKeepBreakingIsDown(t *testing.T) {
	g := newTestGate(18)
	for range 5 {
		g.Admit(newRequest("a", start), start)
		if g.ConnectionLost(newRequest("a", start), start) {
			t.Fatal("down after a single lost answer")
		}
		g.Admit(newRequest("b", start), start)
		g.Done(newRequest("b", start), time.Millisecond, false, start)
	}
	g.Admit(newRequest("c", start), start)
	g.Admit(newRequest("d", start), start)
	if g.ConnectionLost(newRequest("c", start), start) || !g.ConnectionLost(newRequest("d", start), start) {
		t.Fatal("not down after two in a row")
	}
	if d := g.Admit(newRequest("e", start), start); d.Refused != RefusedDown {
		t.Fatalf("refused %q", d.Refused)
	}
	g.ApplyHealthCheck("i-1", 0, start)
	if !g.Admit(newRequest("f", start), start).Admitted() {
		t.Fatal("still closed after a good check")
	}
}

// A target fails part of its requests while its health is good: the others are
// told by what share, and it is tried again after a while.
func TestShareOfFailures(t *testing.T) {
	g := newTestGate(18)
	for i := range 60 {
		g.Admit(newRequest("a", start), start)
		g.Done(newRequest("a", start), time.Millisecond, i%2 == 0, start)
	}
	if share := g.State(start).FailureRate; share < 0.3 || share > 0.7 {
		t.Fatalf("share %v of runs that fail half of the time", share)
	}
	if share := g.State(start.Add(20 * time.Second)).FailureRate; share > 0.05 {
		t.Fatalf("share %v after 20 s without a run", share)
	}
}

// A request that may go elsewhere does not wait at a target whose load was told
// too late, nor start at one that has just turned slow.
func TestMovableRequestIsSentOnAtOnce(t *testing.T) {
	g := New(Settings{QueueShare: 1, RetryBudget: RetryBudget{Ratio: 1, Slack: 10, Window: time.Second}, DedupWindow: time.Second})
	now := time.Now()
	g.ApplyReport(Report{Instance: "i", Service: "s", Slots: 1, StartedMillis: 1}, now)
	movable := func(id string) Request {
		return Request{ID: id, Kind: "k", NonIdempotent: true, HasAlternatives: true, Due: now.Add(time.Second), Deadline: now.Add(time.Second)}
	}
	if d := g.Admit(movable("1"), now); !d.Admitted() {
		t.Fatalf("a free target refused a movable request: %v", d.Refused)
	}
	if d := g.Admit(movable("2"), now); d.Refused != RefusedBusy {
		t.Errorf("a busy target answered %+v", d)
	}
	settled := movable("2")
	settled.HasAlternatives = false
	if d := g.Admit(settled, now); d.Waiter == nil {
		t.Errorf("the request that was sent on could not come back to wait: %+v", d)
	}
	g.Done(movable("1"), time.Millisecond, false, now)
	g.Done(settled, time.Millisecond, false, now)
	g.ApplySlowdown(500, now)
	if d := g.Admit(movable("3"), now); d.Refused != RefusedSlow {
		t.Errorf("a slow target answered %+v", d)
	}
}

// A target works five times slower for a moment: what has nowhere else to go
// waits for the end of it, but not for the end of a long slowdown.
func TestSlowSpellIsWaitedOut(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		speed int
		wait  bool
	}{
		"the spell ends":     {50 * time.Millisecond, 100, false},
		"the spell goes on":  {50 * time.Millisecond, 500, true},
		"a long slowdown":    {slowPeriodHold, 500, false},
		"slower still later": {slowPeriodHold, 900, false},
	} {
		g := newTestGate(4)
		g.ApplySlowdown(500, start)
		d := g.Admit(newRequest("1", start), start)
		if d.Waiter == nil {
			t.Fatalf("%s: the request did not wait: %+v", name, d)
		}
		now := start.Add(test.after)
		g.ApplySlowdown(test.speed, now)
		if waits := len(d.Waiter.Result) == 0; waits != test.wait {
			t.Errorf("%s: waits: %v, want %v", name, waits, test.wait)
		}
	}
}

// In a burst the queue keeps only what will be done in time, with something to
// spare for runs that take longer than the mean.
func TestQueueKeepsOnlyWhatEndsInTime(t *testing.T) {
	g := New(Settings{QueueShare: 10, RetryBudget: RetryBudget{Ratio: 1, Slack: 10, Window: time.Second}, DedupWindow: time.Second})
	now := time.Now()
	g.ApplyReport(Report{Instance: "i", Service: "s", Slots: 1, StartedMillis: 1}, now)
	work := func(id string, aim time.Duration) Request {
		return Request{ID: id, Kind: "k", Due: now.Add(aim), Deadline: now.Add(time.Minute)}
	}
	const run = 100 * time.Millisecond
	g.Admit(work("1", time.Second), now)
	g.Done(work("1", time.Second), run, false, now)
	g.Admit(work("2", time.Second), now)
	if d := g.Admit(work("3", 2*run+run/10), now); d.Refused != RefusedFull {
		t.Errorf("a request that would start too late for most runs got %+v", d)
	}
	if d := g.Admit(work("4", 2*run+run/2), now); d.Waiter == nil {
		t.Errorf("a request with time to spare was refused: %+v", d)
	}
}

// Most targets of a service refuse part of their requests though their slots are
// free: that shows as failures, so that those which don't are chosen.
func TestTargetThatShedsCountsAsFailing(t *testing.T) {
	g := newTestGate(4)
	for i := range 20 {
		w := newRequest(fmt.Sprint(i), start)
		g.Admit(w, start)
		if i%2 == 0 {
			g.Shed(w, start)
		} else {
			g.Done(w, time.Millisecond, false, start)
		}
	}
	state := g.State(start)
	if state.FailureRate < 0.3 || state.Running != 0 {
		t.Errorf("a target that sheds half of its requests: %+v", state)
	}
	once := newRequest("once", start)
	once.NonIdempotent = true
	g.Admit(once, start)
	g.Shed(once, start)
	if d := g.Admit(once, start); !d.Admitted() {
		t.Errorf("a request that was shed and has not run may not come again: %+v", d)
	}
}
