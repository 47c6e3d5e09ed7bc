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
	modelService   = "kodumala/entry-filing"
	modelWindow    = 16 * time.Second
	modelTick      = 100 * time.Millisecond
	modelMembers   = 300 * time.Millisecond
	modelRelist    = 8 * time.Second
	modelStale     = 10 * time.Second
	modelClaims    = 400
	modelAnswers   = 2000
	modelPartition = 2
)

// epochStart is the wall-clock time at the start of every history.
var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a moment of true time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

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

// conditions are the faults in force.
type conditions struct {
	lossPercent  int
	delayMax     time.Duration
	platformDown bool
	writesLate   bool
	answersLost  bool
}

// process is one node of the model with its clocks.
type process struct {
	name       string
	centre     string
	core       *Core
	life       uint64
	alive      bool
	paused     bool
	pending    []func()
	born       time.Duration
	drift      float64
	offset     time.Duration
	eligible   bool
	noPlatform bool
	noNews     bool
	heldDead   bool
	lastHeard  map[string]time.Duration
}

// world is a model of one service: nodes, network, platform, callers.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	serial   int
	queue    eventQueue
	nodes    []*process
	cut      map[[2]string]bool
	cond     conditions
	platform modelPlatform
	states   []pastState
	ops      map[string]*operation
	tries    int
	without  rule.Set
	skew     time.Duration // true bound of the difference of wall clocks
	timing   timing.Settings
	// hesitate is the reciprocal of the share of steps that take long, and
	// early is by how much at least the clocks of some callers are ahead.
	hesitate int
	early    time.Duration
	grace    time.Duration
	// calm is true when all faults are over.
	calm bool
	// bounceNext makes witnesses restart right after the next write.
	bounceNext bool
	problems   []string
	// twice is true once an operation was run twice.
	twice  bool
	counts map[string]int
}

// modelPlatform is the platform's one object.
type modelPlatform struct {
	version uint64
	value   []byte
}

// pastState is what the platform held from a moment on.
type pastState struct {
	at     time.Duration
	object modelPlatform
}

func newWorld(h history, skew time.Duration, without rule.Set) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(h.seed, 7)),
		cut:      make(map[[2]string]bool),
		ops:      make(map[string]*operation),
		without:  without,
		skew:     skew,
		timing:   timing.Defaults(),
		hesitate: h.hesitate,
		early:    h.early,
		grace:    h.grace,
		counts:   make(map[string]int),
	}
	for i := range h.nodes {
		n := &process{
			name:      fmt.Sprintf("n%d", i),
			centre:    fmt.Sprintf("dc%d", i%3),
			eligible:  true,
			drift:     1 + (w.rng.Float64()-0.5)/25,
			lastHeard: make(map[string]time.Duration),
		}
		n.offset = w.randomOffset()
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.after(0, w.spreadMembers)
	w.after(modelRelist, w.relist)
	return w
}

// randomOffset returns a clock offset such that any two differ by the skew at
// most. Half of them lie at the edges.
func (w *world) randomOffset() time.Duration {
	if w.rng.IntN(2) == 0 {
		return w.skew/2 - w.skew*time.Duration(w.rng.IntN(2))
	}
	return time.Duration(w.rng.Int64N(int64(w.skew)+1)) - w.skew/2
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now + d, order: w.serial, do: do})
}

// run lets events happen until a moment.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// on does something at a node in its present life: now, when it wakes up, or
// never if that life has ended.
func (w *world) on(n *process, life uint64, do func()) {
	if !n.alive || n.life != life {
		return
	}
	if n.paused {
		n.pending = append(n.pending, do)
		return
	}
	do()
}

// later does something at a node after a time.
func (w *world) later(n *process, d time.Duration, do func()) {
	life := n.life
	w.after(d, func() { w.on(n, life, do) })
}

// clock reads a node's clocks.
func (w *world) clock(n *process) ClockReading {
	return ClockReading{
		Monotonic: time.Duration(float64(w.now-n.born) * n.drift),
		Wall:      epochStart.Add(w.now + n.offset),
	}
}

// start starts a process with empty memory.
func (w *world) start(n *process) {
	w.serial++
	n.life = uint64(w.serial) << 20
	n.alive = true
	n.paused = false
	n.pending = nil
	n.born = w.now - time.Hour
	core, err := NewCore(CoreOptions{
		Node:         n.name,
		Incarnation:  n.life,
		Timing:       w.timing,
		Limits:       Limits{MaxClaims: modelClaims, MaxAnswerBytes: modelAnswers},
		Random:       rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
		Now:          w.clock(n),
		without:      w.without,
		witnessGrace: w.grace,
	})
	if err != nil {
		panic(err)
	}
	n.core = core
	core.SetServices([]ServiceSpec{{ID: modelService, Partitions: modelPartition, ResendWindow: modelWindow}}, w.clock(n))
	w.later(n, w.duration(modelTick), func() { w.tick(n) })
	w.learn(n, w.visible())
}

func (w *world) kill(n *process) {
	n.alive = false
	n.pending = nil
}

// pause stops a process; wake lets it go on, in any order of what is due.
func (w *world) pause(n *process) { n.paused = true }

func (w *world) wake(n *process) {
	if !n.alive || !n.paused {
		return
	}
	n.paused = false
	due := n.pending
	n.pending = nil
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	life := n.life
	for _, do := range due {
		w.after(w.duration(5*time.Millisecond), func() { w.on(n, life, do) })
	}
}

func (w *world) tick(n *process) {
	w.later(n, modelTick, func() { w.tick(n) })
	w.do(n, n.core.Tick(w.clock(n)))
}

// do carries out what a core wants.
func (w *world) do(n *process, out Output) {
	for _, envelope := range out.Messages {
		w.send(n, envelope.To, envelope.Message)
	}
	for _, proposal := range out.Writes {
		w.put(n, proposal)
	}
	for _, service := range out.Reads {
		w.read(n, service)
	}
}

func (w *world) find(name string) *process {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// duration returns a random duration below a bound.
func (w *world) duration(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// latency returns how long a message takes, and whether it gets lost.
func (w *world) latency() (time.Duration, bool) {
	if w.rng.IntN(100) < w.cond.lossPercent {
		return 0, true
	}
	d := time.Millisecond + w.duration(4*time.Millisecond)
	if w.cond.delayMax > 0 && w.rng.IntN(3) == 0 {
		d += w.duration(w.cond.delayMax)
	}
	return d, false
}

// spreadMembers tells each node whom it has heard lately.
func (w *world) spreadMembers() {
	w.after(modelMembers, w.spreadMembers)
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

// memberAt returns what node n thinks of node m.
func (w *world) memberAt(n, m *process) Member {
	linked := !w.cut[[2]string{m.name, n.name}] && !w.cut[[2]string{n.name, m.name}]
	if n == m || m.alive && !m.paused && linked {
		n.lastHeard[m.name] = w.now
	}
	return Member{
		Node:        m.name,
		Incarnation: m.life,
		DataCentre:  m.centre,
		Services:    []string{modelService},
		Alive:       w.now-n.lastHeard[m.name] < time.Second && (n == m || !m.heldDead),
		Eligible:    m.eligible,
	}
}

// check notes a broken promise.
func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		w.problems = append(w.problems, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
	}
}
