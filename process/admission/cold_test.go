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

// coldTarget is a model of a target that turns cold at any time. It bears its
// cold limit then, and one more for every two rounds of answers to what it has
// started since, or sixteen if that is more. It sheds what
// it doesn't bear, and only then says that it is cold, if at all.
type coldTarget struct {
	guard    *Controller
	node     string
	running  []coldRun
	bears    int
	answered int
	coldAt   time.Time
	// says tells that it names itself cold when it sheds.
	says bool
	// silent tells that nothing has told the guard of the last cold turn.
	silent bool
}

type coldRun struct {
	ticket Permit
	ends   time.Time
}

func (c *coldTarget) turnCold(now time.Time) {
	c.coldAt = now
	c.bears = coldLimit
	c.answered = 0
	c.silent = true
}

// end ends what has run its time.
func (c *coldTarget) end(now time.Time) {
	kept := c.running[:0]
	for _, r := range c.running {
		if r.ends.After(now) {
			kept = append(kept, r)
			continue
		}
		c.guard.Done(r.ticket, Result{Kind: Answered}, now)
		if r.ticket.AdmittedAt.Before(c.coldAt) {
			continue
		}
		c.answered++
		if c.answered >= max(2*c.bears, 16) && c.bears < slots {
			c.bears++
			c.answered = 0
		}
	}
	c.running = kept
}

// receive runs an admitted request, or sheds it. It returns whether the
// target was given more than it bears although the guard could know.
func (c *coldTarget) receive(ticket Permit, now time.Time) (overrun bool) {
	if len(c.running) < c.bears {
		c.running = append(c.running, coldRun{ticket: ticket, ends: now.Add(workTime)})
		return false
	}
	overrun = !c.silent
	c.silent = false
	c.guard.Done(ticket, Result{Kind: Shed, Cold: c.says}, now)
	return overrun
}

// Promise 2: several nodes pick cold targets at once, by reports that lag and
// mislead. After the first sign of cold, a target never gets more than it bears.
func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
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
					lie := load.State(rng.IntN(3))
					c.guard.Report(Report{State: lie, Slots: 100}, now)
				}
			}
			table := tables[rng.IntN(len(tables))]
			node, ok := table.Pick(service, nil, now, rng)
			if !ok {
				continue
			}
			c := targets[node]
			ticket, refusal := c.guard.Admit(Request{Caller: alpine}, now)
			if refusal == nil && c.receive(ticket, now) {
				t.Fatalf("step %d: %s got more than the %d that it bears", step, node, c.bears)
			}
			if rng.IntN(3) == 0 { // the others' knowledge lags
				table.Observe(service, node, c.guard.Sample(now), now)
			}
		}
	})
}

