package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/timing"
)

const (
	modelService       = "kodumala/entry-filing"
	modelWindow        = 16 * time.Second
	modelTick          = 100 * time.Millisecond
	modelMembersPeriod = 300 * time.Millisecond
	modelRelistPeriod  = 8 * time.Second
	modelStaleness     = 10 * time.Second
	modelClaims        = 400
	modelAnswerBytes   = 2000
	modelPartitions    = 2
)

// epochStart is the true wall-clock time at the start of every history.
var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to be called at a time of the simulation. Functions with
// the same time are called in ascending order of their field order.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// conditions are the current faults of the network and the platform.
type conditions struct {
	lossPercent  int
	delayMax     time.Duration
	platformDown bool
	writesLate   bool
	answersLost  bool
}

// process is a simulated node with its clocks.
type process struct {
	name        string
	dataCentre  string
	core        *Core
	incarnation uint64
	alive       bool
	paused      bool
	// pending are the events that happened while the process was paused.
	pending []func()
	// bootedAt is when the monotonic clock was zero. drift is the rate of that
	// clock, and offset the error of the wall clock.
	bootedAt time.Duration
	drift    float64
	offset   time.Duration
	eligible bool
	// noPlatform is true while the node can't reach the platform, and
	// noObjectUpdates while it doesn't receive objects from other nodes either.
	noPlatform      bool
	noObjectUpdates bool
	// declaredDead is true while membership at the other nodes reports this node
	// dead.
	declaredDead bool
	// lastSeen is when this node last saw each node alive.
	lastSeen map[string]time.Duration
}

// simulation simulates one service in virtual time: its nodes, the network, the
// platform, and the callers.
type simulation struct {
	rng           *rand.Rand
	now           time.Duration
	lastSerial    int
	queue         eventQueue
	nodes         []*process
	cut           map[[2]string]bool
	faults        conditions
	platform      modelPlatform
	states        []pastState
	ops           map[string]*operation
	attempts      int
	disabledRules rule.Set
	skew          time.Duration // the true maximum difference between wall clocks
	timing        timing.Settings
	// slowStepDivisor sets how often a step of a node takes long: on average one
	// of slowStepDivisor steps does.
	slowStepDivisor int
	// callerClockLead is the minimum by which the clocks of some callers are
	// ahead.
	callerClockLead time.Duration
	witnessGrace    time.Duration
	// faultsOver is true when all faults have ended.
	faultsOver bool
	// restartWitnessesAfterWrite restarts witnesses soon after the next write.
	restartWitnessesAfterWrite bool
	// violations describes the violated invariants.
	violations []string
	// ranTwice is true once an operation was run twice.
	ranTwice bool
	// counts holds the number of attempts by result, and other counts by name.
	counts map[string]int
}

// modelPlatform is the platform's ownership object.
type modelPlatform struct {
	version uint64
	value   []byte
}

// pastState is the state of the platform from a time on.
type pastState struct {
	at     time.Duration
	object modelPlatform
}

// newSimulation starts the nodes of a history. Wall clocks differ by at most
// skew.
func newSimulation(h history, skew time.Duration, disabled rule.Set) *simulation {
	sim := &simulation{
		rng:             rand.New(rand.NewPCG(h.seed, 7)),
		cut:             make(map[[2]string]bool),
		ops:             make(map[string]*operation),
		disabledRules:   disabled,
		skew:            skew,
		timing:          timing.Defaults(),
		slowStepDivisor: h.slowStepDivisor,
		callerClockLead: h.callerClockLead,
		witnessGrace:    h.witnessGrace,
		counts:          make(map[string]int),
	}
	for i := range h.nodes {
		n := &process{
			name:       fmt.Sprintf("n%d", i),
			dataCentre: fmt.Sprintf("dc%d", i%3),
			eligible:   true,
			drift:      1 + (sim.rng.Float64()-0.5)/25,
			lastSeen:   make(map[string]time.Duration),
		}
		n.offset = sim.randomOffset()
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
	}
	sim.after(0, sim.updateMembers)
	sim.after(modelRelistPeriod, sim.relist)
	return sim
}

// randomOffset returns an error of a wall clock. Any two differ by at most the
// skew, and half of them are extremes.
func (sim *simulation) randomOffset() time.Duration {
	if sim.rng.IntN(2) == 0 {
		return sim.skew/2 - sim.skew*time.Duration(sim.rng.IntN(2))
	}
	return time.Duration(sim.rng.Int64N(int64(sim.skew)+1)) - sim.skew/2
}

// after schedules an event.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastSerial++
	heap.Push(&sim.queue, event{at: sim.now + d, order: sim.lastSerial, do: do})
}

