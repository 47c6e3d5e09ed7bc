package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenatrestle/connection/load"
	"verbenatrestle/internal/testseed"
	"verbenatrestle/process/admission/limit"
	"verbenatrestle/request/balance"
)

const (
	service   = "kodumala/viewing"
	coldLimit = 2
	slots     = 24
	workTime  = 10 * time.Millisecond
)

// coldTarget is a model of a target that turns cold at any time. It can run as
// many requests as its cold limit then. This capacity grows by one with every
// 2*capacity answers, and at least 16, to requests that it has started since.
// The target sheds requests beyond its capacity. Some targets report then that
// they are cold, and none reports it earlier.
type coldTarget struct {
	controller      *Controller
	node            string
	running         []coldRun
	capacity        int
	capacityAnswers int
	coldAt          time.Time
	// reportsCold is set if the target reports that it is cold when it sheds.
	reportsCold bool
	// undetected is set while nothing has shown the controller that the target
	// has turned cold.
	undetected bool
}

type coldRun struct {
	permit Permit
	endsAt time.Time
}

func (c *coldTarget) turnCold(now time.Time) {
	c.coldAt = now
	c.capacity = coldLimit
	c.capacityAnswers = 0
	c.undetected = true
}

// end answers the requests that have run their time.
func (c *coldTarget) end(now time.Time) {
	kept := c.running[:0]
	for _, r := range c.running {
		if r.endsAt.After(now) {
			kept = append(kept, r)
			continue
		}
		c.controller.Done(r.permit, Result{Kind: Answered}, now)
		if r.permit.AdmittedAt.Before(c.coldAt) {
			continue
		}
		c.capacityAnswers++
		if c.capacityAnswers >= max(2*c.capacity, 16) && c.capacity < slots {
			c.capacity++
			c.capacityAnswers = 0
		}
	}
	c.running = kept
}

// receive runs an admitted request or sheds it. It reports whether the target
// got more than its capacity although an earlier event had shown the controller
// that it is cold.
func (c *coldTarget) receive(permit Permit, now time.Time) (overrun bool) {
	if len(c.running) < c.capacity {
		c.running = append(c.running, coldRun{permit: permit, endsAt: now.Add(workTime)})
		return false
	}
	overrun = !c.undetected
	c.undetected = false
	c.controller.Done(permit, Result{Kind: Shed, Cold: c.reportsCold}, now)
	return overrun
}

// Several nodes send requests to targets that turn cold, and pick them by load
// reports that are late or wrong. After the first sign that a target is cold, it
// never gets more requests than its capacity.
func TestColdTargetStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		targets := newWarmTargets(t, rapid.SampledFrom(limit.Names()).Draw(t, "limit"))
		now = now.Add(time.Hour)
		tables := newTables(t, targets)
		for step := range 2000 {
			now = now.Add(time.Duration(rng.IntN(500)) * time.Microsecond)
			for _, c := range targets {
				c.end(now)
				if rng.IntN(500) == 0 {
					c.turnCold(now)
				}
				if rng.IntN(20) == 0 {
					reported := load.State(rng.IntN(3))
					c.controller.Report(Report{State: reported, Slots: 100}, now)
				}
			}
			table := tables[rng.IntN(len(tables))]
			node, ok := table.Pick(service, nil, now, rng)
			if !ok {
				continue
			}
			c := targets[node]
			permit, refusal := c.controller.Admit(Request{Caller: alpine}, now)
			if refusal == nil && c.receive(permit, now) {
				t.Fatalf("step %d: %s got more requests than its capacity of %d", step, node, c.capacity)
			}
			if rng.IntN(3) == 0 { // the other nodes keep older samples
				table.Observe(service, node, c.controller.Sample(now), now)
			}
		}
	})
}

func newWarmTargets(t rapid.TB, adaptive string) map[string]*coldTarget {
	targets := make(map[string]*coldTarget)
	for i := range 2 {
		c := &coldTarget{controller: newController(t, adaptive), node: fmt.Sprintf("n%d", i), reportsCold: i == 0}
		c.controller.Announce(Target{Instance: c.node, Slots: slots, ColdLimit: coldLimit}, start)
		warmUp(t, c.controller, start)
		c.capacity = slots
		targets[c.node] = c
	}
	return targets
}

