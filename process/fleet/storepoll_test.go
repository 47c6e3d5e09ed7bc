package fleet

import (
	"fmt"
	"testing"
	"time"
)

const (
	// simulatedStep is the resolution of pollingFleet.
	simulatedStep = 250 * time.Millisecond
	// maxPollGap is the longest time without a poll of the store that leaves a change
	// half of the two seconds that it may take to reach all nodes.
	maxPollGap = time.Second
	// maxOutagePolls and maxReturnPolls bound the polls of the whole fleet in a second,
	// while the store is down and after its return: a fortieth and a tenth of the 2,000
	// reads a second that the store of the smallest fleet bears.
	maxOutagePolls = 50
	maxReturnPolls = 200
)

// pollingFleet runs the poll schedules of all nodes of a simulated fleet.
type pollingFleet struct {
	*simulatedFleet
	schedules []*StorePollSchedule
	// refuses reports whether the store refuses the calls of a node.
	refuses func(i int) bool
	// polls counts the polls at the latest step, and readers those of nodes that then
	// reached the store and were active.
	polls, readers int
}

func newPollingFleet(size int, seed uint64) *pollingFleet {
	f := &pollingFleet{simulatedFleet: newSimulatedFleet(size, seed), schedules: make([]*StorePollSchedule, size), refuses: func(int) bool { return false }}
	f.loss = 0.01
	for i := range f.status {
		f.status[i].ReachesStore = true
	}
	for i := range f.schedules {
		f.schedules[i] = NewStorePollSchedule(f.role(i), f.rng.Float64())
	}
	return f
}

// role returns the role of a node.
func (f *pollingFleet) role(i int) StoreWatchRole {
	s := &f.status[i]
	return f.tables[i].StoreWatchRole(s.Node, s.ReachesStore, 5, f.now)
}

// step lets simulatedStep pass.
func (f *pollingFleet) step() {
	f.run(simulatedStep)
	f.polls, f.readers = 0, 0
	for i := f.tick % 2; i < len(f.schedules); i += 2 { // half of the nodes check their role at each step
		if due, _ := f.schedules[i].Advance(f.role(i), f.tables[i].NodeCount(f.now), 2*simulatedStep); due {
			f.poll(i)
		}
	}
}

// poll polls the store from a node.
func (f *pollingFleet) poll(i int) {
	f.polls++
	reaches := !f.refuses(i)
	changed := reaches != f.status[i].ReachesStore
	f.status[i].ReachesStore = reaches
	role := f.role(i)
	if role.Active {
		f.readers++
	}
	if changed {
		f.send(i, OnChange)
	}
	f.schedules[i] = NewStorePollSchedule(role, f.rng.Float64())
}

// pollStats is what a span of time showed.
type pollStats struct {
	// firstReader is the time until an active node read the store, or the whole span.
	firstReader time.Duration
	// maxGap is the longest time without a poll, and maxPerSecond the largest number of
	// polls in a second.
	maxGap       time.Duration
	maxPerSecond int
}

// observe lets a span pass and returns what it showed.
func (f *pollingFleet) observe(span time.Duration) pollStats {
	stats := pollStats{firstReader: span}
	var gap time.Duration
	var lastSecond []int
	for passed := simulatedStep; passed <= span; passed += simulatedStep {
		f.step()
		gap += simulatedStep
		stats.maxGap = max(stats.maxGap, gap)
		if f.polls > 0 {
			gap = 0
		}
		if f.readers > 0 {
			stats.firstReader = min(stats.firstReader, passed)
		}
		lastSecond = append(lastSecond, f.polls)
		lastSecond = lastSecond[max(0, len(lastSecond)-int(time.Second/simulatedStep)):]
		sum := 0
		for _, polls := range lastSecond {
			sum += polls
		}
		stats.maxPerSecond = max(stats.maxPerSecond, sum)
	}
	return stats
}

// pollingSizes returns the sizes of the users' smallest fleet and those of fleetSizes.
func pollingSizes() []int { return append([]int{13}, fleetSizes()...) }

// After an outage in which all nodes failed within seconds, each waited for a time that
// grew with the fleet, so nobody read the store for seconds after its return, or for
// minutes in a large fleet. At any size and moment of the return a node must read it soon,
// without more calls than the store bears.
func TestStoreIsReadSoonAfterAnOutage(t *testing.T) {
	for _, size := range pollingSizes() {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			t.Parallel()
			f := newPollingFleet(size, 5)
			f.observe(2 * time.Second)
			f.refuses = func(int) bool { return true }
			down := f.observe(5 * time.Second)
			f.refuses = func(int) bool { return false }
			back := f.observe(1500 * time.Millisecond)
			t.Logf("outage: %+v, after it: %+v", down, back)
			if down.maxGap > maxPollGap || down.maxPerSecond > maxOutagePolls {
				t.Errorf("no poll for %v, %d in a second during the outage", down.maxGap, down.maxPerSecond)
			}
			if back.firstReader > maxPollGap || back.maxPerSecond > maxReturnPolls {
				t.Errorf("the store was read %v after its return, %d polls in a second", back.firstReader, back.maxPerSecond)
			}
		})
	}
}

// The store is back, but it turns away the nodes that probe. The others must find it
// within the two seconds in which a change has to be in force and the five by which a
// disturbance of that kind stretches them.
func TestStoreThatTurnsProbingNodesAwayIsFound(t *testing.T) {
	for _, size := range []int{13, 120} {
		f := newPollingFleet(size, 6)
		f.observe(3 * time.Second)
		f.refuses = func(int) bool { return true }
		f.observe(6 * time.Second)
		probing := make(map[int]bool)
		for i := range f.tables {
			probing[i] = f.role(i).Probing
		}
		f.refuses = func(i int) bool { return probing[i] }
		if back := f.observe(7 * time.Second); back.firstReader >= 7*time.Second {
			t.Errorf("%d nodes: nobody read the store within 7 s", size)
		}
	}
}

// A node of a large fleet that lost the store waits for minutes. If the wait went on when
// its role changes, nobody would read the store.
func TestWaitForPollFollowsTheRole(t *testing.T) {
	const nodes = 1343
	lost := StoreWatchRole{}
	for _, role := range []StoreWatchRole{{Probing: true}, {Reaches: true, Active: true, Watchers: 1}} {
		s := NewStorePollSchedule(lost, 0.99)
		if due, remaining := s.Advance(lost, nodes, 10*time.Second); due || remaining < time.Minute {
			t.Fatalf("due: %t, in %v", due, remaining)
		}
		due, remaining := s.Advance(role, nodes, 100*time.Millisecond)
		if !due && remaining > maxPollGap {
			t.Errorf("%+v polls in %v", role, remaining)
		}
	}
}
