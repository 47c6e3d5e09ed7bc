package membership

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"verbenatrestle/connection/load"
	"verbenatrestle/connection/wire"
)

// Rates of change of a fleet of 1,300 nodes, and the limit on the gossip of one
// of its nodes.
const (
	configurationInterval   = 36 * time.Second  // 2,400 changes a day
	restartInterval         = 550 * time.Second // 156 restarts a day
	maxGossipBytesPerSecond = 8 << 10           // per node, sent and received
)

// traffic is what a node sends and receives per second. bytes and messages are
// the average over all nodes, maxBytes is that of the busiest node.
type traffic struct {
	bytes, messages, maxBytes float64
}

// measure returns the traffic on the nodes' links during run.
func (f *fleet) measure(run func()) traffic {
	f.codec = wire.NewCodec()
	Register(f.codec)
	for _, n := range f.nodes {
		n.messages, n.bytes = 0, 0
	}
	begin := f.now
	run()
	f.codec = nil
	seconds := f.now.Sub(begin).Seconds()
	var sum traffic
	for _, n := range f.nodes {
		sum.bytes += float64(n.bytes) / seconds / float64(len(f.nodes))
		sum.messages += float64(n.messages) / seconds / float64(len(f.nodes))
		sum.maxBytes = max(sum.maxBytes, float64(n.bytes)/seconds)
	}
	return sum
}

// configure floods a configuration version and activates it on every node
// within a second.
func (f *fleet) configure(version uint64) {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	f.send(n, n.table.Flood(f.now, TopicConfiguration, []byte("version 1234567")))
	for _, other := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if other.alive {
				f.send(other, other.table.UpdateSelf(f.now, func(m *Member) { m.ConfigVersion = version }))
			}
		})
	}
}

// runOrdinaryLoad simulates a part of an ordinary day. Configuration changes
// come at the rate of a fleet of 1,300 nodes, and restarts at the same rate per
// node.
func (f *fleet) runOrdinaryLoad(d time.Duration) {
	version := uint64(1000)
	for at := time.Duration(0); at < d; at += configurationInterval {
		version++
		f.after(at, func() { f.configure(version) })
	}
	interval := restartInterval * 1300 / time.Duration(len(f.nodes))
	for at := time.Duration(f.rng.Int64N(int64(interval))); at < d; at += interval {
		f.after(at, func() {
			n := f.nodes[f.rng.IntN(len(f.nodes))]
			f.kill(n)
			f.after(10*time.Second, func() { f.start(n) })
		})
	}
	f.runFor(d)
}

// runUntil advances virtual time in steps until done returns true or limit is
// reached, and returns the time that passed.
func (f *fleet) runUntil(step, limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for !done() && f.now.Sub(begin) < limit {
		f.runFor(step)
	}
	return f.now.Sub(begin)
}

// changePropagationTime returns how long an urgent change takes to reach every
// table.
func (f *fleet) changePropagationTime() time.Duration {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	sequence := n.table.Self().Sequence + 1
	f.send(n, n.table.UpdateSelf(f.now, func(m *Member) { m.Target = load.Draining + load.Warm - m.Target }))
	return f.runUntil(time.Millisecond, time.Minute, func() bool {
		return !slices.ContainsFunc(f.nodes, func(other *fleetNode) bool {
			m, _ := other.table.Lookup(n.member.Node)
			return other.alive && m.Sequence < sequence
		})
	})
}

// deathDetectionTime returns how long it takes until a node on which fail was
// called is dead in every table. The node is started again afterwards.
func (f *fleet) deathDetectionTime(fail func(*fleetNode)) time.Duration {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	fail(n)
	alive := len(f.nodes) - 1
	took := f.runUntil(50*time.Millisecond, 2*time.Minute, func() bool { return countStatus(f, n.member.Node, Dead) == alive })
	n.alive = false
	f.start(n)
	f.runFor(30 * time.Second)
	return took
}

