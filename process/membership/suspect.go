package membership

import (
	"slices"
	"time"

	"verbenatrestle/connection/wire"
)

const (
	// maxPatience bounds the doubling of SuspectAfter for a member that has
	// refuted this node's suspicions.
	maxPatience = 5
	// youngDeath is for how many ConfirmAfter a death is news: a peer that
	// takes the member to be alive then just hasn't heard.
	youngDeath = 8
	// reprobesPerRound bounds the dead members that a node tries to reach
	// because a peer takes them to be alive.
	reprobesPerRound = 2
	// reprobeEvery is the least time between two such attempts for a member.
	reprobeEvery = time.Minute
)

// paused reports whether this node itself has not run for a while.
func (t *Table) paused(now time.Time) bool {
	return now.Sub(t.lastTick) > pausedPeriods*t.opts.Period
}

// excuses reports whether a broken link may be this node's own fault: peers
// close the links of a paused node, which learns of it when it runs again.
func (t *Table) excuses(now time.Time) bool {
	return t.paused(now) || now.Sub(t.resumed) < pausedPeriods*t.opts.Period
}

// forgive restarts the clocks that ran against others while this node was
// paused: their answers may wait unread.
func (t *Table) forgive(now time.Time) {
	t.resumed = now
	for _, e := range t.byID {
		e.unanswered = time.Time{}
		if e.Status == Suspect {
			e.since = now
		}
	}
}

// suspectSilent suspects neighbours that leave heartbeats unanswered. A member
// that refuted this node's suspicions before is given more time.
func (t *Table) suspectSilent(now time.Time) {
	for _, id := range t.fingers() {
		e := t.byID[id]
		patience := t.opts.SuspectAfter << min(e.refuted, maxPatience)
		if !e.unanswered.IsZero() && now.Sub(e.unanswered) >= patience {
			t.suspect(now, e)
		}
	}
}

// suspect marks a member as suspect and spreads that.
func (t *Table) suspect(now time.Time, e *entry) {
	if e.Status != Alive {
		return
	}
	e.refuted++
	e.unanswered = now
	t.change(now, e, func(m *Member) { m.Status = Suspect })
	t.announce(newsKey{newsLiveness, e.id})
}

// LinkUp tells the table that the link to a peer is open.
func (t *Table) LinkUp(now time.Time, peer string) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	return t.finish(now, "")
}

// LinkDown tells the table that the link to a peer failed or couldn't be
// opened; a link that was closed for being idle is no failure. The peer is
// suspected at once, unless this node was paused itself or the peer has refuted
// before.
func (t *Table) LinkDown(now time.Time, peer string) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	e := t.entry(peer)
	if e == nil || t.excuses(now) {
		return nil
	}
	if e.refuted == 0 {
		t.suspect(now, e)
	} else if e.unanswered.IsZero() {
		e.unanswered = now
	}
	return t.finish(now, "")
}

// expire lets suspects die and forgets old tombstones. The dead are not news:
// every node that heard the suspicion comes to it by itself.
func (t *Table) expire(now time.Time) {
	if t.suspects+t.absent == 0 {
		return
	}
	for _, e := range t.byID {
		age := now.Sub(e.since)
		switch {
		case e.Status == Suspect && age >= t.opts.DeadAfter:
			t.change(now, e, func(m *Member) { m.Status = Dead })
		case !e.Status.Present() && age >= t.opts.ForgetAfter:
			t.forget(e)
		}
	}
}

// forget drops a dead or left member.
func (t *Table) forget(e *entry) {
	delete(t.byID, e.id)
	t.absent--
	t.news.drop(newsKey{newsRecord, e.id})
	t.news.drop(newsKey{newsLiveness, e.id})
	t.noteChange(e.Member, Member{})
}

// forgetOldest makes room by dropping the member that is dead or left for the
// longest time. It reports whether there was one.
func (t *Table) forgetOldest() bool {
	var oldest *entry
	for _, e := range t.byID {
		if !e.Status.Present() && (oldest == nil || e.since.Before(oldest.since)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.forget(oldest)
	return true
}

// reconnect tries now and then to reach a dead member, since after a cut each
// side takes the other to be dead. All nodes together try each dead member
// about once a period, and one node not more often than ReconnectEvery.
func (t *Table) reconnect(now time.Time) {
	if t.absent == 0 {
		return
	}
	chance := float64(t.absent) / float64(len(t.ring.places))
	limit := float64(t.opts.Period) / float64(t.opts.MinReconnectInterval)
	if t.rng.Float64() >= min(chance, limit) {
		return
	}
	dead := t.dead()
	if len(dead) > 0 {
		t.reprobe(now, t.byID[dead[t.rng.IntN(len(dead))]])
	}
}

// dead returns the places of the dead members in order.
func (t *Table) dead() []uint64 {
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
	e.reprobed = now
	t.send(e.Node, t.heartbeat(e, false))
}

// contradict answers a peer that takes a dead member to be alive. Shortly after
// the death the peer hasn't heard of it. Later, one side of a cut that has
// healed speaks: then this node tries the member itself, which refutes if it
// lives, and only a vain attempt makes this node insist.
func (t *Table) contradict(now time.Time, from, e *entry) {
	if from == nil || from == e {
		return
	}
	tried := now.Sub(e.reprobed)
	young := now.Sub(e.since) < youngDeath*t.opts.DeadAfter
	vain := tried >= t.opts.SuspectAfter && tried < reprobeEvery
	switch {
	case young || vain:
		t.send(from.Node, &Gossip{Updates: Updates{Livenesses: []Liveness{e.liveness()}}})
	case tried >= reprobeEvery && t.reprobes < reprobesPerRound:
		t.reprobes++
		t.reprobe(now, e)
	}
}
