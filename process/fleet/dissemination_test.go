package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedFleet runs the tables of all nodes of a fleet in virtual time. A datagram
// arrives after latency, or gets lost.
type simulatedFleet struct {
	tables []*Table
	status []Status
	index  map[string]int
	alive  []bool
	tick   int
	now    time.Time
	rng    *rand.Rand
	// loss is the share of the datagrams that get lost. Separated, if set, reports
	// whether no datagram passes between two nodes.
	loss      float64
	separated func(a, b int) bool
	// fetches is set if a node that learns of a configuration has to fetch its text.
	fetches bool
	// datagrams counts what was sent.
	datagrams  int
	recipients []Recipient
}

const simulatedLatency = 2 * time.Millisecond

// newSimulatedFleet returns a fleet whose nodes have just listed each other.
func newSimulatedFleet(size int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		tables: make([]*Table, size), status: unevenServices.statuses(size), index: make(map[string]int),
		alive: make([]bool, size), now: start, rng: rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range f.tables {
		f.index[f.status[i].Node] = i
		f.restart(i)
	}
	return f
}

// restart replaces the table of a node, which then knows the others from a list.
func (f *simulatedFleet) restart(i int) {
	f.alive[i] = true
	f.tables[i] = newTestTable()
	f.status[i].Incarnation += 1 << 32
	f.status[i].Sequence = 0
	for j := range f.status {
		if j != i {
			s := &f.status[j]
			f.tables[i].AddDiscovered(Discovered{Node: s.Node, DataCentre: s.DataCentre, Service: s.Service, DatagramAddress: s.Node}, f.now)
		}
	}
	f.tables[i].SelectHeartbeatPeers(selfOf(&f.status[i]), f.now)
}

// deliver sends a message of a node to its recipients.
func (f *simulatedFleet) deliver(i int, recipients []Recipient) {
	s := f.status[i]
	for _, r := range recipients {
		f.datagrams++
		j := f.index[r.DatagramAddress]
		if !f.alive[j] || f.rng.Float64() < f.loss || f.separated != nil && f.separated(i, j) {
			continue
		}
		at := f.now.Add(simulatedLatency)
		if !r.FullStatus {
			f.tables[j].MergeHeartbeat(Heartbeat{Incarnation: s.Incarnation, Sequence: s.Sequence, EchoMillis: r.EchoMillis, Wanted: r.Wanted}, at)
			continue
		}
		s.EchoMillis, s.Wanted = r.EchoMillis, r.Wanted
		f.tables[j].Merge(s, s.Node, at)
		if !f.fetches && s.ConfigNumber > f.status[j].ConfigNumber {
			f.status[j].ConfigNumber = s.ConfigNumber
			f.send(j, OnChange)
		}
	}
}

// send sends what the node owes its peers on the occasion.
func (f *simulatedFleet) send(i int, occasion Occasion) {
	s := &f.status[i]
	s.Sequence++
	f.recipients = f.tables[i].Recipients(f.recipients[:0], occasion, time.Second, f.now)
	if slices.ContainsFunc(f.recipients, func(r Recipient) bool { return r.FullStatus }) {
		s.Watchers = f.tables[i].WatcherMarks(s.Node, s.ReachesStore, 5, f.now)
	}
	f.deliver(i, slices.Clone(f.recipients))
}

// run lets virtual time pass.
func (f *simulatedFleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.tick++ {
		f.now = f.now.Add(250 * time.Millisecond)
		for i := range f.tables {
			if !f.alive[i] {
				continue
			}
			if f.tick%4 == 0 {
				f.tables[i].SelectHeartbeatPeers(selfOf(&f.status[i]), f.now)
			}
			f.send(i, OnInterval)
		}
	}
}

// behind counts the running nodes that don't have a configuration.
func (f *simulatedFleet) behind(number uint64) int {
	count := 0
	for i := range f.status {
		if f.alive[i] && f.status[i].ConfigNumber < number {
			count++
		}
	}
	return count
}

// change activates a configuration at one node, which informs its peers.
func (f *simulatedFleet) change(i int, number uint64) {
	f.status[i].ConfigNumber = number
	f.send(i, OnChange)
}

// watchers returns the active watchers, by the opinion of each running node of itself.
func (f *simulatedFleet) watchers() []string {
	var active []string
	for i := range f.tables {
		if f.alive[i] && f.status[i].ReachesStore && f.tables[i].StoreWatchRole(f.status[i].Node, true, 5, f.now).Active {
			active = append(active, f.status[i].Node)
		}
	}
	return active
}

