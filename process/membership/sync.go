package membership

import (
	"slices"
	"time"
)

const (
	// bucketCount is into how many parts of the ring tables are compared.
	bucketCount = 64
	// bucketShift takes a place to its bucket.
	bucketShift = 58
	// maxSyncEntries is how many entries a SyncEntries carries, roughly.
	maxSyncEntries = 80
	// maxSyncAnswers is how many comparisons a node answers in a period.
	maxSyncAnswers = 4
)

// bucketDigests returns the digests of the present members, by bucket.
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

// bucket returns the places of all known members in a bucket, in order.
func (t *Table) bucket(index uint8) []uint64 {
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

// hearSyncRequest lists the members in buckets that differ, from a random one
// on, as far as one message goes.
func (t *Table) hearSyncRequest(from string, r *SyncRequest) {
	if len(r.BucketDigests) != bucketCount || t.answered >= maxSyncAnswers {
		return
	}
	t.answered++
	own := t.bucketDigests()
	answer := &SyncEntries{}
	start := t.rng.IntN(bucketCount)
	for i := range bucketCount {
		index := (start + i) % bucketCount
		if own[index] == r.BucketDigests[index] {
			continue
		}
		answer.Buckets = append(answer.Buckets, uint8(index))
		for _, id := range t.bucket(uint8(index)) {
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

// hearSyncEntries compares a peer's entries with this node's: it takes in newer
// lives, sends what the peer lacks, and asks for what this node lacks.
func (t *Table) hearSyncEntries(now time.Time, sender string, from *entry, s *SyncEntries) {
	theirs := make(map[uint64]SyncEntry, len(s.Entries))
	for _, entry := range s.Entries {
		theirs[entry.ID] = entry
	}
	var news Updates
	for _, index := range s.Buckets {
		for _, id := range t.bucket(index) {
			entry, known := theirs[id]
			delete(theirs, id)
			t.compareEntry(now, from, id, entry, known, &news)
		}
	}
	// What is left over is not known here.
	for _, entry := range s.Entries {
		if _, unknown := theirs[entry.ID]; unknown && entry.Status.Present() {
			news.RequestedIDs = append(news.RequestedIDs, entry.ID)
		}
	}
	if !news.empty() {
		t.send(sender, &Gossip{Updates: news})
	}
}

// compareEntry compares one member of this node with the peer's entry of it.
func (t *Table) compareEntry(now time.Time, from *entry, id uint64, theirs SyncEntry, known bool, news *Updates) {
	m, _ := t.member(id)
	claimed := Member{Incarnation: theirs.Incarnation, Sequence: theirs.Sequence}
	switch {
	case !known:
		if m.Status.Present() {
			t.addRecord(news, m)
		}
	case claimed.staleContent(&m):
		t.addRecord(news, m)
	case m.staleContent(&claimed):
		news.RequestedIDs = append(news.RequestedIDs, id)
	case theirs.Status != m.Status || theirs.Refutations != m.Refutations:
		t.compareLiveness(now, from, m, theirs, news)
	}
}

// compareLiveness compares what both sides believe of a member's life.
func (t *Table) compareLiveness(now time.Time, from *entry, m Member, theirs SyncEntry, news *Updates) {
	theirLiveness := Liveness{ID: theirs.ID, Incarnation: theirs.Incarnation, Refutations: theirs.Refutations, Status: theirs.Status}
	if theirs.Status != Dead || theirs.Refutations > m.Refutations {
		t.applyLiveness(now, from, theirLiveness)
	}
	m, _ = t.member(theirs.ID)
	if m.Status != Dead && (m.Status != theirs.Status || m.Refutations != theirs.Refutations) {
		news.Livenesses = append(news.Livenesses, m.liveness())
	}
}

// addRecord adds a record as long as there is room.
func (t *Table) addRecord(news *Updates, m Member) {
	if len(news.Records) < maxAnswerRecords {
		news.Records = append(news.Records, record(m))
	}
}
