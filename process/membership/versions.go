package membership

import "time"

// versionMapMembers is the largest number of members in a VersionMap with a
// bitmap. It limits the bitmap to 64 bytes.
const versionMapMembers = 512

// VersionMap shows on which members a configuration version or a higher one is
// active, for a part of the ring. Members are identified by their index on the
// ring, so a receiver with a different ring ignores the map.
type VersionMap struct {
	// Version is the newest version known to the sender.
	Version uint64
	// RingDigest is the digest of the sender's ring.
	RingDigest uint64
	// First is the index on the ring of the first member in the map.
	First uint32
	// Count is the number of members in the map.
	Count uint32
	// Bits has one bit per member, least significant bit first. Empty Bits mean
	// that the version is active on all Count members.
	Bits []byte
}

// nextVersionMap returns the map of the next part of the ring, or of the whole
// ring when all present members have the newest version.
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

// allHaveNewestVersion reports whether all present members have the newest
// version, as far as this node knows. The result is cached until a member
// changes.
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

// fillVersionMap sets the bits of the count members from index first on.
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

// presentMember returns a member that is on the ring, this node included.
func (t *Table) presentMember(id uint64) *Member {
	if id == t.selfID {
		return &t.self
	}
	return &t.byID[id].Member
}

// handleVersionMap applies a map that was received from a peer. A map of
// another ring and a malformed map are ignored.
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

// applyConfigVersion raises the active configuration version of a member; a
// lower one is ignored.
func (t *Table) applyConfigVersion(now time.Time, e *entry, version uint64) {
	if version > e.ConfigVersion {
		t.changeEntry(now, e, func(old *Member) { old.ConfigVersion = version })
	}
}
