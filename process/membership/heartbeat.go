package membership

import (
	"time"

	"verbenatrestle/connection/wire"
)

// pausedPeriods is after how many periods without a tick this node takes
// itself to have been paused.
const pausedPeriods = 2

// Tick does what is due and returns what is to be sent. Call it at least four
// times a period.
func (t *Table) Tick(now time.Time) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	if t.lastTick.IsZero() {
		// Nodes that start together beat at different moments.
		t.nextRound = now.Add(time.Duration(t.rng.Float64() * float64(t.opts.Period)))
	} else if t.paused(now) {
		t.forgive(now)
	}
	t.lastTick = now
	if !now.Before(t.nextRound) {
		t.nextRound = now.Add(time.Duration((0.9 + 0.2*t.rng.Float64()) * float64(t.opts.Period)))
		t.round(now)
	}
	return t.finish(now, "")
}

// round does what is due once a period.
func (t *Table) round(now time.Time) {
	t.answered = 0
	t.reprobes = 0
	t.expire(now)
	t.suspectSilent(now)
	for _, id := range t.targets() {
		t.beat(now, t.byID[id])
	}
	t.reconnect(now)
}

// targets returns the neighbours that get a heartbeat in this round: always the
// nearest, and the others in turn.
func (t *Table) targets() []uint64 {
	fingers := t.fingers()
	if len(fingers) <= t.opts.HeartbeatFanout {
		return fingers
	}
	targets := []uint64{fingers[0]}
	others := fingers[1:]
	for len(targets) < t.opts.HeartbeatFanout {
		t.turn++
		targets = append(targets, others[t.turn%len(others)])
	}
	return targets
}

// beat sends a heartbeat.
func (t *Table) beat(now time.Time, e *entry) {
	if e.unanswered.IsZero() {
		e.unanswered = now
	}
	t.send(e.Node, t.heartbeat(e, false))
}

// heartbeat returns a heartbeat for a member. One that isn't taken to be alive
// is told so first, so that it can refute.
func (t *Table) heartbeat(to *entry, ack bool) *Heartbeat {
	h := &Heartbeat{
		Ack:           ack,
		Incarnation:   t.self.Incarnation,
		Sequence:      t.self.Sequence,
		Refutations:   t.self.Refutations,
		ConfigVersion: t.self.ConfigVersion,
		Digest:        t.digest(),
		Versions:      t.versionMap(),
		Updates:       t.piggyback(),
	}
	if to.Status != Alive {
		h.Updates.Livenesses = append(h.Updates.Livenesses, to.liveness())
	}
	return h
}

// Handle takes in a message of this package and returns what is to be sent. It
// doesn't change the message.
func (t *Table) Handle(now time.Time, from string, message any) []wire.Envelope {
	t.mu.Lock()
	defer t.unlock()
	if from == t.self.Node {
		return nil
	}
	e := t.entry(from)
	if e != nil {
		e.unanswered = time.Time{}
		e.refuted = 0
	}
	switch m := message.(type) {
	case *Heartbeat:
		t.hearHeartbeat(now, from, e, m)
	case *Gossip:
		t.hearNews(now, from, e, &m.Updates)
	case *SyncRequest:
		t.hearSyncRequest(from, m)
	case *SyncEntries:
		t.hearSyncEntries(now, from, e, m)
	}
	return t.finish(now, from)
}

// hearHeartbeat takes in a heartbeat and answers it.
func (t *Table) hearHeartbeat(now time.Time, from string, e *entry, h *Heartbeat) {
	t.hearNews(now, from, e, &h.Updates)
	e = t.entry(from)
	if e == nil {
		t.send(from, &Gossip{Updates: Updates{RequestedIDs: []uint64{ringID(from)}}})
		return
	}
	t.hearSender(now, e, h)
	t.hearVersions(now, &h.Versions)
	t.compareDigest(now, e, h.Digest)
	if !h.Ack {
		t.send(from, t.heartbeat(e, true))
	}
}

// hearSender takes in what a heartbeat says of its sender.
func (t *Table) hearSender(now time.Time, e *entry, h *Heartbeat) {
	claimed := Member{Incarnation: h.Incarnation, Sequence: h.Sequence}
	if e.staleContent(&claimed) {
		t.send(e.Node, &Gossip{Updates: Updates{RequestedIDs: []uint64{e.id}}})
	}
	if h.Incarnation != e.Incarnation {
		return
	}
	t.applyVersion(now, e, h.ConfigVersion)
	if h.Refutations > e.Refutations {
		t.applyLiveness(now, e, Liveness{ID: e.id, Incarnation: h.Incarnation, Refutations: h.Refutations, Status: Alive})
	}
	if h.Ack && e.Status != Alive && e.Status != Left {
		t.send(e.Node, &Gossip{Updates: Updates{Livenesses: []Liveness{e.liveness()}}})
	}
}

// compareDigest starts a comparison with a member whose table has differed for
// a while, at a bounded rate.
func (t *Table) compareDigest(now time.Time, e *entry, digest uint64) {
	if digest == t.digest() {
		e.differs = time.Time{}
		return
	}
	if e.differs.IsZero() {
		e.differs = now
	}
	if now.Sub(e.differs) < t.opts.SyncAfter || now.Sub(t.lastSync) < t.opts.MinSyncInterval {
		return
	}
	t.lastSync = now
	t.send(e.Node, &SyncRequest{BucketDigests: t.bucketDigests()})
}