// run runs the events until a time.
func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// on calls do at an incarnation of a node: now, or when the node is resumed if
// it is paused, or never if the incarnation has ended.
func (sim *simulation) on(n *process, incarnation uint64, do func()) {
	if !n.alive || n.incarnation != incarnation {
		return
	}
	if n.paused {
		n.pending = append(n.pending, do)
		return
	}
	do()
}

// later calls do at the current incarnation of a node after a delay.
func (sim *simulation) later(n *process, d time.Duration, do func()) {
	incarnation := n.incarnation
	sim.after(d, func() { sim.on(n, incarnation, do) })
}

// clock reads the clocks of a node.
func (sim *simulation) clock(n *process) ClockReading {
	return ClockReading{
		Monotonic: time.Duration(float64(sim.now-n.bootedAt) * n.drift),
		Wall:      epochStart.Add(sim.now + n.offset),
	}
}

// start starts a new incarnation of a node, without its earlier state.
func (sim *simulation) start(n *process) {
	sim.lastSerial++
	n.incarnation = uint64(sim.lastSerial) << 20
	n.alive = true
	n.paused = false
	n.pending = nil
	n.bootedAt = sim.now - time.Hour
	core, err := NewCore(CoreOptions{
		Node:          n.name,
		Incarnation:   n.incarnation,
		Timing:        sim.timing,
		Limits:        Limits{MaxClaims: modelClaims, MaxAnswerBytes: modelAnswerBytes},
		Random:        rand.New(rand.NewPCG(sim.rng.Uint64(), 1)),
		Now:           sim.clock(n),
		disabledRules: sim.disabledRules,
		witnessGrace:  sim.witnessGrace,
	})
	if err != nil {
		panic(err)
	}
	n.core = core
	core.SetServices([]ServiceSpec{{ID: modelService, Partitions: modelPartitions, ResendWindow: modelWindow}}, sim.clock(n))
	sim.later(n, sim.duration(modelTick), func() { sim.tick(n) })
	sim.deliverObject(n, sim.readableObject())
}

// kill ends the process of a node.
func (sim *simulation) kill(n *process) {
	n.alive = false
	n.pending = nil
}

// pause suspends a process.
func (sim *simulation) pause(n *process) { n.paused = true }

// resume resumes a paused process. Its pending events happen in random order.
func (sim *simulation) resume(n *process) {
	if !n.alive || !n.paused {
		return
	}
	n.paused = false
	due := n.pending
	n.pending = nil
	sim.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	incarnation := n.incarnation
	for _, do := range due {
		sim.after(sim.duration(5*time.Millisecond), func() { sim.on(n, incarnation, do) })
	}
}

func (sim *simulation) tick(n *process) {
	sim.later(n, modelTick, func() { sim.tick(n) })
	sim.execute(n, n.core.Tick(sim.clock(n)))
}

// execute does the I/O of an output.
func (sim *simulation) execute(n *process, out Output) {
	for _, envelope := range out.Messages {
		sim.send(n, envelope.To, envelope.Message)
	}
	for _, write := range out.Writes {
		sim.put(n, write)
	}
	for _, service := range out.Reads {
		sim.read(n, service)
	}
}

func (sim *simulation) find(name string) *process {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// duration returns a random duration below a bound.
func (sim *simulation) duration(bound time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(bound)))
}

// latency returns the delay of a message, and true if the message is lost.
func (sim *simulation) latency() (time.Duration, bool) {
	if sim.rng.IntN(100) < sim.faults.lossPercent {
		return 0, true
	}
	d := time.Millisecond + sim.duration(4*time.Millisecond)
	if sim.faults.delayMax > 0 && sim.rng.IntN(3) == 0 {
		d += sim.duration(sim.faults.delayMax)
	}
	return d, false
}

// updateMembers updates the members at each node from the nodes that it saw
// alive within the last second.
func (sim *simulation) updateMembers() {
	sim.after(modelMembersPeriod, sim.updateMembers)
	for _, n := range sim.nodes {
		if !n.alive || n.paused {
			continue
		}
		members := make([]Member, 0, len(sim.nodes))
		for _, m := range sim.nodes {
			members = append(members, sim.memberAt(n, m))
		}
		n.core.SetMembers(members, sim.clock(n))
	}
}

// memberAt returns node m as membership reports it at node n.
func (sim *simulation) memberAt(n, m *process) Member {
	linked := !sim.cut[[2]string{m.name, n.name}] && !sim.cut[[2]string{n.name, m.name}]
	if n == m || m.alive && !m.paused && linked {
		n.lastSeen[m.name] = sim.now
	}
	return Member{
		Node:        m.name,
		Incarnation: m.incarnation,
		DataCentre:  m.dataCentre,
		Services:    []string{modelService},
		Alive:       sim.now-n.lastSeen[m.name] < time.Second && (n == m || !m.declaredDead),
		Eligible:    m.eligible,
	}
}

// check records a violated invariant unless ok is true.
func (sim *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.now)+fmt.Sprintf(format, args...))
	}
}
