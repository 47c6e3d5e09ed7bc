package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// contentRequest returns a request with the given fingerprint.
func contentRequest(f request.Fingerprint, suspect bool, now time.Time) Request {
	r := newRequest(fmt.Sprint("r", f), now)
	r.Fingerprint, r.Suspect = f, suspect
	return r
}

// fingerprints returns the set of the requests of a crash.
func fingerprints(crash *Crash) map[request.Fingerprint]bool {
	set := make(map[request.Fingerprint]bool)
	if crash != nil {
		for _, r := range crash.InFlight {
			set[r.Fingerprint] = true
		}
	}
	return set
}

// A crash has to implicate the requests still in flight as well as those whose
// connections broke just before, or the one that caused it is missed.
func TestCrashImplicatesRequestsInFlight(t *testing.T) {
	g := newTestGate(4)
	for f := request.Fingerprint(1); f <= 3; f++ {
		if !g.Admit(contentRequest(f, false, start), start).Admitted() {
			t.Fatalf("request %v was not admitted", f)
		}
	}
	g.Done(contentRequest(3, false, start), 10*time.Millisecond, false, start.Add(10*time.Millisecond))
	broken := start.Add(20 * time.Millisecond)
	g.ConnectionLost(contentRequest(1, false, start), broken)
	g.ProcessEnded(broken)
	if got := fingerprints(g.TakeCrash()); len(got) != 2 || !got[1] || !got[2] {
		t.Errorf("the crash implicates %v, want 1 and 2", got)
	}
	g.ProcessEnded(broken)
	if crash := g.TakeCrash(); crash != nil {
		t.Errorf("one process crashed twice: %+v", crash)
	}
}

// Without a refused connection, the report of another process is the first sign of a
// crash.
func TestReportOfAnotherProcessIsACrash(t *testing.T) {
	g := newTestGate(4)
	g.Admit(contentRequest(1, false, start), start)
	g.ApplyReport(Report{Instance: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 4, Sequence: 1, StartedMillis: 2000}, start)
	if got := fingerprints(g.TakeCrash()); !got[1] {
		t.Errorf("the crash implicates %v, want 1", got)
	}
}

// A planned end and connections that break while the target goes on answering must not
// implicate requests.
func TestOnlyCrashesImplicateRequests(t *testing.T) {
	g := newTestGate(4)
	g.Admit(contentRequest(1, false, start), start)
	g.ConnectionLost(contentRequest(1, false, start), start)
	later := start.Add(100 * time.Millisecond)
	g.Admit(contentRequest(2, false, later), later)
	g.Done(contentRequest(2, false, later), 10*time.Millisecond, false, later.Add(10*time.Millisecond))
	g.ProcessEnded(later.Add(20 * time.Millisecond))
	if crash := g.TakeCrash(); crash != nil {
		t.Errorf("a target that had answered since implicates %+v", crash.InFlight)
	}
	g = newTestGate(4)
	g.Admit(contentRequest(1, false, start), start)
	g.ApplyReport(Report{Instance: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 4, Sequence: 2, StartedMillis: 1000, Draining: true}, start)
	g.ProcessEnded(start)
	if crash := g.TakeCrash(); crash != nil {
		t.Errorf("a draining target implicates %+v", crash.InFlight)
	}
}

// A target that gets few requests and answers no health checks is found to have crashed
// only when its next process reports, some seconds later. The request that crashed it
// must not be missed.
func TestCrashFoundSecondsLaterImplicatesRequests(t *testing.T) {
	g := newTestGate(4)
	g.Admit(contentRequest(1, false, start), start)
	g.ConnectionLost(contentRequest(1, false, start), start.Add(50*time.Millisecond))
	later := start.Add(6 * time.Second)
	g.ApplyReport(Report{Instance: "i-2", Service: "s", Address: "10.0.0.1:1", Slots: 4, Sequence: 1, StartedMillis: 4500}, later)
	if got := fingerprints(g.TakeCrash()); !got[1] {
		t.Errorf("the crash implicates %v, want 1", got)
	}
}

// A target may come back under the same instance and crash again before its first
// report. The second crash must be recorded, and be another one than the first.
func TestSecondCrashBeforeTheReportIsRecorded(t *testing.T) {
	g := newTestGate(4)
	var crashes []*Crash
	for i := range 2 {
		at := start.Add(time.Duration(i) * 4 * time.Second)
		if !g.Admit(contentRequest(1, i > 0, at), at).Admitted() {
			t.Fatalf("request %d was not admitted", i+1)
		}
		broken := at.Add(50 * time.Millisecond)
		g.ConnectionLost(contentRequest(1, i > 0, at), broken)
		g.ProcessEnded(broken)
		g.MarkDown(broken)
		crash := g.TakeCrash()
		if !fingerprints(crash)[1] {
			t.Fatalf("crash %d implicates %v, want 1", i+1, fingerprints(crash))
		}
		crashes = append(crashes, crash)
		g.ApplyHealthCheck("i-1", 0, at.Add(3*time.Second), at.Add(3*time.Second))
	}
	if crashes[0].ID("n") == crashes[1].ID("n") {
		t.Errorf("both crashes have the id %+v", crashes[0].ID("n"))
	}
}

