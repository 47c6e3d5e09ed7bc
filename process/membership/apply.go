package membership

import (
	"encoding/binary"
	"time"

	"verbenatrestle/connection/wire"
)

func putUint64(b []byte, word uint64) {
	binary.LittleEndian.PutUint64(b, word)
}

// changeEntry edits an entry, updates the digest, the ring and the counts of
// members, and informs the subscribers. An entry whose Node is "" before the
// edit is new.
func (t *Table) changeEntry(now time.Time, e *entry, edit func(*Member)) {
	before := e.Member
	if before.Node != "" && before.Status.Present() {
		t.othersDigest ^= hashEntry(e.id, &before)
	}
	edit(&e.Member)
	if e.Status.Present() {
		t.othersDigest ^= hashEntry(e.id, &e.Member)
	}
	if before.Node == "" || before.Status != e.Status {
		e.statusSince = now
	}
	t.updateRing(e, before)
	t.publishChange(before, e.Member)
}

// updateRing updates the ring and the counts of suspects and absent members
// after a change of an entry.
func (t *Table) updateRing(e *entry, before Member) {
	wasPresent := before.Node != "" && before.Status.Present()
	isPresent := e.Status.Present()
	if before.Status == Suspect {
		t.suspectCount--
	}
	if e.Status == Suspect {
		t.suspectCount++
	}
	if before.Node != "" && !wasPresent {
		t.absentCount--
	}
	if !isPresent {
		t.absentCount++
	}
	if wasPresent == isPresent {
		return
	}
	t.ringChanges++
	if isPresent {
		t.ring.add(e.id)
		return
	}
	t.ring.remove(e.id)
	e.unansweredSince = time.Time{}
}

// publishChange counts a change, invalidates cached values, and schedules the
// calls of the subscribers.
func (t *Table) publishChange(before, after Member) {
	t.allNewestCached = false
	t.newestConfigVersion = max(t.newestConfigVersion, after.ConfigVersion)
	if !equalExceptConfigVersion(before, after) {
		t.changeCount++
		t.membersByService = nil
	}
	for _, f := range t.subscribers {
		t.callbacks = append(t.callbacks, func() { f(Change{Before: before, After: after}) })
	}
}

// equalExceptConfigVersion reports whether two members are equal in all fields
// other than ConfigVersion.
func equalExceptConfigVersion(a, b Member) bool {
	a.ConfigVersion = b.ConfigVersion
	return a == b
}

// applyRecord merges a member's record into the table and reports whether it
// contained anything new. The sender from is nil for a record from the platform
// and for an unknown sender.
func (t *Table) applyRecord(now time.Time, from *entry, m Member) bool {
	id := ringID(m.Node)
	if m.Status >= statusCount {
		return false
	}
	if id == t.selfID {
		t.refute(now, m.Incarnation, m.Sequence, m.liveness())
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
		t.changeEntry(now, e, func(old *Member) { *old = m })
		e.suspicions = 0
		e.unansweredSince = time.Time{}
		t.announce(updateKey{recordUpdate, id})
		return true
	}
	changed := t.applyContent(now, e, m)
	if t.applyLiveness(now, from, m.liveness()) {
		changed = true
	}
	return changed
}

// addMember adds a member that isn't in the table, and reports whether it did.
// Dead and left members aren't added: nodes would pass tombstones to each other
// and never forget them.
func (t *Table) addMember(now time.Time, id uint64, m Member) bool {
	if !m.Status.Present() || m.Node == "" {
		return false
	}
	if len(t.byID) >= t.opts.MaxMembers && !t.forgetOldest() {
		return false
	}
	e := &entry{id: id}
	t.byID[id] = e
	t.changeEntry(now, e, func(old *Member) { *old = m })
	t.announce(updateKey{recordUpdate, id})
	return true
}

// applyContent applies the content of a record of the same incarnation if it is
// newer, and reports whether it was.
func (t *Table) applyContent(now time.Time, e *entry, m Member) bool {
	t.applyConfigVersion(now, e, m.ConfigVersion)
	if m.Sequence <= e.Sequence {
		t.countKnownRecord(e, m)
		return false
	}
	t.changeEntry(now, e, func(old *Member) {
		m.ConfigVersion = max(m.ConfigVersion, old.ConfigVersion)
		m.Refutations = old.Refutations
		m.Status = old.Status
		*old = m
	})
	t.announce(updateKey{recordUpdate, e.id})
	return true
}

// countKnownRecord counts the receipt of a record that contains nothing new.
func (t *Table) countKnownRecord(e *entry, m Member) {
	if m.Sequence == e.Sequence {
		t.updates.countReceipt(updateKey{recordUpdate, e.id}, t.transmitLimit())
	}
}

