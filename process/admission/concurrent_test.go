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

// TestConcurrentUse uses a controller and a balancing table from many
// goroutines, for the race detector. It checks that never more requests run
// than the target has slots, and that none is counted as in flight at the end.
func TestConcurrentUse(t *testing.T) {
	c := newController(t, "gradient")
	announce := Target{Instance: "a", Slots: slots, ColdLimit: coldLimit}
	c.Announce(announce, start)
	policy, err := balance.New(balance.DefaultPolicy)
	if err != nil {
		t.Fatal(err)
	}
	table := balance.NewTable(policy, balance.Locality{})
	endpoints := []balance.Endpoint{{Node: "n0", State: c.Sample(start).State, Slots: slots, ColdLimit: coldLimit}}
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
				permit, refusal := c.Admit(Request{Caller: alpine}, now)
				if refusal == nil {
					if n := running.Add(1); n > slots {
						t.Errorf("%d run at %d slots", n, slots)
					}
					running.Add(-1)
					c.Done(permit, Result{Kind: ResultKind(rng.IntN(2))}, now)
				}
				table.Observe(service, node, c.Sample(now), now)
				table.End(service, node, now, balance.Result{Kind: balance.ResultKind(rng.IntN(2))})
				if step%100 == 0 {
					c.Announce(announce, now)
					table.SetEndpoints(service, endpoints)
					table.Snapshot(now)
				}
			}
		})
	}
	all.Wait()
	if !c.Idle() {
		t.Error("the controller still counts requests that have ended")
	}
}
