package platform

import (
	"sync"
	"time"
)

// Stats counts the calls that the platform received.
type Stats struct {
	// Reads counts gets and lists.
	Reads uint64 `json:"reads"`
	// Writes counts puts and deletes.
	Writes uint64 `json:"writes"`
	// Watches counts watches.
	Watches uint64 `json:"watches"`
	// Conflicts counts writes that were refused for their condition.
	Conflicts uint64 `json:"conflicts"`
	// RateLimited counts calls that were refused for the rate.
	RateLimited uint64 `json:"rate_limited"`
	// Refused counts calls that were refused because the platform was down.
	Refused uint64 `json:"refused"`
	// DroppedResponses counts writes that took effect without an answer.
	DroppedResponses uint64 `json:"lost_answers"`
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waiting_watches"`
	// PeakReadsPerSecond is the most gets, lists and watches in one second.
	PeakReadsPerSecond uint64 `json:"peak_reads_per_s"`
	// PeakWritesPerSecond is the most writes in one second.
	PeakWritesPerSecond uint64 `json:"peak_writes_per_s"`
	// PeakCallsPerSecond is the most calls of any kind in one second.
	PeakCallsPerSecond uint64 `json:"peak_calls_per_s"`
	// Objects is the number of keys, those of deleted objects included.
	Objects int `json:"objects"`
	// Revision is the number of writes that took effect.
	Revision uint64 `json:"revision"`
}

// meter keeps Stats and the peaks per second.
type meter struct {
	mu     sync.Mutex
	stats  Stats
	second int64
	reads  uint64
	writes uint64
}

// update changes the counters under the lock.
func (m *meter) update(change func(*Stats)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.stats)
}

// arrive counts a call of a kind in its second.
func (m *meter) arrive(k kind, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if second := now.Unix(); second != m.second {
		m.second = second
		m.reads = 0
		m.writes = 0
	}
	switch k {
	case kindWrite:
		m.stats.Writes++
		m.writes++
	case kindWatch:
		m.stats.Watches++
		m.reads++
	default:
		m.stats.Reads++
		m.reads++
	}
	m.stats.PeakReadsPerSecond = max(m.stats.PeakReadsPerSecond, m.reads)
	m.stats.PeakWritesPerSecond = max(m.stats.PeakWritesPerSecond, m.writes)
	m.stats.PeakCallsPerSecond = max(m.stats.PeakCallsPerSecond, m.reads+m.writes)
}

func (m *meter) read() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// reset clears the counters but for the watches that wait now.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats = Stats{WaitingWatches: m.stats.WaitingWatches}
	m.reads = 0
	m.writes = 0
}
