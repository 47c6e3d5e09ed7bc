package membership

import "time"

// versionWindow is how many members a VersionMap tells of, when not all have
// the version; it bounds the map to 64 bytes.
const versionWindow = 512

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

// versionMap returns the next part of what this node knows.
func (t *Table) versionMap() VersionMap {
	places := t.ring.places
	m := VersionMap{Version: t.newest, RingDigest: t.ring.sum}
	if t.inForceEverywhere() {
		m.Count = uint32(len(places))
		return m
	}
	if t.cursor >= len(places) {
		t.cursor = 0
	}
	t.fillMap(&m, t.cursor, min(versionWindow, len(places)-t.cursor))
	t.cursor += versionWindow
	return m
}

// inForceEverywhere reports whether, to this node's knowledge, all present
// members have the newest version. The answer is kept until a member changes.
func (t *Table) inForceEverywhere() bool {
	if t.versionsKept {
		return t.versionsSame
	}
	t.versionsKept = true
	t.versionsSame = true
	for _, id := range t.ring.places {
		if t.present(id).ConfigVersion < t.newest {
			t.versionsSame = false
			break
		}
	}
	return t.versionsSame
}

// fillMap has the map tell of count members from an index on.
func (t *Table) fillMap(m *VersionMap, first, count int) {
	m.First = uint32(first)
	m.Count = uint32(count)
	m.Bits = make([]byte, (count+7)/8)
	for i, id := range t.ring.places[first : first+count] {
		if member := t.present(id); member.ConfigVersion >= m.Version {
			m.Bits[i/8] |= 1 << (i % 8)
		}
	}
}

// present returns a member that is on the ring.
func (t *Table) present(id uint64) *Member {
	if id == t.selfID {
		return &t.self
	}
	return &t.byID[id].Member
}

// hearVersions takes in a part of what a peer knows.
func (t *Table) hearVersions(now time.Time, m *VersionMap) {
	places := t.ring.places
	first, count := int(m.First), int(m.Count)
	if m.Version <= t.newest && t.inForceEverywhere() {
		return
	}
	if m.RingDigest != t.ring.sum || first+count > len(places) {
		return
	}
	if len(m.Bits) > 0 && len(m.Bits) < (count+7)/8 {
		return
	}
	for i, id := range places[first : first+count] {
		set := len(m.Bits) == 0 || m.Bits[i/8]&(1<<(i%8)) != 0
		if set && id != t.selfID {
			t.applyVersion(now, t.byID[id], m.Version)
		}
	}
}

// applyVersion takes in a configuration version of a member.
func (t *Table) applyVersion(now time.Time, e *entry, version uint64) {
	if version > e.ConfigVersion {
		t.change(now, e, func(old *Member) { old.ConfigVersion = version })
	}
}
