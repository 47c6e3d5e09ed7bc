package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/ownership/timing"
)

// calm is a few cores without any fault: messages and writes take no time.
type calm struct {
	t       *testing.T
	cores   map[string]*Core
	mono    time.Duration
	version uint64
	value   []byte
}

func (w *calm) clock() ClockReading {
	return ClockReading{Monotonic: w.mono, Wall: time.UnixMilli(0).Add(w.mono)}
}

// do carries out what a core wants, and all that follows.
func (w *calm) do(node string, out Output) {
	for _, m := range out.Messages {
		w.deliver(node, m)
	}
	for range out.Reads {
		next, err := w.cores[node].HandleReadResult("s", w.version, w.value, false, w.clock())
		w.ok(err)
		w.do(node, next)
	}
	for _, p := range out.Writes {
		w.write(node, p)
	}
}

func (w *calm) deliver(from string, m wire.Envelope) {
	next, known := w.cores[m.To].Handle(from, m.Message, w.clock())
	if !known {
		w.t.Fatalf("message %T is not known", m.Message)
	}
	w.do(m.To, next)
}

func (w *calm) write(node string, p ConditionalWrite) {
	end := WriteResult{ID: p.ID, Service: p.Service, Outcome: Conflict, Version: w.version, Value: w.value}
	if p.IfVersion == w.version {
		w.version++
		w.value = p.Value
		end = WriteResult{ID: p.ID, Service: p.Service, Outcome: Written, Version: w.version}
	}
	next, err := w.cores[node].HandleWriteResult(end, w.clock())
	w.ok(err)
	w.do(node, next)
}

func (w *calm) ok(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

// step lets a time pass, with a tick of each core.
func (w *calm) step(d time.Duration) {
	w.mono += d
	for node := range w.cores {
		w.do(node, w.cores[node].Tick(w.clock()))
	}
}

func newCalm(t *testing.T, partitions int, nodes ...string) *calm {
	w := &calm{t: t, cores: make(map[string]*Core), mono: time.Hour}
	var members []Member
	for i, node := range nodes {
		core, err := NewCore(CoreOptions{Node: node, Incarnation: uint64(i + 1), Timing: timing.Defaults(),
			Random: rand.New(rand.NewPCG(1, uint64(i))), Now: w.clock()})
		w.ok(err)
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

// TestLeaveHandsAllOver shows that a leaving node writes one handover after the
// other without a wait, so that no partition stands still for long.
func TestLeaveHandsAllOver(t *testing.T) {
	w := newCalm(t, 24, "a", "b", "c")
	for range 400 {
		w.step(tickPeriod)
	}
	leaving := w.cores["a"]
	if leaving.Idle() {
		t.Fatal("the node owns nothing")
	}
	left := w.mono
	w.do("a", leaving.Leave(w.clock()))
	for range 400 {
		if leaving.Idle() {
			break
		}
		w.step(tickPeriod)
	}
	t.Logf("handed over after %v", w.mono-left)
	if took := w.mono - left; !leaving.Idle() || took >= firstBackoff {
		t.Errorf("handed over after %v, idle %v", took, leaving.Idle())
	}
}
