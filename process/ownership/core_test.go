package ownership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/message"
	"verbenatrestle/process/ownership/timing"
)

// soloNode is a core that is the only member of its service, with a platform
// whose calls never fail.
type soloNode struct {
	core    *Core
	now     ClockReading
	version uint64
	value   []byte
}

// newSoloNode returns a node that owns all partitions of its service.
func newSoloNode(t testing.TB, limits Limits, partitions int) *soloNode {
	n := &soloNode{now: ClockReading{Monotonic: time.Hour, Wall: epochStart}}
	core, err := NewCore(CoreOptions{
		Node:        "n0",
		Incarnation: 1,
		Timing:      timing.Defaults(),
		Limits:      limits,
		Random:      rand.New(rand.NewPCG(1, 1)),
		Now:         n.now,
	})
	if err != nil {
		t.Fatal(err)
	}
	n.core = core
	n.configure(ServiceSpec{ID: modelService, Partitions: partitions, ResendWindow: modelWindow})
	core.SetMembers([]Member{{Node: "n0", Incarnation: 1, Services: []string{modelService}, Alive: true, Eligible: true}}, n.now)
	n.advance(t, 10*time.Second)
	return n
}

func (n *soloNode) configure(specs ...ServiceSpec) { n.core.SetServices(specs, n.now) }

// advance advances both clocks and calls Tick periodically.
func (n *soloNode) advance(t testing.TB, d time.Duration) {
	for end := n.now.Monotonic + d; n.now.Monotonic < end; {
		n.now.Monotonic += modelTick
		n.now.Wall = n.now.Wall.Add(modelTick)
		n.execute(t, n.core.Tick(n.now))
	}
}

func (n *soloNode) execute(t testing.TB, out Output) {
	for _, w := range out.Writes {
		n.version++
		n.value = w.Value
		next, err := n.core.HandleWriteResult(WriteResult{ID: w.ID, Service: w.Service, Outcome: Written, Version: n.version}, n.now)
		if err != nil {
			t.Fatal(err)
		}
		n.execute(t, next)
	}
	for _, service := range out.Reads {
		next, err := n.core.HandleReadResult(service, n.version, n.value, false, n.now)
		if err != nil {
			t.Fatal(err)
		}
		n.execute(t, next)
	}
	for _, envelope := range out.Messages {
		next, _ := n.core.Handle("n0", envelope.Message, n.now)
		n.execute(t, next)
	}
}

func (n *soloNode) claim(key string) Decision {
	return n.core.Claim(Request{Service: modelService, Key: key}, n.now)
}

func (n *soloNode) key(i int) string {
	return datedKey(n.now.Wall, uint64(i), uint64(i))
}

// TestReaddedServiceKeepsClaims checks that a service keeps its claims when it is removed
// from the configuration and added again. Without them its keys could be run
// twice, since a first tenure has no fence.
func TestReaddedServiceKeepsClaims(t *testing.T) {
	n := newSoloNode(t, Limits{}, 1)
	key := n.key(1)
	if d := n.claim(key); d.Verdict != Run {
		t.Fatalf("got %v %v", d.Verdict, d.Reason)
	}
	n.configure()
	n.configure(ServiceSpec{ID: modelService, Partitions: 1, ResendWindow: modelWindow})
	n.advance(t, 3*time.Second)
	if d := n.claim(key); d.Verdict != InProgress {
		t.Errorf("got %v %v", d.Verdict, d.Reason)
	}
}

// TestLongerResendWindow checks that a key whose claim has expired is not run again
// after the resend window becomes longer.
func TestLongerResendWindow(t *testing.T) {
	n := newSoloNode(t, Limits{}, 1)
	key := n.key(1)
	d := n.claim(key)
	n.execute(t, n.core.Complete(d.Handle, &claim.Answer{Status: 200}))
	n.advance(t, 2*modelWindow)
	n.configure(ServiceSpec{ID: modelService, Partitions: 1, ResendWindow: 10 * modelWindow})
	if d := n.claim(key); d.Verdict != Unknown {
		t.Errorf("got %v %v", d.Verdict, d.Reason)
	}
	if d := n.claim(n.key(2)); d.Verdict != Run {
		t.Errorf("new key: got %v %v", d.Verdict, d.Reason)
	}
}

