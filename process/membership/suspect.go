package membership

import (
	"slices"
	"time"

	"verbenatrestle/connection/wire"
)

const (
	// maxSuspectDoublings limits how often SuspectAfter is doubled for a member
	// that has refuted this node's suspicions.
	maxSuspectDoublings = 5
	// recentDeathFactor determines how long a death counts as recent, as a
	// multiple of DeadAfter. During that time a peer for which the member is
	// still alive has probably not received the suspicion yet.
	recentDeathFactor = 8
	// maxReprobesPerRound limits how many dead members a node tries to reach in
	// a round because they are alive according to a peer.
	maxReprobesPerRound = 2
	// minReprobeInterval is the least time between two attempts to reach the
	// same dead member because it is alive according to a peer.
	minReprobeInterval = time.Minute
)

// paused reports whether this process was probably paused, because Tick wasn't
// called for more than pausedPeriods periods.
func (t *Table) paused(now time.Time) bool {
	return now.Sub(t.lastTick) > pausedPeriods*t.opts.Period
}

// recentlyPaused reports whether a link may have broken because this process
// was paused: peers close the links of a paused node, and it detects that only
// when it runs again.
func (t *Table) recentlyPaused(now time.Time) bool {
	return t.paused(now) || now.Sub(t.resumedAt) < pausedPeriods*t.opts.Period
}

// restartTimers restarts the timers of the other members after a pause of this
// process, because answers of theirs may have been received but not processed
// yet.
func (t *Table) restartTimers(now time.Time) {
	t.resumedAt = now
	for _, e := range t.byID {
		e.unansweredSince = time.Time{}
		if e.Status == Suspect {
			e.statusSince = now
		}
	}
}

// suspectUnresponsive marks neighbours as suspect that have left heartbeats
// unanswered for too long. The time doubles with each suspicion that a member
// refuted while this node couldn't reach it.
func (t *Table) suspectUnresponsive(now time.Time) {
	for _, id := range t.neighbourIDs() {
		e := t.byID[id]
		timeout := t.opts.SuspectAfter << min(e.suspicions, maxSuspectDoublings)
		if !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) >= timeout {
			t.markSuspect(now, e)
		}
	}
}

// markSuspect marks a member that is alive as suspect and announces the
// suspicion.
func (t *Table) markSuspect(now time.Time, e *entry) {
	if e.Status != Alive {
		return
	}
	e.suspicions++
	e.unansweredSince = now
	t.changeEntry(now, e, func(m *Member) { m.Status = Suspect })
	t.announce(updateKey{livenessUpdate, e.id})
}

// LinkUp is to be called when the link to a peer was opened. It returns the
// messages to send.
func (t *Table) LinkUp(now time.Time, peer string) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	return t.flush(now, "")
}

// LinkDown is to be called when the link to a peer failed or couldn't be
// opened, but not when it was closed because it was idle. It returns the
// messages to send. The peer is suspected at once, unless this process was
// paused recently, or this node has suspected the peer since its last message:
// then the peer is only suspected after it leaves heartbeats unanswered.
func (t *Table) LinkDown(now time.Time, peer string) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	e := t.entry(peer)
	if e == nil || t.recentlyPaused(now) {
		return nil
	}
	if e.suspicions == 0 {
		t.markSuspect(now, e)
	} else if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
	return t.flush(now, "")
}

// expireEntries declares suspects dead after DeadAfter, and forgets dead and
// left members after ForgetAfter. Deaths aren't announced, because every node
// that received the suspicion declares the member dead itself.
func (t *Table) expireEntries(now time.Time) {
	if t.suspectCount+t.absentCount == 0 {
		return
	}
	for _, e := range t.byID {
		age := now.Sub(e.statusSince)
		switch {
		case e.Status == Suspect && age >= t.opts.DeadAfter:
			t.changeEntry(now, e, func(m *Member) { m.Status = Dead })
		case !e.Status.Present() && age >= t.opts.ForgetAfter:
			t.forget(e)
		}
	}
}

// forget removes a dead or left member from the table.
func (t *Table) forget(e *entry) {
	delete(t.byID, e.id)
	t.absentCount--
	t.updates.drop(updateKey{recordUpdate, e.id})
	t.updates.drop(updateKey{livenessUpdate, e.id})
	t.publishChange(e.Member, Member{})
}

// forgetOldest removes the member that has been dead or left for the longest
// time, and reports whether there was one.
func (t *Table) forgetOldest() bool {
	var oldest *entry
	for _, e := range t.byID {
		if !e.Status.Present() && (oldest == nil || e.statusSince.Before(oldest.statusSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.forget(oldest)
	return true
}

// reconnectToDead sends a heartbeat to a random dead member in some of the
// rounds, because after a network partition each side has declared the other
// one dead. All nodes together try each dead member about once a period. A
// single node tries one member per MinReconnectInterval on average, or fewer.
func (t *Table) reconnectToDead(now time.Time) {
	if t.absentCount == 0 {
		return
	}
	probability := float64(t.absentCount) / float64(len(t.ring.ids))
	maxProbability := float64(t.opts.Period) / float64(t.opts.MinReconnectInterval)
	if t.rng.Float64() >= min(probability, maxProbability) {
		return
	}
	dead := t.deadIDs()
	if len(dead) > 0 {
		t.reprobe(now, t.byID[dead[t.rng.IntN(len(dead))]])
	}
}

// deadIDs returns the ring IDs of the dead members in ascending order.
func (t *Table) deadIDs() []uint64 {
	var dead []uint64
	for id, e := range t.byID {
		if e.Status == Dead {
			dead = append(dead, id)
		}
	}
	slices.Sort(dead)
	return dead
}

// reprobe sends a heartbeat to a dead member. The heartbeat contains a
// suspicion, so that the member can refute it.
func (t *Table) reprobe(now time.Time, e *entry) {
	e.reprobedAt = now
	t.send(e.Node, t.newHeartbeat(e, false))
}

// handleAliveClaim handles a message according to which a dead member e is
// alive. Shortly after the death, the sender probably hasn't received the
// suspicion yet, so this node sends it. Later, the sender was probably on the
// other side of a network partition that has healed. This node then tries to
// reach the member itself, which refutes its death if it runs, and sends the
// suspicion only when a recent attempt was not answered.
func (t *Table) handleAliveClaim(now time.Time, from, e *entry) {
	if from == nil || from == e {
		return
	}
	sinceReprobe := now.Sub(e.reprobedAt)
	recent := now.Sub(e.statusSince) < recentDeathFactor*t.opts.DeadAfter
	unanswered := sinceReprobe >= t.opts.SuspectAfter && sinceReprobe < minReprobeInterval
	switch {
	case recent || unanswered:
		t.send(from.Node, &Gossip{Updates: Updates{Livenesses: []Liveness{e.liveness()}}})
	case sinceReprobe >= minReprobeInterval && t.reprobes < maxReprobesPerRound:
		t.reprobes++
		t.reprobe(now, e)
	}
}
