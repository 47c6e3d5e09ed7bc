package admission

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenatrestle/internal/testseed"
	"verbenatrestle/request/balance"
)

// Many goroutines use a guard and a balancing table at once, under the race
// detector. Never do more run than the slots, and in the end nothing does.
func TestConcurrentUse(t *testing.T) {
	g := newGuard(t, "gradient")
	announce := Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}
	g.Announce(announce, start)
	policy, err := balance.New(balance.DefaultPolicy)
	if err != nil {
		t.Fatal(err)
	}
	table := balance.NewTable(policy, balance.Locality{})
	endpoints := []balance.Endpoint{{Node: "n0", State: g.Sample(start).State, Slots: slots, ColdLimit: coldLimit}}
	table.SetEndpoints(service, endpoints)
	var running atomic.Int64
	var all sync.WaitGroup
	for i := range 8 {
		rng := rand.New(rand.NewPCG(uint64(testseed.Seed()), uint64(i)))
		all.Go(func() {
			for step := range 2000 {
				now := start.Add(time.Duration(step) * time.Millisecond)
				node, ok := table.Pick(service, nil, now, rng)
				if !ok {
					continue
				}
				table.Begin(service, node, now)
				ticket, refusal := g.Admit(Request{Caller: alpine}, now)
				if refusal == nil {
					if n := running.Add(1); n > slots {
						t.Errorf("%d run at %d slots", n, slots)
					}
					running.Add(-1)
					g.Done(ticket, Result{Kind: ResultKind(rng.IntN(2))}, now)
				}
				table.Observe(service, node, g.Sample(now), now)
				table.End(service, node, now, balance.Result{Kind: balance.ResultKind(rng.IntN(2))})
				if step%100 == 0 {
					g.Announce(announce, now)
					table.SetEndpoints(service, endpoints)
					table.Snapshot(now)
				}
			}
		})
	}
	all.Wait()
	if !g.Idle() {
		t.Error("the guard still counts what has ended")
	}
}
