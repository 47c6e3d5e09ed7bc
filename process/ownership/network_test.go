package ownership

import (
	"time"

	"verbenatrestle/process/ownership/assignment"
	"verbenatrestle/process/ownership/internal/rule"
	"verbenatrestle/process/ownership/message"
)

// send sends a message between cores. It may be lost, delayed or duplicated.
func (w *simulation) send(from *process, to string, m any) {
	target := w.find(to)
	if _, update := m.(*message.Assigned); target == nil || update && target.noObjectUpdates {
		return
	}
	copies := 1
	if w.faults.lossPercent > 0 && w.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		w.deliver(from, target, func() {
			out, _ := target.core.Handle(from.name, m, w.clock(target))
			w.execute(target, out)
		})
	}
}

// deliver calls do at another node after the latency of the network, unless the
// message is lost.
func (w *simulation) deliver(from, to *process, do func()) {
	if from == to {
		w.later(to, 0, do)
		return
	}
	d, lost := w.latency()
	if lost || w.cut[[2]string{from.name, to.name}] {
		return
	}
	w.later(to, d, do)
}

// put makes a conditional write. Its response may be lost, and it may take
// effect late.
func (w *simulation) put(n *process, p ConditionalWrite) {
	respond := func(d time.Duration, result WriteResult) {
		result.ID = p.ID
		result.Service = p.Service
		w.later(n, d, func() {
			out, err := n.core.HandleWriteResult(result, w.clock(n))
			w.check(err == nil, "handle write result: %v", err)
			w.execute(n, out)
		})
	}
	oneWay := 2*time.Millisecond + w.duration(10*time.Millisecond)
	if w.faults.platformDown || n.noPlatform {
		if w.rng.IntN(2) == 0 {
			respond(oneWay, WriteResult{Outcome: Failed})
			return
		}
		respond(time.Second, WriteResult{Outcome: Uncertain})
		return
	}
	if w.faults.writesLate {
		w.after(w.duration(4*time.Second), func() { w.applyWrite(p) })
		respond(time.Second, WriteResult{Outcome: Uncertain})
		return
	}
	w.after(oneWay, func() {
		applied := w.applyWrite(p)
		if w.faults.answersLost && w.rng.IntN(2) == 0 {
			respond(time.Second, WriteResult{Outcome: Uncertain})
			return
		}
		if applied {
			respond(oneWay, WriteResult{Outcome: Written, Version: w.platform.version})
			return
		}
		respond(oneWay, WriteResult{Outcome: Conflict, Version: w.platform.version, Value: w.platform.value})
	})
}

// applyWrite applies a write to the platform if its condition holds, and sends
// the new object to all nodes.
func (w *simulation) applyWrite(p ConditionalWrite) bool {
	if w.platform.version != p.IfVersion {
		return false
	}
	w.platform.version += 1 + uint64(w.rng.IntN(3))
	w.platform.value = p.Value
	w.states = append(w.states, pastState{at: w.now, object: w.platform})
	for _, n := range w.nodes {
		w.later(n, 5*time.Millisecond+w.duration(50*time.Millisecond), func() { w.deliverObject(n, w.platform) })
	}
	if w.restartWitnessesAfterWrite {
		w.restartWitnessesAfterWrite = false
		w.after(w.duration(300*time.Millisecond), func() { w.after(w.duration(200*time.Millisecond), w.killNodes(w.otherWitnesses(3)...)) })
	}
	a, err := assignment.Decode(p.Value)
	w.check(err == nil, "decode: %v", err)
	if err == nil {
		w.counts["epoch"] = int(a.Epoch)
		for _, part := range a.Partitions {
			w.counts["tenure"] = max(w.counts["tenure"], int(part.Tenure))
			if part.Handover != nil {
				w.counts["handover"]++
			}
		}
	}
	return true
}

// deliverObject delivers the object to a node as a watch does.
func (w *simulation) deliverObject(n *process, object modelPlatform) {
	if w.faults.platformDown || n.noPlatform || object.version == 0 {
		return
	}
	out, err := n.core.Observe(modelService, object.version, object.value, w.clock(n))
	w.check(err == nil, "observe: %v", err)
	w.execute(n, out)
}

// relist delivers the present object to all nodes periodically.
func (w *simulation) relist() {
	w.after(modelRelistPeriod, w.relist)
	for _, n := range w.nodes {
		w.later(n, w.duration(modelRelistPeriod), func() { w.deliverObject(n, w.platform) })
	}
}

// readableObject returns the object that a read returns: the present one, or an
// older one if the rule that requires current reads is disabled.
func (w *simulation) readableObject() modelPlatform {
	if !w.disabledRules.Has(rule.CurrentRead) {
		return w.platform
	}
	stale := w.platform
	for _, state := range w.states {
		if state.at <= w.now-modelStaleness {
			stale = state.object
		}
	}
	return stale
}

// read reads the object for a node. The response may be delayed.
func (w *simulation) read(n *process, service string) {
	d := 2*time.Millisecond + w.duration(10*time.Millisecond)
	if w.faults.delayMax > 0 {
		d += w.duration(w.faults.delayMax)
	}
	failed := w.faults.platformDown || n.noPlatform
	object := w.readableObject()
	w.later(n, d, func() {
		out, err := n.core.HandleReadResult(service, object.version, object.value, failed, w.clock(n))
		w.check(err == nil, "read: %v", err)
		w.execute(n, out)
	})
}
