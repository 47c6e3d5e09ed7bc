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
	if g.ApplyHealthCheck("i-1", 0, now, now.Add(time.Millisecond)) {
		t.Error("the health check changed something")
	}
	if left := g.State(now).ColdRemaining; left != 0 {
		t.Errorf("cold for %v more, want 0", left)
	}
	if d := g.Admit(requestOf(perSecond), now); !d.Admitted() {
		t.Errorf("refused %q, waits: %t, want admitted", d.Refused, d.Waiter != nil)
	}
}

// A node was killed right after it had sent its cold target all that this tolerates in a second.
// The new process counted from zero and sent as many again within that second. A warm target gets
// requests from a new process at once, and so does a target that started with it: after a loss of
// power targets would get nothing for the first of the few seconds in which they are cold. Which of
// both started first was taken from their times of day, which is wrong after a jump of the clock.
func TestReplacedProcessesStayWithinColdRate(t *testing.T) {
	const interval, coldStart = 2 * time.Millisecond, 4 * time.Second
	for name, test := range map[string]struct {
		starts []time.Duration
		warm   bool
		// together is set if the target started with the last process, after a loss of power.
		together bool
		// ahead is how far the clock was ahead when the target started, and has jumped back since.
		ahead time.Duration
	}{
		"killed":                       {starts: []time.Duration{100 * time.Millisecond}},
		"killed twice within a second": {starts: []time.Duration{100 * time.Millisecond, 500 * time.Millisecond}},
		"killed late in the second":    {starts: []time.Duration{950 * time.Millisecond}},
		"killed, clock jumped back":    {starts: []time.Duration{100 * time.Millisecond}, ahead: 2400 * time.Millisecond},
		"started with the target":      {starts: []time.Duration{100 * time.Millisecond}, together: true},
		"together, clock jumped":       {starts: []time.Duration{100 * time.Millisecond}, together: true, ahead: -2400 * time.Millisecond},
		"beside a warm target":         {starts: []time.Duration{100 * time.Millisecond}, warm: true},
		"killed each half of a second": {starts: []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			newProcess := func() *Gate {
				g := New(Settings{QueueShare: 1, DedupWindow: time.Second, StartedAt: now})
				g.SetColdStart(19, coldStart)
				started := start
				if test.together {
					started = now.Add(-minRestartTime / 2)
				}
				report := Report{
					Instance: "i-1", Service: "s", Slots: 18, Sequence: 1, StartedMillis: started.Add(test.ahead).UnixMilli(),
					ColdRemaining: started.Add(coldStart).Sub(now),
				}
				if test.warm {
					report.ColdRemaining = 0
				}
				g.ApplyReport(report, now)
				g.ApplyHealthCheck("i-1", report.ColdRemaining, now, now)
				return g
			}
			g := newProcess()
			g.settings.StartedAt = time.Time{} // the first one has run for long
			arrivals := window{span: time.Second}
			for i := 0; now.Before(start.Add(3900 * time.Millisecond)); i++ {
				now = now.Add(interval)
				if len(test.starts) > 0 && now.Sub(start) >= test.starts[0] {
					g, test.starts = newProcess(), test.starts[1:]
					if test.together {
						arrivals = window{span: time.Second} // of another process of the target
					}
				}
				switch d := g.Admit(newRequest(fmt.Sprint(i), now), now); {
				case d.Admitted():
					arrivals.add(now)
					g.Done(newRequest("", now), time.Millisecond, false, now)
				case test.warm, test.together && len(test.starts) == 0 && arrivals.count(now) == 0:
					t.Fatalf("refused %q, waits: %t, %v after the start", d.Refused, d.Waiter != nil, now.Sub(start))
				case d.Waiter != nil:
					g.Cancel(d.Waiter)
				}
				if got := arrivals.count(now); got > 19 && !test.warm {
					t.Fatalf("%d requests within a second until %v, want at most 19", got, now.Sub(start))
				}
			}
			if arrivals.count(now) == 0 {
				t.Error("the target gets no requests any more")
			}
		})
	}
}