// fleetSizes returns the sizes of the users' large fleet and, without the race
// detector, of the planned one.
func fleetSizes() []int {
	if raceDetector {
		return []int{295}
	}
	return []int{295, 1343}
}

// A new configuration must reach all nodes within the time in which it has to be
// active, through peers that lose datagrams, although each node informs only its
// heartbeat peers. In each case a share of the nodes restarted just before.
func TestConfigurationReachesAllNodes(t *testing.T) {
	sizes := map[int][]float64{295: {0, 0.1}}
	if !raceDetector {
		sizes[1343] = []float64{0.1}
	}
	for size, losses := range sizes {
		for _, loss := range losses {
			t.Run(fmt.Sprintf("%d nodes, loss %v", size, loss), func(t *testing.T) {
				f := newSimulatedFleet(size, 1)
				f.run(500 * time.Millisecond)
				f.loss = loss
				for i := range size / 10 {
					f.restart(i * 7 % size)
				}
				before := f.datagrams
				f.change(size/2, 7)
				f.run(time.Second)
				if behind := f.behind(7); behind > 0 {
					t.Errorf("%d nodes have not received it after a second", behind)
				}
				if perNode := float64(f.datagrams-before) / float64(size); perNode > 500 {
					t.Errorf("%v datagrams a node in this second", perNode)
				}
			})
		}
	}
}

// Data centres are separated from each other while configurations change. When the
// partition ends, all nodes must get the newest one.
func TestConfigurationCrossesEndedPartition(t *testing.T) {
	f := newSimulatedFleet(150, 2)
	f.run(time.Second)
	f.separated = func(a, b int) bool { return (f.status[a].DataCentre == "dc-0") != (f.status[b].DataCentre == "dc-0") }
	f.change(1, 3)
	f.run(12 * time.Second)
	for i := range f.status {
		if has := f.status[i].ConfigNumber == 3; has == (f.status[i].DataCentre == "dc-0") {
			t.Fatalf("node %d in %s: configuration %d", i, f.status[i].DataCentre, f.status[i].ConfigNumber)
		}
	}
	f.separated = nil
	f.run(2 * time.Second)
	if behind := f.behind(3); behind > 0 {
		t.Fatalf("%d nodes have not received it two seconds after the partition", behind)
	}
}

// All nodes must agree on the few that watch the store, also after these were lost or
// can't reach it any more, and while datagrams get lost.
func TestLargeFleetAgreesOnWatchers(t *testing.T) {
	for _, size := range []int{120, 295} {
		f := newSimulatedFleet(size, 3)
		f.loss = 0.03
		for i := range f.status {
			f.status[i].ReachesStore = true
		}
		f.run(3 * time.Second)
		first := f.watchers()
		if len(first) != 5 {
			t.Fatalf("%d nodes: %d watchers at the start", size, len(first))
		}
		for k, name := range first {
			if k < 3 {
				f.alive[f.index[name]] = false
			} else {
				f.status[f.index[name]].ReachesStore = false
				f.send(f.index[name], OnChange)
			}
		}
		f.run(4 * time.Second)
		second := f.watchers()
		if len(second) != 5 {
			t.Errorf("%d nodes: %d watchers after the loss of all", size, len(second))
		}
		for _, name := range second {
			if slices.Contains(first, name) {
				t.Errorf("%d nodes: %s still watches", size, name)
			}
		}
		for i := range f.tables {
			if role := f.tables[i].StoreWatchRole(f.status[i].Node, true, 5, f.now); f.alive[i] && role.Watchers != 5 {
				t.Errorf("%d nodes: node %d shares the polls among %d", size, i, role.Watchers)
			}
		}
	}
}

// While no node reaches the store, all try: the first five at short intervals, and the
// others together about as often as the active watchers.
func TestAllNodesTryWhileNoneReachesTheStore(t *testing.T) {
	f := newSimulatedFleet(295, 4)
	f.run(2 * time.Second)
	probing := 0
	for i := range f.tables {
		role := f.tables[i].StoreWatchRole(f.status[i].Node, false, 5, f.now)
		mean, _ := role.pollInterval(f.tables[i].NodeCount(f.now))
		want := time.Duration(0)
		if role.Probing {
			probing++
		} else {
			want = 280 * lostPollInterval
		}
		if role.Active || role.Watchers != 0 || mean < want || mean > max(want, probeInterval)*11/10 {
			t.Fatalf("node %d: %+v polls every %v", i, role, mean)
		}
	}
	if probing != 5 {
		t.Fatalf("%d nodes are probing", probing)
	}
}
