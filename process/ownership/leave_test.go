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

func (c *faultFreeCluster) clock() ClockReading {
	return ClockReading{Monotonic: c.mono, Wall: time.UnixMilli(0).Add(c.mono)}
}

// execute does the I/O of an output, and of all outputs that result from it.
func (c *faultFreeCluster) execute(node string, out Output) {
	for _, m := range out.Messages {
		c.deliver(node, m)
	}
	for range out.Reads {
		next, err := c.cores[node].HandleReadResult("s", c.version, c.value, false, c.clock())
		c.failOnError(err)
		c.execute(node, next)
	}
	for _, w := range out.Writes {
		c.write(node, w)
	}
}

func (c *faultFreeCluster) deliver(from string, m wire.Envelope) {
	next, known := c.cores[m.To].Handle(from, m.Message, c.clock())
	if !known {
		c.t.Fatalf("no handler for message %T", m.Message)
	}
	c.execute(m.To, next)
}

func (c *faultFreeCluster) write(node string, w ConditionalWrite) {
	result := WriteResult{ID: w.ID, Service: w.Service, Outcome: Conflict, Version: c.version, Value: c.value}
	if w.IfVersion == c.version {
		c.version++
		c.value = w.Value
		result = WriteResult{ID: w.ID, Service: w.Service, Outcome: Written, Version: c.version}
	}
	next, err := c.cores[node].HandleWriteResult(result, c.clock())
	c.failOnError(err)
	c.execute(node, next)
}

func (c *faultFreeCluster) failOnError(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

// advance advances the clocks of all cores and calls Tick of each.
func (c *faultFreeCluster) advance(d time.Duration) {
	c.mono += d
	for node := range c.cores {
		c.execute(node, c.cores[node].Tick(c.clock()))
	}
}

func newFaultFreeCluster(t *testing.T, partitions int, nodes ...string) *faultFreeCluster {
	c := &faultFreeCluster{t: t, cores: make(map[string]*Core), mono: time.Hour}
	var members []Member
	for i, node := range nodes {
		core, err := NewCore(CoreOptions{Node: node, Incarnation: uint64(i + 1), Timing: timing.Defaults(),
			Random: rand.New(rand.NewPCG(1, uint64(i))), Now: c.clock()})
		c.failOnError(err)
		c.cores[node] = core
		members = append(members, Member{Node: node, Incarnation: uint64(i + 1), DataCentre: node,
			Services: []string{"s"}, Alive: true, Eligible: true})
	}
	for _, core := range c.cores {
		core.SetServices([]ServiceSpec{{ID: "s", Partitions: partitions}}, c.clock())
		core.SetMembers(members, c.clock())
	}
	return c
}

// TestLeaveHandsAllOver checks that a leaving node writes its handovers one after
// the other without delay. A delay between them would leave partitions without a
// working owner.
func TestLeaveHandsAllOver(t *testing.T) {
	c := newFaultFreeCluster(t, 24, "a", "b", "c")
	for range 400 {
		c.advance(tickPeriod)
	}
	leaving := c.cores["a"]
	if leaving.Idle() {
		t.Fatal("the node owns nothing")
	}
	left := c.mono
	c.execute("a", leaving.Leave(c.clock()))
	for range 400 {
		if leaving.Idle() {
			break
		}
		c.advance(tickPeriod)
	}
	t.Logf("handed over after %v", c.mono-left)
	if took := c.mono - left; !leaving.Idle() || took >= minBackoff {
		t.Errorf("handed over after %v, idle %v", took, leaving.Idle())
	}
}
