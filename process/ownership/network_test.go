package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// send sends a message between cores. It may be lost, delayed or duplicated.
func (sim *simulation) send(from *process, to string, m any) {
	target := sim.find(to)
	if _, update := m.(*message.Assigned); target == nil || update && target.noObjectUpdates {
		return
	}
	copies := 1
	if sim.faults.lossPercent > 0 && sim.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		sim.deliver(from, target, func() {
			out, _ := target.core.Handle(from.name, m, sim.clock(target))
			sim.execute(target, out)
		})
	}
}

// deliver calls do at another node after the latency of the network, unless the
// message is lost.
func (sim *simulation) deliver(from, to *process, do func()) {
	if from == to {
		sim.later(to, 0, do)
		return
	}
	d, lost := sim.latency()
	if lost || sim.cut[[2]string{from.name, to.name}] {
		return
	}
	sim.later(to, d, do)
}

// put makes a conditional write. Its response may be lost, and it may take
// effect late.
func (sim *simulation) put(n *process, w ConditionalWrite) {
	respond := func(d time.Duration, result WriteResult) {
		result.ID = w.ID
		result.Service = w.Service
		sim.later(n, d, func() {
			out, err := n.core.HandleWriteResult(result, sim.clock(n))
			sim.check(err == nil, "handle write result: %v", err)
			sim.execute(n, out)
		})
	}
	oneWay := 2*time.Millisecond + sim.duration(10*time.Millisecond)
	if sim.faults.platformDown || n.noPlatform {
		if sim.rng.IntN(2) == 0 {
			respond(oneWay, WriteResult{Outcome: Failed})
			return
		}
		respond(time.Second, WriteResult{Outcome: Uncertain})
		return
	}
	if sim.faults.writesLate {
		sim.after(sim.duration(4*time.Second), func() { sim.applyWrite(w) })
		respond(time.Second, WriteResult{Outcome: Uncertain})
		return
	}
	sim.after(oneWay, func() {
		applied := sim.applyWrite(w)
		if sim.faults.answersLost && sim.rng.IntN(2) == 0 {
			respond(time.Second, WriteResult{Outcome: Uncertain})
			return
		}
		if applied {
			respond(oneWay, WriteResult{Outcome: Written, Version: sim.platform.version})
			return
		}
		respond(oneWay, WriteResult{Outcome: Conflict, Version: sim.platform.version, Value: sim.platform.value})
	})
}

// applyWrite applies a write to the platform if its condition holds, and sends
// the new object to all nodes.
func (sim *simulation) applyWrite(w ConditionalWrite) bool {
	if sim.platform.version != w.IfVersion {
		return false
	}
	sim.platform.version += 1 + uint64(sim.rng.IntN(3))
	sim.platform.value = w.Value
	sim.states = append(sim.states, pastState{at: sim.now, object: sim.platform})
	for _, n := range sim.nodes {
		sim.later(n, 5*time.Millisecond+sim.duration(50*time.Millisecond), func() { sim.deliverObject(n, sim.platform) })
	}
	if sim.restartWitnessesAfterWrite {
		sim.restartWitnessesAfterWrite = false
		sim.after(sim.duration(300*time.Millisecond), func() { sim.after(sim.duration(200*time.Millisecond), sim.killNodes(sim.otherWitnesses(3)...)) })
	}
	a, err := assignment.Decode(w.Value)
	sim.check(err == nil, "decode: %v", err)
	if err == nil {
		sim.counts["epoch"] = int(a.Epoch)
		for _, part := range a.Partitions {
			sim.counts["tenure"] = max(sim.counts["tenure"], int(part.Tenure))
			if part.Handover != nil {
				sim.counts["handover"]++
			}
		}
	}
	return true
}

// deliverObject delivers the object to a node as a watch does.
func (sim *simulation) deliverObject(n *process, object modelPlatform) {
	if sim.faults.platformDown || n.noPlatform || object.version == 0 {
		return
	}
	out, err := n.core.Observe(modelService, object.version, object.value, sim.clock(n))
	sim.check(err == nil, "observe: %v", err)
	sim.execute(n, out)
}

// relist delivers the current object to all nodes periodically.
func (sim *simulation) relist() {
	sim.after(modelRelistPeriod, sim.relist)
	for _, n := range sim.nodes {
		sim.later(n, sim.duration(modelRelistPeriod), func() { sim.deliverObject(n, sim.platform) })
	}
}

// readableObject returns the object that a read returns: the current one, or an
// older one if the rule that requires current reads is disabled.
func (sim *simulation) readableObject() modelPlatform {
	if !sim.disabledRules.Has(rule.CurrentRead) {
		return sim.platform
	}
	stale := sim.platform
	for _, state := range sim.states {
		if state.at <= sim.now-modelStaleness {
			stale = state.object
		}
	}
	return stale
}

// read reads the object for a node. The response may be delayed.
func (sim *simulation) read(n *process, service string) {
	d := 2*time.Millisecond + sim.duration(10*time.Millisecond)
	if sim.faults.delayMax > 0 {
		d += sim.duration(sim.faults.delayMax)
	}
	failed := sim.faults.platformDown || n.noPlatform
	object := sim.readableObject()
	sim.later(n, d, func() {
		out, err := n.core.HandleReadResult(service, object.version, object.value, failed, sim.clock(n))
		sim.check(err == nil, "read: %v", err)
		sim.execute(n, out)
	})
}
