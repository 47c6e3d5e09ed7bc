package fleet

import (
	"sync"
	"time"
)

// TransferLimiter bounds how many configurations a node sends at once. The transfers
// share its link, so with fewer at a time each receiver sooner has the whole text and
// can pass it on. It is safe for concurrent use.
type TransferLimiter struct {
	maxTransfers int
	// maxDuration is the time after which a transfer no longer counts, since its
	// receiver does not read.
	maxDuration time.Duration

	mu     sync.Mutex
	lastID uint64
	begun  map[uint64]time.Time
}

// NewTransferLimiter returns a limiter that allows maxTransfers transfers at once, each
// of which counts for at most maxDuration.
func NewTransferLimiter(maxTransfers int, maxDuration time.Duration) *TransferLimiter {
	return &TransferLimiter{maxTransfers: maxTransfers, maxDuration: maxDuration, begun: make(map[uint64]time.Time)}
}

// Begin counts a transfer and returns its ID for End, or false if as many as are
// allowed have begun and not ended.
func (l *TransferLimiter) Begin(now time.Time) (id uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.begun {
		if now.Sub(at) >= l.maxDuration {
			delete(l.begun, id)
		}
	}
	if len(l.begun) >= l.maxTransfers {
		return 0, false
	}
	l.lastID++
	l.begun[l.lastID] = now
	return l.lastID, true
}

// End ends a transfer, whether or not it still counts.
func (l *TransferLimiter) End(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.begun, id)
}
