package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A kind of request that comes from one service only counts as nested calls. One that
// comes from all services in equal parts must not, since it is sent by callers.
func TestKindSentByOneServiceIsNestedCall(t *testing.T) {
	c := make(callerCounts)
	for i := range 400 {
		service := fmt.Sprintf("s%d", i%4)
		if c.observe("callers", service) {
			t.Fatalf("after %d requests of all services the kind counts as nested calls", i)
		}
		nested := c.observe("calls", "s1")
		if i >= minCalls && !nested {
			t.Fatalf("after %d requests of one service the kind does not count as nested calls", i)
		}
	}
}

// Long runs fill a target that also receives nested calls. The nested calls still
// get a slot at once, since a refused one fails the run that waits for it.
func TestNestedCallsGetSlotsBesideLongRuns(t *testing.T) {
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
		t.Fatalf("%d long runs at 18 slots, want 15", running)
	}
	w := newRequest("call", start)
	w.Kind, w.Caller = "call", "parents"
	if d := g.Admit(w, start); d.Waiter == nil && !d.Admitted() {
		t.Fatalf("a nested call is refused: %s", d.Refused)
	}
	if running := g.State(start).Running; running != 16 {
		t.Fatal("a nested call waits behind long runs")
	}
}

// Load rises until all slots are in use. The limit of a target is lowered if it
// then slows down so much that its throughput falls. It is not lowered if runs only
// wait longer for nested calls. The run times are random, so some targets may be
// classified wrongly.
func TestLimitIsLoweredIfFullTargetSlowsDown(t *testing.T) {
	const targets, maxWrong = 100, 5
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
			if wrong > maxWrong {
				t.Fatalf("%d of %d targets are classified wrongly", wrong, targets)
			}
		})
	}
}

// A burst is over in seconds, so a target that slows down has to be detected within
// 400 runs in most cases.
func TestSlowdownWhenFullIsDetectedWithinBurst(t *testing.T) {
	const targets, maxLate = 100, 20
	late := 0
	for seed := range uint64(targets) {
		if limitAfterLoad(rand.New(rand.NewPCG(seed, 2)), 1.7, 400) != 14 {
			late++
		}
	}
	if late > maxLate {
		t.Fatalf("not detected at %d of %d targets", late, targets)
	}
}

// limitAfterLoad returns the limit of a gate after runs at random load. The runs
// take longer by factor while more than 14 of 18 slots are in use.
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

// A target accepts connections and closes them during each request. After the
// second one in a row it is marked down until a health check succeeds. A single
// lost answer among good ones does not mark it down.
func TestRepeatedlyLostConnectionsMarkTargetDown(t *testing.T) {
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
	g.ApplyHealthCheck("i-1", 0, start, start)
	if !g.Admit(newRequest("f", start), start).Admitted() {
		t.Fatal("still refused after a successful health check")
	}
}

// A target fails part of its requests although its health checks succeed. The state
// carries the failure rate, which decays so that the target is tried again.
func TestFailureRate(t *testing.T) {
	g := newTestGate(18)
	for i := range 60 {
		g.Admit(newRequest("a", start), start)
		g.Done(newRequest("a", start), time.Millisecond, i%2 == 0, start)
	}
	if share := g.State(start).FailureRate; share < 0.3 || share > 0.7 {
		t.Fatalf("failure rate %v of a target that fails half of its runs", share)
	}
	if share := g.State(start.Add(20 * time.Second)).FailureRate; share > 0.05 {
		t.Fatalf("failure rate %v after 20 s without a run", share)
	}
}

// The load of a target that its sender knows may be out of date. A request with
// alternatives therefore neither waits at a busy target nor starts at a slow one.
func TestRequestWithAlternativesIsDeclinedAtOnce(t *testing.T) {
	g := New(Settings{QueueShare: 1, RetryBudget: RetryBudget{Ratio: 1, Slack: 10, Window: time.Second}, DedupWindow: time.Second})
	now := time.Now()
	g.ApplyReport(Report{Instance: "i", Service: "s", Slots: 1, StartedMillis: 1}, now)
	withAlternatives := func(id string) Request {
		return Request{ID: id, Kind: "k", NonIdempotent: true, HasAlternatives: true, Due: now.Add(time.Second), Deadline: now.Add(time.Second)}
	}
	if d := g.Admit(withAlternatives("1"), now); !d.Admitted() {
		t.Fatalf("a free target refused a request with alternatives: %v", d.Refused)
	}
	if d := g.Admit(withAlternatives("2"), now); d.Refused != RefusedBusy {
		t.Errorf("a busy target answered %+v", d)
	}
	withoutAlternatives := withAlternatives("2")
	withoutAlternatives.HasAlternatives = false
	if d := g.Admit(withoutAlternatives, now); d.Waiter == nil {
		t.Errorf("the request did not wait after it had no alternatives left: %+v", d)
	}
	g.Done(withAlternatives("1"), time.Millisecond, false, now)
	g.Done(withoutAlternatives, time.Millisecond, false, now)
	g.ApplySlowdown(500, now)
	if d := g.Admit(withAlternatives("3"), now); d.Refused != RefusedSlow {
		t.Errorf("a slow target answered %+v", d)
	}
}

// A target works five times slower for a short time. A request without
// alternatives waits for the end of a slow period, but not of a long slowdown.
func TestRequestWaitsForEndOfSlowPeriod(t *testing.T) {
	for name, test := range map[string]struct {
		after    time.Duration
		slowdown int
		wait     bool
	}{
		"the period ends":    {50 * time.Millisecond, 100, false},
		"the period goes on": {50 * time.Millisecond, 500, true},
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
		g.ApplySlowdown(test.slowdown, now)
		if waits := len(d.Waiter.Result) == 0; waits != test.wait {
			t.Errorf("%s: waits: %v, want %v", name, waits, test.wait)
		}
	}
}

// In a burst the queue keeps only requests that will end in time, with a margin for
// runs that take longer than the mean.
func TestQueueKeepsOnlyRequestsThatEndInTime(t *testing.T) {
	g := New(Settings{QueueShare: 10, RetryBudget: RetryBudget{Ratio: 1, Slack: 10, Window: time.Second}, DedupWindow: time.Second})
	now := time.Now()
	g.ApplyReport(Report{Instance: "i", Service: "s", Slots: 1, StartedMillis: 1}, now)
	newRequest := func(id string, objective time.Duration) Request {
		return Request{ID: id, Kind: "k", Due: now.Add(objective), Deadline: now.Add(time.Minute)}
	}
	const run = 100 * time.Millisecond
	g.Admit(newRequest("1", time.Second), now)
	g.Done(newRequest("1", time.Second), run, false, now)
	g.Admit(newRequest("2", time.Second), now)
	if d := g.Admit(newRequest("3", 2*run+run/10), now); d.Refused != RefusedFull {
		t.Errorf("a request that would start too late for most runs got %+v", d)
	}
	if d := g.Admit(newRequest("4", 2*run+run/2), now); d.Waiter == nil {
		t.Errorf("a request with time to spare was refused: %+v", d)
	}
}

// Some targets refuse part of their requests although they have free slots. That
// counts as failures, so that other targets are preferred.
func TestRefusalsByTargetCountAsFailures(t *testing.T) {
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
		t.Errorf("state of a target that sheds half of its requests: %+v", state)
	}
	once := newRequest("once", start)
	once.NonIdempotent = true
	g.Admit(once, start)
	g.Shed(once, start)
	if d := g.Admit(once, start); !d.Admitted() {
		t.Errorf("a request that was shed and has not run is not admitted again: %+v", d)
	}
}