func newWarmTargets(t rapid.TB, adaptive string) map[string]*coldTarget {
	targets := make(map[string]*coldTarget)
	for i := range 2 {
		c := &coldTarget{guard: newGuard(t, adaptive), node: fmt.Sprintf("n%d", i), says: i == 0}
		c.guard.Announce(Target{Instance: c.node, Slots: slots, ColdLimit: coldLimit}, start)
		warmUp(t, c.guard, start)
		c.bears = slots
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

// warmUp runs rounds of full use until the target is warm.
func warmUp(t rapid.TB, g *Controller, now time.Time) time.Time {
	t.Helper()
	for range 1000 {
		if g.Sample(now).State == load.Warm {
			return now
		}
		now = round(g, now, workTime, Result{Kind: Answered})
	}
	t.Fatal("the target does not get warm")
	return now
}

// round fills the target and ends all of it after a while.
func round(g *Controller, now time.Time, took time.Duration, result Result) time.Time {
	var tickets []Permit
	for {
		ticket, refusal := g.Admit(Request{Caller: alpine}, now)
		if refusal != nil {
			break
		}
		tickets = append(tickets, ticket)
	}
	now = now.Add(took)
	for _, ticket := range tickets {
		g.Done(ticket, result, now)
	}
	return now
}

func TestEverySignOfColdLowersTheLimitAtOnce(t *testing.T) {
	signs := map[string]func(g *Controller, now time.Time) time.Time{
		"new instance": func(g *Controller, now time.Time) time.Time {
			g.Announce(Target{Instance: "b", Slots: slots, ColdLimit: coldLimit}, now)
			return now
		},
		"answer of a new instance": func(g *Controller, now time.Time) time.Time {
			ticket, _ := g.Admit(Request{}, now)
			g.Done(ticket, Result{Kind: Answered, Instance: "b"}, now)
			return now
		},
		"cold answer": func(g *Controller, now time.Time) time.Time {
			ticket, _ := g.Admit(Request{}, now)
			g.Done(ticket, Result{Kind: Answered, Cold: true}, now)
			return now
		},
		"request shed": func(g *Controller, now time.Time) time.Time {
			ticket, _ := g.Admit(Request{}, now)
			g.Done(ticket, Result{Kind: Shed}, now)
			return now
		},
		"own report": func(g *Controller, now time.Time) time.Time {
			g.Report(Report{State: load.Cold}, now)
			return now
		},
		"return from out": func(g *Controller, now time.Time) time.Time {
			g.SetOutOfService(true, now)
			g.SetOutOfService(false, now)
			return now
		},
		"return after loss": func(g *Controller, now time.Time) time.Time {
			g.TargetLost(false, now)
			g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, now)
			return now
		},
		"sudden latency": func(g *Controller, now time.Time) time.Time {
			return round(g, now, 8*workTime, Result{Kind: Answered})
		},
	}
	for name, sign := range signs {
		g := newGuard(t, "fixed")
		g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
		now := warmUp(t, g, start)
		if got := g.Sample(now); got.Limit != slots {
			t.Fatalf("warm limit %d, want %d", got.Limit, slots)
		}
		now = sign(g, now)
		want := load.Cold
		if name == "sudden latency" { // no more than a suspicion
			want = load.Warm
		}
		if got := g.Sample(now); got.Limit != coldLimit || got.State != want {
			t.Errorf("%s: limit %d, state %v; want %d, %v", name, got.Limit, got.State, coldLimit, want)
		}
	}
}

// A target that is slower for good is not suspected for good.
func TestLastingChangeBecomesUsual(t *testing.T) {
	g := newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	now := warmUp(t, g, start)
	for range 100 {
		now = round(g, now, 8*workTime, Result{Kind: Answered})
	}
	if got := g.Sample(now).Limit; got != slots {
		t.Errorf("limit %d after 100 rounds at the new latency, want %d", got, slots)
	}
}

// steadyFlow admits a request each millisecond, which takes workTime. It
// returns what still runs. If it hangs, nothing ends.
func steadyFlow(g *Controller, running []Permit, now time.Time, steps int, hangs bool) ([]Permit, time.Time) {
	for range steps {
		now = now.Add(time.Millisecond)
		for !hangs && len(running) > 0 && now.Sub(running[0].AdmittedAt) >= workTime {
			g.Done(running[0], Result{Kind: Answered}, now)
			running = running[1:]
		}
		if ticket, refusal := g.Admit(Request{}, now); refusal == nil {
			running = append(running, ticket)
		}
	}
	return running, now
}

// A target that hangs gets no more than its cold limit before it has answered
// a single request late, and twice what it runs soon after it is back.
func TestHangIsSeenBeforeAnyAnswer(t *testing.T) {
	g := newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	running, now := steadyFlow(g, nil, warmUp(t, g, start), 500, false)
	running, now = steadyFlow(g, running, now, 35, true)
	if got := g.Sample(now); got.Limit != coldLimit || got.State != load.Warm {
		t.Errorf("limit %d, state %v while all hangs; want %d, warm", got.Limit, got.State, coldLimit)
	}
	_, now = steadyFlow(g, running, now, 100, false)
	const inUse = int(workTime / time.Millisecond)
	if got := g.Sample(now).Limit; got < 2*inUse {
		t.Errorf("limit %d after the hang, want at least %d", got, 2*inUse)
	}
}

// Work whose latencies are far apart is no sign of a hang, however the long
// requests come together.
func TestMixedLatenciesAreNoHang(t *testing.T) {
	g := newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	rng := rand.New(rand.NewPCG(uint64(testseed.Seed()), 5))
	now, low := warmUp(t, g, start), 0
	var running []coldRun
	const looks = 20_000
	for range looks {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Millisecond)))
		kept := running[:0]
		for _, r := range running {
			if r.ends.After(now) {
				kept = append(kept, r)
				continue
			}
			g.Done(r.ticket, Result{Kind: Answered}, r.ends)
		}
		running = kept
		if ticket, refusal := g.Admit(Request{}, now); refusal == nil {
			mean := 2 * time.Millisecond
			if rng.IntN(20) == 0 {
				mean = 100 * time.Millisecond
			}
			took := time.Duration(rng.ExpFloat64() * float64(mean))
			running = append(running, coldRun{ticket: ticket, ends: now.Add(took)})
		}
		if g.Sample(now).Limit < slots {
			low++
		}
	}
	if low > looks/20 {
		t.Errorf("the limit is low %d of %d times", low, looks)
	}
}

// Suspicion by latency grows back with every answer at the usual latency; a
// cold target that is slow as well is not taken for a suspicion.
func TestGrowthAfterSuspicionIsQuick(t *testing.T) {
	g := newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	now := warmUp(t, g, start)
	now = round(g, now, 8*workTime, Result{Kind: Answered})
	now = round(g, now, workTime, Result{Kind: Answered})
	if got := g.Sample(now).Limit; got != 2*coldLimit {
		t.Errorf("limit %d after a round at the usual latency, want %d", got, 2*coldLimit)
	}

	g = newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	now = warmUp(t, g, start)
	now = round(g, now, workTime, Result{Kind: Answered, Cold: true})
	for range slowStreak {
		ticket, _ := g.Admit(Request{}, now)
		now = now.Add(8 * workTime)
		g.Done(ticket, Result{Kind: Answered}, now)
	}
	now = round(g, now, workTime, Result{Kind: Answered})
	if got := g.Sample(now).Limit; got > coldLimit+1 {
		t.Errorf("limit %d of a cold target after a round, want at most %d", got, coldLimit+1)
	}
}

func TestReportsNeverRaise(t *testing.T) {
	g := newGuard(t, "fixed")
	g.Announce(Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}, start)
	g.Report(Report{State: load.Warm, Slots: 500}, start)
	if got := g.Sample(start); got.Limit != coldLimit || got.State != load.Cold {
		t.Errorf("a report raised the limit: %+v", got)
	}
	now := warmUp(t, g, start)
	g.Report(Report{State: load.Warm, Slots: 3}, now)
	if got := g.Sample(now).Limit; got != 3 {
		t.Errorf("limit %d at 3 reported slots", got)
	}
	if got := g.Sample(now.Add(reportLife)).Limit; got != slots {
		t.Errorf("limit %d once the report is old, want %d", got, slots)
	}
}
