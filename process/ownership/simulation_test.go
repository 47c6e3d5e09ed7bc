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

// event is a function to be called at a time of the simulation. Events of the
// same time are called by order.
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

// conditions are the present faults of the network and the platform.
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
	// startedAt is when the monotonic clock was zero. drift is the rate of that
	// clock, and offset the error of the wall clock.
	startedAt time.Duration
	drift     float64
	offset    time.Duration
	eligible  bool
	// noPlatform is true while the node can't reach the platform, and
	// noObjectUpdates while it doesn't receive objects from other nodes either.
	noPlatform      bool
	noObjectUpdates bool
	// declaredDead is true while the other nodes consider this one dead.
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
	// One step of slowStepDivisor takes long.
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
	w := &simulation{
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
			drift:      1 + (w.rng.Float64()-0.5)/25,
			lastSeen:   make(map[string]time.Duration),
		}
		n.offset = w.randomOffset()
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.after(0, w.updateMembers)
	w.after(modelRelistPeriod, w.relist)
	return w
}

// randomOffset returns an error of a wall clock. Any two differ by at most the
// skew, and half of them are extremes.
func (w *simulation) randomOffset() time.Duration {
	if w.rng.IntN(2) == 0 {
		return w.skew/2 - w.skew*time.Duration(w.rng.IntN(2))
	}
	return time.Duration(w.rng.Int64N(int64(w.skew)+1)) - w.skew/2
}

// after schedules an event.
func (w *simulation) after(d time.Duration, do func()) {
	w.lastSerial++
	heap.Push(&w.queue, event{at: w.now + d, order: w.lastSerial, do: do})
}

// run runs the events until a time.
func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// on calls do at an incarnation of a node: now, or when the node is resumed if
// it is paused, or never if the incarnation has ended.
func (w *simulation) on(n *process, incarnation uint64, do func()) {
	if !n.alive || n.incarnation != incarnation {
		return
	}
	if n.paused {
		n.pending = append(n.pending, do)
		return
	}
	do()
}

// later calls do at the present incarnation of a node after a delay.
func (w *simulation) later(n *process, d time.Duration, do func()) {
	incarnation := n.incarnation
	w.after(d, func() { w.on(n, incarnation, do) })
}

// clock reads the clocks of a node.
func (w *simulation) clock(n *process) Clock {
	return Clock{
		Mono: time.Duration(float64(w.now-n.startedAt) * n.drift),
		Wall: epochStart.Add(w.now + n.offset),
	}
}

// start starts a new incarnation of a node, without its earlier state.
func (w *simulation) start(n *process) {
	w.lastSerial++
	n.incarnation = uint64(w.lastSerial) << 20
	n.alive = true
	n.paused = false
	n.pending = nil
	n.startedAt = w.now - time.Hour
	core, err := NewCore(CoreOptions{
		Node:          n.name,
		Incarnation:   n.incarnation,
		Timing:        w.timing,
		Limits:        Limits{Claims: modelClaims, AnswerBytes: modelAnswerBytes},
		Random:        rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
		Now:           w.clock(n),
		disabledRules: w.disabledRules,
		witnessGrace:  w.witnessGrace,
	})
	if err != nil {
		panic(err)
	}
	n.core = core
	core.SetServices([]ServiceSpec{{ID: modelService, Partitions: modelPartitions, ResendWindow: modelWindow}}, w.clock(n))
	w.later(n, w.duration(modelTick), func() { w.tick(n) })
	w.deliverObject(n, w.readableObject())
}

// kill ends the process of a node.
func (w *simulation) kill(n *process) {
	n.alive = false
	n.pending = nil
}

// pause suspends a process.
func (w *simulation) pause(n *process) { n.paused = true }

// resume resumes a paused process. Its pending events happen in random order.
func (w *simulation) resume(n *process) {
	if !n.alive || !n.paused {
		return
	}
	n.paused = false
	due := n.pending
	n.pending = nil
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	incarnation := n.incarnation
	for _, do := range due {
		w.after(w.duration(5*time.Millisecond), func() { w.on(n, incarnation, do) })
	}
}

func (w *simulation) tick(n *process) {
	w.later(n, modelTick, func() { w.tick(n) })
	w.execute(n, n.core.Tick(w.clock(n)))
}

// execute does the I/O of an output.
func (w *simulation) execute(n *process, out Output) {
	for _, envelope := range out.Messages {
		w.send(n, envelope.To, envelope.Message)
	}
	for _, write := range out.Writes {
		w.put(n, write)
	}
	for _, service := range out.Reads {
		w.read(n, service)
	}
}

func (w *simulation) find(name string) *process {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// duration returns a random duration below a bound.
func (w *simulation) duration(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// latency returns the delay of a message, and true if the message is lost.
func (w *simulation) latency() (time.Duration, bool) {
	if w.rng.IntN(100) < w.faults.lossPercent {
		return 0, true
	}
	d := time.Millisecond + w.duration(4*time.Millisecond)
	if w.faults.delayMax > 0 && w.rng.IntN(3) == 0 {
		d += w.duration(w.faults.delayMax)
	}
	return d, false
}

// updateMembers updates the members at each node from the nodes that it saw
// alive within the last second.
func (w *simulation) updateMembers() {
	w.after(modelMembersPeriod, w.updateMembers)
	for _, n := range w.nodes {
		if !n.alive || n.paused {
			continue
		}
		members := make([]Member, 0, len(w.nodes))
		for _, m := range w.nodes {
			members = append(members, w.memberAt(n, m))
		}
		n.core.SetMembers(members, w.clock(n))
	}
}

// memberAt returns node m as membership reports it at node n.
func (w *simulation) memberAt(n, m *process) Member {
	linked := !w.cut[[2]string{m.name, n.name}] && !w.cut[[2]string{n.name, m.name}]
	if n == m || m.alive && !m.paused && linked {
		n.lastSeen[m.name] = w.now
	}
	return Member{
		Node:        m.name,
		Incarnation: m.incarnation,
		DataCentre:  m.dataCentre,
		Services:    []string{modelService},
		Alive:       w.now-n.lastSeen[m.name] < time.Second && (n == m || !m.declaredDead),
		Eligible:    m.eligible,
	}
}

// check records a violated invariant unless ok is true.
func (w *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
	}
}
