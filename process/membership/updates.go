package membership

import (
	"math/bits"
	"time"

	"verbenatrestle/connection/wire"
)

// Sizes of encoded news in bytes, roughly; a record's strings come on top.
const (
	recordBytes   = 70
	livenessBytes = 22
	rumourBytes   = 30
)

// Bounds of messages.
const (
	// maxRecordsPerAnswer is how many records one answer carries.
	maxRecordsPerAnswer = 40
)

// announce has a piece of news passed on: at once as far as the tokens go, and
// with the heartbeats.
func (t *Table) announce(key updateKey) {
	if t.suppressAnnouncements {
		return
	}
	t.updates.push(key)
	t.urgentUpdates = append(t.urgentUpdates, key)
}

// send adds a message to what this call returns.
func (t *Table) send(to string, message any) {
	t.outbox = append(t.outbox, wire.Envelope{To: to, Message: message})
}

// flush ends a call: it passes urgent news on to the neighbours but the one
// that it came from, and returns what is to be sent.
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

// announceSelf announces this node as soon as it knows another.
func (t *Table) announceSelf() {
	if t.announced || len(t.neighbourIDs()) == 0 {
		return
	}
	t.announced = true
	t.announce(updateKey{recordUpdate, t.selfID})
}

// refillTokens adds the tokens for urgent news that have come due.
func (t *Table) refillTokens(now time.Time) {
	if elapsed := now.Sub(t.tokensRefilledAt).Seconds(); elapsed > 0 {
		t.urgentTokens = min(t.urgentTokens+elapsed*t.opts.UrgentBytesPerSecond, t.opts.UrgentBurstBytes)
		t.tokensRefilledAt = now
	}
}

// appendUpdate adds a piece of news as it is now, and returns its size in bytes,
// roughly; 0 means that there is nothing to tell any more.
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

// member returns a member by its place, this node included.
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

// toRecord returns a member as it is told to others: each node lets a suspect die
// by its own clock.
func toRecord(m Member) Member {
	if m.Status == Dead {
		m.Status = Suspect
	}
	return m
}

// recordSize returns the size of a member's record in bytes, roughly.
func (m *Member) recordSize() int {
	return recordBytes + len(m.Node) + len(m.DataCentre) + len(m.Region) + len(m.PeerAddress) +
		len(m.HopAddress) + len(m.AdminAddress) + len(m.Service) + len(m.Instance)
}

// piggyback returns the news for one heartbeat.
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

// transmitLimit is how often a node sends a piece of news with its heartbeats. It
// grows with the logarithm of the fleet, as the spread of a rumour does.
func (t *Table) transmitLimit() int {
	return 2 + bits.Len(uint(len(t.ring.ids)))/3
}

// handleUpdates takes in the news of a message. From is nil when the sender isn't
// known yet.
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

// sendRequestedRecords sends the records that a peer asked for.
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
