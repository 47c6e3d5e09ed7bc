package membership

import (
	"encoding/binary"
	"time"

	"verbenatrestle/connection/wire"
)

func putUint64(b []byte, word uint64) {
	binary.LittleEndian.PutUint64(b, word)
}

// change edits an entry and keeps what is derived from the entries. An entry
// whose Node is "" before is new.
func (t *Table) change(now time.Time, e *entry, edit func(*Member)) {
	before := e.Member
	if before.Node != "" && before.Status.Present() {
		t.others ^= hashEntry(e.id, &before)
	}
	edit(&e.Member)
	if e.Status.Present() {
		t.others ^= hashEntry(e.id, &e.Member)
	}
	if before.Node == "" || before.Status != e.Status {
		e.since = now
	}
	t.place(e, before)
	t.noteChange(before, e.Member)
}

// place keeps the ring and the count of absent members in step with an entry.
func (t *Table) place(e *entry, before Member) {
	was := before.Node != "" && before.Status.Present()
	is := e.Status.Present()
	if before.Status == Suspect {
		t.suspects--
	}
	if e.Status == Suspect {
		t.suspects++
	}
	if before.Node != "" && !was {
		t.absent--
	}
	if !is {
		t.absent++
	}
	if was == is {
		return
	}
	t.ringSeq++
	if is {
		t.ring.add(e.id)
		return
	}
	t.ring.remove(e.id)
	e.unanswered = time.Time{}
}

// noteChange counts a change and has the subscribers told.
func (t *Table) noteChange(before, after Member) {
	t.versionsKept = false
	t.newest = max(t.newest, after.ConfigVersion)
	if !sameButVersion(before, after) {
		t.version++
		t.services = nil
	}
	for _, f := range t.subscribers {
		t.calls = append(t.calls, func() { f(Change{Before: before, After: after}) })
	}
}

// sameButVersion reports whether two members differ in ConfigVersion at most.
func sameButVersion(a, b Member) bool {
	a.ConfigVersion = b.ConfigVersion
	return a == b
}

// applyRecord takes in a member's record and reports whether it told anything
// new. From is the sender, nil for the platform.
func (t *Table) applyRecord(now time.Time, from *entry, m Member) bool {
	id := ringID(m.Node)
	if m.Status >= statusCount {
		return false
	}
	if id == t.selfID {
		t.hearOfSelf(now, m.Incarnation, m.Sequence, m.liveness())
		return false
	}
	e := t.byID[id]
	if e == nil {
		return t.addMember(now, id, m)
	}
	if e.Node != m.Node || m.Incarnation < e.Incarnation {
		return false
	}
	if m.Incarnation > e.Incarnation {
		t.change(now, e, func(old *Member) { *old = m })
		e.refuted = 0
		e.unanswered = time.Time{}
		t.announce(newsKey{newsRecord, id})
		return true
	}
	changed := t.applyContent(now, e, m)
	if t.applyLiveness(now, from, m.liveness()) {
		changed = true
	}
	return changed
}

// addMember takes in a member that wasn't known. Absent ones aren't worth it:
// a tombstone that came back from others would never be forgotten.
func (t *Table) addMember(now time.Time, id uint64, m Member) bool {
	if !m.Status.Present() || m.Node == "" {
		return false
	}
	if len(t.byID) >= t.opts.MaxMembers && !t.forgetOldest() {
		return false
	}
	e := &entry{id: id}
	t.byID[id] = e
	t.change(now, e, func(old *Member) { *old = m })
	t.announce(newsKey{newsRecord, id})
	return true
}

// applyContent takes in newer content of the same incarnation.
func (t *Table) applyContent(now time.Time, e *entry, m Member) bool {
	t.applyVersion(now, e, m.ConfigVersion)
	if m.Sequence <= e.Sequence {
		t.heardRecord(e, m)
		return false
	}
	t.change(now, e, func(old *Member) {
		m.ConfigVersion = max(m.ConfigVersion, old.ConfigVersion)
		m.Refutations = old.Refutations
		m.Status = old.Status
		*old = m
	})
	t.announce(newsKey{newsRecord, e.id})
	return true
}

// heardRecord notes a record that tells nothing new.
func (t *Table) heardRecord(e *entry, m Member) {
	if m.Sequence == e.Sequence {
		t.news.heard(newsKey{newsRecord, e.id}, t.maxSends())
	}
}

