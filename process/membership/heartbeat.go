package membership

import (
	"time"

	"verbenatrestle/connection/wire"
)

// pausedPeriods is the number of periods without a call of Tick after which
// this node assumes that its process was paused.
const pausedPeriods = 2

// Tick performs the periodic work that is due and returns the messages to send.
// Call it at least four times a period.
func (t *Table) Tick(now time.Time) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if t.lastTick.IsZero() {
		// A random delay spreads the heartbeats of nodes that start together.
		t.nextRound = now.Add(time.Duration(t.rng.Float64() * float64(t.opts.Period)))
	} else if t.paused(now) {
		t.restartTimers(now)
	}
	t.lastTick = now
	if !now.Before(t.nextRound) {
		t.nextRound = now.Add(time.Duration((0.9 + 0.2*t.rng.Float64()) * float64(t.opts.Period)))
		t.runRound(now)
	}
	return t.flush(now, "")
}

// runRound performs the work that is due once a period.
func (t *Table) runRound(now time.Time) {
	t.syncAnswers = 0
	t.reprobes = 0
	t.expireEntries(now)
	t.suspectUnresponsive(now)
	for _, id := range t.heartbeatRecipients() {
		t.sendHeartbeat(now, t.byID[id])
	}
	t.reconnectToDead(now)
}

// heartbeatRecipients returns the ring IDs of the neighbours that are sent a
// heartbeat in this round: always the nearest one, and the others in turn.
func (t *Table) heartbeatRecipients() []uint64 {
	neighbours := t.neighbourIDs()
	if len(neighbours) <= t.opts.HeartbeatFanout {
		return neighbours
	}
	recipients := []uint64{neighbours[0]}
	others := neighbours[1:]
	for len(recipients) < t.opts.HeartbeatFanout {
		t.heartbeatTurn++
		recipients = append(recipients, others[t.heartbeatTurn%len(others)])
	}
	return recipients
}

// sendHeartbeat sends a heartbeat to a member. The wait for its answer begins
// now, unless an earlier heartbeat is still unanswered.
func (t *Table) sendHeartbeat(now time.Time, e *entry) {
	if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
	t.send(e.Node, t.newHeartbeat(e, false))
}

// newHeartbeat returns a heartbeat for a member. If the member isn't alive
// according to this table, the heartbeat contains that status, so that the
// member can refute it.
func (t *Table) newHeartbeat(to *entry, ack bool) *Heartbeat {
	h := &Heartbeat{
		Ack:           ack,
		Incarnation:   t.self.Incarnation,
		Sequence:      t.self.Sequence,
		Refutations:   t.self.Refutations,
		ConfigVersion: t.self.ConfigVersion,
		Digest:        t.digest(),
		Versions:      t.nextVersionMap(),
		Updates:       t.piggyback(),
	}
	if to.Status != Alive {
		h.Updates.Livenesses = append(h.Updates.Livenesses, to.liveness())
	}
	return h
}

// Handle processes a message of this package from a peer and returns the
// messages to send. It doesn't modify the message. A message whose sender has
// this node's own name is ignored.
func (t *Table) Handle(now time.Time, from string, message any) []wire.Envelope {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if from == t.self.Node {
		return nil
	}
	e := t.entry(from)
	if e != nil {
		e.unansweredSince = time.Time{}
		e.suspicions = 0
	}
	switch m := message.(type) {
	case *Heartbeat:
		t.handleHeartbeat(now, from, e, m)
	case *Gossip:
		t.handleUpdates(now, from, e, &m.Updates)
	case *SyncRequest:
		t.handleSyncRequest(from, m)
	case *SyncEntries:
		t.handleSyncEntries(now, from, e, m)
	}
	return t.flush(now, from)
}

// handleHeartbeat processes a heartbeat and answers it unless it is an answer.
// It requests the record of an unknown sender instead.
func (t *Table) handleHeartbeat(now time.Time, from string, e *entry, h *Heartbeat) {
	t.handleUpdates(now, from, e, &h.Updates)
	e = t.entry(from)
	if e == nil {
		t.send(from, &Gossip{Updates: Updates{RequestedIDs: []uint64{ringID(from)}}})
		return
	}
	t.applySenderState(now, e, h)
	t.handleVersionMap(now, &h.Versions)
	t.maybeSync(now, e, h.Digest)
	if !h.Ack {
		t.send(from, t.newHeartbeat(e, true))
	}
}

// applySenderState applies the counters of a heartbeat to the entry of its
// sender, and requests the sender's record if that is newer.
func (t *Table) applySenderState(now time.Time, e *entry, h *Heartbeat) {
	reported := Member{Incarnation: h.Incarnation, Sequence: h.Sequence}
	if e.contentOlderThan(&reported) {
		t.send(e.Node, &Gossip{Updates: Updates{RequestedIDs: []uint64{e.id}}})
	}
	if h.Incarnation != e.Incarnation {
		return
	}
	t.applyConfigVersion(now, e, h.ConfigVersion)
	if h.Refutations > e.Refutations {
		t.applyLiveness(now, e, Liveness{ID: e.id, Incarnation: h.Incarnation, Refutations: h.Refutations, Status: Alive})
	}
	if h.Ack && e.Status != Alive && e.Status != Left {
		t.send(e.Node, &Gossip{Updates: Updates{Livenesses: []Liveness{e.liveness()}}})
	}
}

// maybeSync asks a member to compare tables when their digests have differed
// for SyncAfter, at most once per MinSyncInterval.
func (t *Table) maybeSync(now time.Time, e *entry, digest uint64) {
	if digest == t.digest() {
		e.differsSince = time.Time{}
		return
	}
	if e.differsSince.IsZero() {
		e.differsSince = now
	}
	if now.Sub(e.differsSince) < t.opts.SyncAfter || now.Sub(t.lastSync) < t.opts.MinSyncInterval {
		return
	}
	t.lastSync = now
	t.send(e.Node, &SyncRequest{BucketDigests: t.bucketDigests()})
}
