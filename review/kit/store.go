package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: linearizable, with one revision counter.
type store struct {
	address  string
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []change
	changed  chan struct{}
}

type storedObject struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type change struct {
	kind    string
	object  storedObject
	deleted bool
}

// startStore starts a store at a free port.
func (e *env) startStore() error {
	s := &store{revision: 10, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	l, err := net.Listen("tcp4", e.ip(200)+":0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	e.store = s
	go func() { _ = http.Serve(l, s) }()
	return nil
}

// put writes an object as the operator.
func (s *store) put(kind, name string, spec []byte) storedObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec []byte) storedObject {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	o := s.objects[kind][name]
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	s.append(change{kind: kind, object: o})
	return o
}

func (s *store) append(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	time.Sleep(4 * time.Millisecond) // the usual time of an answer
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []storedObject{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": revision})
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body storedObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	expected := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case exists && (r.Method == http.MethodPost || expected != 0 && expected != old.Metadata.Revision):
		reply(w, http.StatusConflict, old)
	case !exists && r.Method != http.MethodPost && r.Method != http.MethodPut, !exists && expected != 0:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		old.Metadata.Revision = s.revision
		s.append(change{kind: kind, object: old, deleted: true})
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.putLocked(kind, name, body.Spec))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(millis)*time.Millisecond, 30*time.Second))
	defer timer.Stop()
	for expired := false; ; {
		events := []map[string]any{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}
