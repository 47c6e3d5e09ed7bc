package platform

import (
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// historyRetention is how long replaced states are kept for stale reads.
	historyRetention = time.Minute
	// maxHistoryLength is the maximum number of states kept for one object.
	maxHistoryLength = 64
)

// state is the state of an object after one write.
type state struct {
	version           uint64
	value             []byte
	deleted           bool
	hiddenFromWatches bool
	at                time.Time
}

// exists reports whether the object exists in this state.
func (s state) exists() bool {
	return s.version > 0 && !s.deleted
}

// store holds all objects with their recent states. Each write increments the
// revision, which becomes the version of the object. It is safe for concurrent
// use.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string][]state
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string][]state), changed: make(chan struct{})}
}

// get returns the state of an object as of a time.
func (s *store) get(key string, asOf time.Time) state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stateAt(s.objects[key], asOf)
}

// write replaces the state of an object if its version is ifVersion, where zero
// stands for an object that does not exist. It returns the current state and
// whether the write took effect.
func (s *store) write(key string, next state, ifVersion uint64) (state, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current state
	if history := s.objects[key]; len(history) > 0 && history[len(history)-1].exists() {
		current = history[len(history)-1]
	}
	if current.version != ifVersion {
		return current, false
	}
	s.revision++
	next.version = s.revision
	next.at = time.Now()
	s.objects[key] = trim(append(s.objects[key], next), next.at)
	s.wakeLocked()
	return next, true
}

// wake makes every waiting watch check for changes and faults.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the objects with a prefix as of a time, sorted by key, and the
// revision at that time.
func (s *store) list(prefix string, asOf time.Time) ([]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var revision uint64
	found := []object{}
	for key, history := range s.objects {
		current := stateAt(history, asOf)
		revision = max(revision, current.version)
		if current.exists() && strings.HasPrefix(key, prefix) {
			found = append(found, newObject(key, current))
		}
	}
	sortObjects(found)
	return found, revision
}

// since returns the objects with a prefix that changed after a revision, the
// current revision, and a channel that is closed at the next write. A revision
// above the current one, which a caller has from before a restart of the
// platform, counts as zero.
func (s *store) since(prefix string, after uint64) ([]object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.revision {
		after = 0
	}
	found := []object{}
	for key, history := range s.objects {
		current := history[len(history)-1]
		if current.version > after && !current.hiddenFromWatches && strings.HasPrefix(key, prefix) {
			found = append(found, newObject(key, current))
		}
	}
	sortObjects(found)
	return found, s.revision, s.changed
}

func (s *store) count() (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects), s.revision
}

// stateAt returns the last state that was written at asOf or before.
func stateAt(history []state, asOf time.Time) state {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(asOf) {
			return history[i]
		}
	}
	return state{}
}

// trim drops states that are too old for any stale read, and the oldest ones
// beyond maxHistoryLength.
func trim(history []state, now time.Time) []state {
	for len(history) > maxHistoryLength || (len(history) > 1 && now.Sub(history[1].at) > historyRetention) {
		history = history[1:]
	}
	return history
}

// object is the JSON representation of an object.
type object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newObject(key string, s state) object {
	return object{Key: key, Version: s.version, Value: s.value, Deleted: s.deleted}
}

func sortObjects(objects []object) {
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
}