// If two suspects ran at a target at once, its crash would not show which of them
// caused it. Other requests must not wait behind a suspect that waits.
func TestOneSuspectRunsAtATime(t *testing.T) {
	g := newTestGate(4)
	if !g.Admit(contentRequest(1, true, start), start).Admitted() {
		t.Fatal("the first suspect was not admitted")
	}
	second := g.Admit(contentRequest(2, true, start), start)
	if second.Waiter == nil {
		t.Fatalf("the second suspect does not wait: %+v", second)
	}
	if !g.Admit(contentRequest(3, false, start), start).Admitted() {
		t.Error("a request waits behind a suspect that waits")
	}
	end := start.Add(20 * time.Millisecond)
	g.Done(contentRequest(1, true, start), 20*time.Millisecond, false, end)
	select {
	case refused := <-second.Waiter.Result:
		if refused != "" {
			t.Errorf("the second suspect was refused: %s", refused)
		}
	default:
		t.Error("the second suspect still waits")
	}
}

// crashFleet simulates targets behind gates that share a quarantine table. The request
// with the fingerprint poisonous crashes each target that runs it.
type crashFleet struct {
	t       *rapid.T
	gates   []*Gate
	running [][]Request
	// restartAt is when the next process of a crashed target reports.
	restartAt []time.Time
	started   int64
	table     *quarantine.Table
	crashes   int
	now       time.Time
}

const poisonous request.Fingerprint = 1

// send sends a request to a gate. It reports whether the request broke the target's
// connections.
func (c *crashFleet) send(at int, f request.Fingerprint, suspect bool) bool {
	verdict, _ := c.table.Check(f, c.now)
	if verdict == quarantine.Quarantined {
		return false
	}
	req := contentRequest(f, suspect || verdict == quarantine.Suspect, c.now)
	decision := c.gates[at].Admit(req, c.now)
	if decision.Waiter != nil {
		c.gates[at].Cancel(decision.Waiter)
	}
	if !decision.Admitted() {
		return false
	}
	c.running[at] = append(c.running[at], req)
	return f == poisonous
}

// crash ends a target. With resend, the requests that it ran are sent to other targets
// before the node finds out.
func (c *crashFleet) crash(at int, resend bool) {
	broken := c.running[at]
	c.running[at] = nil
	c.crashes++
	for _, req := range broken {
		c.gates[at].ConnectionLost(req, c.now)
	}
	again := -1
	for _, req := range broken {
		if !resend || req.Suspect {
			continue
		}
		other := (at + 1 + rapid.IntRange(0, len(c.gates)-2).Draw(c.t, "other")) % len(c.gates)
		if c.send(other, req.Fingerprint, true) {
			again = other
		}
	}
	c.gates[at].ProcessEnded(c.now)
	if crash := c.gates[at].TakeCrash(); crash != nil {
		c.table.RecordCrash(quarantine.CrashID{Node: fmt.Sprint(at), Instance: fmt.Sprint(crash.StartedMillis)}, crash.InFlight, c.now)
	}
	c.gates[at].MarkDown(c.now)
	c.restartAt[at] = c.now.Add(300 * time.Millisecond)
	if again >= 0 {
		c.now = c.now.Add(5 * time.Millisecond)
		c.crash(again, false)
	}
}

// step ends some runs and starts the processes that are due.
func (c *crashFleet) step() {
	for at, g := range c.gates {
		if !c.restartAt[at].IsZero() && !c.now.Before(c.restartAt[at]) {
			c.started++
			c.restartAt[at] = time.Time{}
			g.ApplyReport(Report{Instance: fmt.Sprint("i-", c.started), Service: "s", Address: "10.0.0.1:1", Slots: 6, Sequence: 1, StartedMillis: 1000 + c.started}, c.now)
		}
		for len(c.running[at]) > 0 && rapid.IntRange(0, 2).Draw(c.t, "ends") == 0 {
			req := c.running[at][0]
			c.running[at] = c.running[at][1:]
			g.Done(req, 20*time.Millisecond, false, c.now)
			c.table.RecordCompletion(req.Fingerprint, req.Suspect, c.now)
		}
	}
}

// However the requests are spread, one that crashes each target that runs it may crash
// only two, and none of those that ran beside it may be quarantined.
func TestPoisonousRequestCrashesTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 4
		c := &crashFleet{t: t, restartAt: make([]time.Time, targets), running: make([][]Request, targets), table: quarantine.New(quarantine.DefaultSettings), now: start}
		for range targets {
			c.gates = append(c.gates, newTestGate(6))
		}
		next := poisonous
		for range 120 {
			c.now = c.now.Add(10 * time.Millisecond)
			c.step()
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				next++
				c.send(rapid.IntRange(0, targets-1).Draw(t, "target"), next, false)
			}
			if rapid.IntRange(0, 9).Draw(t, "poison") == 0 {
				if at := rapid.IntRange(0, targets-1).Draw(t, "target"); c.send(at, poisonous, false) {
					c.crash(at, true)
				}
			}
		}
		if c.crashes > 2 {
			t.Fatalf("the request crashed %d targets", c.crashes)
		}
		for f := poisonous + 1; f <= next; f++ {
			if verdict, _ := c.table.Check(f, c.now); verdict == quarantine.Quarantined {
				t.Fatalf("request %v is quarantined", f)
			}
		}
	})
}
