package membership

import "time"

// versionMapMembers is how many members a VersionMap tells of, when not all have
// the version; it bounds the map to 64 bytes.
const versionMapMembers = 512

// VersionMap says on which members a configuration version, or a higher one, is
// in force. Members are named by their index on the ring, so it means something
// only to a table with the same ring.
type VersionMap struct {
	// Version is the highest version that the sender knows of.
	Version uint64
	// RingDigest stands for the sender's ring.
	RingDigest uint64
	// First is the index of the first member that is told of.
	First uint32
	// Count is how many members are told of.
	Count uint32
	// Bits has one bit a member, lowest first; none means that all are set.
	Bits []byte
}

// nextVersionMap returns the next part of what this node knows.
func (t *Table) nextVersionMap() VersionMap {
	ids := t.ring.ids
	m := VersionMap{Version: t.newestConfigVersion, RingDigest: t.ring.digest}
	if t.allHaveNewestVersion() {
		m.Count = uint32(len(ids))
		return m
	}
	if t.versionCursor >= len(ids) {
		t.versionCursor = 0
	}
	t.fillVersionMap(&m, t.versionCursor, min(versionMapMembers, len(ids)-t.versionCursor))
	t.versionCursor += versionMapMembers
	return m
}

// allHaveNewestVersion reports whether, to this node's knowledge, all present
// members have the newest version. The answer is kept until a member changes.
func (t *Table) allHaveNewestVersion() bool {
	if t.allNewestCached {
		return t.allNewest
	}
	t.allNewestCached = true
	t.allNewest = true
	for _, id := range t.ring.ids {
		if t.presentMember(id).ConfigVersion < t.newestConfigVersion {
			t.allNewest = false
			break
		}
	}
	return t.allNewest
}

// fillVersionMap has the map tell of count members from an index on.
func (t *Table) fillVersionMap(m *VersionMap, first, count int) {
	m.First = uint32(first)
	m.Count = uint32(count)
	m.Bits = make([]byte, (count+7)/8)
	for i, id := range t.ring.ids[first : first+count] {
		if member := t.presentMember(id); member.ConfigVersion >= m.Version {
			m.Bits[i/8] |= 1 << (i % 8)
		}
	}
}

// presentMember returns a member that is on the ring.
func (t *Table) presentMember(id uint64) *Member {
	if id == t.selfID {
		return &t.self
	}
	return &t.byID[id].Member
}

// handleVersionMap takes in a part of what a peer knows.
func (t *Table) handleVersionMap(now time.Time, m *VersionMap) {
	ids := t.ring.ids
	first, count := int(m.First), int(m.Count)
	if m.Version <= t.newestConfigVersion && t.allHaveNewestVersion() {
		return
	}
	if m.RingDigest != t.ring.digest || first+count > len(ids) {
		return
	}
	if len(m.Bits) > 0 && len(m.Bits) < (count+7)/8 {
		return
	}
	for i, id := range ids[first : first+count] {
		hasVersion := len(m.Bits) == 0 || m.Bits[i/8]&(1<<(i%8)) != 0
		if hasVersion && id != t.selfID {
			t.applyConfigVersion(now, t.byID[id], m.Version)
		}
	}
}

// applyConfigVersion takes in a configuration version of a member.
func (t *Table) applyConfigVersion(now time.Time, e *entry, version uint64) {
	if version > e.ConfigVersion {
		t.changeEntry(now, e, func(old *Member) { old.ConfigVersion = version })
	}
}
