package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/wire"
)

// fleet simulates many tables that exchange messages over a network in virtual
// time.
type fleet struct {
	now              time.Time
	rng              *rand.Rand
	queue            eventQueue
	eventOrder       uint64
	nodes            []*fleetNode
	byName           map[string]*fleetNode
	codec            *wire.Codec // nil if bytes aren't counted
	partitioned      func(a, b *fleetNode) bool
	lossRate         float64       // share of messages lost
	duplicateRate    float64       // share of messages delivered twice
	jitter           time.Duration // latency is fleetLatency..fleetLatency+jitter
	pendingLinkDowns map[[2]string]bool
	options          Options
	// reseedInterval is the time between two reads of the members from the
	// platform by a node; 0 means that a node reads them only when it starts.
	reseedInterval time.Duration
}

type fleetNode struct {
	index   int
	member  Member
	table   *Table
	starts  int // number of processes started under this name
	alive   bool
	left    bool
	frozen  bool
	pending []func()
	// messages and bytes count both directions.
	messages, bytes int
	rumours         int
}

const (
	fleetTick     = 250 * time.Millisecond
	fleetLatency  = 2 * time.Millisecond
	linkTimeout   = 3 * time.Second
	frameOverhead = 8 // WebSocket header and mask
)

type fleetEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// newFleet returns n nodes in four data centres of two regions. The nodes
// aren't started.
func newFleet(n int, seed uint64, options Options) *fleet {
	f := &fleet{
		now:              time.Unix(1_800_000_000, 0),
		rng:              rand.New(rand.NewPCG(seed, 1)),
		byName:           map[string]*fleetNode{},
		partitioned:      func(a, b *fleetNode) bool { return false },
		jitter:           time.Millisecond,
		pendingLinkDowns: map[[2]string]bool{},
		options:          options,
	}
	for i := range n {
		address := fmt.Sprintf("10.%d.%d.%d", 1+i%4, i/250, i%250)
		node := &fleetNode{index: i, member: Member{
			Node:         fmt.Sprintf("n%04d", i),
			DataCentre:   fmt.Sprintf("kochi-%c", 'a'+i%4),
			Region:       []string{"kerala-south", "kerala-north"}[i%4/2],
			PeerAddress:  address + ":7002",
			HopAddress:   address + ":7001",
			AdminAddress: address + ":7003",
			Service:      fmt.Sprintf("organisation-%d/service-%d", i%15, i%120),
			Target:       load.Warm,
			Instance:     fmt.Sprintf("%016x", i),
			Slots:        20,
			ColdLimit:    2,
		}}
		f.nodes = append(f.nodes, node)
		f.byName[node.member.Node] = node
	}
	return f
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.eventOrder++
	heap.Push(&f.queue, fleetEvent{at: f.now.Add(delay), order: f.eventOrder, run: run})
}