// TestLimits checks the limits of the number of claims and of the size of kept
// answers.
func TestLimits(t *testing.T) {
	n := newSoloNode(t, Limits{MaxClaims: 3, MaxAnswerBytes: 10}, 1)
	var keys []string
	for i := range 3 {
		keys = append(keys, n.key(i))
		d := n.claim(keys[i])
		n.execute(t, n.core.Complete(d.Handle, &claim.Answer{Body: make([]byte, 4)}))
	}
	for i, want := range []Verdict{Done, Replay, Replay} {
		if d := n.claim(keys[i]); d.Verdict != want {
			t.Errorf("key %d: got %v, want %v", i, d.Verdict, want)
		}
	}
	if d := n.claim(n.key(9)); d.Verdict != Refused || d.Reason != ReasonClaimsFull || d.RetryAfter <= 0 {
		t.Errorf("at the limit: got %+v", d)
	}
	n.advance(t, modelWindow+time.Second)
	if d := n.claim(n.key(9)); d.Verdict != Run {
		t.Errorf("after the window: got %v %v", d.Verdict, d.Reason)
	}
}

// TestLeaseEnds checks that an owner whose lease has ended refuses new keys, and
// still answers keys that have a claim.
func TestLeaseEnds(t *testing.T) {
	n := newSoloNode(t, Limits{}, 1)
	key := n.key(1)
	d := n.claim(key)
	n.execute(t, n.core.MarkUnknown(d.Handle))
	n.now.Monotonic += timing.DefaultLeaseTerm
	n.now.Wall = n.now.Wall.Add(timing.DefaultLeaseTerm)
	if d := n.claim(n.key(2)); d.Verdict != Refused || d.Reason != ReasonNoLease {
		t.Errorf("new key: got %v %v", d.Verdict, d.Reason)
	}
	if d := n.claim(key); d.Verdict != Unknown || d.Reason != ReasonUnknownOutcome {
		t.Errorf("known key: got %v %v", d.Verdict, d.Reason)
	}
}

func BenchmarkClaimComplete(b *testing.B) {
	n := newSoloNode(b, Limits{MaxClaims: 1 << 30, MaxAnswerBytes: 1 << 30}, 1)
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = n.key(i)
	}
	answer := &claim.Answer{Status: 200}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	b.ResetTimer()
	for _, key := range keys {
		d := n.claim(key)
		n.core.Complete(d.Handle, answer)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "kept-B/claim")
	runtime.KeepAlive(n)
}

func BenchmarkClaimReplay(b *testing.B) {
	n := newSoloNode(b, Limits{}, 1)
	key := n.key(1)
	d := n.claim(key)
	n.core.Complete(d.Handle, &claim.Answer{Status: 200, Body: make([]byte, 1000)})
	b.ReportAllocs()
	for b.Loop() {
		n.claim(key)
	}
}

// BenchmarkHeartbeatBytes reports the bytes per second that a node's heartbeats and
// the replies to them take, with five witnesses.
func BenchmarkHeartbeatBytes(b *testing.B) {
	codec := wire.NewCodec()
	message.Register(codec)
	for partitions := 1; partitions <= 4; partitions++ {
		b.Run(fmt.Sprintf("partitions=%d", partitions), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = beatBytes(b, codec, partitions)
			}
			perSecond := float64(time.Second) / float64(timing.Defaults().HeartbeatInterval())
			b.ReportMetric(5*perSecond*float64(bytes), "B/s")
		})
	}
}

func beatBytes(b *testing.B, codec *wire.Codec, partitions int) int {
	beat := &message.Beat{Sequence: uint64(time.Now().UnixNano())}
	for i := range partitions {
		item := message.BeatItem{Service: modelService, Partition: i, Tenure: 300, Epoch: 30}
		beat.Items = append(beat.Items, item)
	}
	total := 0
	for _, m := range []any{beat, &message.BeatReply{Sequence: beat.Sequence}} {
		data, err := codec.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		total += len(data)
	}
	return total
}