func newTables(t *rapid.T, targets map[string]*coldTarget) []*balance.Table {
	var tables []*balance.Table
	for range 3 {
		policy, err := balance.New(balance.DefaultPolicy)
		if err != nil {
			t.Fatal(err)
		}
		table := balance.NewTable(policy, balance.Locality{})
		var endpoints []balance.Endpoint
		for node := range targets {
			endpoints = append(endpoints, balance.Endpoint{Node: node, State: load.Warm, Slots: slots, ColdLimit: coldLimit})
		}
		table.SetEndpoints(service, endpoints)
		tables = append(tables, table)
	}
	return tables
}

// warmUp runs rounds of requests that fill the target until it is warm.
func warmUp(t rapid.TB, c *Controller, now time.Time) time.Time {
	t.Helper()
	for range 1000 {
		if c.Sample(now).State == load.Warm {
			return now
		}
		now = runRound(c, now, workTime, Result{Kind: Answered})
	}
	t.Fatal("the target does not become warm")
	return now
}

// runRound fills the target and ends all requests with the given result after
// the time that they took. It returns the time then.
func runRound(c *Controller, now time.Time, took time.Duration, result Result) time.Time {
	var permits []Permit
	for {
		permit, refusal := c.Admit(Request{Caller: alpine}, now)
		if refusal != nil {
			break
		}
		permits = append(permits, permit)
	}
	now = now.Add(took)
	for _, permit := range permits {
		c.Done(permit, result, now)
	}
	return now
}

func TestEveryColdStartSignLowersLimit(t *testing.T) {
	signs := map[string]func(c *Controller, now time.Time) time.Time{
		"new instance": func(c *Controller, now time.Time) time.Time {
			c.Announce(Target{Instance: "b", Slots: slots, ColdLimit: coldLimit}, now)
			return now
		},
		"answer of a new instance": func(c *Controller, now time.Time) time.Time {
			permit, _ := c.Admit(Request{}, now)
			c.Done(permit, Result{Kind: Answered, Instance: "b"}, now)
			return now
		},
		"cold answer": func(c *Controller, now time.Time) time.Time {
			permit, _ := c.Admit(Request{}, now)
			c.Done(permit, Result{Kind: Answered, Cold: true}, now)
			return now
		},
		"request shed": func(c *Controller, now time.Time) time.Time {
			permit, _ := c.Admit(Request{}, now)
			c.Done(permit, Result{Kind: Shed}, now)
			return now
		},
		"own report": func(c *Controller, now time.Time) time.Time {
			c.Report(Report{State: load.Cold}, now)
			return now
		},
		"return to service": func(c *Controller, now time.Time) time.Time {
			c.SetOutOfService(true, now)
			c.SetOutOfService(false, now)
			return now
		},
		"return after loss": func(c *Controller, now time.Time) time.Time {
			c.TargetLost(false, now)
			c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, now)
			return now
		},
		"sudden latency": func(c *Controller, now time.Time) time.Time {
			return runRound(c, now, 8*workTime, Result{Kind: Answered})
		},
	}
	for name, sign := range signs {
		c := newController(t, "fixed")
		c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
		now := warmUp(t, c, start)
		if got := c.Sample(now); got.Limit != slots {
			t.Fatalf("warm limit %d, want %d", got.Limit, slots)
		}
		now = sign(c, now)
		want := load.Cold
		if name == "sudden latency" { // the target is only suspected
			want = load.Warm
		}
		if got := c.Sample(now); got.Limit != coldLimit || got.State != want {
			t.Errorf("%s: limit %d, state %v; want %d, %v", name, got.Limit, got.State, coldLimit, want)
		}
	}
}

// A target whose latency stays higher is not suspected forever.
func TestPersistentLatencyBecomesUsual(t *testing.T) {
	c := newController(t, "fixed")
	c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	now := warmUp(t, c, start)
	for range 100 {
		now = runRound(c, now, 8*workTime, Result{Kind: Answered})
	}
	if got := c.Sample(now).Limit; got != slots {
		t.Errorf("limit %d after 100 rounds at the new latency, want %d", got, slots)
	}
}

// runSteadyLoad sends a request each millisecond, which takes workTime. If the
// target hangs, no request ends. It returns the permits of the requests that
// are still in flight, and the time.
func runSteadyLoad(c *Controller, running []Permit, now time.Time, steps int, hangs bool) ([]Permit, time.Time) {
	for range steps {
		now = now.Add(time.Millisecond)
		for !hangs && len(running) > 0 && now.Sub(running[0].AdmittedAt) >= workTime {
			c.Done(running[0], Result{Kind: Answered}, now)
			running = running[1:]
		}
		if permit, refusal := c.Admit(Request{}, now); refusal == nil {
			running = append(running, permit)
		}
	}
	return running, now
}