// runFor advances virtual time by d and runs the events that are due.
func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// start starts a process of a node, whose table is seeded with all members that
// were ever started, as the platform lists them.
func (f *fleet) start(n *fleetNode) {
	n.starts++
	n.alive, n.left, n.frozen, n.pending = true, false, false, nil
	n.member.Incarnation = uint64(f.now.UnixNano()) + uint64(n.starts)
	n.table = NewTable(n.member, f.options, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	n.table.SubscribeRumours(TopicConfiguration, func(time.Time, Rumour) { n.rumours++ })
	var seeds []Member
	for _, other := range f.nodes {
		if other != n && other.starts > 0 {
			seeds = append(seeds, other.member)
		}
	}
	f.send(n, n.table.Seed(f.now, seeds))
	f.scheduleTick(n, n.starts, time.Duration(f.rng.Int64N(int64(fleetTick))))
	if f.reseedInterval > 0 {
		f.scheduleReseed(n, n.starts)
	}
}

// scheduleReseed schedules regular reads of the members from the platform by a
// process. The platform lists only running nodes then, because the objects of
// others were deleted.
func (f *fleet) scheduleReseed(n *fleetNode, starts int) {
	f.after(f.reseedInterval, func() {
		if !n.alive || n.starts != starts {
			return
		}
		var seeds []Member
		for _, other := range f.nodes {
			if other != n && other.alive && !other.left {
				seeds = append(seeds, other.member)
			}
		}
		if !n.frozen {
			f.send(n, n.table.Seed(f.now, seeds))
		}
		f.scheduleReseed(n, starts)
	})
}

func (f *fleet) scheduleTick(n *fleetNode, starts int, delay time.Duration) {
	f.after(delay, func() {
		if !n.alive || n.starts != starts {
			return
		}
		if !n.frozen {
			f.send(n, n.table.Tick(f.now))
		}
		f.scheduleTick(n, starts, fleetTick)
	})
}

// kill ends a process without notice. The links of the nodes that have it as a
// neighbour break.
func (f *fleet) kill(n *fleetNode) {
	n.alive = false
	for _, other := range f.nodes {
		if other.alive && other != n && slices.Contains(other.table.Neighbours(), n.member.Node) {
			f.scheduleLinkDown(other, n.member.Node, fleetLatency)
		}
	}
}

// leave announces that a node leaves, and ends its process 500 ms later.
func (f *fleet) leave(n *fleetNode) {
	f.send(n, n.table.Leave(f.now))
	n.left = true
	starts := n.starts
	f.after(500*time.Millisecond, func() {
		if n.starts == starts && n.alive {
			f.kill(n)
		}
	})
}

// freeze pauses a process. Its links stay open, and messages to it are kept
// until thaw.
func (f *fleet) freeze(n *fleetNode) { n.frozen = true }

// thaw resumes a frozen process. It runs Tick and detects that its peers closed
// the links before it processes the pending messages.
func (f *fleet) thaw(n *fleetNode) {
	n.frozen = false
	pending := n.pending
	n.pending = nil
	f.send(n, n.table.Tick(f.now))
	for _, peer := range n.table.Neighbours() {
		f.send(n, n.table.LinkDown(f.now, peer))
	}
	for _, run := range pending {
		run()
	}
}

func (f *fleet) scheduleLinkDown(n *fleetNode, peer string, delay time.Duration) {
	key := [2]string{n.member.Node, peer}
	if f.pendingLinkDowns[key] {
		return
	}
	f.pendingLinkDowns[key] = true
	starts := n.starts
	f.after(delay, func() {
		delete(f.pendingLinkDowns, key)
		if n.alive && n.starts == starts && !n.frozen {
			f.send(n, n.table.LinkDown(f.now, peer))
		}
	})
}

// send sends a node's messages over the simulated network.
func (f *fleet) send(from *fleetNode, envelopes []wire.Envelope) {
	for _, e := range envelopes {
		size := 0
		if f.codec != nil {
			data, err := f.codec.Encode(e.Message)
			if err != nil {
				panic(err)
			}
			size = len(data) + frameOverhead
		}
		from.messages++
		from.bytes += size
		f.deliver(from, f.byName[e.To], e.Message, size)
	}
}

func (f *fleet) deliver(from, to *fleetNode, message any, size int) {
	switch {
	case f.partitioned(from, to) || f.partitioned(to, from):
		f.scheduleLinkDown(from, to.member.Node, linkTimeout)
		return
	case !to.alive:
		f.scheduleLinkDown(from, to.member.Node, fleetLatency)
		return
	case f.rng.Float64() < f.lossRate:
		return
	}
	copies := 1
	if f.rng.Float64() < f.duplicateRate {
		copies = 2
	}
	starts := to.starts
	for range copies {
		f.after(fleetLatency+time.Duration(f.rng.Int64N(int64(f.jitter))), func() {
			f.receive(from, to, starts, message, size)
		})
	}
}

func (f *fleet) receive(from, to *fleetNode, starts int, message any, size int) {
	if !to.alive || to.starts != starts {
		return
	}
	if to.frozen {
		to.pending = append(to.pending, func() { f.receive(from, to, starts, message, size) })
		return
	}
	to.messages++
	to.bytes += size
	f.send(to, to.table.Handle(f.now, from.member.Node, message))
}

// startAll starts every node and then advances virtual time by settle.
func (f *fleet) startAll(settle time.Duration) {
	for _, n := range f.nodes {
		n.starts = 1 // the platform has a member object of each node
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.runFor(settle)
}

// disagreement describes a difference between the table of a running node and
// the actual state of the nodes, or returns "".
func (f *fleet) disagreement() string {
	for _, n := range f.nodes {
		if !n.alive || n.left {
			continue
		}
		if d := f.disagreementOf(n); d != "" {
			return "in the table of " + n.member.Node + ": " + d
		}
	}
	return ""
}

// disagreementOf describes a difference in the table of one node, or returns
// "".
func (f *fleet) disagreementOf(n *fleetNode) string {
	for _, other := range f.nodes {
		m, known := n.table.Lookup(other.member.Node)
		if !other.alive || other.left {
			if known && m.Status.Present() {
				return fmt.Sprintf("%s is %s, but no longer runs", other.member.Node, m.Status)
			}
			continue
		}
		truth := other.table.Self()
		truth.ConfigVersion, m.ConfigVersion = 0, 0
		if m != truth {
			return fmt.Sprintf("%+v, want %+v", m, truth)
		}
	}
	return ""
}

// awaitAgreement advances virtual time until the tables agree with the actual
// state of the nodes or limit is reached. It returns the time that passed and
// the remaining disagreement, "" if there is none.
func (f *fleet) awaitAgreement(limit time.Duration) (time.Duration, string) {
	begin := f.now
	for f.now.Sub(begin) < limit {
		if f.disagreement() == "" {
			return f.now.Sub(begin), ""
		}
		f.runFor(500 * time.Millisecond)
	}
	return f.now.Sub(begin), f.disagreement()
}