// versionPropagationTime returns how long it takes until every table shows that
// a new configuration version is active on every node.
func (f *fleet) versionPropagationTime() time.Duration {
	const version = 1 << 20
	f.configure(version)
	return f.runUntil(time.Second, 10*time.Minute, func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool {
			return slices.ContainsFunc(n.table.Members(), func(m Member) bool { return m.ConfigVersion != version })
		})
	})
}

// selectNodes returns the nodes for whose index in returns true.
func (f *fleet) selectNodes(in func(i int) bool) []*fleetNode {
	var nodes []*fleetNode
	for i, n := range f.nodes {
		if in(i) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// medianAndMax returns the median and the maximum of durations, in seconds. It
// sorts d.
func medianAndMax(d []time.Duration) (p50, longest float64) {
	slices.Sort(d)
	return d[len(d)/2].Seconds(), d[len(d)-1].Seconds()
}

// repeat returns the results of n runs.
func repeat(n int, run func() time.Duration) []time.Duration {
	var all []time.Duration
	for range n {
		all = append(all, run())
	}
	return all
}

var fleetSizes = []int{13, 52, 208, 1300}

// TestFleetBudget checks that no node exceeds the limit on its gossip on an
// ordinary day, and that the gossip per node doesn't grow with the fleet.
func TestFleetBudget(t *testing.T) {
	var smaller float64
	for _, n := range fleetSizes[:3] {
		f := newFleet(n, uint64(n), Options{})
		f.startAll(30 * time.Second)
		got := f.measure(func() { f.runOrdinaryLoad(3 * time.Minute) })
		t.Logf("%d nodes: %.0f bytes/s and %.1f messages/s per node", n, got.bytes, got.messages)
		if got.maxBytes > maxGossipBytesPerSecond {
			t.Errorf("%d nodes: the busiest node has %.0f bytes/s, want at most %d", n, got.maxBytes, maxGossipBytesPerSecond)
		}
		if n >= 208 && got.bytes > 1.5*smaller {
			t.Errorf("%d nodes: %.0f bytes/s per node, want at most 1.5 times the %.0f of a quarter of the nodes", n, got.bytes, smaller)
		}
		smaller = got.bytes
	}
}

// BenchmarkTable measures the memory of a table of 1,300 members, and the time
// that a node needs for the heartbeats of one second: 4 that it sends, with
// their answers, and 4 that it receives and answers.
func BenchmarkTable(b *testing.B) {
	codec := wire.NewCodec()
	Register(codec)
	f := newFleet(1300, 1, Options{})
	before := heapBytes()
	table := NewTable(f.nodes[0].member, Options{}, f.rng)
	for _, n := range f.nodes[1:] {
		// Records are encoded and decoded, so that the table shares no strings
		// with the fleet and its memory is counted completely.
		data, err := codec.Encode(&Gossip{Updates: Updates{Records: []Member{n.member}}})
		if err != nil {
			b.Fatal(err)
		}
		message, err := codec.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		table.Handle(f.now, n.member.Node, message)
	}
	used := heapBytes() - before
	heartbeat := &Heartbeat{Digest: table.digest()}
	b.ResetTimer()
	for range b.N {
		f.now = f.now.Add(2 * time.Second)
		for _, e := range table.Tick(f.now) {
			if _, err := codec.Encode(e.Message); err != nil {
				b.Fatal(err)
			}
			ack := *heartbeat
			ack.Ack = true
			table.Handle(f.now, e.To, &ack)
			for _, answer := range table.Handle(f.now, e.To, heartbeat) {
				_, _ = codec.Encode(answer.Message)
			}
		}
	}
	b.ReportMetric(float64(used)/1024, "table-KiB")
	runtime.KeepAlive(table)
}

// heapBytes returns the number of bytes in use on the heap after a garbage
// collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFleet measures simulated fleets of different sizes: ordinary
// operation, the loss of a data centre, and a network partition between
// regions.
func BenchmarkFleet(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("ordinary/%d", n), func(b *testing.B) {
			for range b.N {
				benchOrdinary(b, n)
			}
		})
		b.Run(fmt.Sprintf("datacentre/%d", n), func(b *testing.B) {
			for range b.N {
				benchDataCentre(b, n)
			}
		})
		b.Run(fmt.Sprintf("regions/%d", n), func(b *testing.B) {
			for range b.N {
				benchRegions(b, n)
			}
		})
	}
}

