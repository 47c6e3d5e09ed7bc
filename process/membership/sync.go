package membership

import (
	"slices"
	"time"
)

const (
	// bucketCount is the number of buckets, equal parts of the range of ring
	// IDs, by which two tables are compared.
	bucketCount = 64
	// bucketShift is the right shift that turns a ring ID into its bucket
	// index.
	bucketShift = 58
	// maxSyncEntries is the number of entries at which a SyncEntries message
	// gets no further bucket.
	maxSyncEntries = 80
	// maxSyncAnswersPerRound is how many SyncRequests a node answers in a
	// round.
	maxSyncAnswersPerRound = 4
)

// bucketDigests returns the digest of the present members in each bucket.
func (t *Table) bucketDigests() []uint64 {
	digests := make([]uint64, bucketCount)
	if t.self.Status.Present() {
		digests[t.selfID>>bucketShift] ^= hashEntry(t.selfID, &t.self)
	}
	for id, e := range t.byID {
		if e.Status.Present() {
			digests[id>>bucketShift] ^= hashEntry(id, &e.Member)
		}
	}
	return digests
}

// bucketIDs returns the ring IDs of all members in a bucket, dead and left ones
// included, in ascending order.
func (t *Table) bucketIDs(index uint8) []uint64 {
	var ids []uint64
	if uint8(t.selfID>>bucketShift) == index {
		ids = append(ids, t.selfID)
	}
	for id := range t.byID {
		if uint8(id>>bucketShift) == index {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// handleSyncRequest answers a peer with the members in the buckets whose
// digests differ. It starts at a random bucket, so that further requests cover
// the buckets that don't fit into one message.
func (t *Table) handleSyncRequest(from string, r *SyncRequest) {
	if len(r.BucketDigests) != bucketCount || t.syncAnswers >= maxSyncAnswersPerRound {
		return
	}
	t.syncAnswers++
	own := t.bucketDigests()
	answer := &SyncEntries{}
	start := t.rng.IntN(bucketCount)
	for i := range bucketCount {
		index := (start + i) % bucketCount
		if own[index] == r.BucketDigests[index] {
			continue
		}
		answer.Buckets = append(answer.Buckets, uint8(index))
		for _, id := range t.bucketIDs(uint8(index)) {
			m, _ := t.member(id)
			answer.Entries = append(answer.Entries, syncEntry(id, &m))
		}
		if len(answer.Entries) >= maxSyncEntries {
			break
		}
	}
	t.send(from, answer)
}

func syncEntry(id uint64, m *Member) SyncEntry {
	return SyncEntry{
		ID:          id,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		Refutations: m.Refutations,
		Status:      m.Status,
	}
}

// handleSyncEntries compares a peer's entries with those of this table. It
// applies newer livenesses, sends records and livenesses that the peer lacks,
// and requests records that this node lacks.
func (t *Table) handleSyncEntries(now time.Time, sender string, from *entry, s *SyncEntries) {
	theirs := make(map[uint64]SyncEntry, len(s.Entries))
	for _, entry := range s.Entries {
		theirs[entry.ID] = entry
	}
	var updates Updates
	for _, index := range s.Buckets {
		for _, id := range t.bucketIDs(index) {
			entry, known := theirs[id]
			delete(theirs, id)
			t.compareEntry(now, from, id, entry, known, &updates)
		}
	}
	// The remaining entries are not in this table.
	for _, entry := range s.Entries {
		if _, unknown := theirs[entry.ID]; unknown && entry.Status.Present() {
			updates.RequestedIDs = append(updates.RequestedIDs, entry.ID)
		}
	}
	if !updates.empty() {
		t.send(sender, &Gossip{Updates: updates})
	}
}

// compareEntry compares a member of this table with the peer's entry of it,
// which is valid if known is set, and adds what is to be sent to updates.
func (t *Table) compareEntry(now time.Time, from *entry, id uint64, theirs SyncEntry, known bool, updates *Updates) {
	m, _ := t.member(id)
	reported := Member{Incarnation: theirs.Incarnation, Sequence: theirs.Sequence}
	switch {
	case !known:
		if m.Status.Present() {
			t.appendRecord(updates, m)
		}
	case reported.contentOlderThan(&m):
		t.appendRecord(updates, m)
	case m.contentOlderThan(&reported):
		updates.RequestedIDs = append(updates.RequestedIDs, id)
	case theirs.Status != m.Status || theirs.Refutations != m.Refutations:
		t.compareLiveness(now, from, m, theirs, updates)
	}
}

// compareLiveness compares the status of a member in both tables. It applies
// the peer's status if that is newer, and otherwise adds its own to updates.
// Dead at an equal number of refutations is neither applied nor sent, because
// each node declares a suspect dead by its own clock.
func (t *Table) compareLiveness(now time.Time, from *entry, m Member, theirs SyncEntry, updates *Updates) {
	theirLiveness := Liveness{ID: theirs.ID, Incarnation: theirs.Incarnation, Refutations: theirs.Refutations, Status: theirs.Status}
	if theirs.Status != Dead || theirs.Refutations > m.Refutations {
		t.applyLiveness(now, from, theirLiveness)
	}
	m, _ = t.member(theirs.ID)
	if m.Status != Dead && (m.Status != theirs.Status || m.Refutations != theirs.Refutations) {
		updates.Livenesses = append(updates.Livenesses, m.liveness())
	}
}

// appendRecord adds a record unless there are maxRecordsPerAnswer already.
func (t *Table) appendRecord(updates *Updates, m Member) {
	if len(updates.Records) < maxRecordsPerAnswer {
		updates.Records = append(updates.Records, toRecord(m))
	}
}