// The limit of a target that hangs drops to its cold limit before any late
// answer arrives. Soon after the hang, the limit is at least twice the usual
// number of requests in flight.
func TestHangIsDetectedBeforeAnyAnswer(t *testing.T) {
	c := newController(t, "fixed")
	c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	running, now := runSteadyLoad(c, nil, warmUp(t, c, start), 500, false)
	running, now = runSteadyLoad(c, running, now, 35, true)
	if got := c.Sample(now); got.Limit != coldLimit || got.State != load.Warm {
		t.Errorf("limit %d, state %v while the target hangs; want %d, warm", got.Limit, got.State, coldLimit)
	}
	_, now = runSteadyLoad(c, running, now, 100, false)
	const inUse = int(workTime / time.Millisecond)
	if got := c.Sample(now).Limit; got < 2*inUse {
		t.Errorf("limit %d after the hang, want at least %d", got, 2*inUse)
	}
}

// Requests whose latencies vary widely are not taken for a hang, even if several
// long ones are in flight at once.
func TestMixedLatenciesAreNoHang(t *testing.T) {
	c := newController(t, "fixed")
	c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	rng := rand.New(rand.NewPCG(uint64(testseed.Seed()), 5))
	now, low := warmUp(t, c, start), 0
	var running []coldRun
	const samples = 20_000
	for range samples {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Millisecond)))
		kept := running[:0]
		for _, r := range running {
			if r.endsAt.After(now) {
				kept = append(kept, r)
				continue
			}
			c.Done(r.permit, Result{Kind: Answered}, r.endsAt)
		}
		running = kept
		if permit, refusal := c.Admit(Request{}, now); refusal == nil {
			mean := 2 * time.Millisecond
			if rng.IntN(20) == 0 {
				mean = 100 * time.Millisecond
			}
			took := time.Duration(rng.ExpFloat64() * float64(mean))
			running = append(running, coldRun{permit: permit, endsAt: now.Add(took)})
		}
		if c.Sample(now).Limit < slots {
			low++
		}
	}
	if low > samples/20 {
		t.Errorf("the limit is below the slots in %d of %d samples", low, samples)
	}
}

// After a suspicion by latency, the limit grows with every answer at the usual
// latency. A target that is known to be cold and slow as well does not recover
// as fast.
func TestLimitGrowsQuicklyAfterSuspicion(t *testing.T) {
	c := newController(t, "fixed")
	c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	now := warmUp(t, c, start)
	now = runRound(c, now, 8*workTime, Result{Kind: Answered})
	now = runRound(c, now, workTime, Result{Kind: Answered})
	if got := c.Sample(now).Limit; got != 2*coldLimit {
		t.Errorf("limit %d after a round at the usual latency, want %d", got, 2*coldLimit)
	}

	c = newController(t, "fixed")
	c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	now = warmUp(t, c, start)
	now = runRound(c, now, workTime, Result{Kind: Answered, Cold: true})
	for range slowStreak {
		permit, _ := c.Admit(Request{}, now)
		now = now.Add(8 * workTime)
		c.Done(permit, Result{Kind: Answered}, now)
	}
	now = runRound(c, now, workTime, Result{Kind: Answered})
	if got := c.Sample(now).Limit; got > coldLimit+1 {
		t.Errorf("limit %d of a cold target after a round, want at most %d", got, coldLimit+1)
	}
}

func TestReportsNeverRaiseLimit(t *testing.T) {
	c := newController(t, "fixed")
	c.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	c.Report(Report{State: load.Warm, Slots: 500}, start)
	if got := c.Sample(start); got.Limit != coldLimit || got.State != load.Cold {
		t.Errorf("a report raised the limit: %+v", got)
	}
	now := warmUp(t, c, start)
	c.Report(Report{State: load.Warm, Slots: 3}, now)
	if got := c.Sample(now).Limit; got != 3 {
		t.Errorf("limit %d at 3 reported slots", got)
	}
	if got := c.Sample(now.Add(reportTTL)).Limit; got != slots {
		t.Errorf("limit %d after the report has expired, want %d", got, slots)
	}
}
