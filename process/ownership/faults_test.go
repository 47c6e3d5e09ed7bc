package ownership

import (
	"fmt"
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
)

// faultKind is what goes wrong, or what operators do.
type faultKind int

const (
	faultPause                      faultKind = iota // the process is stopped, and goes on later
	faultKill                                        // the process ends, and starts again with empty memory
	faultRestartWitnesses                            // three other processes are killed at once
	faultRestartWitnessesAfterWrite                  // the same, right after the next write
	faultCutOff                                      // no link of the node works
	faultOneWay                                      // the node can't be heard
	faultSplit                                       // the nodes fall into two groups without links
	faultPlatformDown                                // the platform fails all calls
	faultNoPlatform                                  // the node can't reach the platform
	faultNoObjectUpdates                             // nor does it get the object from peers
	faultDeclaredDead                                // the others' membership holds the node for dead
	faultLoss                                        // messages get lost and doubled
	faultDelay                                       // messages are late
	faultLateWrites                                  // writes land late, and their end is not known
	faultLostAnswers                                 // answers to writes get lost
	faultIneligible                                  // the node should own nothing
	faultWitnessesIneligible                         // three witnesses beside the node should go
	faultClockStep                                   // the wall clock steps within the skew
	faultKinds
)

var faultNames = [...]string{"pause", "kill", "bounce", "bounce-next", "cut-off", "one-way", "halves", "platform-down",
	"no-platform", "no-news", "held-dead", "loss", "delay", "late-writes", "lost-answers", "ineligible",
	"others-out", "clock-step"}

// presentOwner stands for the node that the object names for partition 0 when
// the fault begins.
const presentOwner = -1

// fault begins at a moment and ends after a time.
type fault struct {
	kind      faultKind
	node      int
	at, lasts time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s(n%d %v+%v)", faultNames[f.kind], f.node, f.at, f.lasts)
}

// beginFault lets a fault begin, and returns what ends it.
func (w *simulation) beginFault(f fault) (end func()) {
	n := w.nodes[w.nodeIndex(f.node)]
	switch f.kind {
	case faultPause:
		w.pause(n)
		return func() { w.resume(n) }
	case faultKill:
		return w.killNodes(n)
	case faultRestartWitnesses:
		return w.killNodes(w.otherWitnesses(3)...)
	case faultRestartWitnessesAfterWrite:
		return setFlag(&w.restartWitnessesAfterWrite)
	case faultCutOff, faultOneWay, faultSplit:
		return w.cutLinks(f.kind, n)
	case faultPlatformDown:
		return setFlag(&w.faults.platformDown)
	case faultNoPlatform:
		return setFlag(&n.noPlatform)
	case faultNoObjectUpdates:
		return both(setFlag(&n.noPlatform), setFlag(&n.noObjectUpdates))
	case faultDeclaredDead:
		return setFlag(&n.declaredDead)
	case faultLateWrites:
		return setFlag(&w.faults.writesLate)
	case faultLostAnswers:
		return setFlag(&w.faults.answersLost)
	case faultLoss:
		w.faults.lossPercent = 30
		return func() { w.faults.lossPercent = 0 }
	case faultDelay:
		w.faults.delayMax = 4 * time.Second
		return func() { w.faults.delayMax = 0 }
	case faultIneligible:
		return clearFlag(&n.eligible)
	case faultWitnessesIneligible:
		return w.makeWitnessesIneligible(n)
	default:
		n.offset = w.randomOffset()
		return func() {}
	}
}

func setFlag(flag *bool) func() {
	*flag = true
	return func() { *flag = false }
}

func clearFlag(flag *bool) func() {
	*flag = false
	return func() { *flag = true }
}

func both(first, second func()) func() {
	return func() {
		first()
		second()
	}
}

// nodeIndex returns the index of the node that a fault is about.
func (w *simulation) nodeIndex(node int) int {
	if node != presentOwner {
		return node
	}
	if a := w.assignment(); a != nil {
		for i, n := range w.nodes {
			if n.name == a.Partitions[0].Owner {
				return i
			}
		}
	}
	return 0
}

// assignment returns the object's content, or nil before there is one.
func (w *simulation) assignment() *assignment.Assignment {
	if w.platform.version == 0 {
		return nil
	}
	a, err := assignment.Decode(w.platform.value)
	w.check(err == nil, "decode: %v", err)
	return a
}

// otherWitnesses returns up to count random witnesses beside the present owner and
// stale ones.
func (w *simulation) otherWitnesses(count int) []*process {
	owner := w.nodes[w.nodeIndex(presentOwner)]
	var list []*process
	for _, i := range w.rng.Perm(len(w.nodes)) {
		m := w.nodes[i]
		if m != owner && !m.noObjectUpdates && len(list) < count && w.isWitness(m) {
			list = append(list, m)
		}
	}
	return list
}

func (w *simulation) isWitness(n *process) bool {
	a := w.assignment()
	return a != nil && slices.Contains(a.Witnesses, n.name)
}

func (w *simulation) killNodes(nodes ...*process) (end func()) {
	for _, n := range nodes {
		w.kill(n)
	}
	return func() {
		for _, n := range nodes {
			if !n.alive {
				w.start(n)
			}
		}
	}
}

// makeWitnessesIneligible takes three witnesses beside n out of service.
func (w *simulation) makeWitnessesIneligible(n *process) (end func()) {
	end = func() {}
	a := w.assignment()
	if a == nil {
		return end
	}
	out := 0
	for _, name := range a.Witnesses {
		if m := w.find(name); m != n && out < 3 {
			out++
			end = both(end, clearFlag(&m.eligible))
		}
	}
	return end
}

// cutLinks cuts the links of a fault. Of halves, the one with n holds n and as
// many witnesses as make a majority, and can't reach the platform.
func (w *simulation) cutLinks(kind faultKind, n *process) (end func()) {
	near := map[*process]bool{n: true}
	end = func() {}
	if kind == faultSplit {
		near = w.majorityWith(n)
		for m := range near {
			end = both(end, both(setFlag(&m.noPlatform), setFlag(&m.noObjectUpdates)))
		}
	}
	var links [][2]string
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if near[a] && !near[b] || kind != faultOneWay && near[b] && !near[a] {
				links = append(links, [2]string{a.name, b.name})
			}
		}
	}
	for _, link := range links {
		w.cut[link] = true
	}
	return both(end, func() {
		for _, link := range links {
			delete(w.cut, link)
		}
	})
}

// majorityWith returns n and witnesses that make up a majority.
func (w *simulation) majorityWith(n *process) map[*process]bool {
	near := map[*process]bool{n: true}
	a := w.assignment()
	if a == nil {
		return near
	}
	count := 0
	for _, name := range a.Witnesses {
		if name == n.name {
			count++
		}
	}
	for _, name := range a.Witnesses {
		if m := w.find(name); !near[m] && count < len(a.Witnesses)/2+1 {
			near[m] = true
			count++
		}
	}
	return near
}
