package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"verbenatrestle/process/fleet"
)

func candidate(node string, change func(*fleet.Candidate)) fleet.Candidate {
	c := fleet.Candidate{Node: node, DataCentre: "here", Slots: 18, Slowdown: 100}
	change(&c)
	return c
}

// In each pair the first candidate has to be chosen.
func TestPreferences(t *testing.T) {
	free := func(*fleet.Candidate) {}
	for name, pair := range map[string][2]func(*fleet.Candidate){
		"less loaded":                     {free, func(c *fleet.Candidate) { c.Running = 4 }},
		"fast, though half full":          {func(c *fleet.Candidate) { c.Running = 9 }, func(c *fleet.Candidate) { c.Slowdown = 500 }},
		"full, when the other is slow":    {func(c *fleet.Candidate) { c.Running = 18 }, func(c *fleet.Candidate) { c.Slowdown = 500 }},
		"slow, when the fast one queues":  {func(c *fleet.Candidate) { c.Slowdown = 500 }, func(c *fleet.Candidate) { c.Running, c.Waiting = 18, 36 }},
		"warm":                            {func(c *fleet.Candidate) { c.Running = 12 }, func(c *fleet.Candidate) { c.ColdRemaining = time.Second }},
		"own data centre":                 {func(c *fleet.Candidate) { c.Running = 2 }, func(c *fleet.Candidate) { c.DataCentre = "there" }},
		"other data centre, at high load": {func(c *fleet.Candidate) { c.DataCentre = "there" }, func(c *fleet.Candidate) { c.Running = 15 }},
		"one that rarely fails":           {func(c *fleet.Candidate) { c.Running = 12 }, func(c *fleet.Candidate) { c.FailurePercent = 40 }},
		"one with a recent load sample":   {func(c *fleet.Candidate) { c.Running = 5 }, func(c *fleet.Candidate) { c.LoadAge = time.Second }},
		"one that sends heartbeats":       {func(c *fleet.Candidate) { c.Running = 5 }, func(c *fleet.Candidate) { c.StatusOnly = true }},
		"own requests in flight count":    {func(c *fleet.Candidate) { c.Running = 2 }, func(c *fleet.Candidate) { c.InFlight = 6 }},
	} {
		better, worse := candidate("better", pair[0]), candidate("worse", pair[1])
		rng := rand.New(rand.NewPCG(1, 1))
		if at := Choose([]fleet.Candidate{worse, better}, nil, Locality{DataCentre: "here"}, rng); at != 1 {
			t.Errorf("%s: the better candidate costs %v, the other one %v", name, Cost(&better, Locality{DataCentre: "here"}), Cost(&worse, Locality{DataCentre: "here"}))
		}
	}
}

// If all candidates cost the same, each must get its share of the requests.
func TestTiesAreSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, 4)
	candidates := make([]fleet.Candidate, len(counts))
	for i := range candidates {
		candidates[i] = candidate("n", func(*fleet.Candidate) {})
	}
	for range 4000 {
		counts[Choose(candidates, nil, Locality{DataCentre: "here"}, rng)]++
	}
	for i, count := range counts {
		if count < 800 || count > 1200 {
			t.Errorf("candidate %d was chosen %d of 4000 times", i, count)
		}
	}
	if at := Choose(candidates, []string{"n"}, Locality{}, rng); at != -1 {
		t.Errorf("an excluded candidate was chosen: %d", at)
	}
}

// Many nodes choose by the same old load samples. The one target that was reported
// idle must not get all requests until the next samples arrive.
func TestTargetLastReportedIdleIsNotOverloaded(t *testing.T) {
	candidates := make([]fleet.Candidate, 29)
	for i := range candidates {
		candidates[i] = candidate(fmt.Sprint(i), func(c *fleet.Candidate) {
			c.Running = 3
			c.DataCentre = []string{"here", "there", "yonder"}[i%3]
		})
	}
	candidates[0].Running = 0
	const nodes = 3000
	idle := 0
	for node := range nodes {
		rng := rand.New(rand.NewPCG(1, uint64(node)))
		local := Locality{DataCentre: []string{"here", "there", "yonder"}[node%3]}
		if Choose(candidates, nil, local, rng) == 0 {
			idle++
		}
	}
	// Its fair share is one in 29. A few times that is allowed, since it is idle.
	if idle < nodes/29 || idle > 8*nodes/29 {
		t.Errorf("%d of %d nodes chose the target that was reported idle", idle, nodes)
	}
}

// Most targets of a service refuse most of their requests. The few good ones have to
// be found although a choice compares only sampleSize targets.
func TestFewGoodTargetsAreFoundAmongFailingOnes(t *testing.T) {
	candidates := make([]fleet.Candidate, 23)
	for i := range candidates {
		candidates[i] = candidate(fmt.Sprint(i), func(c *fleet.Candidate) {
			c.FailurePercent = 60
			if i%8 == 0 {
				c.FailurePercent, c.DataCentre = 0, "there"
			}
		})
	}
	for seed := range uint64(200) {
		if at := Choose(candidates, nil, Locality{DataCentre: "here"}, rand.New(rand.NewPCG(seed, 1))); at%8 != 0 {
			t.Fatalf("seed %d: chose target %d, which fails", seed, at)
		}
	}
	good := []string{"0", "8", "16"}
	if at := Choose(candidates, good, Locality{DataCentre: "here"}, rand.New(rand.NewPCG(1, 1))); at < 0 {
		t.Error("the failing targets are not tried after the good ones")
	}
}
