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

// What a candidate is preferred for, by pattern of load: each pair names the
// better one first.
func TestPreferences(t *testing.T) {
	free := func(*fleet.Candidate) {}
	for name, pair := range map[string][2]func(*fleet.Candidate){
		"less loaded":                     {free, func(c *fleet.Candidate) { c.Running = 4 }},
		"fast, though half full":          {func(c *fleet.Candidate) { c.Running = 9 }, func(c *fleet.Candidate) { c.Slowdown = 500 }},
		"full, when the other is slow":    {func(c *fleet.Candidate) { c.Running = 18 }, func(c *fleet.Candidate) { c.Slowdown = 500 }},
		"slow, when the fast one queues":  {func(c *fleet.Candidate) { c.Slowdown = 500 }, func(c *fleet.Candidate) { c.Running, c.Waiting = 18, 36 }},
		"warm":                            {func(c *fleet.Candidate) { c.Running = 12 }, func(c *fleet.Candidate) { c.ColdRemaining = time.Second }},
		"own data centre":                 {func(c *fleet.Candidate) { c.Running = 2 }, func(c *fleet.Candidate) { c.DataCentre = "there" }},
		"other data centre, when crowded": {func(c *fleet.Candidate) { c.DataCentre = "there" }, func(c *fleet.Candidate) { c.Running = 15 }},
		"one that fails seldom":           {func(c *fleet.Candidate) { c.Running = 12 }, func(c *fleet.Candidate) { c.FailurePercent = 40 }},
		"one that was heard lately":       {func(c *fleet.Candidate) { c.Running = 5 }, func(c *fleet.Candidate) { c.LoadAge = time.Second }},
		"one that is told of often":       {func(c *fleet.Candidate) { c.Running = 5 }, func(c *fleet.Candidate) { c.StatusOnly = true }},
		"own requests on their way count": {func(c *fleet.Candidate) { c.Running = 2 }, func(c *fleet.Candidate) { c.InFlight = 6 }},
	} {
		better, worse := candidate("better", pair[0]), candidate("worse", pair[1])
		rng := rand.New(rand.NewPCG(1, 1))
		if at := Choose([]fleet.Candidate{worse, better}, nil, Locality{DataCentre: "here"}, rng); at != 1 {
			t.Errorf("%s: %v against %v", name, Cost(&better, Locality{DataCentre: "here"}), Cost(&worse, Locality{DataCentre: "here"}))
		}
	}
}

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

// Many nodes that choose by the same old figures: the one target that was told
// idle must not get all that they send until they hear of it again.
func TestTargetLastToldIdleIsNotOverrun(t *testing.T) {
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
		asker := Locality{DataCentre: []string{"here", "there", "yonder"}[node%3]}
		if Choose(candidates, nil, asker, rng) == 0 {
			idle++
		}
	}
	// Its fair part is one in 29; a few times that makes use of what is known.
	if idle < nodes/29 || idle > 8*nodes/29 {
		t.Errorf("%d of %d nodes chose the target that was told idle", idle, nodes)
	}
}

// All but a few targets of a service refuse most of what they get: the few are
// found though a choice compares a handful only.
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
			t.Fatalf("seed %d: chose %d, which fails", seed, at)
		}
	}
	good := []string{"0", "8", "16"}
	if at := Choose(candidates, good, Locality{DataCentre: "here"}, rand.New(rand.NewPCG(1, 1))); at < 0 {
		t.Error("the failing ones are not tried when the good ones were")
	}
}
