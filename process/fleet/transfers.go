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
	open   map[uint64]transfer
}

// transfer is the transfer of a configuration that counts.
type transfer struct {
	// minEnd is the earliest end, and maxEnd the latest.
	minEnd, maxEnd time.Time
	ended          bool
}

// NewTransferLimiter returns a limiter that allows maxTransfers transfers at once, each
// of which counts for at most maxDuration.
func NewTransferLimiter(maxTransfers int, maxDuration time.Duration) *TransferLimiter {
	return &TransferLimiter{maxTransfers: maxTransfers, maxDuration: maxDuration, open: make(map[uint64]transfer)}
}

// Begin counts a transfer and returns its ID for End, or false if as many as are
// allowed have begun and not ended. The transfer counts at least for minDuration, since
// a sender learns of its end when the last bytes are still in buffers.
func (l *TransferLimiter) Begin(minDuration time.Duration, now time.Time) (id uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.open {
		if t.ended && !now.Before(t.minEnd) || !now.Before(t.maxEnd) {
			delete(l.open, id)
		}
	}
	if len(l.open) >= l.maxTransfers {
		return 0, false
	}
	l.lastID++
	l.open[l.lastID] = transfer{minEnd: now.Add(minDuration), maxEnd: now.Add(l.maxDuration)}
	return l.lastID, true
}

// End ends a transfer, whether or not it still counts.
func (l *TransferLimiter) End(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.open[id]; ok {
		t.ended = true
		l.open[id] = t
	}
}
