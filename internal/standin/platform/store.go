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
	// maxHistoryLength bounds the states that one object keeps.
	maxHistoryLength = 64
)

// state is an object's state after one write.
type state struct {
	version           uint64
	value             []byte
	deleted           bool
	hiddenFromWatches bool
	at                time.Time
}

// exists reports whether the object was there in this state.
func (s state) exists() bool {
	return s.version > 0 && !s.deleted
}

// store holds all objects with their latest states. Each write gets the next
// revision as the object's version.
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

// get returns the object's state as it was at asOf.
func (s *store) get(key string, asOf time.Time) state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stateAt(s.objects[key], asOf)
}

// write replaces the object's state if its version is ifVersion. It returns
// the state that is there now, and whether it is the new one.
func (s *store) write(key string, next state, ifVersion uint64) (state, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var present state
	if history := s.objects[key]; len(history) > 0 && history[len(history)-1].exists() {
		present = history[len(history)-1]
	}
	if present.version != ifVersion {
		return present, false
	}
	s.revision++
	next.version = s.revision
	next.at = time.Now()
	s.objects[key] = trim(append(s.objects[key], next), next.at)
	s.wakeLocked()
	return next, true
}

// wake lets every waiting watch look again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the objects with the prefix that were there at asOf, in the
// order of their keys, and the revision of that time.
func (s *store) list(prefix string, asOf time.Time) ([]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var revision uint64
	found := []object{}
	for key, history := range s.objects {
		present := stateAt(history, asOf)
		revision = max(revision, present.version)
		if present.exists() && strings.HasPrefix(key, prefix) {
			found = append(found, newObject(key, present))
		}
	}
	sortObjects(found)
	return found, revision
}

// since returns the objects with the prefix that changed after a revision,
// the present revision, and a channel that is closed at the next write. A
// revision of the future, from before a restart, counts as zero.
func (s *store) since(prefix string, after uint64) ([]object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.revision {
		after = 0
	}
	found := []object{}
	for key, history := range s.objects {
		present := history[len(history)-1]
		if present.version > after && !present.hiddenFromWatches && strings.HasPrefix(key, prefix) {
			found = append(found, newObject(key, present))
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

// stateAt returns the last state that is not younger than asOf.
func stateAt(history []state, asOf time.Time) state {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(asOf) {
			return history[i]
		}
	}
	return state{}
}

// trim drops states that no stale read asks for any more.
func trim(history []state, now time.Time) []state {
	for len(history) > maxHistoryLength || (len(history) > 1 && now.Sub(history[1].at) > historyRetention) {
		history = history[1:]
	}
	return history
}

// object is the JSON form of an object.
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
