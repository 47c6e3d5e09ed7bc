//go:build review

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It follows the section about the store
// in the pages, and the paragraph about drills in the letters.
type store struct {
	address string

	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]storedObject
	history  []storeChange
	changed  chan struct{}
	// copies holds the states after each change.
	copies []storeCopy
	// down makes calls fail with 503.
	down bool
}

type storedObject struct {
	Metadata storedMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storedMetadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type storeChange struct {
	revision uint64
	key      string
	object   storedObject
	deleted  bool
}

type storeCopy struct {
	at       time.Time
	revision uint64
	objects  map[string]storedObject
}

func newStore(e *env) *store {
	l, err := net.Listen("tcp4", e.freeAddresses(1)[0])
	check(err)
	s := &store{address: l.Addr().String(), era: 1, revision: 100, objects: map[string]storedObject{}, changed: make(chan struct{})}
	s.copies = []storeCopy{{at: time.Now(), revision: s.revision, objects: map[string]storedObject{}}}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes an object as the operator.
func (s *store) put(key, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, json.RawMessage(spec))
}

// has reports whether an object exists, and returns its spec.
func (s *store) has(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return string(o.Spec), ok
}

// setDown makes calls fail with 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// goBack replaces the state by the one at a time, as in a drill: the era rises, revisions go
// back, and the history is gone.
func (s *store) goBack(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(to) {
			kept = c
		}
	}
	s.era++
	s.revision, s.objects = kept.revision, maps.Clone(kept.objects)
	s.history = nil
	s.copies = append(s.copies, storeCopy{at: time.Now(), revision: s.revision, objects: maps.Clone(s.objects)})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an object. The caller holds the lock.
func (s *store) set(key string, spec json.RawMessage) storedObject {
	old, exists := s.objects[key]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	_, name, _ := strings.Cut(key, "/")
	o := storedObject{Metadata: storedMetadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if exists {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[key] = o
	s.record(storeChange{revision: s.revision, key: key, object: o})
	return o
}

// delete removes an object. The caller holds the lock.
func (s *store) delete(key string) {
	o, exists := s.objects[key]
	if !exists {
		return
	}
	delete(s.objects, key)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(storeChange{revision: s.revision, key: key, object: o, deleted: true})
}

func (s *store) record(c storeChange) {
	s.history = append(s.history, c)
	s.copies = append(s.copies, storeCopy{at: time.Now(), revision: s.revision, objects: maps.Clone(s.objects)})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if down || !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, single := strings.Cut(rest, "/")
	switch {
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !single:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind+"/"+name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storedObject{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, s.objects[key])
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

// write creates, replaces or deletes an object. A replacement of one that is not there gets 404.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body storedObject
	data, _ := io.ReadAll(r.Body)
	if r.Method != http.MethodDelete && json.Unmarshal(data, &body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if name == "" {
		name = body.Metadata.Name
	}
	key, condition := kind+"/"+name, body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[key]
	switch {
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && condition != 0 && condition != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.delete(key)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusOK, s.set(key, body.Spec))
	}
}

// watch answers with the changes after a revision, as soon as there are some or the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	began := s.era
	for {
		oldest := s.revision
		if len(s.history) > 0 {
			oldest = s.history[0].revision - 1
		}
		if s.down || s.era != began || after < oldest || after > s.revision {
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []any{}
		for _, c := range s.history {
			if c.revision > after && strings.HasPrefix(c.key, kind+"/") {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		s.mu.Lock()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the node disconnected
}
