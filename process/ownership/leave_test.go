package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/ownership/timing"
)

// faultFreeCluster is a few cores without faults. Messages and writes take no
// time.
type faultFreeCluster struct {
	t       *testing.T
	cores   map[string]*Core
	mono    time.Duration
	version uint64
	value   []byte
}

func (w *faultFreeCluster) clock() Clock {
	return Clock{Mono: w.mono, Wall: time.UnixMilli(0).Add(w.mono)}
}

// execute does the I/O of an output, and of all outputs that result from it.
func (w *faultFreeCluster) execute(node string, out Output) {
	for _, m := range out.Messages {
		w.deliver(node, m)
	}
	for range out.Reads {
		next, err := w.cores[node].HandleReadResult("s", w.version, w.value, false, w.clock())
		w.failOnError(err)
		w.execute(node, next)
	}
	for _, p := range out.Writes {
		w.write(node, p)
	}
}

func (w *faultFreeCluster) deliver(from string, m wire.Envelope) {
	next, known := w.cores[m.To].Handle(from, m.Message, w.clock())
	if !known {
		w.t.Fatalf("no handler for message %T", m.Message)
	}
	w.execute(m.To, next)
}

func (w *faultFreeCluster) write(node string, p ConditionalWrite) {
	result := WriteResult{ID: p.ID, Service: p.Service, Outcome: Conflict, Version: w.version, Value: w.value}
	if p.IfVersion == w.version {
		w.version++
		w.value = p.Value
		result = WriteResult{ID: p.ID, Service: p.Service, Outcome: Written, Version: w.version}
	}
	next, err := w.cores[node].HandleWriteResult(result, w.clock())
	w.failOnError(err)
	w.execute(node, next)
}

func (w *faultFreeCluster) failOnError(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

// advance advances the clocks of all cores and calls Tick of each.
func (w *faultFreeCluster) advance(d time.Duration) {
	w.mono += d
	for node := range w.cores {
		w.execute(node, w.cores[node].Tick(w.clock()))
	}
}

func newFaultFreeCluster(t *testing.T, partitions int, nodes ...string) *faultFreeCluster {
	w := &faultFreeCluster{t: t, cores: make(map[string]*Core), mono: time.Hour}
	var members []Member
	for i, node := range nodes {
		core, err := NewCore(CoreOptions{Node: node, Incarnation: uint64(i + 1), Timing: timing.Defaults(),
			Random: rand.New(rand.NewPCG(1, uint64(i))), Now: w.clock()})
		w.failOnError(err)
		w.cores[node] = core
		members = append(members, Member{Node: node, Incarnation: uint64(i + 1), DataCentre: node,
			Services: []string{"s"}, Alive: true, Eligible: true})
	}
	for _, core := range w.cores {
		core.SetServices([]ServiceSpec{{ID: "s", Partitions: partitions}}, w.clock())
		core.SetMembers(members, w.clock())
	}
	return w
}

// TestLeaveHandsAllOver checks that a leaving node writes its handovers one after
// the other without delay. A delay between them would leave partitions without a
// working owner.
func TestLeaveHandsAllOver(t *testing.T) {
	w := newFaultFreeCluster(t, 24, "a", "b", "c")
	for range 400 {
		w.advance(tickPeriod)
	}
	leaving := w.cores["a"]
	if leaving.Idle() {
		t.Fatal("the node owns nothing")
	}
	left := w.mono
	w.execute("a", leaving.Leave(w.clock()))
	for range 400 {
		if leaving.Idle() {
			break
		}
		w.advance(tickPeriod)
	}
	t.Logf("handed over after %v", w.mono-left)
	if took := w.mono - left; !leaving.Idle() || took >= minBackoff {
		t.Errorf("handed over after %v, idle %v", took, leaving.Idle())
	}
}
