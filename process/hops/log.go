package hops

import (
	"sync"
	"sync/atomic"
	"time"
)

// Settings bounds a Log.
type Settings struct {
	// KeepFor is how long a finished request is kept.
	KeepFor time.Duration
	// MaxFinished is how many finished requests are kept. The oldest are dropped first.
	MaxFinished int
	// MaxResponseBytes bounds a response that is kept, and MaxBytes all of them together.
	// The oldest are dropped first. Their requests are kept.
	MaxResponseBytes, MaxBytes int
}

// DefaultSettings bounds a log to some 8 MB. MaxFinished allows for 6,000 requests a second.
var DefaultSettings = Settings{KeepFor: 2500 * time.Millisecond, MaxFinished: 15_000, MaxResponseBytes: 64 << 10, MaxBytes: 4 << 20}

// Entry is a request that another node sent. R is the type of responses.
type Entry[R any] struct {
	// Done is closed when the request has finished, or has arrived once more.
	Done chan struct{}

	response atomic.Pointer[R]

	// The log's lock guards the fields below. size is that of the response in bytes.
	size int
	// running counts the arrivals that have not finished.
	running int
	// repeated is set if the request has arrived more than once. Its arrivals may get
	// different responses, so none is kept.
	repeated bool
	forgetAt time.Time
}

// Response returns the response once Done is closed, or nil if it is not kept.
func (e *Entry[R]) Response() *R { return e.response.Load() }

// Log holds the latest requests of other nodes. It is safe for concurrent use.
type Log[R any] struct {
	settings Settings

	mu      sync.Mutex
	entries map[string]*Entry[R]
	// finished holds the finished requests in the order in which they finished. Those
	// from withResponse on still have their responses, of bytes bytes together.
	finished     []finishedRequest[R]
	withResponse int
	bytes        int
	// incompleteUntil is when the log goes back KeepFor again after it dropped requests
	// early.
	incompleteUntil time.Time
}

// finishedRequest is a request that has finished.
type finishedRequest[R any] struct {
	id       string
	entry    *Entry[R]
	forgetAt time.Time
}

// NewLog returns an empty log.
func NewLog[R any](settings Settings) *Log[R] {
	return &Log[R]{settings: settings, entries: make(map[string]*Entry[R])}
}

// Begin records a request that has arrived.
func (l *Log[R]) Begin(id string) *Entry[R] {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[id]
	if entry == nil {
		entry = &Entry[R]{Done: make(chan struct{}), running: 1}
		l.entries[id] = entry
		return entry
	}
	entry.running++
	l.dropResponse(entry)
	if !entry.repeated && entry.running > 1 {
		close(entry.Done)
	}
	entry.repeated = true
	return entry
}

// Finish records the response to a request and its size in bytes.
func (l *Log[R]) Finish(id string, entry *Entry[R], response *R, size int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.running--
	if !entry.repeated {
		if size <= l.settings.MaxResponseBytes {
			entry.response.Store(response)
			entry.size = size
			l.bytes += size
		}
		close(entry.Done)
	}
	if entry.running == 0 {
		entry.forgetAt = now.Add(l.settings.KeepFor)
		l.finished = append(l.finished, finishedRequest[R]{id: id, entry: entry, forgetAt: entry.forgetAt})
	}
	l.forget(now)
}

// Find returns the latest request with an id, or nil if there is none. If complete is set
// then, no such request is running or has finished within KeepFor.
func (l *Log[R]) Find(id string, now time.Time) (entry *Entry[R], complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[id], !now.Before(l.incompleteUntil)
}

// Expire forgets the requests that have been finished for long enough.
func (l *Log[R]) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
}

// forget drops the finished requests that are too old or too many, and the oldest
// responses if they are too long together. The caller holds the lock.
func (l *Log[R]) forget(now time.Time) {
	for ; l.bytes > l.settings.MaxBytes; l.withResponse++ {
		l.dropResponse(l.finished[l.withResponse].entry)
	}
	dropped := 0
	for ; dropped < len(l.finished); dropped++ {
		oldest := l.finished[dropped]
		expired := !now.Before(oldest.forgetAt)
		if !expired && len(l.finished)-dropped <= l.settings.MaxFinished {
			break
		}
		if oldest.entry.running > 0 || oldest.entry.forgetAt.After(oldest.forgetAt) {
			continue // it has arrived again since
		}
		if !expired {
			l.incompleteUntil = oldest.forgetAt
		}
		l.dropResponse(oldest.entry)
		delete(l.entries, oldest.id)
	}
	clear(l.finished[:dropped])
	l.finished = l.finished[dropped:]
	l.withResponse = max(0, l.withResponse-dropped)
}

// dropResponse drops the response of a request. The caller holds the lock.
func (l *Log[R]) dropResponse(entry *Entry[R]) {
	l.bytes -= entry.size
	entry.size = 0
	entry.response.Store(nil)
}
