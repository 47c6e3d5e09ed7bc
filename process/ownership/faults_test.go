package ownership

import (
	"fmt"
	"slices"
	"time"

	"verbenatrestle/process/ownership/assignment"
)

// faultKind is a kind of fault, or something that operators do.
type faultKind int

const (
	faultPause                      faultKind = iota // the process is paused and later resumed
	faultKill                                        // the process ends and later starts without its earlier state
	faultRestartWitnesses                            // three witnesses are killed at the same time
	faultRestartWitnessesAfterWrite                  // three witnesses are killed soon after the next write
	faultCutOff                                      // all links of the node are cut
	faultOneWay                                      // messages from the node to others are lost
	faultSplit                                       // the nodes are split into two groups without links
	faultPlatformDown                                // all calls of the platform fail
	faultNoPlatform                                  // the node can't reach the platform
	faultNoObjectUpdates                             // the node receives the object neither from the platform nor from other nodes
	faultDeclaredDead                                // membership of the other nodes reports the node dead
	faultLoss                                        // messages are lost and duplicated
	faultDelay                                       // messages are delayed
	faultLateWrites                                  // writes take effect late and their outcome is uncertain
	faultLostAnswers                                 // responses to writes are lost
	faultIneligible                                  // the node should own no partitions
	faultWitnessesIneligible                         // three other nodes should no longer be witnesses
	faultClockStep                                   // the wall clock steps within the skew
	faultKinds
)

var faultNames = [...]string{"pause", "kill", "restart-witnesses", "restart-witnesses-after-write", "cut-off", "one-way",
	"split", "platform-down", "no-platform", "no-object-updates", "declared-dead", "loss", "delay", "late-writes",
	"lost-answers", "ineligible", "witnesses-ineligible", "clock-step"}

// currentOwner as a node's index means the owner of partition 0 when the fault
// begins.
const currentOwner = -1

// fault is a fault of a node that begins at a time and lasts for a duration.
type fault struct {
	kind      faultKind
	node      int
	at, lasts time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s(n%d %v+%v)", faultNames[f.kind], f.node, f.at, f.lasts)
}

// beginFault begins a fault and returns the function that ends it.
func (sim *simulation) beginFault(f fault) (end func()) {
	n := sim.nodes[sim.nodeIndex(f.node)]
	switch f.kind {
	case faultPause:
		sim.pause(n)
		return func() { sim.resume(n) }
	case faultKill:
		return sim.killNodes(n)
	case faultRestartWitnesses:
		return sim.killNodes(sim.otherWitnesses(3)...)
	case faultRestartWitnessesAfterWrite:
		return setFlag(&sim.restartWitnessesAfterWrite)
	case faultCutOff, faultOneWay, faultSplit:
		return sim.cutLinks(f.kind, n)
	case faultPlatformDown:
		return setFlag(&sim.faults.platformDown)
	case faultNoPlatform:
		return setFlag(&n.noPlatform)
	case faultNoObjectUpdates:
		return both(setFlag(&n.noPlatform), setFlag(&n.noObjectUpdates))
	case faultDeclaredDead:
		return setFlag(&n.declaredDead)
	case faultLateWrites:
		return setFlag(&sim.faults.writesLate)
	case faultLostAnswers:
		return setFlag(&sim.faults.answersLost)
	case faultLoss:
		sim.faults.lossPercent = 30
		return func() { sim.faults.lossPercent = 0 }
	case faultDelay:
		sim.faults.delayMax = 4 * time.Second
		return func() { sim.faults.delayMax = 0 }
	case faultIneligible:
		return clearFlag(&n.eligible)
	case faultWitnessesIneligible:
		return sim.makeWitnessesIneligible(n)
	default:
		n.offset = sim.randomOffset()
		return func() {}
	}
}

// setFlag sets a flag and returns the function that clears it.
func setFlag(flag *bool) func() {
	*flag = true
	return func() { *flag = false }
}

// clearFlag clears a flag and returns the function that sets it.
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

// nodeIndex returns the index of a node, and of the current owner for
// currentOwner.
func (sim *simulation) nodeIndex(node int) int {
	if node != currentOwner {
		return node
	}
	if a := sim.assignment(); a != nil {
		for i, n := range sim.nodes {
			if n.name == a.Partitions[0].Owner {
				return i
			}
		}
	}
	return 0
}

// assignment returns the object's content, or nil before there is one.
func (sim *simulation) assignment() *assignment.Assignment {
	if sim.platform.version == 0 {
		return nil
	}
	a, err := assignment.Decode(sim.platform.value)
	sim.check(err == nil, "decode: %v", err)
	return a
}

// otherWitnesses returns up to count random witnesses, without the current owner
// and nodes that receive no updates of the object.
func (sim *simulation) otherWitnesses(count int) []*process {
	owner := sim.nodes[sim.nodeIndex(currentOwner)]
	var list []*process
	for _, i := range sim.rng.Perm(len(sim.nodes)) {
		m := sim.nodes[i]
		if m != owner && !m.noObjectUpdates && len(list) < count && sim.isWitness(m) {
			list = append(list, m)
		}
	}
	return list
}

func (sim *simulation) isWitness(n *process) bool {
	a := sim.assignment()
	return a != nil && slices.Contains(a.Witnesses, n.name)
}

// killNodes ends the processes of nodes and returns the function that starts
// them again.
func (sim *simulation) killNodes(nodes ...*process) (end func()) {
	for _, n := range nodes {
		sim.kill(n)
	}
	return func() {
		for _, n := range nodes {
			if !n.alive {
				sim.start(n)
			}
		}
	}
}

// makeWitnessesIneligible makes up to three witnesses other than n ineligible.
func (sim *simulation) makeWitnessesIneligible(n *process) (end func()) {
	end = func() {}
	a := sim.assignment()
	if a == nil {
		return end
	}
	out := 0
	for _, name := range a.Witnesses {
		if m := sim.find(name); m != n && out < 3 {
			out++
			end = both(end, clearFlag(&m.eligible))
		}
	}
	return end
}

// cutLinks cuts the links of a fault. For faultSplit, the group of n consists of
// n and enough witnesses for a majority. This group receives no updates of the
// object.
func (sim *simulation) cutLinks(kind faultKind, n *process) (end func()) {
	near := map[*process]bool{n: true}
	end = func() {}
	if kind == faultSplit {
		near = sim.majorityWith(n)
		for m := range near {
			end = both(end, both(setFlag(&m.noPlatform), setFlag(&m.noObjectUpdates)))
		}
	}
	var links [][2]string
	for _, a := range sim.nodes {
		for _, b := range sim.nodes {
			if near[a] && !near[b] || kind != faultOneWay && near[b] && !near[a] {
				links = append(links, [2]string{a.name, b.name})
			}
		}
	}
	for _, link := range links {
		sim.cut[link] = true
	}
	return both(end, func() {
		for _, link := range links {
			delete(sim.cut, link)
		}
	})
}

// majorityWith returns n and as many witnesses as are needed for a majority.
func (sim *simulation) majorityWith(n *process) map[*process]bool {
	near := map[*process]bool{n: true}
	a := sim.assignment()
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
		if m := sim.find(name); !near[m] && count < len(a.Witnesses)/2+1 {
			near[m] = true
			count++
		}
	}
	return near
}