// benchOrdinary measures the traffic without changes and on an ordinary day,
// and how long changes, deaths and configuration versions take to reach all
// tables.
func benchOrdinary(b *testing.B, n int) {
	f := newFleet(n, uint64(n), Options{})
	f.startAll(4 * time.Minute)
	quiet := f.measure(func() { f.runFor(time.Minute) })
	b.ReportMetric(quiet.bytes, "quiet-B/s/node")
	day := f.measure(func() { f.runOrdinaryLoad(5 * time.Minute) })
	b.ReportMetric(day.bytes, "B/s/node")
	b.ReportMetric(day.maxBytes, "most-B/s/node")
	b.ReportMetric(day.messages, "messages/s/node")
	f.runFor(time.Minute)
	b.ReportMetric(f.versionPropagationTime().Seconds(), "versions-s")
	p50, longest := medianAndMax(repeat(9, func() time.Duration {
		f.runFor(3 * time.Second)
		return f.changePropagationTime()
	}))
	b.ReportMetric(p50, "change-p50-s")
	b.ReportMetric(longest, "change-max-s")
	p50, longest = medianAndMax(repeat(5, func() time.Duration { return f.deathDetectionTime(f.kill) }))
	b.ReportMetric(p50, "killed-p50-s")
	b.ReportMetric(longest, "killed-max-s")
	p50, longest = medianAndMax(repeat(5, func() time.Duration { return f.deathDetectionTime(f.freeze) }))
	b.ReportMetric(p50, "frozen-p50-s")
	b.ReportMetric(longest, "frozen-max-s")
}

// converge advances virtual time until all tables agree with the nodes' state,
// and returns the seconds that passed. The benchmark fails when limit is
// reached.
func (f *fleet) converge(b *testing.B, limit time.Duration) float64 {
	took, d := f.awaitAgreement(limit)
	if d != "" {
		b.Fatalf("after %s: %s", took, d)
	}
	return took.Seconds()
}

// benchDataCentre kills all nodes of one of four data centres at once, and
// starts them again at once five minutes after the other tables agree.
func benchDataCentre(b *testing.B, n int) {
	f := newFleet(n, uint64(n), Options{})
	f.startAll(30 * time.Second)
	lost := f.selectNodes(func(i int) bool { return i%4 == 0 })
	var seconds float64
	out := f.measure(func() {
		for _, node := range lost {
			f.kill(node)
		}
		seconds = f.converge(b, 10*time.Minute)
	})
	b.ReportMetric(seconds, "lost-s")
	b.ReportMetric(out.bytes*seconds/1024, "lost-KiB/node")
	f.runFor(5 * time.Minute)
	back := f.measure(func() {
		for _, node := range lost {
			f.start(node)
		}
		seconds = f.converge(b, 10*time.Minute)
	})
	b.ReportMetric(seconds, "back-s")
	b.ReportMetric(back.bytes*seconds/1024, "back-KiB/node")
	b.ReportMetric(back.maxBytes, "back-most-B/s")
}

// benchRegions separates the two regions by a network partition for an hour,
// and measures how long the tables take to agree afterwards.
func benchRegions(b *testing.B, n int) {
	f := newFleet(n, uint64(n), Options{})
	f.startAll(30 * time.Second)
	f.partitioned = func(x, y *fleetNode) bool { return x.index%4/2 != y.index%4/2 }
	cut := f.measure(func() { f.runFor(2 * time.Minute) })
	b.ReportMetric(cut.bytes, "cut-B/s/node")
	f.runFor(58 * time.Minute)
	f.partitioned = func(x, y *fleetNode) bool { return false }
	var seconds float64
	healed := f.measure(func() { seconds = f.converge(b, 20*time.Minute) })
	b.ReportMetric(seconds, "heal-s")
	b.ReportMetric(healed.bytes*seconds/1024, "heal-KiB/node")
	b.ReportMetric(healed.maxBytes, "heal-most-B/s")
}