// applyLiveness merges a member's liveness into the table and reports whether
// it was new. Within an incarnation the status Left is final, a higher number
// of refutations wins, and at an equal number a suspicion wins. Dead is treated
// as Suspect. The sender from is nil if it is unknown.
func (t *Table) applyLiveness(now time.Time, from *entry, l Liveness) bool {
	if l.Status >= statusCount {
		return false
	}
	if l.ID == t.selfID {
		t.refute(now, l.Incarnation, 0, l)
		return false
	}
	e := t.byID[l.ID]
	if e == nil || e.Incarnation != l.Incarnation || e.Status == Left {
		t.requestMissingRecord(from, e, l)
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
		t.handleAliveClaim(now, from, e)
		return false
	default:
		t.countKnownLiveness(e, l.Refutations, status)
		return false
	}
	t.changeEntry(now, e, func(old *Member) {
		old.Refutations = max(l.Refutations, old.Refutations)
		old.Status = status
	})
	t.announce(updateKey{livenessUpdate, e.id})
	return true
}

// countKnownLiveness counts the receipt of a liveness that contains nothing
// new.
func (t *Table) countKnownLiveness(e *entry, refutations uint64, status Status) {
	if refutations == e.Refutations && status == e.liveness().Status {
		t.updates.countReceipt(updateKey{livenessUpdate, e.id}, t.transmitLimit())
	}
}

// requestMissingRecord requests the record of a member that is alive according
// to the sender, if this node has no entry of that incarnation.
func (t *Table) requestMissingRecord(from, e *entry, l Liveness) {
	lacks := e == nil || e.Incarnation < l.Incarnation
	if from != nil && lacks && l.Status == Alive {
		t.send(from.Node, &Gossip{Updates: Updates{RequestedIDs: []uint64{l.ID}}})
	}
}

// UpdateSelf changes this node's own entry and returns the messages to send,
// which flood the new record. A change of ConfigVersion alone is sent with the
// heartbeats instead. Changes of Node, Incarnation, Sequence, Refutations and
// Status are ignored. The function change is called with the table locked, so
// it must not use the table.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	before := t.self
	after := before
	change(&after)
	after.Node, after.Incarnation = before.Node, before.Incarnation
	after.Sequence, after.Refutations, after.Status = before.Sequence, before.Refutations, before.Status
	if after == before {
		return nil
	}
	if !equalExceptConfigVersion(before, after) {
		after.Sequence++
		t.announce(updateKey{recordUpdate, t.selfID})
	}
	t.self = after
	t.publishChange(before, after)
	return t.flush(now, "")
}

// Leave marks this node as left and returns the messages to send, which flood
// the new status. The process should keep running for a moment, so that they
// are delivered.
func (t *Table) Leave(now time.Time) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	before := t.self
	t.left = true
	t.self.Status = Left
	t.self.Sequence++
	t.publishChange(before, t.self)
	t.announce(updateKey{recordUpdate, t.selfID})
	return t.flush(now, "")
}

// refute corrects wrong or outdated state of this node that others spread: it
// raises the counter that decides above the received one and announces the
// result.
func (t *Table) refute(now time.Time, incarnation, sequence uint64, l Liveness) {
	if t.left || incarnation < t.self.Incarnation {
		return
	}
	before := t.self
	switch {
	case incarnation > t.self.Incarnation:
		// The clock of an earlier process under this name was ahead, or
		// another process uses the same name now. Two such processes would
		// raise their incarnations without end, hence the limit of once a
		// period.
		if now.Sub(t.incarnationRaisedAt) < t.opts.Period {
			return
		}
		t.incarnationRaisedAt = now
		t.self.Incarnation = incarnation + 1
		t.announce(updateKey{recordUpdate, t.selfID})
	case sequence > t.self.Sequence:
		t.self.Sequence = sequence + 1
		t.announce(updateKey{recordUpdate, t.selfID})
	case l.Status != Alive && l.Refutations >= t.self.Refutations:
		t.self.Refutations = l.Refutations + 1
		t.announce(updateKey{livenessUpdate, t.selfID})
	default:
		return
	}
	t.publishChange(before, t.self)
}

// Seed merges members that were read from the platform, as if they were alive,
// and returns the messages to send. It doesn't announce these members.
func (t *Table) Seed(now time.Time, members []Member) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	// Other nodes can read the same members from the platform.
	t.suppressAnnouncements = true
	for _, m := range members {
		m.Status = Alive
		t.applyRecord(now, nil, m)
	}
	t.suppressAnnouncements = false
	return t.flush(now, "")
}
