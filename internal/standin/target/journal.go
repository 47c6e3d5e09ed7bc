package target

import (
	"sync"
)

// Journal counts the runs of each idempotency key. It is safe for concurrent
// use.
type Journal struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{runs: make(map[string]int)}
}

// Add counts one run of each key.
func (j *Journal) Add(keys ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, key := range keys {
		j.runs[key]++
	}
}

// Merge adds the counts of another journal.
func (j *Journal) Merge(runs map[string]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, count := range runs {
		j.runs[key] += count
	}
}

// Runs returns a copy of the counts.
func (j *Journal) Runs() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make(map[string]int, len(j.runs))
	for key, count := range j.runs {
		runs[key] = count
	}
	return runs
}
