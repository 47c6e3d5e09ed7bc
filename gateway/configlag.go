package gateway

import (
	"sync"
	"time"
)

// outdatedMemory is how long a node counts as outdated after it last received the number of a newer
// configuration than its own, in case nobody serves that one any more.
const outdatedMemory = 30 * time.Second

// configLag records since when a node knows of a configuration that is newer than its
// active one. It is safe for concurrent use.
type configLag struct {
	mu sync.Mutex
	// newest is the highest number that the node has received.
	newest uint64
	// receivedAt is when the node last received the newest number.
	receivedAt time.Time
	// since is when the node first received a number above the active one, or zero if
	// the active configuration is the newest known one.
	since time.Time
	// failures counts the failed fetches since then.
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
	if l.newest > active && l.since.IsZero() {
		l.since = now
	}
}

// outdated reports whether the node knows of a newer configuration than the active one.
// What the active one does not allow may be allowed by that one.
func (l *configLag) outdated(active uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest > active && now.Sub(l.receivedAt) < outdatedMemory
}

// elapsed returns for how long the node has known of a newer configuration than the
// active one, and how many fetches failed meanwhile.
func (l *configLag) elapsed(now time.Time) (outdatedFor time.Duration, failures int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0, 0
	}
	return now.Sub(l.since), l.failures
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
	if !l.since.IsZero() {
		outdatedFor = now.Sub(l.since)
	}
	failures = l.failures
	l.since, l.failures = time.Time{}, 0
	if l.newest > number {
		l.since = now
	}
	return outdatedFor, failures
}

// newestKnown returns the highest number that the node has received.
func (l *configLag) newestKnown() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}
