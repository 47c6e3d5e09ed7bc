package gateway

import (
	"sync"
	"time"

	"verbenatrestle/process/configstore"
)

// outdatedMemory is how long a node counts as outdated after it last received the number of a newer
// configuration than its own, in case nobody serves that one any more.
const outdatedMemory = 30 * time.Second

// configNoticeTime is the part of Limits.ConfigApplySeconds in which a node learns that a
// configuration was accepted.
const configNoticeTime = 500 * time.Millisecond

// configLag records since when a node knows of a configuration that is newer than its
// active one. It is safe for concurrent use.
type configLag struct {
	mu sync.Mutex
	// newest is the highest number that the node has received.
	newest uint64
	// receivedAt is when the node last received the newest number.
	receivedAt time.Time
	// activeNumber is the number of the latest configuration that became active, and missing
	// holds the numbers above it.
	activeNumber uint64
	missing      configstore.MissingVersions
	// undecodable is the highest number of a configuration that this node can't decode.
	undecodable uint64
	// failures counts the failed fetches since the latest change.
	failures int
}

// received records the number of a configuration that a peer or the store has, and
// that of the active one.
func (l *configLag) received(number, active uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number >= l.newest {
		l.newest, l.receivedAt = number, now
	}
	l.missing.Received(number, max(active, l.activeNumber), now)
}

// outdated reports whether the node knows of a newer configuration than the active one.
// What the active one does not allow may be allowed by that one.
func (l *configLag) outdated(active uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOutdated(active, now)
}

// isOutdated is like outdated. The caller holds the lock.
func (l *configLag) isOutdated(active uint64, now time.Time) bool {
	return l.newest > active && now.Sub(l.receivedAt) < outdatedMemory
}

// overdue reports whether the node has known of a newer configuration for a time in which it
// should have become active. One that this node can't decode is never active here.
func (l *configLag) overdue(active uint64, within time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.missing.Since()
	return l.isOutdated(active, now) && l.newest > l.undecodable && !since.IsZero() && now.Sub(since) >= within
}

// recordUndecodable records the number of a configuration that this node can't decode.
func (l *configLag) recordUndecodable(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.undecodable = max(l.undecodable, number)
}

// elapsed returns for how long the node has known of a newer configuration than the
// active one, and how many fetches failed meanwhile.
func (l *configLag) elapsed(now time.Time) (outdatedFor time.Duration, failures int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.missing.Since()
	if since.IsZero() {
		return 0, 0
	}
	return now.Sub(since), l.failures
}

// fetchFailed counts a failed fetch.
func (l *configLag) fetchFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
}

// activated records that a configuration became active. It returns for how long the
// node has known of a newer configuration than the one before, and how many fetches
// failed meanwhile. Both are zero if it learnt of the configuration by its text.
func (l *configLag) activated(number uint64, now time.Time) (outdatedFor time.Duration, failures int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, number)
	if since := l.missing.Since(); !since.IsZero() {
		outdatedFor = now.Sub(since)
	}
	failures = l.failures
	l.failures = 0
	l.activeNumber = max(l.activeNumber, number)
	l.missing.Activated(number)
	return outdatedFor, failures
}

// newestKnown returns the highest number that the node has received.
func (l *configLag) newestKnown() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}