// applyLiveness takes in what a sender believes of a member's life and reports
// whether that was new. Within an incarnation, having left is final, more
// refutations win, and at as many a suspicion wins.
func (t *Table) applyLiveness(now time.Time, from *entry, l Liveness) bool {
	if l.Status >= statusCount {
		return false
	}
	if l.ID == t.selfID {
		t.hearOfSelf(now, l.Incarnation, 0, l)
		return false
	}
	e := t.byID[l.ID]
	if e == nil || e.Incarnation != l.Incarnation || e.Status == Left {
		t.wantUnknown(from, e, l)
		return false
	}
	status := l.Status
	if status == Dead {
		status = Suspect
	}
	switch {
	case status == Left:
	case l.Refutations > e.Refutations:
	case l.Refutations == e.Refutations && status == Suspect && e.Status == Alive:
	case l.Refutations == e.Refutations && status == Alive && e.Status == Dead:
		t.contradict(now, from, e)
		return false
	default:
		t.heardLiveness(e, l.Refutations, status)
		return false
	}
	t.change(now, e, func(old *Member) {
		old.Refutations = max(l.Refutations, old.Refutations)
		old.Status = status
	})
	t.announce(newsKey{newsLiveness, e.id})
	return true
}

// heardLiveness notes news of a life that tells nothing new.
func (t *Table) heardLiveness(e *entry, refutations uint64, status Status) {
	if refutations == e.Refutations && status == e.liveness().Status {
		t.news.heard(newsKey{newsLiveness, e.id}, t.maxSends())
	}
}

// wantUnknown asks the sender for a record that this node lacks.
func (t *Table) wantUnknown(from, e *entry, l Liveness) {
	lacks := e == nil || e.Incarnation < l.Incarnation
	if from != nil && lacks && l.Status == Alive {
		t.send(from.Node, &Gossip{Updates: Updates{RequestedIDs: []uint64{l.ID}}})
	}
}

// UpdateSelf changes this node's own entry and floods it to the neighbours. A
// change of ConfigVersion alone travels with the heartbeats. Node, Incarnation,
// Sequence, Refutations and Status can't be changed.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	before := t.self
	after := before
	change(&after)
	after.Node, after.Incarnation = before.Node, before.Incarnation
	after.Sequence, after.Refutations, after.Status = before.Sequence, before.Refutations, before.Status
	if after == before {
		return nil
	}
	if !sameButVersion(before, after) {
		after.Sequence++
		t.announce(newsKey{newsRecord, t.selfID})
	}
	t.self = after
	t.noteChange(before, after)
	return t.finish(now, "")
}

// Leave marks this node as left and floods it. The node should live on for a
// moment, so that the news gets out.
func (t *Table) Leave(now time.Time) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	before := t.self
	t.left = true
	t.self.Status = Left
	t.self.Sequence++
	t.noteChange(before, t.self)
	t.announce(newsKey{newsRecord, t.selfID})
	return t.finish(now, "")
}

// hearOfSelf contradicts news of this node that is wrong.
func (t *Table) hearOfSelf(now time.Time, incarnation, sequence uint64, l Liveness) {
	if t.left || incarnation < t.self.Incarnation {
		return
	}
	before := t.self
	switch {
	case incarnation > t.self.Incarnation:
		// An earlier process under this name had a clock ahead of this one's,
		// or another process has the same name: then both would raise their
		// incarnations for ever, hence the limit to one in a period.
		if now.Sub(t.renamedAt) < t.opts.Period {
			return
		}
		t.renamedAt = now
		t.self.Incarnation = incarnation + 1
		t.announce(newsKey{newsRecord, t.selfID})
	case sequence > t.self.Sequence:
		t.self.Sequence = sequence + 1
		t.announce(newsKey{newsRecord, t.selfID})
	case l.Status != Alive && l.Refutations >= t.self.Refutations:
		t.self.Refutations = l.Refutations + 1
		t.announce(newsKey{newsLiveness, t.selfID})
	default:
		return
	}
	t.noteChange(before, t.self)
}

// Seed takes in members that were read from the platform.
func (t *Table) Seed(now time.Time, members []Member) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	// What the platform holds, others can read there.
	t.quiet = true
	for _, m := range members {
		m.Status = Alive
		t.applyRecord(now, nil, m)
	}
	t.quiet = false
	return t.finish(now, "")
}
