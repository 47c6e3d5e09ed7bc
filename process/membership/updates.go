package membership

import (
	"math/bits"
	"time"

	"verbenatrestle/connection/wire"
)

// Approximate sizes of encoded updates in bytes, without their strings and
// payloads.
const (
	recordBytes   = 70
	livenessBytes = 22
	rumourBytes   = 30
)

// maxRecordsPerAnswer is the largest number of records in an answer to a peer.
const maxRecordsPerAnswer = 40

// announce schedules an update to be sent: at once as far as the tokens allow,
// and with the heartbeats.
func (t *Table) announce(key updateKey) {
	if t.suppressAnnouncements {
		return
	}
	t.updates.push(key)
	t.urgentUpdates = append(t.urgentUpdates, key)
}

// send adds a message to the outbox.
func (t *Table) send(to string, message any) {
	t.outbox = append(t.outbox, wire.Envelope{To: to, Message: message})
}

// flush is called at the end of each method that may send messages. It sends
// the urgent updates, as far as the tokens allow, to all neighbours except from,
// the sender of the message that is handled ("" if there is none). Then it
// empties the outbox and returns its content.
func (t *Table) flush(now time.Time, from string) []wire.Envelope {
	t.announceSelf()
	t.refillTokens(now)
	var updates Updates
	for _, key := range t.urgentUpdates {
		if t.urgentTokens <= 0 {
			break
		}
		t.urgentTokens -= float64(t.appendUpdate(&updates, key))
	}
	t.urgentUpdates = t.urgentUpdates[:0]
	if !updates.empty() {
		message := &Gossip{Updates: updates}
		for _, id := range t.neighbourIDs() {
			if to := t.byID[id].Node; to != from {
				t.send(to, message)
			}
		}
	}
	out := t.outbox
	t.outbox = nil
	return out
}

// announceSelf announces this node's record once, as soon as it has a
// neighbour.
func (t *Table) announceSelf() {
	if t.announced || len(t.neighbourIDs()) == 0 {
		return
	}
	t.announced = true
	t.announce(updateKey{recordUpdate, t.selfID})
}

// refillTokens adds the tokens for urgent updates that accrued since the last
// call.
func (t *Table) refillTokens(now time.Time) {
	if elapsed := now.Sub(t.tokensRefilledAt).Seconds(); elapsed > 0 {
		t.urgentTokens = min(t.urgentTokens+elapsed*t.opts.UrgentBytesPerSecond, t.opts.UrgentBurstBytes)
		t.tokensRefilledAt = now
	}
}

// appendUpdate appends the current state of an update, and returns its
// approximate size in bytes. It returns 0 if the member or the rumour was
// forgotten.
func (t *Table) appendUpdate(updates *Updates, key updateKey) int {
	if key.kind == rumourUpdate {
		r, ok := t.rumours.seen[key.id]
		if !ok {
			return 0
		}
		updates.Rumours = append(updates.Rumours, *r)
		return rumourBytes + len(r.Rumour.Origin) + len(r.Rumour.Payload)
	}
	m, ok := t.member(key.id)
	if !ok {
		return 0
	}
	if key.kind == livenessUpdate {
		updates.Livenesses = append(updates.Livenesses, m.liveness())
		return livenessBytes
	}
	updates.Records = append(updates.Records, toRecord(m))
	return m.recordSize()
}

// member returns the member with a ring ID, this node included, and whether it
// is in the table.
func (t *Table) member(id uint64) (Member, bool) {
	if id == t.selfID {
		return t.self, true
	}
	e, ok := t.byID[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// toRecord returns a member as it is sent to other nodes. Dead is sent as
// Suspect, because each node declares a suspect dead by its own clock.
func toRecord(m Member) Member {
	if m.Status == Dead {
		m.Status = Suspect
	}
	return m
}

// recordSize returns the approximate size of a member's encoded record in
// bytes.
func (m *Member) recordSize() int {
	return recordBytes + len(m.Node) + len(m.DataCentre) + len(m.Region) + len(m.PeerAddress) +
		len(m.HopAddress) + len(m.AdminAddress) + len(m.Service) + len(m.Instance)
}

// piggyback returns the updates for one heartbeat.
func (t *Table) piggyback() Updates {
	var updates Updates
	remaining := t.opts.PiggybackBytes
	t.updates.take(t.transmitLimit(), func(key updateKey) bool {
		if remaining <= 0 {
			return false
		}
		remaining -= t.appendUpdate(&updates, key)
		return true
	})
	return updates
}

// transmitLimit returns how often a node sends an update with its heartbeats.
// It grows with the logarithm of the number of members, like the number of
// rounds that an update needs to reach all of them.
func (t *Table) transmitLimit() int {
	return 2 + bits.Len(uint(len(t.ring.ids)))/3
}

// handleUpdates applies the updates of a message and answers requests for
// records. The entry from is nil if the sender isn't in the table yet.
func (t *Table) handleUpdates(now time.Time, sender string, from *entry, updates *Updates) {
	refutationsBefore := t.self.Refutations
	for _, m := range updates.Records {
		t.applyRecord(now, from, m)
	}
	for _, l := range updates.Livenesses {
		t.applyLiveness(now, from, l)
	}
	for _, r := range updates.Rumours {
		t.handleRumour(now, r)
	}
	if t.self.Refutations != refutationsBefore {
		t.send(sender, &Gossip{Updates: Updates{Livenesses: []Liveness{t.self.liveness()}}})
	}
	t.sendRequestedRecords(sender, updates.RequestedIDs)
}

// sendRequestedRecords sends the records that a peer requested, at most
// maxRecordsPerAnswer.
func (t *Table) sendRequestedRecords(sender string, ids []uint64) {
	var updates Updates
	for _, id := range ids {
		m, ok := t.member(id)
		if ok && len(updates.Records) < maxRecordsPerAnswer {
			updates.Records = append(updates.Records, toRecord(m))
		}
	}
	if !updates.empty() {
		t.send(sender, &Gossip{Updates: updates})
	}
}
