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
// that always answers.
type soloNode struct {
	core    *Core
	now     ClockReading
	version uint64
	value   []byte
}

// newSolo returns a node that owns all partitions of its service.
func newSolo(t testing.TB, limits Limits, partitions int) *soloNode {
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
	n.pass(t, 10*time.Second)
	return n
}

func (n *soloNode) configure(specs ...ServiceSpec) { n.core.SetServices(specs, n.now) }

// pass lets time pass.
func (n *soloNode) pass(t testing.TB, d time.Duration) {
	for end := n.now.Monotonic + d; n.now.Monotonic < end; {
		n.now.Monotonic += modelTick
		n.now.Wall = n.now.Wall.Add(modelTick)
		n.do(t, n.core.Tick(n.now))
	}
}

func (n *soloNode) do(t testing.TB, out Output) {
	for _, p := range out.Writes {
		n.version++
		n.value = p.Value
		next, err := n.core.HandleWriteResult(WriteResult{ID: p.ID, Service: p.Service, Outcome: Written, Version: n.version}, n.now)
		if err != nil {
			t.Fatal(err)
		}
		n.do(t, next)
	}
	for _, service := range out.Reads {
		next, err := n.core.HandleReadResult(service, n.version, n.value, false, n.now)
		if err != nil {
			t.Fatal(err)
		}
		n.do(t, next)
	}
	for _, envelope := range out.Messages {
		next, _ := n.core.Handle("n0", envelope.Message, n.now)
		n.do(t, next)
	}
}

func (n *soloNode) claim(key string) Decision {
	return n.core.Claim(Request{Service: modelService, Key: key}, n.now)
}

func (n *soloNode) key(i int) string {
	return datedKey(n.now.Wall, uint64(i), uint64(i))
}

// TestServiceComesBack shows that a service that the configuration loses and
// gets back keeps its claims: its first tenure has no fence.
func TestServiceComesBack(t *testing.T) {
	n := newSolo(t, Limits{}, 1)
	key := n.key(1)
	if d := n.claim(key); d.Verdict != Run {
		t.Fatalf("got %v %v", d.Verdict, d.Reason)
	}
	n.configure()
	n.configure(ServiceSpec{ID: modelService, Partitions: 1, ResendWindow: modelWindow})
	n.pass(t, 3*time.Second)
	if d := n.claim(key); d.Verdict != InProgress {
		t.Errorf("got %v %v", d.Verdict, d.Reason)
	}
}

// TestLongerWindow shows that a longer resend window doesn't bring back keys
// whose claims were forgotten under the shorter one.
func TestLongerWindow(t *testing.T) {
	n := newSolo(t, Limits{}, 1)
	key := n.key(1)
	d := n.claim(key)
	n.do(t, n.core.Complete(d.Handle, &claim.Answer{Status: 200}))
	n.pass(t, 2*modelWindow)
	n.configure(ServiceSpec{ID: modelService, Partitions: 1, ResendWindow: 10 * modelWindow})
	if d := n.claim(key); d.Verdict != Unknown {
		t.Errorf("got %v %v", d.Verdict, d.Reason)
	}
	if d := n.claim(n.key(2)); d.Verdict != Run {
		t.Errorf("new key: got %v %v", d.Verdict, d.Reason)
	}
}

// TestLimits shows what happens at the limits of claims and of kept answers.
func TestLimits(t *testing.T) {
	n := newSolo(t, Limits{MaxClaims: 3, MaxAnswerBytes: 10}, 1)
	var keys []string
	for i := range 3 {
		keys = append(keys, n.key(i))
		d := n.claim(keys[i])
		n.do(t, n.core.Complete(d.Handle, &claim.Answer{Body: make([]byte, 4)}))
	}
	for i, want := range []Verdict{Done, Replay, Replay} {
		if d := n.claim(keys[i]); d.Verdict != want {
			t.Errorf("key %d: got %v, want %v", i, d.Verdict, want)
		}
	}
	if d := n.claim(n.key(9)); d.Verdict != Refused || d.Reason != ReasonClaimsFull || d.RetryAfter <= 0 {
		t.Errorf("at the limit: got %+v", d)
	}
	n.pass(t, modelWindow+time.Second)
	if d := n.claim(n.key(9)); d.Verdict != Run {
		t.Errorf("after the window: got %v %v", d.Verdict, d.Reason)
	}
}

// TestLeaseEnds shows that an owner whose witnesses don't answer takes on
// nothing once its lease has ended, and still knows what it ran.
func TestLeaseEnds(t *testing.T) {
	n := newSolo(t, Limits{}, 1)
	key := n.key(1)
	d := n.claim(key)
	n.do(t, n.core.MarkUnknown(d.Handle))
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
	n := newSolo(b, Limits{MaxClaims: 1 << 30, MaxAnswerBytes: 1 << 30}, 1)
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
	n := newSolo(b, Limits{}, 1)
	key := n.key(1)
	d := n.claim(key)
	n.core.Complete(d.Handle, &claim.Answer{Status: 200, Body: make([]byte, 1000)})
	b.ReportAllocs()
	for b.Loop() {
		n.claim(key)
	}
}

// BenchmarkBeatBytes reports the bytes per second that a node spends on the
// beats of its partitions and the replies to them, with five witnesses.
func BenchmarkBeatBytes(b *testing.B) {
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
