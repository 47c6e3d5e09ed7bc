package membership

import (
	"slices"
	"time"

	"verbenatrestle/connection/wire"
)

const (
	// maxSuspectDoublings bounds the doubling of SuspectAfter for a member that has
	// refuted this node's suspicions.
	maxSuspectDoublings = 5
	// recentDeathFactor is for how many ConfirmAfter a death is news: a peer that
	// takes the member to be alive then just hasn't heard.
	recentDeathFactor = 8
	// maxReprobesPerRound bounds the dead members that a node tries to reach
	// because a peer takes them to be alive.
	maxReprobesPerRound = 2
	// minReprobeInterval is the least time between two such attempts for a member.
	minReprobeInterval = time.Minute
)

// paused reports whether this node itself has not run for a while.
func (t *Table) paused(now time.Time) bool {
	return now.Sub(t.lastTick) > pausedPeriods*t.opts.Period
}

// recentlyPaused reports whether a broken link may be this node's own fault: peers
// close the links of a paused node, which learns of it when it runs again.
func (t *Table) recentlyPaused(now time.Time) bool {
	return t.paused(now) || now.Sub(t.resumedAt) < pausedPeriods*t.opts.Period
}

// restartTimers restarts the clocks that ran against others while this node was
// paused: their answers may wait unread.
func (t *Table) restartTimers(now time.Time) {
	t.resumedAt = now
	for _, e := range t.byID {
		e.unansweredSince = time.Time{}
		if e.Status == Suspect {
			e.statusSince = now
		}
	}
}

// suspectUnresponsive suspects neighbours that leave heartbeats unanswered. A member
// that refuted this node's suspicions before is given more time.
func (t *Table) suspectUnresponsive(now time.Time) {
	for _, id := range t.neighbourIDs() {
		e := t.byID[id]
		timeout := t.opts.SuspectAfter << min(e.suspicions, maxSuspectDoublings)
		if !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) >= timeout {
			t.markSuspect(now, e)
		}
	}
}

// markSuspect marks a member as suspect and spreads that.
func (t *Table) markSuspect(now time.Time, e *entry) {
	if e.Status != Alive {
		return
	}
	e.suspicions++
	e.unansweredSince = now
	t.changeEntry(now, e, func(m *Member) { m.Status = Suspect })
	t.announce(updateKey{livenessUpdate, e.id})
}

// LinkUp tells the table that the link to a peer is open.
func (t *Table) LinkUp(now time.Time, peer string) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	return t.flush(now, "")
}

// LinkDown tells the table that the link to a peer failed or couldn't be
// opened; a link that was closed for being idle is no failure. The peer is
// suspected at once, unless this node was paused itself or the peer has refuted
// before.
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

// expireEntries lets suspects die and forgets old tombstones. The dead are not news:
// every node that heard the suspicion comes to it by itself.
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

// forget drops a dead or left member.
func (t *Table) forget(e *entry) {
	delete(t.byID, e.id)
	t.absentCount--
	t.updates.drop(updateKey{recordUpdate, e.id})
	t.updates.drop(updateKey{livenessUpdate, e.id})
	t.publishChange(e.Member, Member{})
}

// forgetOldest makes room by dropping the member that is dead or left for the
// longest time. It reports whether there was one.
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

// reconnectToDead tries now and then to reach a dead member, since after a cut each
// side takes the other to be dead. All nodes together try each dead member
// about once a period, and one node not more often than ReconnectEvery.
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

// deadIDs returns the places of the dead members in order.
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

// reprobe sends a dead member a heartbeat, which says that it is dead here.
func (t *Table) reprobe(now time.Time, e *entry) {
	e.reprobedAt = now
	t.send(e.Node, t.newHeartbeat(e, false))
}

// handleAliveClaim answers a peer that takes a dead member to be alive. Shortly after
// the death the peer hasn't heard of it. Later, one side of a cut that has
// healed speaks: then this node tries the member itself, which refutes if it
// lives, and only a vain attempt makes this node insist.
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
