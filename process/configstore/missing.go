package configstore

import (
	"slices"
	"time"
)

// maxMissingVersions bounds the versions of a MissingVersions.
const maxMissingVersions = 256

// MissingVersions records since when a node has known of versions above its active one. It is
// not safe for concurrent use.
type MissingVersions struct {
	// known holds the versions that the node lacks, in ascending order. Those beyond
	// maxMissingVersions share the last entry.
	known []knownVersion
}

// knownVersion is a version of which the node first knew at since.
type knownVersion struct {
	version uint64
	since   time.Time
}

// Received records that a version exists.
func (m *MissingVersions) Received(version, active uint64, now time.Time) {
	last := len(m.known) - 1
	switch {
	case version <= active || last >= 0 && version <= m.known[last].version:
	case len(m.known) == maxMissingVersions:
		m.known[last].version = version
	default:
		m.known = append(m.known, knownVersion{version: version, since: now})
	}
}

// Activated removes the versions that the active one includes.
func (m *MissingVersions) Activated(active uint64) {
	m.known = slices.DeleteFunc(m.known, func(k knownVersion) bool { return k.version <= active })
}

// Since returns since when the node has known of a version above its active one. It is zero if
// it knows of none.
func (m *MissingVersions) Since() time.Time {
	if len(m.known) == 0 {
		return time.Time{}
	}
	return m.known[0].since
}
