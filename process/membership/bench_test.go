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

// Rates of the target size, for the whole fleet.
const (
	configurationEvery = 36 * time.Second  // 2,400 changes a day
	restartEvery       = 550 * time.Second // 156 restarts a day
	gossipBudget       = 8 << 10           // bytes a second and node, both directions
)

// traffic is what a node sent and received, on average and at most.
type traffic struct {
	bytes, messages, most float64
}

// measure counts what crosses the nodes' links while run lasts.
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
		sum.most = max(sum.most, float64(n.bytes)/seconds)
	}
	return sum
}

// configure floods a configuration version and puts it in force on every node.
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

// ordinary lets a part of an ordinary day pass at the target's rates: every
// node of the fleet counts as one of 1,300.
func (f *fleet) ordinary(d time.Duration) {
	version := uint64(1000)
	for at := time.Duration(0); at < d; at += configurationEvery {
		version++
		f.after(at, func() { f.configure(version) })
	}
	every := restartEvery * 1300 / time.Duration(len(f.nodes))
	for at := time.Duration(f.rng.Int64N(int64(every))); at < d; at += every {
		f.after(at, func() {
			n := f.nodes[f.rng.IntN(len(f.nodes))]
			f.kill(n)
			f.after(10*time.Second, func() { f.start(n) })
		})
	}
	f.runFor(d)
}

// until lets time pass in steps until done, at most limit.
func (f *fleet) until(step, limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for !done() && f.now.Sub(begin) < limit {
		f.runFor(step)
	}
	return f.now.Sub(begin)
}

// changeKnown returns how long an urgent change takes to reach every table.
func (f *fleet) changeKnown() time.Duration {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	sequence := n.table.Self().Sequence + 1
	f.send(n, n.table.UpdateSelf(f.now, func(m *Member) { m.Target = load.Draining + load.Warm - m.Target }))
	return f.until(time.Millisecond, time.Minute, func() bool {
		return !slices.ContainsFunc(f.nodes, func(other *fleetNode) bool {
			m, _ := other.table.Lookup(n.member.Node)
			return other.alive && m.Sequence < sequence
		})
	})
}

// deathKnown returns how long it takes until a node that fails is dead in every
// table. A frozen node's links stay open until the peers notice.
func (f *fleet) deathKnown(fail func(*fleetNode)) time.Duration {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	fail(n)
	alive := len(f.nodes) - 1
	took := f.until(50*time.Millisecond, 2*time.Minute, func() bool { return knownBy(f, n.member.Node, Dead) == alive })
	n.alive = false
	f.start(n)
	f.runFor(30 * time.Second)
	return took
}

// versionsKnown returns how long it takes until every table knows that a new
// version is in force on every node.
func (f *fleet) versionsKnown() time.Duration {
	const version = 1 << 20
	f.configure(version)
	return f.until(time.Second, 10*time.Minute, func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool {
			return slices.ContainsFunc(n.table.Members(), func(m Member) bool { return m.ConfigVersion != version })
		})
	})
}

// part returns the nodes for which in is true.
func (f *fleet) part(in func(i int) bool) []*fleetNode {
	var nodes []*fleetNode
	for i, n := range f.nodes {
		if in(i) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// median and the greatest of some durations, in seconds.
func median(d []time.Duration) (p50, most float64) {
	slices.Sort(d)
	return d[len(d)/2].Seconds(), d[len(d)-1].Seconds()
}

// repeat collects the durations of n runs.
func repeat(n int, run func() time.Duration) []time.Duration {
	var all []time.Duration
	for range n {
		all = append(all, run())
	}
	return all
}

var fleetSizes = []int{13, 52, 208, 1300}

// TestFleetBudget holds the gossip of an ordinary day to its bytes, and to
// bytes that don't grow with the fleet.
func TestFleetBudget(t *testing.T) {
	var smaller float64
	for _, n := range fleetSizes[:3] {
		f := newFleet(n, uint64(n), Options{})
		f.startAll(30 * time.Second)
		got := f.measure(func() { f.ordinary(3 * time.Minute) })
		t.Logf("%d nodes: %.0f bytes/s, %.1f messages/s a node", n, got.bytes, got.messages)
		if got.most > gossipBudget {
			t.Errorf("%d nodes: a node has %.0f bytes/s", n, got.most)
		}
		if n >= 208 && got.bytes > 1.5*smaller {
			t.Errorf("%d nodes: %.0f bytes/s a node, a quarter of the nodes had %.0f", n, got.bytes, smaller)
		}
		smaller = got.bytes
	}
}

// BenchmarkTable measures one table of 1,300 members: its memory, and the time
// for one node's heartbeats of a second, which are 4 sent and 4 answered.
func BenchmarkTable(b *testing.B) {
	codec := wire.NewCodec()
	Register(codec)
	f := newFleet(1300, 1, Options{})
	before := heapBytes()
	table := NewTable(f.nodes[0].member, Options{}, f.rng)
	for _, n := range f.nodes[1:] {
		// Decoded, so that the table shares no strings with the fleet.
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
	beat := &Heartbeat{Digest: table.digest()}
	b.ResetTimer()
	for range b.N {
		f.now = f.now.Add(2 * time.Second)
		for _, e := range table.Tick(f.now) {
			if _, err := codec.Encode(e.Message); err != nil {
				b.Fatal(err)
			}
			ack := *beat
			ack.Ack = true
			table.Handle(f.now, e.To, &ack)
			for _, answer := range table.Handle(f.now, e.To, beat) {
				_, _ = codec.Encode(answer.Message)
			}
		}
	}
	b.ReportMetric(float64(used)/1024, "table-KiB")
	runtime.KeepAlive(table)
}

// heapBytes returns the bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

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

func benchOrdinary(b *testing.B, n int) {
	f := newFleet(n, uint64(n), Options{})
	f.startAll(4 * time.Minute)
	quiet := f.measure(func() { f.runFor(time.Minute) })
	b.ReportMetric(quiet.bytes, "quiet-B/s/node")
	day := f.measure(func() { f.ordinary(5 * time.Minute) })
	b.ReportMetric(day.bytes, "B/s/node")
	b.ReportMetric(day.most, "most-B/s/node")
	b.ReportMetric(day.messages, "messages/s/node")
	f.runFor(time.Minute)
	b.ReportMetric(f.versionsKnown().Seconds(), "versions-s")
	p50, most := median(repeat(9, func() time.Duration {
		f.runFor(3 * time.Second)
		return f.changeKnown()
	}))
	b.ReportMetric(p50, "change-p50-s")
	b.ReportMetric(most, "change-max-s")
	p50, most = median(repeat(5, func() time.Duration { return f.deathKnown(f.kill) }))
	b.ReportMetric(p50, "killed-p50-s")
	b.ReportMetric(most, "killed-max-s")
	p50, most = median(repeat(5, func() time.Duration { return f.deathKnown(f.freeze) }))
	b.ReportMetric(p50, "frozen-p50-s")
	b.ReportMetric(most, "frozen-max-s")
}

// converge lets time pass until all tables are right; it returns the time.
func (f *fleet) converge(b *testing.B, limit time.Duration) float64 {
	took, d := f.settle(limit)
	if d != "" {
		b.Fatalf("after %s: %s", took, d)
	}
	return took.Seconds()
}

// benchDataCentre loses a data centre at once, and has it return at once after
// five minutes.
func benchDataCentre(b *testing.B, n int) {
	f := newFleet(n, uint64(n), Options{})
	f.startAll(30 * time.Second)
	lost := f.part(func(i int) bool { return i%4 == 0 })
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
	b.ReportMetric(back.most, "back-most-B/s")
}

// benchRegions cuts the two regions apart for an hour, and heals the cut.
func benchRegions(b *testing.B, n int) {
	f := newFleet(n, uint64(n), Options{})
	f.startAll(30 * time.Second)
	f.cut = func(x, y *fleetNode) bool { return x.index%4/2 != y.index%4/2 }
	cut := f.measure(func() { f.runFor(2 * time.Minute) })
	b.ReportMetric(cut.bytes, "cut-B/s/node")
	f.runFor(58 * time.Minute)
	f.cut = func(x, y *fleetNode) bool { return false }
	var seconds float64
	healed := f.measure(func() { seconds = f.converge(b, 20*time.Minute) })
	b.ReportMetric(seconds, "heal-s")
	b.ReportMetric(healed.bytes*seconds/1024, "heal-KiB/node")
	b.ReportMetric(healed.most, "heal-most-B/s")
}
